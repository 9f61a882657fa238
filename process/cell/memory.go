package cell

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What a cell holds for the jobs that it has accepted is bounded by the memory of its process. New jobs are
// refused once too much is held; due occurrences of schedules, and jobs that were recorded by an entry with
// more memory, wait until others are done; and no more runs are planned than there is memory for.

// Parts of the process's memory, as divisors.
const (
	// acceptedShare is for what is held for accepted jobs without their runs, runShare for runs.
	acceptedShare = 5
	runShare      = 5
)

// Parts of what may be held, in quarters: up to newQuarters new jobs are accepted, and occurrences of schedules
// take scheduledQuarters, so that neither keeps the other out.
const (
	newQuarters       = 3
	scheduledQuarters = 2
)

// maxOpenTasks bounds the tasks of a job that wait in its open occurrences, if there is more than one.
const maxOpenTasks = MaxTasksPerJob

// tooMuchHeld is the reason of refusals because of the memory of the process.
const tooMuchHeld = "too much work is held"

// heldBytes returns the memory that the job takes, without its runs.
func (j *Job) heldBytes() int64 {
	return j.specBytes + int64(len(j.occurrences))*j.occurrenceBytes + spanBytes*int64(len(j.unopened))
}

// memoryLimit returns how many bytes may be held for accepted jobs without their runs.
func (c *Cell) memoryLimit() int64 {
	if c.settings.MemoryBytes <= 0 {
		return math.MaxInt64 / 8
	}
	return c.settings.MemoryBytes / acceptedShare
}

// runLimit returns how many runs there may be.
func (c *Cell) runLimit() int64 {
	if c.settings.MemoryBytes <= 0 {
		return math.MaxInt64 / 8
	}
	return c.settings.MemoryBytes / runShare / runBytes
}

// runsFull reports whether there is no memory for another run.
func (c *Cell) runsFull() bool { return c.runs >= c.runLimit() }

// held is the memory that is held for accepted jobs, in bytes: whole, and for open occurrences of schedules.
type held struct{ whole, scheduled int64 }

// held returns the memory that is held for accepted jobs.
func (c *Cell) held() held {
	h := held{whole: int64(len(c.jobs)-len(c.live)) * endedJobBytes}
	for _, job := range c.live {
		h.whole += job.heldBytes()
		if job.Repeat > 0 {
			h.scheduled += int64(len(job.occurrences)) * job.occurrenceBytes
		}
	}
	return h
}

// admits reports whether there is memory for a new job. A schedule's occurrences wait for theirs.
func (c *Cell) admits(job *Job) bool {
	bytes := job.specBytes
	if job.Repeat <= 0 {
		bytes += job.occurrenceBytes
	}
	return c.held().whole+bytes <= c.memoryLimit()/4*newQuarters
}

// fitsAlone reports whether a process without other work has memory for the job.
func (c *Cell) fitsAlone(spec *JobSpec) bool {
	return spec.HeldBytes()+spec.occurrenceBytes() <= c.memoryLimit()/4*scheduledQuarters
}

// reserve adds an occurrence of the job to what is held if there is room for it.
func (h *held) reserve(c *Cell, job *Job) bool {
	next := held{h.whole + job.occurrenceBytes, h.scheduled}
	if job.Repeat > 0 {
		next.scheduled += job.occurrenceBytes
	}
	if next.whole > c.memoryLimit() || next.scheduled > c.memoryLimit()/4*scheduledQuarters {
		return false
	}
	*h = next
	return true
}

// openDue opens what is due as far as there is room: first an occurrence of each job that has none, then
// more of them, each time beginning with the jobs for which the last was opened longest ago.
func (c *Cell) openDue(now time.Time) {
	c.openings++
	var first, more []*Job
	for _, job := range c.live {
		if job.outcome.Ended() || !job.accepted {
			continue
		}
		job.closeDone()
		switch {
		case len(job.unopened) == 0:
			// A row may say that all is done, and not that the job has ended.
			c.completeIfDone(now, job)
		case len(job.occurrences) == 0:
			first = append(first, job)
		default:
			more = append(more, job)
		}
	}
	if len(first)+len(more) == 0 {
		return
	}
	longest := func(a, b *Job) int { return cmp.Compare(a.openedIn, b.openedIn) }
	slices.SortStableFunc(first, longest)
	slices.SortStableFunc(more, longest)
	h, none := c.held(), len(c.live) == len(first)
	for _, job := range first {
		if !c.openNext(now, job, &h, none) {
			break
		}
		none = none && len(job.occurrences) == 0
	}
	for _, job := range append(more, first...) {
		for open := -1; len(job.occurrences) > open; {
			open = len(job.occurrences)
			if !c.openNext(now, job, &h, false) {
				return
			}
		}
	}
}

// openNext opens the next occurrence of the job if one is due and the job may have another. It returns
// false if there is no room for it; always opens it all the same.
func (c *Cell) openNext(now time.Time, job *Job, h *held, always bool) bool {
	index, inTime, ok := job.nextDue(now)
	if !ok || !c.mayOpen(job, inTime) {
		return true
	}
	if !h.reserve(c, job) && !always {
		return false
	}
	job.openedIn = c.openings
	c.open(job, index)
	return true
}

// mayOpen reports whether the job may have another open occurrence. One that can be in time may be opened
// beside a backlog of those that can't.
func (c *Cell) mayOpen(job *Job, inTime bool) bool {
	open := len(job.occurrences)
	waiting, most := job.workLeft().starts, c.maxOpen(job)
	tasks := waiting + job.tasks
	if !inTime {
		tasks, most = 2*tasks, max(1, most/2)
	}
	return open == 0 || (open < most && (waiting == 0 || tasks <= maxOpenTasks))
}

// openRecorded opens what was recorded with progress, and the jobs that run once, after a load.
func (c *Cell) openRecorded() {
	h := c.held()
	for _, job := range c.live {
		if job.outcome.Ended() {
			continue
		}
		for i := 0; i < len(job.unopened); {
			s := job.unopened[i]
			if s.recorded == nil && job.Repeat > 0 {
				i++
				continue
			}
			if !c.mayOpen(job, true) {
				break
			}
			if !h.reserve(c, job) {
				return
			}
			c.open(job, s.from)
		}
	}
}
