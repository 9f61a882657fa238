package cell

import (
	"fmt"
	"math"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/admission"
)

// Limits of admission.
const (
	// maxLiveJobs bounds the jobs that wait or run.
	maxLiveJobs = 20000
	// deadlineFactor times its objective is the time after which a job's result is of
	// no use.
	deadlineFactor = 3
	// MaxTasksPerJob bounds the tasks of one occurrence of a job.
	MaxTasksPerJob = 5000
	// minRetryAfter and maxRetryAfter bound the retry delay returned to clients.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// shrunkRetryAfter is the retry delay of jobs that fitted before workers' capacities shrank.
	shrunkRetryAfter = 2 * time.Second
	// burstSeconds is the size of a team's token bucket, in seconds of its refill rate,
	// which is the team's weight in jobs per second.
	burstSeconds = 2.0
)

// Verdict is the outcome of submitting a job.
type Verdict int

// The verdicts.
const (
	// AlreadyAccepted means that the job has already been accepted.
	AlreadyAccepted Verdict = iota
	// Recording means that the job is accepted once it is recorded; the waiter is then
	// called.
	Recording
	// Refused means that the job is not accepted and never runs.
	Refused
	// Unavailable means that the job is not accepted because nothing can be recorded now.
	Unavailable
	// Invalid means that the specification is malformed; the reason names the field.
	Invalid
)

// tableUnavailable is the reason of refusals while nothing can be recorded.
const tableUnavailable = "table unavailable"

// maxUnaccepted bounds the jobs whose acceptance waits to be written while the
// table is slow. A slow table records about that many within a second.
const maxUnaccepted = 100

// countUnaccepted returns the number of jobs whose acceptance isn't recorded.
func (c *Cell) countUnaccepted() int {
	n := 0
	for _, job := range c.live {
		if !job.accepted {
			n++
		}
	}
	return n
}

// Admission is a verdict with its reason and retry delay.
type Admission struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration
	// Overloaded is set if a job is refused because there is too much work, for the workers or for
	// the scheduler itself.
	Overloaded bool
}

// overloaded is the reason of refusals because of the scheduler's own load.
const overloaded = "the scheduler is overloaded"

// tokenBucket limits the rate of a team's submissions to its weight.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take refills the bucket at rate tokens a second, removes one token and reports
// whether there was one.
func (b *tokenBucket) take(now time.Time, rate float64) bool {
	depth := max(1, rate*burstSeconds)
	b.tokens = min(depth, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Submit admits or refuses a job. The waiter is called only if the verdict is
// Recording. A job whose admission panics is refused, since its client sends it to the next scheduler, too.
func (c *Cell) Submit(now time.Time, spec JobSpec, wait Waiter) (admission Admission) {
	defer func() {
		if cause := recover(); cause != nil {
			reason := fmt.Sprintf("panic: %v%s", cause, panicOrigin())
			c.note(Note{Kind: NoteJobRefused, Job: spec.ID, Team: spec.Team, Queue: spec.Queue, Cause: CauseError, Reason: reason, Wait: maxRetryAfter})
			admission = Admission{Verdict: Unavailable, Reason: "an error in the admission of the job", RetryAfter: maxRetryAfter}
		}
	}()
	return c.admit(now, spec, wait)
}

// admit admits or refuses a job. Nothing of the cell is changed before all that depends on the job's values
// has been computed.
func (c *Cell) admit(now time.Time, spec JobSpec, wait Waiter) Admission {
	if job := c.jobs[spec.ID]; job != nil {
		if job.Queue != spec.Queue || job.Team != spec.Team {
			return Admission{Verdict: Invalid, Reason: fmt.Sprintf("id: %s names a job of another team or queue", spec.ID)}
		}
		if job.accepted {
			return Admission{Verdict: AlreadyAccepted}
		}
		job.addWaiter(c, wait)
		return Admission{Verdict: Recording}
	}
	if err := spec.Check(); err != nil {
		return Admission{Verdict: Invalid, Reason: err.Error()}
	}
	if err := c.checkRows(&spec); err != nil {
		return Admission{Verdict: Invalid, Reason: err.Error()}
	}
	if !c.fitsAlone(&spec) {
		return Admission{Verdict: Invalid, Reason: fmt.Sprintf("steps: the job takes %d bytes of memory, and %d can be held", spec.HeldBytes()+spec.occurrenceBytes(), c.memoryLimit())}
	}
	if c.tableUnavailableFor > 0 || (c.tableSlow && c.countUnaccepted() >= maxUnaccepted) {
		wait := OutageRetryAfter(c.tableUnavailableFor)
		c.note(Note{Kind: NoteJobRefused, Job: spec.ID, Team: spec.Team, Queue: spec.Queue, Cause: CauseTable, Reason: tableUnavailable, Wait: wait})
		return Admission{Verdict: Unavailable, Reason: tableUnavailable, RetryAfter: wait}
	}
	first := c.refused.lookup(now, spec.ID)
	if first.at.IsZero() {
		first = firstSubmission{at: now, overShare: c.isOverShare(now, spec.Team)}
	}
	spec.FirstSeen, spec.OverShare = first.at, first.overShare
	job := newJob(spec)
	job.arrivedAt = now
	if reason, after := c.refusal(now, job); reason != "" {
		c.refused.add(now, spec.ID, first)
		c.note(Note{Kind: NoteJobRefused, Job: spec.ID, Team: spec.Team, Queue: spec.Queue, Cause: causeOf(reason), Reason: reason, Wait: after})
		return Admission{Verdict: Refused, Reason: reason, RetryAfter: after, Overloaded: reason == overloaded || reason == cantBeInTime}
	}
	if job.Repeat <= 0 {
		c.open(job, 0)
	}
	c.jobs[spec.ID] = job
	c.live = append(c.live, job)
	c.markDirty(job)
	job.addWaiter(c, wait)
	c.noteLarge(&spec, 0)
	return Admission{Verdict: Recording}
}

// SetTextHolder records the entry that a submission of the job came through.
func (c *Cell) SetTextHolder(id, entry string) {
	if job := c.jobs[id]; job != nil {
		job.textHolder = entry
	}
}

// addWaiter registers wait for the next record of the job. If a batch in flight
// already contains the job's latest change, the waiter is added to that batch.
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

// isOverShare takes a token from the team's bucket and reports whether there was
// none, which means that the job is beyond the team's guaranteed share.
func (c *Cell) isOverShare(now time.Time, team string) bool {
	t := c.catalog.Team(team)
	if t == nil || t.Weight <= 0 {
		return false
	}
	b := c.teams[team]
	if b == nil {
		b = &tokenBucket{tokens: t.Weight * burstSeconds, refilledAt: now}
		c.teams[team] = b
	}
	return !b.take(now, t.Weight)
}

// refusal returns why a job can't be served and the retry delay. The reason is empty
// if the job can be served.
func (c *Cell) refusal(now time.Time, job *Job) (string, time.Duration) {
	if len(c.live) >= maxLiveJobs {
		return "too many jobs", maxRetryAfter
	}
	if reason, after := c.misfit(now, job); reason != "" {
		return reason, after
	}
	if !c.admits(job) {
		return tooMuchHeld, maxRetryAfter
	}
	if job.Repeat > 0 {
		return "", 0
	}
	wait, startWait := c.expectedWait(now, job)
	if after := c.schedulerDelay(now, job, startWait); after > 0 {
		return overloaded, retryAfter(after)
	}
	if after := c.workDelay(now, job, wait); after > 0 {
		return cantBeInTime, retryAfter(after)
	}
	return "", 0
}

// schedulerDelay returns when to come back if the scheduler's own load alone makes the job late;
// 0 if it doesn't. startWait is the time until the starts of the work before it have been sent.
func (c *Cell) schedulerDelay(now time.Time, job *Job, startWait time.Duration) time.Duration {
	if slack := job.objective() - job.fullCriticalPath(); c.decisionTime > slack {
		return c.decisionTime
	}
	request := job.request(now, job.objective())
	if startWait > 0 && request.Overdue(startWait) > 0 {
		return request.ReturnAfter(startWait, minRetryAfter)
	}
	return 0
}

// workDelay returns when to come back if the work before it makes the job late; 0 if it doesn't.
// byWork is the wait as estimated from the remaining work of other jobs, which decides only whether
// the result of a job within its team's share would be of any use.
func (c *Cell) workDelay(now time.Time, job *Job, byWork time.Duration) time.Duration {
	if useful := job.request(now, deadlineFactor*job.objective()); !job.OverShare && useful.Overdue(byWork) > 0 {
		return useful.ReturnAfter(byWork, minRetryAfter)
	}
	request := job.request(now, job.objective())
	line := c.line(now, c.classOf(now, job))
	if longest := line.LongestWait(); job.OverShare && request.Overdue(longest) > 0 {
		return request.ReturnAfter(longest, minRetryAfter)
	}
	// The path of the job has its own call for advice; those that wait have theirs in their ages.
	if wait := line.Wait() - job.adviceTime(); request.LateBehind(wait) {
		return request.ReturnAfter(wait, minRetryAfter)
	}
	return 0
}

// request returns what admission needs to know of the job if its result is wanted within a time.
func (j *Job) request(now time.Time, within time.Duration) admission.Job {
	return admission.Job{Waited: now.Sub(j.FirstSeen), Path: j.fullCriticalPath(), Within: within}
}

// causeOf returns what a refusal with this reason is for want of.
func causeOf(reason string) Cause {
	switch reason {
	case overloaded:
		return CauseScheduler
	case cantBeInTime:
		return CauseTime
	default:
		return CauseCapacity
	}
}

// cantBeInTime is the reason of refusals because of the work that waits.
const cantBeInTime = "can't be done in time"

// adviceTime returns the time of one call for advice of the job's steps.
func (j *Job) adviceTime() time.Duration {
	if j.Policy.Advice == nil {
		return 0
	}
	return j.Policy.Advice.CallTime(typicalAdviceWorkers)
}

// misfit returns why no worker could run some step of the job even if nothing else ran, and the
// retry delay. The reason is empty if every step fits.
func (c *Cell) misfit(now time.Time, job *Job) (string, time.Duration) {
	step, ok := c.unplaceableStep(job, c.openCapacity)
	if ok {
		return "", 0
	}
	if _, ok := c.unplaceableStep(job, presentCapacity); ok {
		// How long the operators keep the domain empty isn't known; the time so far is the only sign.
		return fmt.Sprintf("step %d fits only workers of an evacuated failure domain", step), OutageRetryAfter(c.evacuation.LongestFor(now))
	}
	if _, ok := c.unplaceableStep(job, largestCapacity); ok {
		return fmt.Sprintf("step %d fits no worker at its present capacity", step), shrunkRetryAfter
	}
	return fmt.Sprintf("step %d fits no worker", step), maxRetryAfter
}

// retryAfter rounds a wait up to whole seconds, between minRetryAfter and
// maxRetryAfter.
func retryAfter(wait time.Duration) time.Duration {
	whole := time.Duration(math.Ceil(wait.Seconds())) * time.Second
	return min(max(whole, minRetryAfter), maxRetryAfter)
}
