package allotment

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// shardCount is the number of locks, over which the teams are spread.
const shardCount = 32

// idleAfter is the time without a refusal after which headroom is given up.
const idleAfter = 5 * time.Second

// baseDivisor sets the base share: all entries together keep each limit divided by it
// without demand, so that a first request starts at once and an entry that can't reach
// the table has a grant of every team.
const baseDivisor = 4

// omissions disables single mechanisms, for tests that show what each one is needed
// for. Production code uses the zero value.
type omissions struct {
	growFirst  bool // a larger grant is in force before it is confirmed
	shrinkLate bool // a smaller grant is in force only when it is confirmed
	scale      bool // grants aren't scaled under a lower limit
	dropEnded  bool // grants of ended incarnations are free at once
}

// Options configures a Ledger.
type Options struct {
	// Incarnation of this entry; unique to one run of the process.
	Incarnation string
	Table       platform.Table
	// Limits returns the limits of all teams, from the version in force.
	Limits func() []TeamLimit
	// Every (1 s) is the period of Run's steps. After a refusal of a team that uses
	// nothing at this entry, Run steps sooner, at most ten times per period.
	Every time.Duration
	// Entries returns how many entries share the limits. Each keeps a base share of
	// every limit while no other entry has unmet demand. 0 or a nil func means no base
	// share.
	Entries func() int
	// AfterStep is called after each of Run's steps. It may be nil.
	AfterStep func()
	// Ended reports whether an incarnation's lease is known to have ended. Nil means
	// never.
	Ended func(incarnation string) bool
	// FreeEndedAfter returns the time after which all work of an ended incarnation has
	// ended or been adopted, counted from when its end was first seen. The rest of
	// its grants is free then. Nil means never.
	FreeEndedAfter func() time.Duration
}

// Ledger holds this entry's grants and use of all teams. Create it with New.
type Ledger struct {
	Options
	omit   omissions
	seed   maphash.Seed
	shards [shardCount]shard
	// stepping admits one Step or Rejoin at a time; it protects Incarnation, endedAt
	// and sweptAt.
	stepping chan struct{}
	// endedAt is when an incarnation was first seen to have ended.
	endedAt map[string]time.Time
	sweptAt time.Time
	// wakeups makes Run step before its period is over.
	wakeups chan struct{}
	// tableUnavailable is set if Run's last step failed.
	tableUnavailable atomic.Bool
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*team
}

// New returns a Ledger without grants.
func New(o Options) *Ledger {
	if o.Every == 0 {
		o.Every = time.Second
	}
	if o.Ended == nil {
		o.Ended = func(string) bool { return false }
	}
	l := &Ledger{
		Options: o, seed: maphash.MakeSeed(), stepping: make(chan struct{}, 1),
		endedAt: make(map[string]time.Time), wakeups: make(chan struct{}, 1),
	}
	if l.Entries == nil {
		l.Entries = func() int { return 0 }
	}
	if l.AfterStep == nil {
		l.AfterStep = func() {}
	}
	for i := range l.shards {
		l.shards[i].teams = make(map[string]*team)
	}
	return l
}

// Rejoin continues under another incarnation after this entry has lost its lease. The
// grants of the old incarnation no longer count; what is in use stays counted until
// it is released.
func (l *Ledger) Rejoin(incarnation string) {
	l.stepping <- struct{}{}
	defer func() { <-l.stepping }()
	for _, name := range l.names() {
		l.with(name, func(t *team) {
			t.row, t.version, t.stale = row{}, 0, true
			t.candidates = []grant{{}}
			t.recompute(l.omit)
		})
	}
	l.Incarnation = incarnation
}

func (l *Ledger) shard(name string) *shard {
	return &l.shards[maphash.String(l.seed, name)%shardCount]
}

// with runs do on the team's state under its lock. It returns false if the team
// isn't known.
func (l *Ledger) with(name string, do func(*team)) bool {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[name]
	if t == nil {
		return false
	}
	do(t)
	return true
}

// TryAcquire counts a as used by the team if that is within this entry's allotment, and
// reports whether it is.
func (l *Ledger) TryAcquire(name string, a resource.Amount) bool {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[name]
	if t == nil || t.closed {
		return false
	}
	acquired := t.tryAcquire(a)
	if !acquired && t.used.IsZero() {
		l.wake()
	}
	return acquired
}

// wake makes Run step as soon as its minimum pause is over.
func (l *Ledger) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// ForceAcquire counts a as used even if it exceeds the allotment, for work that was
// found running. Until a grant covers it, nothing more can be acquired.
func (l *Ledger) ForceAcquire(name string, a resource.Amount) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.account(name)
	t.used = t.used.Add(a)
	t.peak = t.peak.Max(t.used)
	t.stale = true
}

// account returns the team's state, and creates it if the team is new. s.mu is held.
func (s *shard) account(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{stale: true, candidates: []grant{{}}}
		s.teams[name] = t
	}
	return t
}

// Release subtracts an amount that TryAcquire or ForceAcquire counted.
func (l *Ledger) Release(name string, a resource.Amount) {
	l.with(name, func(t *team) { t.used = t.used.Sub(a) })
}

// TableUnavailable reports whether Run's last step failed because of the table, so that
// allotments don't follow demand.
func (l *Ledger) TableUnavailable() bool { return l.tableUnavailable.Load() }

// Used returns what the team uses at this entry.
func (l *Ledger) Used(name string) resource.Amount {
	var used resource.Amount
	l.with(name, func(t *team) { used = t.used })
	return used
}

// Allotted returns the team's allotment at this entry.
func (l *Ledger) Allotted(name string) resource.Amount {
	var allotted resource.Amount
	l.with(name, func(t *team) { allotted = t.allotted })
	return allotted
}

// OverLimits returns the teams whose use at this entry exceeds their allotment,
// sorted by team.
func (l *Ledger) OverLimits() []OverLimit {
	var all []OverLimit
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, t := range s.teams {
			excess := t.used.Sub(t.allotted).Max(resource.Amount{})
			if !excess.IsZero() {
				all = append(all, OverLimit{Team: name, Excess: excess})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b OverLimit) int { return strings.Compare(a.Team, b.Team) })
	return all
}

// Refresh applies the limits of the version in force.
func (l *Ledger) Refresh() {
	known := make(map[string]bool)
	for _, limit := range l.Limits() {
		known[limit.Team] = true
		s := l.shard(limit.Team)
		s.mu.Lock()
		t := s.account(limit.Team)
		if t.limit != limit.Limit {
			t.limit = limit.Limit
			t.ceiling = limit.Limit
			t.recompute(l.omit)
		}
		s.mu.Unlock()
	}
	l.clearRemoved(known)
}

// clearRemoved sets the limits of teams that are no longer known to zero.
func (l *Ledger) clearRemoved(known map[string]bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, t := range s.teams {
			if !known[name] && !t.limit.IsZero() {
				t.limit = resource.Amount{}
				t.recompute(l.omit)
			}
		}
		s.mu.Unlock()
	}
}
