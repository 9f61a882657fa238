package cell

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Bounds of admission.
const (
	// maxLiveJobs bounds the jobs that may wait and run.
	maxLiveJobs = 20000
	// lateFactor times its objective is how long a job is of use.
	lateFactor = 3
	// maxTasksPerJob bounds the tasks of one time of a job.
	maxTasksPerJob = 5000
	// minRetryAfter and maxRetryAfter bound the time a client is told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// bucketDepth is how many seconds of its weight a team may send at once.
	bucketDepth = 2.0
)

// Verdict is the answer to a job handed in.
type Verdict int

// The verdicts.
const (
	// Known jobs were accepted before.
	Known Verdict = iota
	// Recording jobs are accepted once they are recorded; the waiter will be told.
	Recording
	// Refused jobs were not accepted and never run.
	Refused
	// Unavailable jobs were not accepted since nothing can be recorded now.
	Unavailable
	// Invalid jobs can't be read; the reason names the field.
	Invalid
)

// tableUnavailable is the reason of refusals while nothing can be recorded.
const tableUnavailable = "table unavailable"

// maxUnaccepted bounds the jobs whose acceptance waits to be written while the
// table is slow: about as many as it takes within a second.
const maxUnaccepted = 100

// unaccepted counts the jobs whose acceptance isn't written.
func (c *Cell) unaccepted() int {
	n := 0
	for _, job := range c.live {
		if !job.accepted {
			n++
		}
	}
	return n
}

// Admission is a verdict with its reason.
type Admission struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration
}

// bucket counts what a team hands in against its weight: a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// take uses up one token and reports whether there was one.
func (b *bucket) take(now time.Time, rate float64) bool {
	depth := max(1, rate*bucketDepth)
	b.tokens = min(depth, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Check returns what is wrong with a job, naming the field.
func (s *JobSpec) Check() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("steps: a job needs at least one")
	}
	tasks := 0
	for i, st := range s.Steps {
		if st.Count < 1 {
			return fmt.Errorf("steps[%d].count: %d is below 1", i, st.Count)
		}
		if st.Need.MilliCPU < 0 || st.Need.MemoryMB < 0 || st.Need.Accelerators < 0 {
			return fmt.Errorf("steps[%d]: a need is negative", i)
		}
		for _, before := range st.After {
			if before < 0 || before >= i {
				return fmt.Errorf("steps[%d].after: %d is no earlier step", i, before)
			}
		}
		tasks += st.Count
	}
	if tasks > maxTasksPerJob {
		return fmt.Errorf("steps: %d tasks are more than %d", tasks, maxTasksPerJob)
	}
	return nil
}

// Submit decides on a job. The waiter is told only if the verdict is Recording.
func (c *Cell) Submit(now time.Time, spec JobSpec, wait Waiter) Admission {
	if job := c.jobs[spec.ID]; job != nil {
		if job.Queue != spec.Queue || job.Team != spec.Team {
			return Admission{Verdict: Invalid, Reason: fmt.Sprintf("id: %s names a job of another team or queue", spec.ID)}
		}
		if job.accepted {
			return Admission{Verdict: Known}
		}
		job.addWaiter(c, wait)
		return Admission{Verdict: Recording}
	}
	if err := spec.Check(); err != nil {
		return Admission{Verdict: Invalid, Reason: err.Error()}
	}
	if c.troubled > 0 || (c.slowTable && c.unaccepted() >= maxUnaccepted) {
		wait := OutageWait(c.troubled)
		c.note(Note{Kind: NoteJobRefused, Job: spec.ID, Team: spec.Team, Reason: tableUnavailable, Wait: wait})
		return Admission{Verdict: Unavailable, Reason: tableUnavailable, RetryAfter: wait}
	}
	first := c.refused.recall(now, spec.ID)
	if first.at.IsZero() {
		first = firstTry{at: now, surplus: c.isSurplus(now, spec.Team)}
	}
	spec.FirstSeen, spec.Surplus = first.at, first.surplus
	job := newJob(spec)
	job.arrived = now
	if reason, after := c.refusal(now, job); reason != "" {
		c.refused.remember(now, spec.ID, first)
		c.note(Note{Kind: NoteJobRefused, Job: spec.ID, Team: spec.Team, Reason: reason, Wait: after})
		return Admission{Verdict: Refused, Reason: reason, RetryAfter: after}
	}
	c.jobs[spec.ID] = job
	c.live = append(c.live, job)
	c.touch(job)
	job.addWaiter(c, wait)
	return Admission{Verdict: Recording}
}

// addWaiter lets wait hear of the next record of the job; one on its way holds
// the acceptance, so a waiter for that joins it.
func (j *Job) addWaiter(c *Cell, wait Waiter) {
	if j.inFlight && !j.dirty {
		for _, b := range c.batches {
			for _, e := range b.jobs {
				if e.job == j {
					e.waiters = append(e.waiters, wait)
					return
				}
			}
		}
	}
	j.waiters = append(j.waiters, wait)
}

func (c *Cell) isSurplus(now time.Time, team string) bool {
	t := c.catalog.Team(team)
	if t == nil || t.Weight <= 0 {
		return false
	}
	b := c.teams[team]
	if b == nil {
		b = &bucket{tokens: t.Weight * bucketDepth, at: now}
		c.teams[team] = b
	}
	return !b.take(now, t.Weight)
}

// refusal says why a job can't be served, and when to come back; empty if it can.
func (c *Cell) refusal(now time.Time, job *Job) (string, time.Duration) {
	if len(c.live) >= maxLiveJobs {
		return "too many jobs", maxRetryAfter
	}
	if step, ok := c.unplaceableStep(job); !ok {
		return fmt.Sprintf("step %d fits no worker", step), maxRetryAfter
	}
	if job.Repeat > 0 {
		return "", 0
	}
	wait, useful := c.expectedWait(now, job), lateFactor*job.objective()
	if job.Surplus {
		wait, useful = c.surplusWait(now, job.Queue), job.objective()
	}
	if over := now.Sub(job.FirstSeen) + wait + job.fullChain() - useful; over > 0 {
		return "can't be done in time", retryAfter(min(over, max(wait, minRetryAfter)))
	}
	return "", 0
}

// retryAfter rounds a wait up to whole seconds within bounds.
func retryAfter(wait time.Duration) time.Duration {
	whole := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(whole, minRetryAfter), maxRetryAfter)
}

// unplaceableStep returns the first step for which there is no room, whatever ends.
func (c *Cell) unplaceableStep(job *Job) (int, bool) {
	if !slices.ContainsFunc(c.workerOrder, func(w *Worker) bool { return w.listed }) {
		// The directory hasn't been read yet.
		return 0, true
	}
	for i := range job.Steps {
		if !c.withinOwnCap(job.Team, &job.Steps[i]) || !c.fitsWorkers(job, &job.Steps[i]) {
			return i, false
		}
	}
	return 0, true
}

// withinOwnCap reports whether the team may run a task of the step, or the whole step
// if its tasks run only together, while it runs nothing else.
func (c *Cell) withinOwnCap(team string, s *StepSpec) bool {
	limit, bounded := c.capOf(team)
	if !bounded {
		return true
	}
	charge := s.charge()
	if s.Gang {
		charge = charge.Times(int64(s.Count))
	}
	return withinBound(charge.MilliCPU, limit.MilliCPU) && withinBound(charge.MemoryMB, limit.MemoryMB) &&
		withinBound(charge.Accelerators, limit.Accelerators)
}

// fitsWorkers reports whether the known workers, empty, have room for a task of the
// step, or for all at once if they run only together.
func (c *Cell) fitsWorkers(job *Job, s *StepSpec) bool {
	upstream := c.upstreamOf(job)
	wanted := 1
	if s.Gang {
		wanted = s.Count
	}
	shape := &step{spec: s, tasks: make([]*task, s.Count)}
	for _, w := range c.workerOrder {
		if w.Upstream == upstream && s.labelFits(w) {
			wanted -= shape.slotsIn(w.Capacity)
		}
		if wanted <= 0 {
			return true
		}
	}
	return false
}

// expectedWait estimates when the job's turn comes: the work of live jobs that come
// before it, over the processors of all workers.
func (c *Cell) expectedWait(now time.Time, job *Job) time.Duration {
	capacity := c.capacity(now, c.upstreamOf(job))
	if capacity <= 0 {
		return 0
	}
	due := job.FirstSeen.Add(job.objective())
	var ahead float64
	for _, other := range c.live {
		if !other.outcome.Ended() && other.comesBefore(now, job, due) {
			ahead += other.workLeft()
		}
	}
	return time.Duration(ahead / capacity * float64(time.Second))
}

// comesBefore reports whether j's work is placed before that of a new job that is
// due at due.
func (j *Job) comesBefore(now time.Time, job *Job, due time.Time) bool {
	switch {
	case j.tooLate(now) || (j.Surplus && !job.Surplus):
		return false
	case j.Surplus != job.Surplus:
		return true
	case j.Policy.Priority != job.Policy.Priority:
		return j.Policy.Priority < job.Policy.Priority
	default:
		return j.Repeat > 0 || !j.FirstSeen.Add(j.objective()).After(due)
	}
}

// capacity is the processors, in thousandths, of the workers that take work.
func (c *Cell) capacity(now time.Time, upstream string) float64 {
	var sum int64
	for _, w := range c.workerOrder {
		if w.Upstream == upstream && w.usable(now) && !c.health.Quarantined(w.ID) {
			sum += w.Capacity.MilliCPU
		}
	}
	return float64(sum)
}

// workLeft is the estimated work that isn't done, in thousandths of a core times
// seconds.
func (j *Job) workLeft() float64 {
	var sum float64
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.spec.LongRunning {
				continue
			}
			sum += s.tasksLeft() * float64(s.spec.Need.MilliCPU) * s.spec.Estimate.Seconds()
		}
	}
	return sum
}

// tasksLeft counts the tasks that aren't done; what runs counts half.
func (s *step) tasksLeft() float64 {
	left := float64(len(s.tasks) - s.done)
	for _, t := range s.tasks {
		if !t.done && t.current != nil {
			left -= 0.5
		}
	}
	return left
}

// tooLate reports whether the job can't be of use any more.
func (j *Job) tooLate(now time.Time) bool {
	return j.Repeat == 0 && len(j.occs) > 0 && j.occs[0].tooLate(now)
}
