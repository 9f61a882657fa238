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

// shardCount is how many locks the teams are spread over.
const shardCount = 32

// idleAfter is how long after the last refusal headroom is given back.
const idleAfter = 5 * time.Second

// basePart is the part of each limit that all entries together keep without
// demand, so that a first request starts at once, and an entry that loses the table
// has something of every team.
const basePart = 4

// omissions leaves out mechanisms, for tests that show what each one is needed
// for. Product code uses the zero value.
type omissions struct {
	growFirst  bool // a larger grant is in force before it is confirmed
	shrinkLate bool // a smaller grant is in force only when it is confirmed
	scale      bool // grants aren't scaled under a lower limit
	dropEnded  bool // grants of ended incarnations are free at once
}

// Options are what a Ledger needs.
type Options struct {
	// Incarnation of this entry; unique to one life of the process.
	Incarnation string
	Table       platform.Table
	// Limits returns the limits of all teams, from the version in force.
	Limits func() []TeamLimit
	// Every (1 s) is the period of Run's steps. A refusal of a team that uses nothing
	// here makes Run step sooner, but not more often than ten times a period.
	Every time.Duration
	// Entries returns how many entries share the limits; nil stands for many. Each
	// keeps a small part of every limit while nobody else wants it.
	Entries func() int
	// Stepped is called after each of Run's steps; nil stands for nothing.
	Stepped func()
	// Ended reports whether an incarnation's right has surely ended. Nil stands
	// for never.
	Ended func(incarnation string) bool
	// SettleAfter is how long after it is seen to have ended an incarnation's
	// work has surely ended or been adopted; what is left of its grants is free
	// then. Nil stands for never.
	SettleAfter func() time.Duration
}

// Ledger is this entry's account of all teams. Create it with New.
type Ledger struct {
	Options
	omit   omissions
	seed   maphash.Seed
	shards [shardCount]shard
	// stepping admits one Step or Rejoin at a time; it guards the fields below.
	stepping chan struct{}
	// endedAt is when an incarnation was first seen to have ended.
	endedAt map[string]time.Time
	sweptAt time.Time
	// refused wakes Run.
	refused chan struct{}
	// stuck says that Run's last step failed.
	stuck atomic.Bool
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*team
}

// team is one team's account.
type team struct {
	limit resource.Amount
	demand
	refused time.Time
	ceiling resource.Amount
	// bound is what Take goes by: the least that any grant in candidates
	// allows, and the ceiling.
	bound resource.Amount
	held  resource.Amount
	// candidates are the confirmed grant and those of writes with unknown
	// outcome.
	candidates []grant
	// row is the row as last read or written; stale says to read it again.
	row     row
	version uint64
	stale   bool
	// closed says that nothing may be taken any more.
	closed bool
}

// New returns a Ledger that holds nothing.
func New(o Options) *Ledger {
	if o.Every == 0 {
		o.Every = time.Second
	}
	if o.Ended == nil {
		o.Ended = func(string) bool { return false }
	}
	l := &Ledger{
		Options: o, seed: maphash.MakeSeed(), stepping: make(chan struct{}, 1),
		endedAt: make(map[string]time.Time), refused: make(chan struct{}, 1),
	}
	if l.Entries == nil {
		l.Entries = func() int { return 0 }
	}
	if l.Stepped == nil {
		l.Stepped = func() {}
	}
	for i := range l.shards {
		l.shards[i].teams = make(map[string]*team)
	}
	return l
}

// Rejoin goes on under another incarnation, after this entry has lost its right:
// what it held is no longer its own. What it counts as used still is, until given
// back.
func (l *Ledger) Rejoin(incarnation string) {
	l.stepping <- struct{}{}
	defer func() { <-l.stepping }()
	for _, name := range l.names() {
		l.with(name, func(t *team) {
			t.row, t.version, t.stale = row{}, 0, true
			t.candidates = []grant{{}}
			t.settle(l.omit)
		})
	}
	l.Incarnation = incarnation
}

func (l *Ledger) shard(name string) *shard {
	return &l.shards[maphash.String(l.seed, name)%shardCount]
}

// with runs do on the team's account under its lock. It returns false if the
// team isn't known.
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

// Take counts a as used by the team if that is within this entry's allotment.
func (l *Ledger) Take(name string, a resource.Amount) bool {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.teams[name]
	if t == nil || t.closed {
		return false
	}
	taken := t.take(a)
	if !taken && t.used.IsZero() {
		l.wake()
	}
	return taken
}

// wake makes Run step soon.
func (l *Ledger) wake() {
	select {
	case l.refused <- struct{}{}:
	default:
	}
}

func (t *team) take(a resource.Amount) bool {
	used := t.used.Add(a)
	if exceeds(used, t.bound, a) {
		t.want = t.want.Add(a).Min(t.limit)
		t.refused = time.Now()
		return false
	}
	t.used = used
	t.peak = t.peak.Max(used)
	return true
}

// exceeds reports whether used is over bound in a dimension that a asks for.
func exceeds(used, bound, a resource.Amount) bool {
	u, b, ask := used.Vector(), bound.Vector(), a.Vector()
	for d := range u {
		if ask[d] > 0 && u[d] > b[d] {
			return true
		}
	}
	return false
}

// Force counts a as used although it may exceed the allotment: work that was found
// running. Until a grant covers it, nothing more can be taken.
func (l *Ledger) Force(name string, a resource.Amount) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.known(name)
	t.used = t.used.Add(a)
	t.peak = t.peak.Max(t.used)
	t.stale = true
}

// known returns the team's account, made if it is new; s.mu is held.
func (s *shard) known(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{stale: true, candidates: []grant{{}}}
		s.teams[name] = t
	}
	return t
}

// Give returns what Take or Force counted.
func (l *Ledger) Give(name string, a resource.Amount) {
	l.with(name, func(t *team) { t.used = t.used.Sub(a) })
}

// Stuck reports whether allotments can't follow demand now, since the table can't
// be reached.
func (l *Ledger) Stuck() bool { return l.stuck.Load() }

// Used returns what the team uses at this entry.
func (l *Ledger) Used(name string) resource.Amount {
	var used resource.Amount
	l.with(name, func(t *team) { used = t.used })
	return used
}

// Held returns the team's allotment at this entry.
func (l *Ledger) Held(name string) resource.Amount {
	var held resource.Amount
	l.with(name, func(t *team) { held = t.held })
	return held
}

// Over returns the teams whose use at this entry exceeds their allotment,
// sorted by team.
func (l *Ledger) Over() []OverLimit {
	var all []OverLimit
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, t := range s.teams {
			excess := t.used.Sub(t.held).Max(resource.Amount{})
			if !excess.IsZero() {
				all = append(all, OverLimit{Team: name, Excess: excess})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b OverLimit) int { return strings.Compare(a.Team, b.Team) })
	return all
}

// Refresh puts the limits of the version in force into effect.
func (l *Ledger) Refresh() {
	known := make(map[string]bool)
	for _, limit := range l.Limits() {
		known[limit.Team] = true
		s := l.shard(limit.Team)
		s.mu.Lock()
		t := s.known(limit.Team)
		if t.limit != limit.Limit {
			t.limit = limit.Limit
			t.ceiling = limit.Limit
			t.settle(l.omit)
		}
		s.mu.Unlock()
	}
	l.withdraw(known)
}

// withdraw sets the limit of teams that are no more to nothing.
func (l *Ledger) withdraw(known map[string]bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name, t := range s.teams {
			if !known[name] && !t.limit.IsZero() {
				t.limit = resource.Amount{}
				t.settle(l.omit)
			}
		}
		s.mu.Unlock()
	}
}

// settle works out what the team may use from the candidates and the limit.
func (t *team) settle(omit omissions) {
	from := t.candidates
	if omit.growFirst {
		from = from[len(from)-1:]
	}
	if omit.shrinkLate {
		from = from[:1]
	}
	t.held = grantAt(from[0], t.limit, omit)
	for _, g := range from[1:] {
		t.held = t.held.Min(grantAt(g, t.limit, omit))
	}
	t.bound = t.held.Min(t.ceiling)
}

func grantAt(g grant, limit resource.Amount, omit omissions) resource.Amount {
	if omit.scale {
		return g.Amount
	}
	return g.at(limit)
}
