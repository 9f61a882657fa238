package cluster

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A scheduler that leaves must hand over to the right entry at the right time: too early or
// to the wrong one and the next handover follows at once, too late and it is killed.
func TestHandoverDecision(t *testing.T) {
	began := time.Unix(1000, 0)
	before, after := began.Add(-time.Minute), began.Add(time.Second)
	limits := LeaveLimits{Min: time.Second, Hold: 3 * time.Second, Final: 4 * time.Second}
	old := candidate{Member: Member{Name: "old", Cores: 0.8}, startedAt: before}
	fresh := candidate{Member: Member{Name: "fresh", Cores: 0.8}, startedAt: after}
	freshSmall := candidate{Member: Member{Name: "small", Cores: 0.2}, startedAt: after}
	unknown := candidate{Member: Member{Name: "unknown", Cores: 0.8}}
	leavingLarge := candidate{Member: Member{Name: "leaving", Cores: 0.8, Leaving: true}, leavingFor: time.Second}
	leavingLong := candidate{Member: Member{Name: "long", Cores: 0.8, Leaving: true}, leavingFor: 2 * time.Second}
	for _, c := range []struct {
		name        string
		held        time.Duration
		othersLeave bool
		staying     []candidate
		leaving     []candidate
		now         bool
		successor   string
	}{
		{"others may leave too", 900 * time.Millisecond, false, []candidate{old}, nil, false, ""},
		{"alone", time.Second, false, []candidate{old, freshSmall}, nil, true, "old"},
		{"others are to be restarted", 2 * time.Second, true, []candidate{old, unknown}, nil, false, ""},
		{"a large one is back", 2 * time.Second, true, []candidate{old, fresh}, nil, true, "fresh"},
		{"a small one is back", 2 * time.Second, true, []candidate{old, freshSmall}, nil, false, ""},
		{"no large one in time", 3 * time.Second, true, []candidate{old, freshSmall}, nil, true, "old"},
		{"small ones only", 3 * time.Second, true, []candidate{freshSmall}, nil, true, "small"},
		{"nobody stays", 3900 * time.Millisecond, true, nil, nil, false, ""},
		{"nobody stays until the end", 4 * time.Second, true, nil, nil, true, ""},
		{"no other entry", 2 * time.Second, false, nil, nil, false, ""},
		{"large ones that leave, too early", 2 * time.Second, true, []candidate{freshSmall}, []candidate{leavingLarge}, false, ""},
		{"a large one that leaves goes before a small one", 3 * time.Second, true, []candidate{freshSmall}, []candidate{leavingLarge}, true, "leaving"},
		{"a large one that stays goes first", 3 * time.Second, true, []candidate{old}, []candidate{leavingLarge}, true, "old"},
		{"too little time left", 3 * time.Second, true, []candidate{freshSmall}, []candidate{leavingLong}, true, "small"},
		{"only one that leaves", 3 * time.Second, true, nil, []candidate{leavingLarge}, true, "leaving"},
	} {
		s := leaveState{now: began.Add(c.held), since: began, cores: 0.8, limits: limits, othersLeave: c.othersLeave, staying: c.staying, leaving: c.leaving}
		got := s.decide()
		assert.Equal(t, got.now, c.now, c.name)
		if c.now {
			assert.Equal(t, got.successor, c.successor, c.name)
		}
	}
	s := leaveState{now: began, since: began, cores: 0.8, staying: []candidate{old}}
	assert.Assert(t, s.decide().now, "without limits at once")
}

// Whatever the state, a handover is within the limits, goes to an entry that stays, and
// once due remains due.
func TestHandoverDecisionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		began := time.Unix(1000, 0)
		s := leaveState{since: began, cores: rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "cores"), othersLeave: rapid.Bool().Draw(t, "othersLeave")}
		s.limits.Min = ms("min", 1000)
		s.limits.Hold = s.limits.Min + ms("hold", 3000)
		s.limits.Final = s.limits.Hold + ms("final", 1000)
		for i := range rapid.IntRange(0, 4).Draw(t, "staying") {
			s.staying = append(s.staying, candidate{
				Member:    Member{Name: fmt.Sprint(i), Cores: 0.8 / float64(i+1)},
				startedAt: began.Add(ms("started", 8000) - 4*time.Second),
			})
		}
		held := ms("held", 6000)
		s.now = began.Add(held)
		got := s.decide()
		if got.now && held < s.limits.Min {
			t.Fatalf("too early: %+v", got)
		}
		if !got.now && (held >= s.limits.Final || (held >= s.limits.Hold && len(s.staying) > 0)) {
			t.Fatalf("too late")
		}
		if got.now && (got.successor == "") != (len(s.staying) == 0) {
			t.Fatalf("successor %q of %d", got.successor, len(s.staying))
		}
		s.now = s.now.Add(ms("later", 2000))
		if later := s.decide(); got.now && (!later.now || later.successor != got.successor) {
			t.Fatalf("%+v, later %+v", got, later)
		}
	})
}

// Entries of random sizes are restarted in a random order and at random times, in one or
// two rounds. Each call must be answered, none with an unknown outcome, and soon.
func TestRandomRestarts(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			simulateFleet(t, 2+random.IntN(4), 4+random.IntN(16), func(w *fleet) {
				w.call(30 * time.Millisecond)
				for range 1 + random.IntN(2) {
					spread := time.Duration(random.IntN(8000)) * time.Millisecond
					var round sync.WaitGroup
					for i := range len(w.cores) {
						name := fmt.Sprintf("n%d", i)
						delay := time.Duration(random.Int64N(int64(spread) + 1))
						round.Go(func() {
							time.Sleep(delay)
							w.restart(name)
						})
					}
					round.Wait()
				}
				time.Sleep(2 * time.Second)
				w.checkServed()
			})
		})
	}
}
