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

// Book tracks the holdings and the free capacity of the owned workers. All methods are
// safe for concurrent use.
type Book struct {
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

var _ placement.Fleet = (*Book)(nil)

// NewBook returns a Tracker without workers.
func NewBook() *Book {
	b := &Book{
		seed:      maphash.MakeSeed(),
		all:       &index{position: func(l *ledger) *int { return &l.all }},
		upstreams: make(map[string]*index),
	}
	b.generation.Store(rand.Uint64())
	for i := range b.shards {
		s := &b.shards[i]
		s.ledgers = make(map[string]*ledger)
		s.teams = make(map[string]resource.Amount)
		s.expiring = make(map[holdingKey]time.Time)
	}
	return b
}

func (b *Book) shardOf(worker string) *shard {
	return &b.shards[maphash.String(b.seed, worker)%shardCount]
}

// with runs f under the lock of the worker's shard; l is nil if the worker is not
// tracked.
func (b *Book) with(worker string, f func(s *shard, l *ledger)) {
	s := b.shardOf(worker)
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s, s.ledgers[worker])
}

// Open adds a worker, which is closed until Reconcile. A worker that is tracked under
// another epoch is replaced; under the same epoch nothing changes.
func (b *Book) Open(w Worker) {
	b.membership.Lock()
	defer b.membership.Unlock()
	var entered, replaced *ledger
	b.with(w.Name, func(s *shard, l *ledger) {
		if l != nil && l.worker.Epoch == w.Epoch {
			return
		}
		if l != nil {
			l.clear()
			replaced = l
		}
		entered = newLedger(s, w)
		s.ledgers[w.Name] = entered
	})
	if replaced != nil {
		b.unindex(replaced)
	}
	if entered != nil {
		b.generation.Add(1)
		b.all.insert(entered)
		b.upstream(w.Upstream).insert(entered)
	}
}

// Close removes a worker and returns its holdings.
func (b *Book) Close(worker string) []Holding {
	b.membership.Lock()
	defer b.membership.Unlock()
	var closed *ledger
	var held []Holding
	b.with(worker, func(s *shard, l *ledger) {
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
		b.unindex(closed)
	}
	return held
}

func (b *Book) unindex(l *ledger) {
	b.all.remove(l)
	b.upstream(l.worker.Upstream).remove(l)
}

// Reconcile opens a worker that was adopted at epoch, with the holdings that it
// reported. requestsInFlight are requests without a holding: they are untracked and
// occupy slots until a later report doesn't name them. It returns false if the worker
// is not tracked at that epoch.
func (b *Book) Reconcile(worker string, epoch uint64, holdings []Holding, requestsInFlight []string) bool {
	var ok bool
	b.with(worker, func(_ *shard, l *ledger) {
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
func (b *Book) ReportRequests(worker string, inFlight []string) {
	b.with(worker, func(_ *shard, l *ledger) {
		if l == nil {
			return
		}
		maps.DeleteFunc(l.untracked, func(id string, _ struct{}) bool { return !slices.Contains(inFlight, id) })
	})
}

// Strays returns the number of requests in flight that occupy slots without a holding.
func (b *Book) Strays(worker string) int {
	count := 0
	b.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			count = len(l.untracked)
		}
	})
	return count
}

// Assume occupies capacity for work about to be dispatched. Errors: *FullError,
// *ClosedError, *ExistsError.
func (b *Book) Assume(worker string, h Holding) error {
	var err error
	b.with(worker, func(_ *shard, l *ledger) { err = assume(worker, l, h) })
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

// Add confirms an assumed holding: it no longer expires. It returns false if the
// holding is unknown; the work must not be dispatched then, as it has no capacity.
func (b *Book) Add(worker, id string) bool { return b.add(worker, id, time.Time{}) }

// AddUnexpired is Add for a holding that has not expired at now. It returns false if
// the holding has expired.
func (b *Book) AddUnexpired(worker, id string, now time.Time) bool { return b.add(worker, id, now) }

func (b *Book) add(worker, id string, now time.Time) bool {
	var ok bool
	b.with(worker, func(s *shard, l *ledger) {
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

// Forget removes a holding, which frees its capacity, and returns it.
func (b *Book) Forget(worker, id string) (Holding, bool) {
	var h Holding
	var ok bool
	b.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			h, ok = l.drop(id)
		}
	})
	return h, ok
}

// Expire removes the assumed holdings that have expired at now and returns them.
func (b *Book) Expire(now time.Time) []Held {
	var expired []Held
	for i := range b.shards {
		expired = b.shards[i].expire(now, expired)
	}
	return expired
}

func (s *shard) expire(now time.Time, expired []Held) []Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, until := range s.expiring {
		if now.Before(until) {
			continue
		}
		if h, ok := s.ledgers[key.worker].drop(key.id); ok {
			expired = append(expired, Held{Worker: key.worker, Holding: h})
		}
	}
	return expired
}

// SetLeaving sets whether the worker is listed as leaving. A leaving worker is closed.
func (b *Book) SetLeaving(worker string, leaving bool) {
	b.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			l.leaving = leaving
		}
	})
}

// SetSilent sets whether the worker does not respond to its owner. An unreachable
// worker is closed.
func (b *Book) SetSilent(worker string, unreachable bool) {
	b.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			l.unreachable = unreachable
		}
	})
}

// SetAside sets whether the worker is quarantined because work fails on it. A
// quarantined worker is closed.
func (b *Book) SetAside(worker string, quarantined bool) {
	b.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			l.quarantined = quarantined
		}
	})
}

// Worker returns a tracked worker and whether it is open to new work.
func (b *Book) Worker(name string) (w Worker, open, ok bool) {
	b.with(name, func(_ *shard, l *ledger) {
		if l != nil {
			w, open, ok = l.worker, !l.closed(), true
		}
	})
	return w, open, ok
}

// Holdings returns the holdings of a worker, sorted by id.
func (b *Book) Holdings(worker string) []Holding {
	var held []Holding
	b.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			held = l.sorted()
		}
	})
	return held
}
