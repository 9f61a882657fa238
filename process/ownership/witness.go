package ownership

import (
	"encoding/json"
	"sync"
	"time"
)

// delta is a change of an owner's state. Its witnesses keep it for the entry that
// takes over.
type delta struct {
	Seq  uint64          `json:"seq"`
	Body json.RawMessage `json:"body"`
	// addedAt is when the owner appended it or the witness received it.
	addedAt time.Time
	// replicated is set at the owner once the caller of Replicate may rely on the delta.
	replicated bool
}

// ownerState is a witness's state for one owner incarnation.
type ownerState struct {
	lastAck time.Time
	// lastActive is the time of the last ack or promise.
	lastActive time.Time
	// fenced is set once a promise was given: a heartbeat is refused unless its
	// sender has confirmed a renewal later than attempt fencedThrough.
	fenced        bool
	fencedThrough uint64
	attachment    json.RawMessage
	deltas        []delta
	// seq is the number of the last delta received in order.
	seq uint64
}

// witness is this entry's state as a witness of other entries, in memory only.
type witness struct {
	terms
	omit   omissions
	retain time.Duration

	mu        sync.Mutex
	self      memberRef
	startedAt time.Time
	owners    map[memberRef]*ownerState
}

func newWitness(self memberRef, t terms, retain time.Duration, now time.Time) *witness {
	return &witness{terms: t, retain: retain, self: self, startedAt: now, owners: make(map[memberRef]*ownerState)}
}

// restart changes the incarnation that answers contain. Promises stay in force.
func (w *witness) restart(self memberRef, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.self = self
	w.startedAt = now
}

// heartbeat acks the owner, unless a promise given to another entry forbids it.
func (w *witness) heartbeat(p heartbeatParams, now time.Time) heartbeatResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.state(p.Owner.ref())
	if o.fenced && p.Confirmed <= o.fencedThrough && !w.omit.promise {
		return heartbeatResult{Incarnation: w.self.Incarnation, Refused: true}
	}
	o.lastAck = now
	o.lastActive = now
	if p.Attachment != nil {
		o.attachment = p.Attachment
	}
	if p.Base <= o.seq {
		o.addDeltas(p.Deltas, now)
	}
	o.dropDeltas(now.Add(-w.retain))
	return heartbeatResult{Incarnation: w.self.Incarnation, Acked: o.seq}
}

// release promises, if no ack was sent for ShortTerm, never again to ack the
// owner on the basis of the row that the caller read. An owner that has renewed
// since may be acked, since the caller's transaction fails then. If the owner's
// process is known to have ended, the promise is given at once.
func (w *witness) release(p releaseParams, now time.Time) releaseResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.state(memberRef{Instance: p.Instance, Incarnation: p.Incarnation})
	if !p.Gone && now.Before(w.acksEnd(o, p.Witness)) {
		return releaseResult{}
	}
	o.fenced = true
	o.lastActive = now
	o.fencedThrough = max(o.fencedThrough, p.Attempt)
	o.dropDeltas(now.Add(-w.retain))
	return releaseResult{Incarnation: w.self.Incarnation, Promised: true, Attachments: o.replicated()}
}

// acksEnd returns the time from which acks of the witness's incarnation no longer
// extend the lease. A later incarnation of the witness uses its own start as the time
// of the last ack, as it does not have its predecessor's acks.
func (w *witness) acksEnd(o *ownerState, incarnation string) time.Time {
	last := o.lastAck
	if incarnation != w.self.Incarnation && w.startedAt.After(last) {
		last = w.startedAt
	}
	return last.Add(w.short + w.margin)
}

// expire drops deltas older than the retention period, and owners without an ack
// or promise for twice the long term, as their leases have ended.
func (w *witness) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ref, o := range w.owners {
		o.dropDeltas(now.Add(-w.retain))
		if now.Sub(o.lastActive) > 2*w.long {
			delete(w.owners, ref)
		}
	}
}

func (w *witness) state(owner memberRef) *ownerState {
	o := w.owners[owner]
	if o == nil {
		o = &ownerState{}
		w.owners[owner] = o
	}
	return o
}

func (o *ownerState) addDeltas(deltas []delta, now time.Time) {
	for _, d := range deltas {
		if d.Seq <= o.seq {
			continue
		}
		d.addedAt = now
		o.seq = d.Seq
		o.deltas = append(o.deltas, d)
	}
}

func (o *ownerState) dropDeltas(before time.Time) {
	n := 0
	for n < len(o.deltas) && o.deltas[n].addedAt.Before(before) {
		n++
	}
	o.deltas = o.deltas[n:]
}

// replicated returns the last attachment, followed by the deltas in order.
func (o *ownerState) replicated() []json.RawMessage {
	var all []json.RawMessage
	if o.attachment != nil {
		all = append(all, o.attachment)
	}
	for _, d := range o.deltas {
		all = append(all, d.Body)
	}
	return all
}
