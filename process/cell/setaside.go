package cell

import (
	"fmt"
	"path"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// A job or worker whose handling panics is set aside, so that it doesn't end the process,
// and with it every scheduler that takes over and reads the same rows. A job that is set
// aside keeps its state and its rows, and nothing of it is started or recorded. Unless its rows
// can't be decoded it is tried again, since the cause may have been outside of it; ends of its
// runs that aren't recorded are held until then.

// Delays after which a job that was set aside is tried again. The delay doubles each time.
const (
	firstResumeDelay = time.Second
	maxResumeDelay   = time.Minute
)

// asideState is the state of a job that is or was set aside.
type asideState struct {
	active bool
	reason string
	// since is when the job was set aside or, if it was read so, when it was first reported.
	since time.Time
	// resumeAt is when the job is tried again after delay; zero if it never is.
	resumeAt time.Time
	delay    time.Duration
}

// resumes reports whether the job is set aside and will be tried again.
func (a asideState) resumes() bool { return a.active && !a.resumeAt.IsZero() }

// setAsideRow sets aside the job of a row that can't be decoded.
func (c *Cell) setAsideRow(id string, row platform.Row, err error) {
	job := c.jobs[id]
	if job == nil {
		job = &Job{JobSpec: JobSpec{ID: id}, shown: Queued, accepted: true, specRemoved: true}
		c.jobs[id] = job
	}
	if !job.aside.active {
		c.stopHandling(job, fmt.Sprintf("row %s: %v", row.Key, err))
	}
}

// IsSetAside reports whether the job with the given id is set aside.
func (c *Cell) IsSetAside(id string) bool {
	job := c.jobs[id]
	return job != nil && job.aside.active
}

// setAside stops all handling of a job for a while. It has no effect on a job that is set aside.
func (c *Cell) setAside(now time.Time, job *Job, reason string) {
	if job.aside.active {
		return
	}
	job.aside.delay = min(max(firstResumeDelay, 2*job.aside.delay), maxResumeDelay)
	job.aside.since, job.aside.resumeAt = now, now.Add(job.aside.delay)
	c.holdAcks(job)
	c.stopHandling(job, reason)
}

func (c *Cell) stopHandling(job *Job, reason string) {
	job.aside.active, job.aside.reason = true, reason
	c.asides = append(c.asides, job)
	c.live = slices.DeleteFunc(c.live, func(j *Job) bool { return j == job })
	c.note(Note{Kind: NoteJobSetAside, Job: job.ID, Team: job.Team, Reason: reason})
}

// resumeAsides resumes the handling of the jobs that are due to be tried again. What happened to
// them meanwhile is recorded.
func (c *Cell) resumeAsides(now time.Time) {
	var waiting []*Job
	for _, job := range c.asides {
		switch {
		case c.jobs[job.ID] != job:
		case job.aside.resumeAt.IsZero() || now.Before(job.aside.resumeAt):
			waiting = append(waiting, job)
		default:
			c.resume(job)
		}
	}
	c.asides = waiting
}

func (c *Cell) resume(job *Job) {
	job.aside.active = false
	if !job.specRemoved {
		c.live = append(c.live, job)
	}
	c.markDirty(job)
	c.unholdAcks(job)
	c.note(Note{Kind: NoteJobResumed, Job: job.ID, Team: job.Team, Wait: job.aside.delay})
}

// holdAcks holds the ends of the job that no batch has yet.
func (c *Cell) holdAcks(job *Job) {
	for _, w := range c.workerOrder {
		for i := range w.pendingAcks {
			if p := &w.pendingAcks[i]; p.job == job && job.dirty && p.seq >= job.dirtySeq {
				p.held = true
			}
		}
	}
}

// unholdAcks lets the held ends of the job be acknowledged once its last change is recorded.
func (c *Cell) unholdAcks(job *Job) {
	for _, w := range c.workerOrder {
		for i := range w.pendingAcks {
			if p := &w.pendingAcks[i]; p.job == job && p.held {
				p.held, p.seq = false, c.seq
			}
		}
	}
}

// setAsideOnPanic, when deferred, sets the job aside if its handling panics.
func (c *Cell) setAsideOnPanic(now time.Time, job *Job) {
	if cause := recover(); cause != nil {
		c.setAside(now, job, fmt.Sprintf("panic: %v%s", cause, panicOrigin()))
	}
}

// excludeOnPanic, when deferred, keeps new work from the worker if its handling panics.
func (c *Cell) excludeOnPanic(now time.Time, w *Worker) {
	if cause := recover(); cause != nil {
		w.pausedUntil = now.Add(panicPause)
		c.note(Note{Kind: NoteWorkerSetAside, Worker: w.ID, Reason: fmt.Sprintf("panic: %v%s", cause, panicOrigin())})
	}
}

// maxPanicFrames bounds the calls that panicOrigin looks at.
const maxPanicFrames = 32

// panicOrigin returns where the panic began that the deferred function calling it has recovered;
// empty if that isn't known.
func panicOrigin() string {
	callers := make([]uintptr, maxPanicFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	panicked := false
	for {
		frame, more := frames.Next()
		switch {
		case frame.Function == "runtime.gopanic":
			panicked = true
		case panicked && !strings.HasPrefix(frame.Function, "runtime."):
			return fmt.Sprintf(" in %s (%s:%d)", path.Base(frame.Function), path.Base(frame.File), frame.Line)
		}
		if !more {
			return ""
		}
	}
}

// panicPause is how long a worker gets no new work after its handling panicked.
const panicPause = time.Minute
