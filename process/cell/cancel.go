package cell

import "time"

// Cancellation is the answer to a call to cancel.
type Cancellation int

// The answers to a call to cancel.
const (
	// CancelRecording: the waiter will be told.
	CancelRecording Cancellation = iota
	// CancelDone: the job was cancelled before, or had ended.
	CancelDone
	// CancelUnknown: there is no such job.
	CancelUnknown
)

// Cancel ends a job. The waiter is told only if the answer is CancelRecording.
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

// Forget takes back jobs whose acceptance isn't being written and that were
// handed in before the given time; their callers hear that they surely don't run.
func (c *Cell) Forget(before time.Time) {
	kept := c.dirty[:0:0]
	for _, job := range c.dirty {
		if job.accepted || job.inFlight || job.FirstSeen.After(before) {
			kept = append(kept, job)
			continue
		}
		c.forget(job)
	}
	c.dirty = kept
}

func (c *Cell) forget(job *Job) {
	for _, tell := range job.waiters {
		tell(RecordedNo)
	}
	job.waiters = nil
	for _, o := range job.occs {
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
	c.note(Note{Kind: NoteJobRefused, Job: job.ID, Team: job.Team, Reason: tableUnavailable, Wait: OutageWait(c.troubled)})
}
