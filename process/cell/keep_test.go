package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Accepted work beyond its team's share, or past its time, waited for good beside work that could not be
// placed whole, on a fleet with much capacity free (review/9): capacity was kept for tasks that can't
// use it. Of eight workers with 32 cores, two have the label.
func TestCapacityIsKeptOnlyForWorkThatCanUseItSoon(t *testing.T) {
	const core = 1000
	lasting := func(count, perWorker int, cores int64, label string) StepSpec {
		return StepSpec{Count: count, Need: resource.Amount{MilliCPU: cores * core}, MaxPerWorker: perWorker, RequiredLabel: label, LongRunning: true, Estimate: time.Second}
	}
	finite := func(count int, cores int64, label string, estimate time.Duration) StepSpec {
		return StepSpec{Count: count, Need: resource.Amount{MilliCPU: cores * core}, RequiredLabel: label, Estimate: estimate}
	}
	gang := finite(8, 20, "", time.Minute)
	gang.Gang, gang.MaxPerWorker = true, 1
	for _, test := range []struct {
		name          string
		runs, waiting StepSpec
		kept          bool
	}{
		{"a limit per worker", lasting(1, 0, 1, ""), lasting(24, 1, 13, ""), false},
		{"a label", lasting(1, 0, 1, ""), lasting(16, 0, 20, "big"), false},
		{"too large beside what lasts", lasting(8, 1, 13, ""), lasting(8, 1, 20, ""), false},
		{"too large beside what ends late", finite(8, 17, "", time.Minute), finite(16, 20, "", time.Minute), false},
		{"a label, beside what ends late", finite(2, 32, "big", time.Minute), finite(16, 20, "big", time.Minute), false},
		{"a gang, beside what ends late", finite(8, 17, "", time.Minute), gang, false},
		{"a quota", lasting(1, 0, 1, ""), finite(16, 32, "", time.Minute), false},
		{"capacity that comes free soon", finite(2, 17, "big", time.Second), finite(16, 20, "big", time.Minute), true},
	} {
		for _, expired := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, expired %v", test.name, expired), func(t *testing.T) {
				now := time.Unix(1_700_000_000, 0)
				quota := resource.Amount{}
				if test.name == "a quota" {
					quota.MilliCPU = 100 * core
				}
				teams := []*catalog.Team{{Name: "team", Cap: quota}, {Name: "other"}}
				c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, teams, nil, catalog.Limits{}))
				c.SetWorkers(now, labelledWorkers(8, 2, 32*core))
				for _, w := range c.workerOrder {
					c.Listed(now, w.ID, Listing{SentAt: now, Incarnation: 1})
				}
				plan := func() {
					c.Plan(now)
					record(t, c, now)
					for _, start := range c.TakeActions().Starts {
						c.StartAnswered(now, start.Worker, start.RunKey, StartOK)
					}
				}
				submit := func(id, team string, s StepSpec) *Job {
					spec := JobSpec{ID: id, Team: team, Upstream: "desk", Policy: catalog.Policy{Stretch: 5, Target: time.Minute}, Steps: []StepSpec{s}}
					assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
					return c.jobs[id]
				}
				submit("runs", "team", test.runs)
				plan()
				submit("waiting", "team", test.waiting)
				plan()
				beyond := submit("beyond", "other", finite(8, 4, "", time.Second))
				beyond.OverShare = !expired
				if expired {
					beyond.Policy.Target, beyond.Policy.Stretch, beyond.occurrences[0].due = 0, 0, now.Add(-time.Minute)
				}
				plan()
				for _, one := range beyond.occurrences[0].steps[0].tasks {
					assert.Assert(t, one.current != nil, "a task isn't placed")
					assert.Assert(t, !test.kept || len(one.current.worker.Labels) == 0, "a task takes what is kept")
				}
			})
		}
	}
}

// labelledWorkers returns a directory of which the first workers have the label "big".
func labelledWorkers(n, labelled int, milliCPU int64) []WorkerInfo {
	var list []WorkerInfo
	for i := range n {
		info := WorkerInfo{ID: fmt.Sprint("w", i), Upstream: "desk", Rack: "r", Capacity: resource.Amount{MilliCPU: milliCPU}, Incarnation: 1}
		if i < labelled {
			info.Labels = []string{"big"}
		}
		list = append(list, info)
	}
	return list
}

// Idle workers were reserved for a gang until it ran, although the others that it needs were busy for
// long: work that fits nowhere else, and ends before, waited as long beside idle workers.
func TestWorkersReservedForAGangThatWaitsTakeShortTasks(t *testing.T) {
	for _, test := range []struct {
		estimate time.Duration
		placed   bool
	}{{30 * time.Second, true}, {2 * time.Hour, false}} {
		w := newWaitWorld(t)
		w.submit("busy", "team", StepSpec{Count: 2, Need: resource.Amount{MilliCPU: 5000}, MaxPerWorker: 1, Estimate: time.Hour})
		w.confirm(w.plan())
		w.submit("gang", "team", StepSpec{Count: waitWorkers, Need: resource.Amount{MilliCPU: 6000}, MaxPerWorker: 1, Gang: true, Estimate: time.Minute})
		w.plan()
		w.submit("beside", "team", StepSpec{Count: 1, Need: resource.Amount{MilliCPU: 6000}, Estimate: test.estimate})
		w.plan()
		assert.Equal(t, firstStep(w.c.jobs["beside"]).tasks[0].current != nil, test.placed, "%s", test.estimate)
	}
}
