package capacity

import "time"

// holdingKey identifies a holding among those of all workers.
type holdingKey struct{ worker, id string }

// Assume occupies capacity for work about to be dispatched. Errors: *FullError,
// *ClosedError, *ExistsError.
func (t *Tracker) Assume(worker string, h Holding) error {
	var err error
	t.with(worker, func(_ *shard, l *ledger) { err = assume(worker, l, h) })
	return err
}

// assume adds the holding to the ledger of the worker, which is nil if the worker isn't
// tracked.
func assume(worker string, l *ledger, h Holding) error {
	if l == nil || l.closed() {
		return &ClosedError{Worker: worker}
	}
	if _, exists := l.holdings[h.ID]; exists {
		return &ExistsError{Worker: worker, ID: h.ID}
	}
	if dimension, ok := l.fits(h); !ok {
		return &FullError{Worker: worker, Dimension: dimension}
	}
	l.put(h)
	return nil
}

// Confirm confirms an assumed holding: it no longer expires. It returns false if the
// holding is unknown; the work must not be dispatched then, as no capacity is kept for it.
func (t *Tracker) Confirm(worker, id string) bool { return t.confirm(worker, id, time.Time{}) }

// ConfirmUnexpired is Confirm for a holding that has not expired at now. It returns
// false if the holding has expired.
func (t *Tracker) ConfirmUnexpired(worker, id string, now time.Time) bool {
	return t.confirm(worker, id, now)
}

// confirm confirms a holding unless it has expired at now; a zero now is before every time.
func (t *Tracker) confirm(worker, id string, now time.Time) bool {
	var ok bool
	t.ifTracked(worker, func(l *ledger) {
		h, exists := l.holdings[id]
		if !exists || (!h.Until.IsZero() && now.After(h.Until)) {
			return
		}
		h.Until = time.Time{}
		l.holdings[id] = h
		delete(l.shard.expiring, holdingKey{worker, id})
		ok = true
	})
	return ok
}

// Release removes a holding, which frees its capacity, and returns it.
func (t *Tracker) Release(worker, id string) (Holding, bool) {
	var h Holding
	var ok bool
	t.ifTracked(worker, func(l *ledger) { h, ok = l.drop(id) })
	return h, ok
}

// Expire removes the assumed holdings that have expired at now and returns them.
func (t *Tracker) Expire(now time.Time) []WorkerHolding {
	var expired []WorkerHolding
	for i := range t.shards {
		expired = t.shards[i].expire(now, expired)
	}
	return expired
}

// expire is Expire for one shard. It appends to expired.
func (s *shard) expire(now time.Time, expired []WorkerHolding) []WorkerHolding {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, until := range s.expiring {
		if now.Before(until) {
			continue
		}
		if h, ok := s.ledgers[key.worker].drop(key.id); ok {
			expired = append(expired, WorkerHolding{Worker: key.worker, Holding: h})
		}
	}
	return expired
}

// Holdings returns the holdings of a worker, sorted by id.
func (t *Tracker) Holdings(worker string) []Holding {
	var held []Holding
	t.ifTracked(worker, func(l *ledger) { held = l.sorted() })
	return held
}
