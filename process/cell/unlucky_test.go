package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// unluckyTime is how long workers crash by themselves, unluckyPause the longest time between two
	// crashes.
	unluckyTime  = 100 * time.Second
	unluckyPause = 4 * time.Second
	// crashedNoSooner is the age of the runs on a worker from which it may crash.
	crashedNoSooner = time.Second
	// unluckyCrashes is how many workers crash under a task at most.
	unluckyCrashes = 3
)

// A gang failed after two crashes under different members (review/8), and so did a task that was alone
// on its worker at two crashes. Here workers crash by themselves, every few seconds, long after the
// start of what runs there, up to three of them under the same task: none is given up, across takeovers.
func TestWorkersThatCrashByThemselvesConvictNoTask(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			queues, _ := fakeQueues()
			w := newSimulation(t, 100+seed, 10, 2, queues, nil)
			w.halfAllowed = true
			for i, s := range []StepSpec{
				{Count: 3, Need: resource.Amount{MilliCPU: 9000}, Gang: true, MaxPerWorker: 1, Estimate: 5 * time.Second},
				{Count: 4, Need: resource.Amount{MilliCPU: 12000}, Gang: true, Estimate: 20 * time.Second},
				{Count: 2, Need: resource.Amount{MilliCPU: 30000}, Estimate: 5 * time.Second},
				{Count: 1, Need: resource.Amount{MilliCPU: 20000}, Estimate: 60 * time.Second},
				{Count: 4, Need: resource.Amount{MilliCPU: 500}, Estimate: 30 * time.Second},
			} {
				j := &fakeJob{kind: "quote", spec: JobSpec{ID: fmt.Sprint("job", i), Queue: "quote", Team: "team", Upstream: "desk", Policy: queues[2].Policy, Steps: []StepSpec{s}}}
				j.times = [][]time.Duration{slices.Repeat([]time.Duration{s.Estimate}, s.Count)}
				w.after(time.Second, func() { w.submit(j) })
			}
			w.crashUnderRuns(rand.New(rand.NewPCG(seed, 23)))
			w.after(unluckyTime/4, w.takeover)
			w.run(2 * unluckyTime)
			w.checkOutcomes()
		})
	}
}

// crashUnderRuns crashes one worker after the other by no task's fault, each of them under runs that
// have gone on for a while.
func (w *simulation) crashUnderRuns(random *rand.Rand) {
	w.after(time.Duration(random.Int64N(int64(unluckyPause))), func() {
		if w.now.Sub(w.started) > unluckyTime {
			return
		}
		var mayCrash []string
		for _, id := range w.order {
			f := w.workers[id]
			spared := slices.ContainsFunc(f.sortedRuns(), func(r *fakeRun) bool {
				return w.now.Sub(r.startedAt) < crashedNoSooner || w.crashedWith[r.Task] >= unluckyCrashes
			})
			if f.up && len(f.running) > 0 && !spared {
				mayCrash = append(mayCrash, id)
			}
		}
		if len(mayCrash) > 0 {
			w.crashAndReplace(mayCrash[random.IntN(len(mayCrash))], 1500*time.Millisecond)
		}
		w.crashUnderRuns(random)
	})
}
