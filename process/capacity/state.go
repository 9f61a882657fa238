package capacity

import (
	"maps"
	"slices"
)

// SetLeaving sets whether the worker is listed as leaving. A leaving worker is closed.
func (t *Tracker) SetLeaving(worker string, leaving bool) {
	t.ifTracked(worker, func(l *ledger) { l.leaving = leaving })
}

// SetUnreachable sets whether the worker does not respond to its owner. An unreachable
// worker is closed.
func (t *Tracker) SetUnreachable(worker string, unreachable bool) {
	t.ifTracked(worker, func(l *ledger) { l.unreachable = unreachable })
}

// SetQuarantined sets whether the worker is quarantined because work fails on it. A
// quarantined worker is closed.
func (t *Tracker) SetQuarantined(worker string, quarantined bool) {
	t.ifTracked(worker, func(l *ledger) { l.quarantined = quarantined })
}

// Worker returns a tracked worker and whether it is open to new work.
func (t *Tracker) Worker(name string) (w Worker, open, ok bool) {
	t.ifTracked(name, func(l *ledger) { w, open, ok = l.worker, !l.closed(), true })
	return w, open, ok
}

// Reconcile opens a worker that was adopted at epoch, with the holdings that it
// reported. requestsInFlight are requests without a holding: they are untracked and
// occupy slots until a later report doesn't name them. It returns false if the worker
// is not tracked at that epoch.
func (t *Tracker) Reconcile(worker string, epoch uint64, holdings []Holding, requestsInFlight []string) bool {
	var ok bool
	t.ifTracked(worker, func(l *ledger) {
		if l.worker.Epoch != epoch {
			return
		}
		l.clear()
		for _, h := range holdings {
			l.put(h)
		}
		l.untracked = make(map[string]struct{}, len(requestsInFlight))
		for _, id := range requestsInFlight {
			l.untracked[id] = struct{}{}
		}
		l.adopted = true
		ok = true
	})
	return ok
}

// ReportRequests applies the ids of a worker's requests in flight from a later report.
// Untracked requests that it doesn't name have ended.
func (t *Tracker) ReportRequests(worker string, inFlight []string) {
	t.ifTracked(worker, func(l *ledger) {
		maps.DeleteFunc(l.untracked, func(id string, _ struct{}) bool { return !slices.Contains(inFlight, id) })
	})
}

// UntrackedRequests returns the number of requests in flight that occupy slots without
// a holding.
func (t *Tracker) UntrackedRequests(worker string) int {
	count := 0
	t.ifTracked(worker, func(l *ledger) { count = len(l.untracked) })
	return count
}
