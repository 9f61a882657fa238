package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// The capacity that a worker is expected to have free is kept until a run changes. Whatever was
// asked before, the answer must be the sum over the runs that are expected to end by then.
func TestExpectedFreeIsTheSumOverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		w := &Worker{WorkerInfo: WorkerInfo{Capacity: resource.Amount{MilliCPU: 32000}}, runs: make(map[RunKey]*Run)}
		for i := range rapid.IntRange(0, 6).Draw(t, "runs") {
			s := &step{spec: &StepSpec{Estimate: time.Duration(rapid.IntRange(1, 9).Draw(t, "estimate")) * time.Second}}
			r := &Run{RunKey: RunKey{Number: i}, task: &task{step: s}, worker: w, need: resource.Amount{MilliCPU: 1000 << i}}
			if rapid.Bool().Draw(t, "planned here") {
				r.plannedAt = start
			}
			w.attach(r)
		}
		for _, second := range rapid.SliceOfN(rapid.IntRange(0, 10), 1, 8).Draw(t, "asked") {
			at := start.Add(time.Duration(second) * time.Second)
			want := w.free()
			for _, r := range w.runList {
				if !r.endEstimate().After(at) {
					want = want.Add(r.need)
				}
			}
			assert.Equal(t, w.expectedFree(at), want)
		}
	})
}
