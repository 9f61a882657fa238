package cell

import "time"

// Cancellation is the result of a call to Cancel.
type Cancellation int

// The results of a call to Cancel.
const (
	// CancelRecording means that the waiter is called once the cancellation is recorded.
	CancelRecording Cancellation = iota
	// CancelDone means that the job is already cancelled or has ended.
	CancelDone
	// CancelUnknown means that no job has this id.
	CancelUnknown
)

// Cancel cancels a job. The waiter is called only if the result is CancelRecording.
func (c *Cell) Cancel(now time.Time, id string, wait Waiter) Cancellation {
	job := c.jobs[id]
	if job == nil {
		return CancelUnknown
	}
	if job.shown.Ended() {
		return CancelDone
	}
	if !job.outcome.Ended() {
		c.note(Note{Kind: NoteJobCancelled, Job: id, Team: job.Team, Age: now.Sub(job.FirstSeen)})
		c.finish(now, job, Cancelled)
	}
	job.addWaiter(c, wait)
	return CancelRecording
}

// RefuseUnrecorded refuses jobs that were first submitted at or before the given time
// and whose acceptance is neither recorded nor being written. Their waiters get
// RecordedNo, since such jobs can no longer run.
func (c *Cell) RefuseUnrecorded(before time.Time) {
	kept := c.dirty[:0:0]
	for _, job := range c.dirty {
		if job.accepted || job.inFlight || job.FirstSeen.After(before) {
			kept = append(kept, job)
			continue
		}
		c.refuseUnrecorded(job, RecordedNo, tableUnavailable)
	}
	c.dirty = kept
}

// refuseUnrecorded drops a job of which nothing is recorded and nothing has been started, and tells
// those who wait for its record why.
func (c *Cell) refuseUnrecorded(job *Job, how Recorded, reason string) {
	for _, notify := range job.waiters {
		notify(how)
	}
	job.waiters = nil
	for _, o := range job.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.current != nil {
					c.dropRun(t.current)
					t.current = nil
				}
			}
		}
	}
	delete(c.jobs, job.ID)
	for i, j := range c.live {
		if j == job {
			c.live = append(c.live[:i:i], c.live[i+1:]...)
			break
		}
	}
	c.note(Note{Kind: NoteJobRefused, Job: job.ID, Team: job.Team, Queue: job.Queue, Cause: CauseTable, Reason: reason, Wait: OutageRetryAfter(c.tableUnavailableFor)})
}
