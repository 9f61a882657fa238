package capacity

import (
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

type holdingKey struct{ worker, id string }

type shard struct {
	mu      sync.Mutex
	ledgers map[string]*ledger
	teams   map[string]resource.Amount
	// expiring holds when each assumed, unconfirmed holding expires.
	expiring map[holdingKey]time.Time
}

func (s *shard) addTeam(team string, a resource.Amount) {
	sum := s.teams[team].Add(a)
	if sum.IsZero() {
		delete(s.teams, team)
		return
	}
	s.teams[team] = sum
}

// Tracker tracks the holdings and the free capacity of the owned workers. All methods
// are safe for concurrent use.
type Tracker struct {
	seed   maphash.Seed
	shards [shardCount]shard
	all    *index
	// generation starts at a random number and counts the workers added.
	generation atomic.Uint64
	// membership is held while a worker is added or removed.
	membership sync.Mutex

	mu        sync.RWMutex
	upstreams map[string]*index
}

var _ placement.Fleet = (*Tracker)(nil)

// NewTracker returns a Tracker without workers.
func NewTracker() *Tracker {
	t := &Tracker{
		seed:      maphash.MakeSeed(),
		all:       &index{position: func(l *ledger) *int { return &l.all }},
		upstreams: make(map[string]*index),
	}
	t.generation.Store(rand.Uint64())
	for i := range t.shards {
		s := &t.shards[i]
		s.ledgers = make(map[string]*ledger)
		s.teams = make(map[string]resource.Amount)
		s.expiring = make(map[holdingKey]time.Time)
	}
	return t
}

func (t *Tracker) shardOf(worker string) *shard {
	return &t.shards[maphash.String(t.seed, worker)%shardCount]
}

// with runs f under the lock of the worker's shard; l is nil if the worker is not
// tracked.
func (t *Tracker) with(worker string, f func(s *shard, l *ledger)) {
	s := t.shardOf(worker)
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s, s.ledgers[worker])
}

// AddWorker adds a worker, which is closed until Reconcile. A worker that is tracked
// under another epoch is replaced; under the same epoch nothing changes.
func (t *Tracker) AddWorker(w Worker) {
	t.membership.Lock()
	defer t.membership.Unlock()
	var added, replaced *ledger
	t.with(w.Name, func(s *shard, l *ledger) {
		if l != nil && l.worker.Epoch == w.Epoch {
			return
		}
		if l != nil {
			l.clear()
			replaced = l
		}
		added = newLedger(s, w)
		s.ledgers[w.Name] = added
	})
	if replaced != nil {
		t.unindex(replaced)
	}
	if added != nil {
		t.generation.Add(1)
		t.all.insert(added)
		t.upstream(w.Upstream).insert(added)
	}
}

// RemoveWorker removes a worker and returns its holdings.
func (t *Tracker) RemoveWorker(worker string) []Holding {
	t.membership.Lock()
	defer t.membership.Unlock()
	var closed *ledger
	var held []Holding
	t.with(worker, func(s *shard, l *ledger) {
		if l == nil {
			return
		}
		held = l.sorted()
		l.clear()
		l.adopted = false
		delete(s.ledgers, worker)
		closed = l
	})
	if closed != nil {
		t.unindex(closed)
	}
	return held
}

func (t *Tracker) unindex(l *ledger) {
	t.all.remove(l)
	t.upstream(l.worker.Upstream).remove(l)
}

// Reconcile opens a worker that was adopted at epoch, with the holdings that it
// reported. requestsInFlight are requests without a holding: they are untracked and
// occupy slots until a later report doesn't name them. It returns false if the worker
// is not tracked at that epoch.
func (t *Tracker) Reconcile(worker string, epoch uint64, holdings []Holding, requestsInFlight []string) bool {
	var ok bool
	t.with(worker, func(_ *shard, l *ledger) {
		if l == nil || l.worker.Epoch != epoch {
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
	t.with(worker, func(_ *shard, l *ledger) {
		if l == nil {
			return
		}
		maps.DeleteFunc(l.untracked, func(id string, _ struct{}) bool { return !slices.Contains(inFlight, id) })
	})
}

// UntrackedRequests returns the number of requests in flight that occupy slots without
// a holding.
func (t *Tracker) UntrackedRequests(worker string) int {
	count := 0
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			count = len(l.untracked)
		}
	})
	return count
}

// Assume occupies capacity for work about to be dispatched. Errors: *FullError,
// *ClosedError, *ExistsError.
func (t *Tracker) Assume(worker string, h Holding) error {
	var err error
	t.with(worker, func(_ *shard, l *ledger) { err = assume(worker, l, h) })
	return err
}

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

func (t *Tracker) confirm(worker, id string, now time.Time) bool {
	var ok bool
	t.with(worker, func(s *shard, l *ledger) {
		if l == nil {
			return
		}
		h, exists := l.holdings[id]
		if !exists || (!h.Until.IsZero() && now.After(h.Until)) {
			return
		}
		h.Until = time.Time{}
		l.holdings[id] = h
		delete(s.expiring, holdingKey{worker, id})
		ok = true
	})
	return ok
}

// Release removes a holding, which frees its capacity, and returns it.
func (t *Tracker) Release(worker, id string) (Holding, bool) {
	var h Holding
	var ok bool
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			h, ok = l.drop(id)
		}
	})
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

// SetLeaving sets whether the worker is listed as leaving. A leaving worker is closed.
func (t *Tracker) SetLeaving(worker string, leaving bool) {
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			l.leaving = leaving
		}
	})
}

// SetUnreachable sets whether the worker does not respond to its owner. An unreachable
// worker is closed.
func (t *Tracker) SetUnreachable(worker string, unreachable bool) {
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			l.unreachable = unreachable
		}
	})
}

// SetQuarantined sets whether the worker is quarantined because work fails on it. A
// quarantined worker is closed.
func (t *Tracker) SetQuarantined(worker string, quarantined bool) {
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			l.quarantined = quarantined
		}
	})
}

// Worker returns a tracked worker and whether it is open to new work.
func (t *Tracker) Worker(name string) (w Worker, open, ok bool) {
	t.with(name, func(_ *shard, l *ledger) {
		if l != nil {
			w, open, ok = l.worker, !l.closed(), true
		}
	})
	return w, open, ok
}

// Holdings returns the holdings of a worker, sorted by id.
func (t *Tracker) Holdings(worker string) []Holding {
	var held []Holding
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			held = l.sorted()
		}
	})
	return held
}
