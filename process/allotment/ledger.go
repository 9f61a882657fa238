package allotment

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// shardCount is how many locks the teams are spread over.
const shardCount = 32

// idleAfter is how long after the last refusal headroom is given back.
const idleAfter = 5 * time.Second

// omissions leaves out mechanisms, for tests that show what each one is needed
// for. Product code uses the zero value.
type omissions struct {
	growFirst  bool // a larger grant is in force before it is confirmed
	shrinkLate bool // a smaller grant is in force only when it is confirmed
	scale      bool // grants aren't scaled under a lower limit
}

// Options are what a Ledger needs.
type Options struct {
	// Incarnation of this entry; unique to one life of the process.
	Incarnation string
	Table       platform.Table
	// Limits returns the limits of all teams, from the version in force.
	Limits func() []TeamLimit
	// Every (1 s) is the period of Run's steps.
	Every time.Duration
}

// Ledger is this entry's account of all teams. Create it with New.
type Ledger struct {
	Options
	omit   omissions
	seed   maphash.Seed
	shards [shardCount]shard
	// stepping admits one Step or Rejoin at a time.
	stepping chan struct{}
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
	// folds are dead incarnations whose grants are to be inherited.
	folds []string
	// closed says that nothing may be taken any more.
	closed bool
}

// New returns a Ledger that holds nothing.
func New(o Options) *Ledger {
	if o.Every == 0 {
		o.Every = time.Second
	}
	l := &Ledger{Options: o, seed: maphash.MakeSeed(), stepping: make(chan struct{}, 1)}
	for i := range l.shards {
		l.shards[i].teams = make(map[string]*team)
	}
	return l
}

// Rejoin starts anew under another incarnation, after this entry has lost its
// right: what it held and counted is another's now.
func (l *Ledger) Rejoin(incarnation string) {
	l.stepping <- struct{}{}
	defer func() { <-l.stepping }()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.teams = make(map[string]*team)
		s.mu.Unlock()
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
	return t != nil && !t.closed && t.take(a)
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

// Give returns what Take counted. Don't give what was taken before a Rejoin.
func (l *Ledger) Give(name string, a resource.Amount) {
	l.with(name, func(t *team) { t.used = t.used.Sub(a) })
}

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
		t := s.teams[limit.Team]
		if t == nil {
			t = &team{stale: true, candidates: []grant{{}}}
			s.teams[limit.Team] = t
		}
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
