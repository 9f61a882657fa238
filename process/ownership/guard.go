package ownership

import (
	"encoding/json"
	"sync"
	"time"
)

// delta is a piece of an owner's state that its guards remember for a taker.
type delta struct {
	Seq  uint64          `json:"seq"`
	Body json.RawMessage `json:"body"`
	// kept is when the guard received it.
	kept time.Time
}

// ward is what a guard remembers of one owner incarnation.
type ward struct {
	lastAck time.Time
	// touched is the time of the last ack or promise.
	touched time.Time
	// fenced says that no heartbeat is acked any more whose sender knows of no
	// renewal later than attempt fence.
	fenced     bool
	fence      uint64
	attachment json.RawMessage
	deltas     []delta
	// seq is the highest delta received in order.
	seq uint64
}

// guardBook is the guard's side of the rule, in memory only.
type guardBook struct {
	terms
	omit   omissions
	retain time.Duration

	mu    sync.Mutex
	self  guardRef
	up    time.Time
	wards map[guardRef]*ward
}

func newGuardBook(self guardRef, t terms, retain time.Duration, now time.Time) *guardBook {
	return &guardBook{terms: t, retain: retain, self: self, up: now, wards: make(map[guardRef]*ward)}
}

// restart makes the book answer under a new incarnation. What was promised
// stays promised.
func (b *guardBook) restart(self guardRef, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self = self
	b.up = now
}

// heartbeat acks the owner unless its end was promised to somebody.
func (b *guardBook) heartbeat(p heartbeatParams, now time.Time) heartbeatResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.ward(p.Owner.ref())
	if w.fenced && p.Confirmed <= w.fence && !b.omit.promise {
		return heartbeatResult{Incarnation: b.self.Incarnation, Refused: true}
	}
	w.lastAck = now
	w.touched = now
	if p.Attachment != nil {
		w.attachment = p.Attachment
	}
	if p.Base <= w.seq {
		w.add(p.Deltas, now)
	}
	w.forget(now.Add(-b.retain))
	return heartbeatResult{Incarnation: b.self.Incarnation, Acked: w.seq}
}

// release promises, if no ack was sent for the short term, never to ack the
// owner again on the strength of the row that the taker saw. An owner that has
// renewed since may be acked: the taker's transaction can't succeed any more.
// An owner that is surely gone needs no wait.
func (b *guardBook) release(p releaseParams, now time.Time) releaseResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.ward(guardRef{Instance: p.Instance, Incarnation: p.Incarnation})
	if !p.Gone && now.Before(b.quiet(w, p.Guard)) {
		return releaseResult{}
	}
	w.fenced = true
	w.touched = now
	w.fence = max(w.fence, p.Attempt)
	w.forget(now.Add(-b.retain))
	return releaseResult{Promised: true, Attachments: w.remembered()}
}

// quiet returns since when acks of the guard incarnation can't count any more.
// A successor answers for its predecessor once it has been up for long enough.
func (b *guardBook) quiet(w *ward, guard string) time.Time {
	last := w.lastAck
	if guard != b.self.Incarnation && b.up.After(last) {
		last = b.up
	}
	return last.Add(b.short + b.margin)
}

// expire forgets deltas that are too old, and owners whose right has ended by
// the long term, counted from the last ack or promise.
func (b *guardBook) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref, w := range b.wards {
		w.forget(now.Add(-b.retain))
		if now.Sub(w.touched) > 2*b.long {
			delete(b.wards, ref)
		}
	}
}

func (b *guardBook) ward(owner guardRef) *ward {
	w := b.wards[owner]
	if w == nil {
		w = &ward{}
		b.wards[owner] = w
	}
	return w
}

func (w *ward) add(deltas []delta, now time.Time) {
	for _, d := range deltas {
		if d.Seq <= w.seq {
			continue
		}
		d.kept = now
		w.seq = d.Seq
		w.deltas = append(w.deltas, d)
	}
}

func (w *ward) forget(before time.Time) {
	n := 0
	for n < len(w.deltas) && w.deltas[n].kept.Before(before) {
		n++
	}
	w.deltas = w.deltas[n:]
}

// remembered returns the last attachment and then the deltas in order.
func (w *ward) remembered() []json.RawMessage {
	var all []json.RawMessage
	if w.attachment != nil {
		all = append(all, w.attachment)
	}
	for _, d := range w.deltas {
		all = append(all, d.Body)
	}
	return all
}
