package policytrial

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// workers returns n workers of 30 cores and 64 GB, 8 to a rack. Some of them, evenly
// spread, have 8 accelerators each.
func workers(n, accelerated int, slots, running int64, domains int) []placement.Candidate {
	list := make([]placement.Candidate, n)
	for i := range list {
		capacity := resource.Amount{Running: running, MilliCPU: 30_000, MemoryMB: 64_000, Slots: slots}
		if i*accelerated%n < accelerated {
			capacity.Accelerators = 8
		}
		list[i] = placement.Candidate{
			Worker: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/8), FailureDomain: fmt.Sprint("d", i/8%domains),
			Capacity: capacity, Free: capacity,
		}
	}
	return list
}

// userSetup is a trial of the size of one of the current users: 50 workers and 6 teams, two
// of them large.
func userSetup(load float64) Setup {
	s := Setup{
		Workers: workers(50, 0, 8, 64, 3), Load: load, Entries: 1, QueueLimit: 1000,
		Warmup: 10 * time.Second, Duration: 40 * time.Second, Seed: 1,
		Kinds: []Kind{
			{Name: "quote", Policy: version.PolicyRequest, Urgent: true, RunTime: 40 * time.Millisecond, Deadline: 2 * time.Second, Portion: 0.1, Amount: resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 2000, Slots: 1}},
			{Name: "check", Policy: version.PolicyRequest, RunTime: 100 * time.Millisecond, Deadline: 5 * time.Second, Portion: 0.8, Amount: resource.Amount{Running: 1, MilliCPU: 2000, MemoryMB: 4000, Slots: 1}},
			{Name: "roster", Policy: version.PolicyBatch, RunTime: 2 * time.Second, Portion: 0.1, Amount: resource.Amount{Running: 1, MilliCPU: 6000, MemoryMB: 8000, Slots: 1}},
		},
	}
	for i, weight := range []int64{8, 6, 2, 2, 1, 1} {
		s.Teams = append(s.Teams, Team{Team: queue.Team{Name: fmt.Sprint("t", i), Weight: weight}, Portion: float64(weight)})
	}
	return s
}

// designSetup is a trial of the size that the scheduler is designed for: 7900 workers and
// 180 teams.
func designSetup(load float64) Setup {
	s := Setup{
		Workers: workers(7900, 1375, 64, 64, 6), Load: load, Entries: 1, QueueLimit: 100_000, Backlog: 200,
		Warmup: 10 * time.Second, Duration: 30 * time.Second, Seed: 1,
		Kinds: []Kind{
			{Name: "urgent", Policy: version.PolicyBatch, Urgent: true, RunTime: 30 * time.Second, Portion: 0.05, Amount: resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 2200}},
			{Name: "batch", Policy: version.PolicyBatch, RunTime: 480 * time.Second, Portion: 0.75, Amount: resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 2200}},
			{Name: "large", Policy: version.PolicyBatch, RunTime: 480 * time.Second, Portion: 0.15, Amount: resource.Amount{Running: 1, MilliCPU: 2000, MemoryMB: 3000}},
			{Name: "training", Policy: version.PolicyAllAtOnce, RunTime: 480 * time.Second, Portion: 0.05, Amount: resource.Amount{Running: 1, MilliCPU: 2000, MemoryMB: 3000, Accelerators: 1}},
		},
	}
	if load > 1 {
		s.Backlog = 50_000
	}
	for i := range 180 {
		weight := int64(1 + i%5)
		s.Teams = append(s.Teams, Team{Team: queue.Team{Name: fmt.Sprint("t", i), Weight: weight}, Portion: float64(weight)})
	}
	return s
}

// spread divides the setup's workers, queue and backlog among entries that exchange usage.
func spread(s Setup, entries int, exchange time.Duration) Setup {
	s.Entries, s.Exchange = entries, exchange
	s.QueueLimit /= max(1, entries/2)
	s.Backlog /= entries
	return s
}

// after adds an event 10 s after the warm-up.
func after(s Setup, do func(*Trial)) Setup {
	s.Events = append(s.Events, Event{At: s.Warmup + 10*time.Second, Do: do})
	return s
}

// flooded makes the largest team submit ten times its usual work.
func flooded(s Setup) Setup {
	s.Events = append(s.Events, Event{Do: func(t *Trial) {
		others := 1 - t.Portions[0]/sum(t.Portions)
		t.Rate *= others + 10*(1-others)
		t.Portions[0] *= 10
	}})
	return s
}

func sum(parts []float64) float64 {
	var all float64
	for _, part := range parts {
		all += part
	}
	return all
}

func closeThird(t *Trial) {
	t.EachWorker(1.0/3, func(e *Entry, worker int) { e.scheduler.SetClosed(worker, true) })
}

func breakTwentieth(t *Trial) {
	t.EachWorker(0.05, func(e *Entry, worker int) { e.broken[worker] = true })
}

func wrongRunTimes(s Setup) Setup {
	s.RunTimeError = 4
	return s
}

// pinned sends all work of the last two teams to one entry.
func pinned(s Setup) Setup {
	for i := range s.Teams {
		s.Teams[i].OneEntry = i >= len(s.Teams)-2
	}
	return s
}

// Under overload, teams get their weighted share within 5% in every window of 10 s,
// urgent work waits less than its target, and goodput does not fall below that at load
// 1. This guards against entries that compute shares from stale usage, teams that reach
// only one entry, and wrong declared run times.
func TestTargets(t *testing.T) {
	const maxShortfall = 0.05
	full := run(userSetup(1))
	cases := []struct {
		name  string
		setup Setup
		// windows is the expected number of backlogged pairs of team and window, which
		// is all of them.
		windows int
		urgent  time.Duration
	}{
		{"user 1.5", userSetup(1.5), 24, 0},
		{"user 3", userSetup(3), 24, 0},
		{"user 1.5, 9 entries", spread(userSetup(1.5), 9, 500*time.Millisecond), 24, 0},
		{"user 3, 9 entries", spread(userSetup(3), 9, 500*time.Millisecond), 24, 0},
		{"user 1.5, 9 entries, small teams at one", pinned(spread(userSetup(1.5), 9, 500*time.Millisecond)), 24, 0},
		{"user 1.5, run times wrong", wrongRunTimes(userSetup(1.5)), 24, 0},
		{"design 1.5, 9 entries", spread(designSetup(1.5), 9, time.Second), 540, 1900 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := run(c.setup)
			t.Logf("%+v", r)
			assert.Equal(t, r.Windows, c.windows)
			assert.Assert(t, r.LargestShortfall <= maxShortfall, "largest shortfall %.3f", r.LargestShortfall)
			if c.urgent > 0 {
				assert.Assert(t, r.Waiting[0].P99 < c.urgent, "p99 wait of urgent work %s", r.Waiting[0].P99)
			} else {
				assert.Assert(t, r.Goodput >= full.Goodput, "goodput %.0f of %.0f at load 1", r.Goodput, full.Goodput)
			}
		})
	}
}

// When the largest team submits ten times its usual work, small teams are refused
// nothing. When 5% of the workers fail all work, they are quarantined before many items
// fail on them.
func TestFaults(t *testing.T) {
	r := run(flooded(userSetup(0.7)))
	assert.Assert(t, r.LargestShortfall <= 0.05)
	assert.Assert(t, r.SmallTeamsRefused == 0, "%d refused", r.SmallTeamsRefused)
	own, random := after(userSetup(0.7), breakTwentieth), after(userSetup(0.7), breakTwentieth)
	random.NewScheduler = newFirstCome
	failed, failedRandom := run(own).Failed, run(random).Failed
	// Each of the 3 broken workers may fail 8 of the 16 outcomes that count for its
	// health, and the work in its 8 slots at that time.
	assert.Assert(t, failed <= 3*(8+8), "%d failed, %d with random workers", failed, failedRandom)
	assert.Assert(t, failedRandom > 10*failed)
}

// BenchmarkTables prints a table for each setup that compares schedulers. Run it with
// -benchtime 1x.
func BenchmarkTables(b *testing.B) {
	schedulers := []struct {
		name string
		make func(SchedulerConfig) Scheduler
	}{{"own", newCurrent}, {"first version", newFirstVersion}, {"first come, random worker", newFirstCome}, {"round robin, least loaded", newRoundRobin}}
	cases := []struct {
		name  string
		setup Setup
	}{
		{"user 0.7", userSetup(0.7)},
		{"user 1.0", userSetup(1)},
		{"user 1.5", userSetup(1.5)},
		{"user 3.0", userSetup(3)},
		{"user 0.7, one team floods", flooded(userSetup(0.7))},
		{"user 1.5, run times off by up to 4", wrongRunTimes(userSetup(1.5))},
		{"user 0.7, 5% of workers fail", after(userSetup(0.7), breakTwentieth)},
		{"user 0.7, a third leaves", after(userSetup(0.7), closeThird)},
		{"user 1.5, 9 entries, 0.5 s", spread(userSetup(1.5), 9, 500*time.Millisecond)},
		{"user 3.0, 9 entries, 0.5 s", spread(userSetup(3), 9, 500*time.Millisecond)},
		{"user 1.5, 9 entries, 0.5 s, small teams at one", pinned(spread(userSetup(1.5), 9, 500*time.Millisecond))},
		{"user 1.5, 9 entries, 1 s", spread(userSetup(1.5), 9, time.Second)},
		{"user 3.0, 9 entries, 1 s", spread(userSetup(3), 9, time.Second)},
		{"design 0.7", designSetup(0.7)},
		{"design 1.0", designSetup(1)},
		{"design 1.5", designSetup(1.5)},
		{"design 3.0", designSetup(3)},
		{"design 1.5, 9 entries, 1 s", spread(designSetup(1.5), 9, time.Second)},
		{"design 3.0, 9 entries, 1 s", spread(designSetup(3), 9, time.Second)},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			fmt.Printf("\n### %s times capacity\n\n| policy | waiting p50/p99 by kind (started) | shortfall largest/mean (windows) | used | refused | small teams refused | failed | goodput/s |\n|---|---|---|---|---|---|---|---|\n", c.name)
			for _, s := range schedulers {
				b.Run(s.name, func(*testing.B) {
					c.setup.NewScheduler = s.make
					fmt.Printf("| %s | %s\n", s.name, run(c.setup).row())
				})
			}
		})
	}
}

// BenchmarkSeeds prints the largest shortfall for each of 8 seeds. Run it with
// -benchtime 1x.
func BenchmarkSeeds(b *testing.B) {
	for _, load := range []float64{1.5, 3} {
		for _, exchange := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
			s := userSetup(load)
			if exchange > 0 {
				s = spread(s, 9, exchange)
			}
			fmt.Printf("| %.1f | %d | %s |", load, max(1, s.Entries), exchange)
			for s.Seed = 1; s.Seed <= 8; s.Seed++ {
				fmt.Printf(" %.3f", run(s).LargestShortfall)
			}
			fmt.Println(" |")
		}
	}
}
