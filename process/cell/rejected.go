package cell

import (
	"slices"
	"time"
)

// The table may refuse a write for good, since it takes no such row or request. Written one by one,
// only the jobs whose rows it refuses stay unrecorded.

// Jobs returns the number of jobs that the batch records.
func (b *Batch) Jobs() int { return len(b.jobs) }

// SplitBatch replaces a batch by one for each of its jobs.
func (c *Cell) SplitBatch(b *Batch) []*Batch {
	parts := make([]*Batch, len(b.jobs))
	for i, e := range b.jobs {
		conditions, writes, runs := len(b.Conditions), len(b.Writes), len(b.runs)
		if i+1 < len(b.jobs) {
			next := b.jobs[i+1]
			conditions, writes, runs = next.condition, next.write, next.run
		}
		parts[i] = &Batch{
			Conditions: b.Conditions[e.condition:conditions], Writes: b.Writes[e.write:writes], runs: b.runs[e.run:runs],
			jobs: []*batchJob{e}, takenAt: b.takenAt, codec: b.codec, Uncertain: b.Uncertain,
		}
	}
	c.forgetBatch(b)
	c.batches = append(c.batches, parts...)
	return parts
}

func (c *Cell) forgetBatch(b *Batch) {
	c.batches = slices.DeleteFunc(c.batches, func(one *Batch) bool { return one == b })
}

// BatchRejected handles a batch that the table will never take. A job that isn't accepted, and certainly
// not recorded, is refused. Any other is set aside with its last change, and tried again later: its row
// may be smaller then.
func (c *Cell) BatchRejected(now time.Time, b *Batch, reason string) {
	c.forgetBatch(b)
	for _, r := range b.runs {
		if r.state == runPlanned && r.worker.runs[r.RunKey] == r {
			c.withdraw(now, r, "its record was refused")
		}
	}
	for _, e := range b.jobs {
		e.job.inFlight = false
		if e.job.accepted || b.Uncertain {
			c.setAsideUnrecorded(now, e, reason)
		} else {
			c.dropRefused(e, reason)
		}
	}
}

// dropRefused refuses a job of which nothing is recorded.
func (c *Cell) dropRefused(e *batchJob, reason string) {
	e.job.waiters = append(e.waiters, e.job.waiters...)
	c.dirty = slices.DeleteFunc(c.dirty, func(j *Job) bool { return j == e.job })
	c.refuseUnrecorded(e.job, RecordedRefused, reason)
}

// setAsideUnrecorded sets a job aside of which the last change isn't recorded; the ends in it are held.
func (c *Cell) setAsideUnrecorded(now time.Time, e *batchJob, reason string) {
	job := e.job
	job.waiters = append(e.waiters, job.waiters...)
	c.dirty = slices.DeleteFunc(c.dirty, func(j *Job) bool { return j == job })
	job.dirty, job.dirtySeq = true, e.dirtySeq
	c.holdAcks(job)
	c.setAside(now, job, "the table refuses its rows: "+reason)
	job.dirty = false
}

// dropUnencodable refuses a changed job whose rows can't be encoded, or sets it aside once it is accepted.
func (c *Cell) dropUnencodable(now time.Time, job *Job, err error) {
	if job.accepted {
		c.setAside(now, job, err.Error())
	} else {
		c.refuseUnrecorded(job, RecordedRefused, err.Error())
	}
	job.dirty = false
}
