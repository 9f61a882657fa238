package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func fleet(n int) (Wave, map[string]Machine) {
	w := Wave{Number: 1, Within: 20 * time.Second, MaxDown: 2}
	machines := make(map[string]Machine)
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		w.Machines = append(w.Machines, name)
		machines[name] = Machine{Name: name, Worker: "w" + name, Up: true, Runs: i}
	}
	return w, machines
}

// The machines with the fewest runs must be cordoned first, within the limit, and taken
// down only when empty.
func TestEmptiestFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	w, machines := fleet(4)
	p := NewProgress(now, nil)
	s := Next(now, w, machines, p)
	assert.DeepEqual(t, s.Cordon, []string{"m0", "m1"})
	assert.DeepEqual(t, s.Begin, []string{"m0"})
	p.BegunAt["m0"], p.Done["m0"] = now, true
	s = Next(now.Add(100*time.Millisecond), w, machines, p)
	// The list lags and still shows m0 as up.
	assert.DeepEqual(t, s.Cordon, []string{"m1"})
}

// Runs that would make the wave late are ended, but a machine with tasks that must not be
// interrupted is not taken down.
func TestRunsEndAtDrainTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	w, machines := fleet(2)
	machines["m0"] = Machine{Name: "m0", Up: true, Runs: 3}
	machines["m1"] = Machine{Name: "m1", Up: true, Runs: 3, Needed: true}
	p := NewProgress(now, nil)
	assert.Equal(t, len(Next(now, w, machines, p).Begin), 0)
	late := now.Add(drainTimeout(w) + time.Second)
	assert.DeepEqual(t, Next(late, w, machines, p).Begin, []string{"m0"})
}

// A wave completes once maintenance has begun on every machine that still exists.
func TestWaveCompletes(t *testing.T) {
	now := time.Unix(1000, 0)
	w, machines := fleet(3)
	delete(machines, "m2")
	assert.Assert(t, !Next(now, w, machines, NewProgress(now, []string{"m0"})).Completed)
	assert.Assert(t, Next(now, w, machines, NewProgress(now, []string{"m0", "m1"})).Completed)
}

// With random runs and a lagging list, no more machines than allowed may be down, no
// needed machine may be taken down, and every wave must complete.
func TestNeverMoreDownThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w, machines := fleet(rapid.IntRange(1, 12).Draw(t, "machines"))
		w.MaxDown = rapid.IntRange(1, 4).Draw(t, "most")
		p := NewProgress(now, nil)
		back := make(map[string]time.Time)
		for range 2000 {
			now = now.Add(200 * time.Millisecond)
			for name, m := range machines {
				m.Down = now.Before(back[name]) && now.Sub(p.BegunAt[name]) > 300*time.Millisecond
				m.Up = !now.Before(back[name])
				m.Runs = rapid.IntRange(0, 2).Draw(t, "runs")
				m.Needed = rapid.IntRange(0, 9).Draw(t, "needed") == 0
				machines[name] = m
			}
			s := Next(now, w, machines, p)
			for _, name := range s.Begin {
				assert.Assert(t, !machines[name].Needed)
				p.Done[name], p.BegunAt[name] = true, now
				back[name] = now.Add(2 * time.Second)
			}
			down := 0
			for _, at := range back {
				if now.Before(at) {
					down++
				}
			}
			assert.Assert(t, down <= w.MaxDown, "%d down of %d", down, w.MaxDown)
			if s.Completed {
				return
			}
		}
		t.Fatal("the wave has not completed after 2000 steps")
	})
}
