package capacity

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// shard holds a part of the workers.
type shard struct {
	mu sync.Mutex
	// ledgers holds the workers, by name.
	ledgers map[string]*ledger
	// teams holds what each team has on these workers.
	teams map[string]resource.Amount
	// expiring holds when each assumed, unconfirmed holding expires.
	expiring map[holdingKey]time.Time
}

// addTeam adds an amount, which may be negative, to what the team has here.
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

// ifTracked runs f under the lock of the worker's shard if the worker is tracked.
func (t *Tracker) ifTracked(worker string, f func(l *ledger)) {
	t.with(worker, func(_ *shard, l *ledger) {
		if l != nil {
			f(l)
		}
	})
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

// unindex removes the worker from the indexes.
func (t *Tracker) unindex(l *ledger) {
	t.all.remove(l)
	t.upstream(l.worker.Upstream).remove(l)
}
