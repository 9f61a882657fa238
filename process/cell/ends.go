package cell

import (
	"slices"
	"time"
)

// endRun removes a run from its worker and updates its task, gang and job. checkpoint
// is the one reported with the end, or empty.
func (c *Cell) endRun(now time.Time, r *Run, kind EndKind, checkpoint string) {
	c.dropRun(r)
	t := r.task
	if r.state == runListed || kind == EndDone || kind == EndFailed {
		t.step.progressedAt = now
	}
	job := t.step.occ.job
	c.recordOutcome(now, r, kind)
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	if kind != EndDone {
		c.note(Note{Kind: NoteRunEnded, Job: job.ID, Team: job.Team, Task: r.Task, Run: r.Number, Worker: r.worker.ID, End: kind, Age: r.age(now)})
	}
	if t.current == r {
		t.current = nil
	}
	c.keepCheckpoint(t, checkpoint)
	if t.step.spec.Gang && kind != EndDone {
		c.expectGangEnd(now, t.step)
	}
	switch kind {
	case EndDone:
		c.taskDone(now, t)
	case EndFailed:
		t.avoidWorker = r.worker.ID
		c.taskFailed(now, t, r.Number)
	case EndCrashed:
		c.taskCrashed(now, t)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout, EndVanished:
	}
	c.markDirty(job)
	c.completeIfDone(now, job)
}

// dropRun removes a run from its worker and releases its capacity and its team's usage.
func (c *Cell) dropRun(r *Run) {
	r.worker.detach(r)
	c.usage[r.team] = c.usage[r.team].Sub(r.task.step.spec.charge())
	r.task.step.occ.job.liveRuns--
	c.runs--
}

// keepCheckpoint stores a checkpoint for the next run. A checkpoint of one member
// applies to the whole gang.
func (c *Cell) keepCheckpoint(t *task, latest string) {
	if latest == "" {
		return
	}
	if t.step.spec.Gang {
		t.step.checkpoint = latest
		return
	}
	t.checkpoint = latest
}

// handleLateEnd handles the end of a run that was already dropped, or that an earlier
// scheduler recorded. A success completes the task; a failure counts once per run.
func (c *Cell) handleLateEnd(now time.Time, end End) {
	ref, err := parseTask(end.Task)
	if err != nil {
		c.note(Note{Kind: NoteRunUnknown, Task: end.Task, Run: end.Number, Error: err})
		return
	}
	job := c.jobs[ref.job]
	if job == nil || job.outcome.Ended() {
		return
	}
	t := c.findRecorded(job, ref)
	if t == nil || t.done {
		return
	}
	switch end.Kind {
	case EndDone:
		c.taskDone(now, t)
	case EndFailed:
		c.taskFailed(now, t, end.RunKey.Number)
	default:
		return
	}
	c.markDirty(job)
	c.completeIfDone(now, job)
}

// taskDone marks a task as done. The success of one member completes the whole gang.
func (c *Cell) taskDone(now time.Time, t *task) {
	s := t.step
	if s.spec.LongRunning {
		return
	}
	if s.spec.Gang {
		for _, member := range s.tasks {
			member.markDone()
		}
		return
	}
	t.markDone()
	if t.current != nil {
		c.stopRun(now, t.current)
	}
}

// taskFailed counts one failure per run and fails the job once the attempts of its
// policy are used up. Those of long-running tasks are without limit and aren't counted.
func (c *Cell) taskFailed(now time.Time, t *task, run int) {
	s := t.step
	if s.spec.LongRunning {
		return
	}
	if t.failedRuns == nil {
		t.failedRuns = make(map[int]bool)
	}
	t.failedRuns[run] = true
	failures := len(t.failedRuns)
	if s.spec.Gang {
		if s.failedRuns == nil {
			s.failedRuns = make(map[int]bool)
		}
		s.failedRuns[run] = true
		failures = len(s.failedRuns)
	}
	maxAttempts := s.occ.job.Policy.MaxAttempts
	if maxAttempts <= 0 || failures < maxAttempts || t.done {
		return
	}
	c.finish(now, s.occ.job, Failed)
}

// stopGang stops the remaining members of a gang.
func (c *Cell) stopGang(now time.Time, s *step) {
	for _, member := range s.tasks {
		if member.current != nil {
			c.stopRun(now, member.current)
		}
	}
}

// memberEndGrace is how long after the end of one member of a gang the others, which the workers
// end by themselves, may still be listed before each gets a stop command: some times the interval
// between two replies to polls.
const memberEndGrace = 600 * time.Millisecond

// expectGangEnd stops those remaining members of a gang that don't end by themselves. With the end
// of one member the workers end all others that are there; stop commands to them would cost a call
// each and change nothing. A member whose start may still be carried out is stopped at once.
func (c *Cell) expectGangEnd(now time.Time, s *step) {
	for _, member := range s.tasks {
		if r := member.current; r != nil {
			c.expectEnd(now, r)
		}
	}
}

// expectEnd requests the stop of a run, and leaves it memberEndGrace to end by itself if it has
// been seen on its worker.
func (c *Cell) expectEnd(now time.Time, r *Run) {
	onWorker := r.state == runStarted || r.state == runListed
	if !onWorker || !r.worker.unreachableSince.IsZero() {
		c.stopRun(now, r)
		return
	}
	if !r.stop.wanted {
		r.stop.wanted, r.stop.wantedAt, r.stop.notBefore = true, now, now.Add(memberEndGrace)
	}
}

// stopRun requests the stop of a run. A planned run gets no stop command, since its
// start hasn't been sent: runRecorded withdraws it.
func (c *Cell) stopRun(now time.Time, r *Run) {
	if r.stop.wanted && r.stop.notBefore.IsZero() {
		return
	}
	if !r.stop.wanted {
		r.stop.wantedAt = now
	}
	r.stop.wanted, r.stop.notBefore = true, time.Time{}
	if r.state == runPlanned || r.stop.inProgress {
		return
	}
	c.sendStop(r)
}

// unwanted reports whether nothing calls for an adopted run any more. The scheduler before may have
// requested its stop, but the rows don't say so: they hold why it was to stop. The members of a
// completed gang end by themselves (tickWorker); those of a gang that lacks one can't complete it.
func (r *Run) unwanted() bool {
	s := r.task.step
	switch {
	case s.spec.Gang && r.task.done:
		return false
	case s.occ.job.outcome.Ended():
		return true
	case !s.spec.Gang:
		return r.task.done
	}
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current == nil })
}

func (c *Cell) sendStop(r *Run) {
	r.stop.inProgress = true
	c.actions.Stops = append(c.actions.Stops, StopCommand{Worker: r.worker.ID, RunKey: r.RunKey})
}

// StopAnswered handles a worker's acknowledgement of a stop command.
func (c *Cell) StopAnswered(now time.Time, id string, key RunKey) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if r := w.runs[key]; r != nil {
		r.stop.answeredAt, r.stop.inProgress = now, false
	}
}

// StopUnanswered handles a stop command that got no acknowledgement. Tick repeats it.
func (c *Cell) StopUnanswered(id string, key RunKey) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if r := w.runs[key]; r != nil {
		r.stop.inProgress = false
	}
}

// finish sets a job's final state and stops its remaining runs.
func (c *Cell) finish(now time.Time, job *Job, outcome State) {
	if job.outcome.Ended() {
		return
	}
	job.outcome = outcome
	job.endedAt = now
	for _, o := range job.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.current != nil {
					c.finishRun(now, t.current)
				}
			}
		}
	}
	c.markDirty(job)
	c.note(Note{Kind: NoteJobEnded, Job: job.ID, Team: job.Team, State: outcome, Age: now.Sub(job.FirstSeen)})
}

// finishRun ends a run of a job that has reached its final state. A gang that is done, or of which
// a member has ended, ends by itself.
func (c *Cell) finishRun(now time.Time, r *Run) {
	if r.task.step.spec.Gang && (r.task.done || r.stop.wanted) {
		c.expectEnd(now, r)
		return
	}
	c.stopRun(now, r)
}

// completeIfDone finishes a job whose tasks are all done.
func (c *Cell) completeIfDone(now time.Time, job *Job) {
	if !job.outcome.Ended() && job.complete() {
		c.finish(now, job, Completed)
	}
}
