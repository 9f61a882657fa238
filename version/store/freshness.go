package store

import (
	"slices"
	"time"
)

// retainObservations is how long the last status of an unresponsive peer is retained.
const retainObservations = time.Minute

// freshness records the evidence an entry has on whether its version is the newest. All
// times are of the entry's own clock. The methods take times as arguments and do not read
// the clock.
type freshness struct {
	// loaded is set if the version in force came from the table or a peer.
	loaded bool
	// known is the highest number known to exist.
	known uint64
	// readAt is when the last successful read of the head was sent, and readNumber the
	// number that it found.
	readAt     time.Time
	readNumber uint64
	// failedAt is when the last failed read of the head was sent.
	failedAt  time.Time
	reachable bool
	// verifiedAt is the latest time for which it is certain that no version newer than the
	// one in force existed. It never decreases.
	verifiedAt time.Time
	// observed contains the last observation of each peer, by instance.
	observed map[string]observation
}

// observation is the last status of a peer.
type observation struct {
	status PeerStatus
	// sent is when the call that returned the status was sent.
	sent time.Time
}

// learn records that a version with the number exists.
func (f *freshness) learn(number uint64) {
	f.known = max(f.known, number)
}

// readDone records that a read of the head found number. sent is when the read was sent.
func (f *freshness) readDone(sent time.Time, number uint64) {
	f.learn(number)
	f.reachable = true
	if sent.After(f.readAt) {
		f.readAt = sent
		f.readNumber = number
	}
}

// readFailed records that a read of the head failed. sent is when the read was sent.
func (f *freshness) readFailed(sent time.Time) {
	f.reachable = false
	f.failedAt = sent
}

// observe records a peer's status, unless a later one was recorded already.
func (f *freshness) observe(instance string, status PeerStatus, sent time.Time) {
	f.learn(max(status.Known, status.Number))
	if f.observed == nil {
		f.observed = map[string]observation{}
	}
	if !sent.After(f.observed[instance].sent) {
		return
	}
	f.observed[instance] = observation{status: status, sent: sent}
	for name, o := range f.observed {
		if sent.Sub(o.sent) > retainObservations {
			delete(f.observed, name)
		}
	}
}

// verify advances verifiedAt to the latest read, by this entry or a peer, that found no
// version newer than number.
func (f *freshness) verify(number uint64) {
	if !f.readAt.IsZero() && f.readNumber <= number {
		f.verifiedAt = later(f.verifiedAt, f.readAt)
	}
	for _, o := range f.observed {
		if o.status.TableReadAge < 0 || o.status.Known > number {
			continue
		}
		f.verifiedAt = later(f.verifiedAt, o.sent.Add(-o.status.TableReadAge))
	}
}

// admitUntil returns until when work may be admitted under the version number, or the zero
// time if it may not. verify must be called first.
func (f *freshness) admitUntil(number uint64, peers []string, bound time.Duration) time.Time {
	if !f.loaded {
		return time.Time{}
	}
	var until time.Time
	if !f.verifiedAt.IsZero() {
		until = f.verifiedAt.Add(bound)
	}
	if reportedAt, ok := f.unreadableForMajority(number, peers); ok {
		until = later(until, reportedAt.Add(bound))
	}
	return until
}

// unreadableForMajority reports whether this entry cannot read the head, a majority of the
// entries have reported the same, and no version newer than number is known. It returns the
// time of the oldest report needed for the majority.
//
// A change is accepted only once it is known to a majority of the entries. Any two
// majorities have an entry in common, so at least one of the reports would show the change.
// An entry counts only if it has read the head since its start, because it loses its state
// on a restart. See Gifford, Weighted Voting for Replicated Data, 1979.
func (f *freshness) unreadableForMajority(number uint64, peers []string) (time.Time, bool) {
	if f.reachable || f.failedAt.IsZero() || f.known > number || len(peers) == 0 {
		return time.Time{}, false
	}
	var reportedAt []time.Time
	if !f.readAt.IsZero() {
		reportedAt = append(reportedAt, f.failedAt)
	}
	for _, peer := range peers {
		o, ok := f.observed[peer]
		if ok && !o.status.TableReachable && o.status.TableReadAge >= 0 {
			reportedAt = append(reportedAt, o.sent)
		}
	}
	need := majority(len(peers) + 1)
	if len(reportedAt) < need {
		return time.Time{}, false
	}
	slices.SortFunc(reportedAt, func(a, b time.Time) int { return b.Compare(a) })
	return reportedAt[need-1], true
}

// knownTo reports whether a version is known to a majority of the entries. It counts this
// entry, the notified peers, and the peers whose status shows the version.
func (f *freshness) knownTo(number uint64, peers []string, notified map[string]bool) bool {
	count := 1
	for _, peer := range peers {
		if notified[peer] || f.observed[peer].status.Known >= number {
			count++
		}
	}
	return count >= majority(len(peers)+1)
}

// majority returns the size of the smallest majority of n entries.
func majority(n int) int { return n/2 + 1 }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
