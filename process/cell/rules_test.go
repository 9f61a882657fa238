package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// checkStart holds a start to the rules.
func (w *simulation) checkStart(job *fakeJob, ref taskRef, o StartOrder, f *fakeWorker) {
	var used resource.Amount
	for _, r := range f.running {
		used = used.Add(r.need)
	}
	if !used.Fits(f.capacity) {
		w.violate("LIMIT %s by %s", f.id, o.Task)
	}
	w.runningTasks[o.Task]++
	if w.runningTasks[o.Task] > 1 {
		w.violate("TWICE %s run %d on %s", o.Task, o.Number, f.id)
	}
	if w.doneAcked[o.Task] {
		w.violate("TWICE %s run %d after its end", o.Task, o.Number)
	}
	if most := job.spec.Policy.MaxAttempts; len(w.failedAcked[w.attemptKey(job, ref, o.Task)]) >= most {
		w.violate("BUDGET %s run %d", o.Task, o.Number)
	}
	if !job.cancelled.IsZero() && w.now.Sub(job.cancelled) > 3*time.Second {
		w.violate("UNASKED %s after its cancelling", o.Task)
	}
	if f.draining && w.now.Sub(f.drainingSince) > 2*time.Second {
		w.violate("DRAIN %s on %s", o.Task, f.id)
	}
	for _, before := range job.spec.Steps[ref.step].After {
		for i := range job.spec.Steps[before].Count {
			if !w.doneEver[fmt.Sprintf("%s.%d.%d.%d", ref.job, ref.occ, before, i)] {
				w.violate("ORDER %s before step %d", o.Task, before)
				return
			}
		}
	}
}

// attemptKey is what attempts are counted for: a task, or a whole gang.
func (w *simulation) attemptKey(job *fakeJob, ref taskRef, task string) string {
	if job.spec.Steps[ref.step].Gang {
		return task[:strings.LastIndex(task, ".")]
	}
	return task
}

// acknowledge forgets ends up to number and notes what was acknowledged.
func (w *simulation) acknowledge(f *fakeWorker, number int64) {
	for _, e := range f.ends {
		if e.Seq > number {
			continue
		}
		ref, _ := parseTask(e.Task)
		job := w.jobs[ref.job]
		switch e.Kind {
		case EndDone:
			w.noteDone(job, ref, e.Task)
		case EndFailed:
			key := w.attemptKey(job, ref, e.Task)
			if w.failedAcked[key] == nil {
				w.failedAcked[key] = make(map[int]bool)
			}
			w.failedAcked[key][e.Number] = true
		}
	}
	f.ends = slices.DeleteFunc(f.ends, func(e End) bool { return e.Seq <= number })
}

// noteDone notes an acknowledged success; that of one member stands for its gang.
func (w *simulation) noteDone(job *fakeJob, ref taskRef, task string) {
	w.doneAcked[task] = true
	step := job.spec.Steps[ref.step]
	if !step.Gang {
		return
	}
	for i := range step.Count {
		w.doneAcked[fmt.Sprintf("%s.%d.%d.%d", ref.job, ref.occ, ref.step, i)] = true
	}
}
