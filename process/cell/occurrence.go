package cell

import (
	"math/bits"
	"slices"
	"sort"
	"time"
)

// A repeated job may have any number of occurrences, and any number of them may be due. Only some are open,
// with all their tasks in memory; those that haven't begun are spans of indices, and those that are done
// are neither. What is due is opened as far as there is room (memory.go), those that can still be in time
// before those that are too late.

// span is the occurrences from one index to before another, none of which has begun. One that was recorded
// with progress, but without a run that may be live, has a span of its own.
type span struct {
	from, to int
	// recorded is the progress of the only occurrence; nil if it has none.
	recorded *occRow
}

// total returns the number of occurrences.
func (s *JobSpec) total() int { return max(1, s.Repeat) }

// addOccurrence adds an occurrence with all its tasks.
func (j *Job) addOccurrence(index int) *occurrence {
	o := &occurrence{job: j, index: index, due: j.dueOf(index)}
	for i := range j.Steps {
		s := &step{occ: o, index: i, spec: &j.Steps[i]}
		s.tasks = make([]*task, s.spec.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{step: s, index: n}
		}
		o.steps = append(o.steps, s)
	}
	at, _ := j.openAt(index)
	j.occurrences = slices.Insert(j.occurrences, at, o)
	j.remaining.known = false
	return o
}

// openAt returns the place of an occurrence among the open ones, and whether it is there.
func (j *Job) openAt(index int) (at int, open bool) {
	return slices.BinarySearchFunc(j.occurrences, index, func(o *occurrence, index int) int { return o.index - index })
}

// never is when an occurrence is due whose time can't be represented.
var never = time.Unix(1<<40, 0)

// dueOf returns when an occurrence is due.
func (j *Job) dueOf(index int) time.Time {
	if j.Repeat <= 0 {
		return j.FirstSeen
	}
	high, low := bits.Mul64(uint64(index), uint64(max(0, j.Interval)))
	if high >= uint64(time.Second) {
		return never
	}
	seconds, nanoseconds := bits.Div64(high, low, uint64(time.Second))
	if seconds >= uint64(never.Unix()) {
		return never
	}
	return time.Unix(j.FirstDue.Unix()+int64(seconds), int64(j.FirstDue.Nanosecond())+int64(nanoseconds))
}

// nextDue returns the occurrence to open next: the first one that can still be in time or, if there is
// none, the first one that is due.
func (j *Job) nextDue(now time.Time) (index int, inTime, ok bool) {
	if len(j.unopened) == 0 {
		return 0, false, false
	}
	if j.Repeat <= 0 {
		return 0, true, true
	}
	if j.dueOf(j.unopened[0].from).After(now) {
		return 0, false, false
	}
	due := sort.Search(j.Repeat, func(i int) bool { return j.dueOf(i).After(now) })
	useful := sort.Search(due, func(i int) bool { return !j.expiredAt(now, i) })
	for _, s := range j.unopened {
		if index = max(s.from, useful); index < min(s.to, due) {
			return index, true, true
		}
	}
	index = j.unopened[0].from
	return index, false, index < due
}

// expiredAt reports whether an occurrence of which nothing is done is too late to be of use.
func (j *Job) expiredAt(now time.Time, index int) bool {
	return !j.hasLongRunning() && now.Add(j.fullCriticalPath()).After(j.dueOf(index).Add(deadlineFactor*j.objective()))
}

// hasLongRunning reports whether the job has tasks that run until it is cancelled.
func (s *JobSpec) hasLongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(step StepSpec) bool { return step.LongRunning })
}

// open adds an occurrence that hasn't begun, or returns nil if it has.
func (c *Cell) open(job *Job, index int) *occurrence {
	i := slices.IndexFunc(job.unopened, func(s span) bool { return s.from <= index && index < s.to })
	if i < 0 {
		return nil
	}
	whole := job.unopened[i]
	var rest []span
	if whole.from < index {
		rest = append(rest, span{from: whole.from, to: index})
	}
	if index+1 < whole.to {
		rest = append(rest, span{from: index + 1, to: whole.to})
	}
	job.unopened = slices.Replace(job.unopened, i, i+1, rest...)
	o := job.addOccurrence(index)
	if whole.recorded != nil {
		c.loadSteps(o, whole.recorded.Steps)
	}
	return o
}

// closeDone drops the occurrences of a schedule of which all tasks are done and none may still run.
func (j *Job) closeDone() {
	if j.Repeat <= 1 {
		return
	}
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.complete() && !o.running() })
}

// complete reports whether every task of the occurrence is done.
func (o *occurrence) complete() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.done < len(s.tasks) })
}

// running reports whether a task of the occurrence may run.
func (o *occurrence) running() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool {
		return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current != nil })
	})
}

// find returns the task that ref names, or nil if its occurrence isn't open.
func (j *Job) find(ref taskRef) *task {
	at, open := j.openAt(ref.occ)
	if !open || ref.step >= len(j.Steps) {
		return nil
	}
	s := j.occurrences[at].steps[ref.step]
	if ref.index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.index]
}

// findRecorded is like find, and opens the task's occurrence if that was recorded with progress.
func (c *Cell) findRecorded(job *Job, ref taskRef) *task {
	if slices.ContainsFunc(job.unopened, func(s span) bool { return s.recorded != nil && s.from == ref.occ }) {
		c.open(job, ref.occ)
	}
	return job.find(ref)
}

// complete reports whether every task of the job is done.
func (j *Job) complete() bool {
	return len(j.unopened) == 0 && !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.complete() })
}
