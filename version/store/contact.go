package store

import (
	"slices"
	"time"
)

// keepObservations is how long the last answer of a silent peer is kept.
const keepObservations = time.Minute

// contact is what an entry knows about how new its version is. All times are of
// its own clock. Its methods read no clock.
type contact struct {
	// loaded says that the version in force came from the table or a peer.
	loaded bool
	// known is the highest number known to exist.
	known uint64
	// readAt is when the last successful read of the head was sent; it found
	// readNumber.
	readAt     time.Time
	readNumber uint64
	// failedAt is when the last failed read of the head was sent.
	failedAt  time.Time
	reachable bool
	// verifiedAt is the latest moment at which no version above the one in
	// force existed. It never goes back.
	verifiedAt time.Time
	observed   map[string]observation
}

// observation is the last answer of a peer.
type observation struct {
	status PeerStatus
	// sent is when the call was sent that the peer answered.
	sent time.Time
}

// learn notes that a number exists.
func (c *contact) learn(number uint64) {
	c.known = max(c.known, number)
}

// readDone notes that a read of the head sent at `sent` found number.
func (c *contact) readDone(sent time.Time, number uint64) {
	c.learn(number)
	c.reachable = true
	if sent.After(c.readAt) {
		c.readAt = sent
		c.readNumber = number
	}
}

// readFailed notes that a read of the head sent at `sent` failed.
func (c *contact) readFailed(sent time.Time) {
	c.reachable = false
	c.failedAt = sent
}

// observe notes a peer's answer, unless a later one is known already.
func (c *contact) observe(instance string, status PeerStatus, sent time.Time) {
	c.learn(max(status.Known, status.Number))
	if c.observed == nil {
		c.observed = map[string]observation{}
	}
	if !sent.After(c.observed[instance].sent) {
		return
	}
	c.observed[instance] = observation{status: status, sent: sent}
	for name, o := range c.observed {
		if sent.Sub(o.sent) > keepObservations {
			delete(c.observed, name)
		}
	}
}

// verify moves verifiedAt forward by every read, own or of a peer, that found no
// version above number.
func (c *contact) verify(number uint64) {
	if !c.readAt.IsZero() && c.readNumber <= number {
		c.verifiedAt = later(c.verifiedAt, c.readAt)
	}
	for _, o := range c.observed {
		if o.status.StoreAge < 0 || o.status.Known > number {
			continue
		}
		c.verifiedAt = later(c.verifiedAt, o.sent.Add(-o.status.StoreAge))
	}
}

// admitUntil returns until when the version `number` may be used for admission;
// zero if not at all. Call verify first.
func (c *contact) admitUntil(number uint64, peers []string, bound time.Duration) time.Time {
	if !c.loaded {
		return time.Time{}
	}
	var until time.Time
	if !c.verifiedAt.IsZero() {
		until = c.verifiedAt.Add(bound)
	}
	if said, ok := c.downForMost(number, peers); ok {
		until = later(until, said.Add(bound))
	}
	return until
}

// downForMost reports whether most entries, this one among them, said that they
// can't read the head and know of no version above number, and since when the
// oldest of the statements that are needed stands. A change is accepted only once
// most entries know of it, so that one of these would have known. An entry counts
// only if it has read the head since it began: else it may have forgotten.
//
// Source: majorities of one set intersect; Gifford, Weighted Voting for Replicated
// Data, 1979.
func (c *contact) downForMost(number uint64, peers []string) (time.Time, bool) {
	if c.reachable || c.failedAt.IsZero() || c.known > number || len(peers) == 0 {
		return time.Time{}, false
	}
	var said []time.Time
	if !c.readAt.IsZero() {
		said = append(said, c.failedAt)
	}
	for _, peer := range peers {
		o, ok := c.observed[peer]
		if ok && !o.status.StoreReachable && o.status.StoreAge >= 0 {
			said = append(said, o.sent)
		}
	}
	need := mostOf(len(peers) + 1)
	if len(said) < need {
		return time.Time{}, false
	}
	slices.SortFunc(said, func(a, b time.Time) int { return b.Compare(a) })
	return said[need-1], true
}

// knownTo reports whether most entries know of a version: this one, the peers in
// told, and those that said so.
func (c *contact) knownTo(number uint64, peers []string, told map[string]bool) bool {
	count := 1
	for _, peer := range peers {
		if told[peer] || c.observed[peer].status.Known >= number {
			count++
		}
	}
	return count >= mostOf(len(peers)+1)
}

// mostOf returns the size of the smallest majority of n.
func mostOf(n int) int { return n/2 + 1 }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
