package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// maxBatchEntries bounds the conditions and writes of one batch; the shell adds a
// condition of its own.
const maxBatchEntries = 98

// maxRowsPerJob is how many rows of a job a batch may write.
const maxRowsPerJob = 2

// joinWait is how long a new job may wait for its placement, so that both are
// recorded at once. It is done while the table is slow.
const joinWait = 60 * time.Millisecond

// maxBatchBytes bounds the bytes of one write, before encoding.
const maxBatchBytes = 400 << 10

// Batch is one write to the table.
type Batch struct {
	Conditions []platform.Condition
	Writes     []platform.Write
	jobs       []*batchJob
	runs       []*Run
	// bytes are those of the values.
	bytes int
}

// batchJob is what a batch records of one job.
type batchJob struct {
	job     *Job
	dirtyAt uint64
	outcome State
	// over jobs have ended and nothing of them runs.
	over        bool
	retired     bool
	wroteSpec   bool
	removedSpec bool
	wroteState  bool
	waiters     []Waiter
}

// touch marks a job as changed.
func (c *Cell) touch(job *Job) {
	c.seq++
	if job.dirty {
		return
	}
	job.dirty = true
	job.dirtyAt = c.seq
	c.dirty = append(c.dirty, job)
}

// recordedUpTo returns the number up to which all changes are recorded.
func (c *Cell) recordedUpTo() uint64 {
	upTo := c.seq
	for _, b := range c.batches {
		for _, e := range b.jobs {
			upTo = min(upTo, e.dirtyAt-1)
		}
	}
	if len(c.dirty) > 0 {
		upTo = min(upTo, c.dirty[0].dirtyAt-1)
	}
	return upTo
}

// TakeBatch returns the next write, or nil if there is nothing to record. Several
// may be on their way at a time, each with jobs of its own. While the table is slow,
// what somebody waits for goes before mere progress.
func (c *Cell) TakeBatch(now time.Time) *Batch {
	b := &Batch{}
	if c.slowTable {
		c.fill(b, now, (*Job).awaited)
	}
	c.fill(b, now, func(*Job) bool { return true })
	if len(b.jobs) == 0 {
		return nil
	}
	c.batches = append(c.batches, b)
	return b
}

// fill moves changed jobs that wanted names from the queue into the batch, while
// there is room.
func (c *Cell) fill(b *Batch, now time.Time, wanted func(*Job) bool) {
	var left []*Job
	for i, job := range c.dirty {
		if len(b.Conditions)+len(b.Writes)+2*maxRowsPerJob > maxBatchEntries || b.bytes >= maxBatchBytes {
			left = append(left, c.dirty[i:]...)
			break
		}
		if job.inFlight || (c.slowTable && job.mayJoin(now)) || !wanted(job) {
			left = append(left, job)
			continue
		}
		b.bytes += b.add(job)
	}
	c.dirty = left
}

// BatchesWaiting is how many whole batches the changed jobs that wait for their record
// make.
func (c *Cell) BatchesWaiting() int {
	waiting := 0
	for _, job := range c.dirty {
		if !job.inFlight {
			waiting++
		}
	}
	return waiting * 2 * maxRowsPerJob / maxBatchEntries
}

// awaited reports whether somebody waits for the job's record: a caller, or a run
// that is to be started.
func (j *Job) awaited() bool {
	if !j.accepted || len(j.waiters) > 0 {
		return true
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current != nil && t.current.state == runPlanned }) {
				return true
			}
		}
	}
	return false
}

// SlowTable tells the cell whether writes take long.
func (c *Cell) SlowTable(slow bool) { c.slowTable = slow }

// mayJoin reports whether a new job's record should wait for its placement.
func (j *Job) mayJoin(now time.Time) bool {
	return !j.accepted && j.live == 0 && !j.outcome.Ended() && now.Sub(j.FirstSeen) < joinWait
}

// add puts the rows of a job into the batch and returns their bytes.
func (b *Batch) add(job *Job) int {
	e := &batchJob{
		job: job, dirtyAt: job.dirtyAt, outcome: job.outcome,
		over: job.outcome.Ended() && job.live == 0, retired: job.retired, waiters: job.waiters,
	}
	b.jobs = append(b.jobs, e)
	job.dirty, job.inFlight, job.waiters = false, true, nil
	bytes := b.addSpec(e)
	if job.retired {
		// A write of the job's first row may have been done late, after the row was removed.
		b.Writes = append(b.Writes, platform.Write{Key: specPrefix + job.ID, Delete: true})
		if job.stateVersion != 0 {
			b.remove(statePrefix+job.ID, job.stateVersion)
		}
		return bytes
	}
	if job.stateVersion != 0 || job.hasState() {
		e.wroteState = true
		bytes += b.put(statePrefix+job.ID, job.stateVersion, encode(job.stateRow()))
	}
	for _, o := range job.occs {
		for _, s := range o.steps {
			b.addPlanned(s)
		}
	}
	return bytes
}

// addSpec puts or removes the row of what never changes. It has no condition of its
// own, which would take the place of another row: written again it is the same, and the
// state row tells whether the job is over.
func (b *Batch) addSpec(e *batchJob) int {
	job := e.job
	key := specPrefix + job.ID
	switch {
	case e.over && !e.retired && job.specVersion != 0:
		e.removedSpec = true
		b.Writes = append(b.Writes, platform.Write{Key: key, Delete: true})
	case !e.over && job.specVersion == 0 && !job.specGone:
		e.wroteSpec = true
		value := encode(job.JobSpec)
		b.Writes = append(b.Writes, platform.Write{Key: key, Value: value})
		return len(value)
	}
	return 0
}

func (b *Batch) addPlanned(s *step) {
	for _, t := range s.tasks {
		if t.current != nil && t.current.state == runPlanned {
			b.runs = append(b.runs, t.current)
		}
	}
}

func (b *Batch) put(key string, version uint64, value []byte) int {
	b.Conditions = append(b.Conditions, platform.Condition{Key: key, Version: version})
	b.Writes = append(b.Writes, platform.Write{Key: key, Value: value})
	return len(value)
}

func (b *Batch) remove(key string, version uint64) {
	b.Conditions = append(b.Conditions, platform.Condition{Key: key, Version: version})
	b.Writes = append(b.Writes, platform.Write{Key: key, Delete: true})
}

// BatchRecorded takes in that a batch was written with version. What waited for it
// goes on.
func (c *Cell) BatchRecorded(now time.Time, b *Batch, version uint64) {
	c.batches = slices.DeleteFunc(c.batches, func(one *Batch) bool { return one == b })
	for _, e := range b.jobs {
		c.jobRecorded(now, e, version)
	}
	c.withdrawGangs(now, b.runs)
	for _, r := range b.runs {
		c.runRecorded(now, r)
	}
	for _, w := range c.workerOrder {
		if len(w.pendingAcks) > 0 {
			c.releaseAcks(w)
		}
	}
}

func (c *Cell) jobRecorded(now time.Time, e *batchJob, version uint64) {
	job := e.job
	job.inFlight = false
	if e.wroteSpec {
		job.specVersion = version
	}
	if e.removedSpec {
		job.specVersion = 0
	}
	if e.wroteState {
		job.stateVersion = version
	}
	if e.retired {
		delete(c.jobs, job.ID)
		return
	}
	if !job.accepted {
		job.accepted = true
		c.note(Note{Kind: NoteJobAccepted, Job: job.ID, Team: job.Team, Age: now.Sub(job.FirstSeen)})
	}
	for _, tell := range e.waiters {
		tell(RecordedYes)
	}
	if e.outcome.Ended() {
		job.shown = e.outcome
	}
	if e.over {
		c.shrink(job)
	}
}

// shrink drops what an ended job doesn't need any more.
func (c *Cell) shrink(job *Job) {
	job.specGone = true
	job.occs, job.Steps, job.Text = nil, nil, ""
	c.live = slices.DeleteFunc(c.live, func(j *Job) bool { return j == job })
}

// withdrawGangs takes back every gang of which one member can't be ordered, before
// any other member is.
func (c *Cell) withdrawGangs(now time.Time, runs []*Run) {
	for _, r := range runs {
		if r.task.step.spec.Gang && r.state == runPlanned && c.dropReason(now, r) != "" {
			c.stopGang(now, r.task.step)
		}
	}
}

// runRecorded orders the start of a run whose record is written, if it is still
// wanted and its ticket is still good.
func (c *Cell) runRecorded(now time.Time, r *Run) {
	if r.state != runPlanned || r.worker.runs[r.RunKey] != r {
		return
	}
	if reason := c.dropReason(now, r); reason != "" {
		c.withdraw(now, r, reason)
		return
	}
	r.state = runOrdered
	t := r.task
	checkpoint := t.checkpoint
	if t.step.spec.Gang {
		checkpoint = t.step.checkpoint
	}
	c.actions.Starts = append(c.actions.Starts, StartOrder{
		Worker: r.worker.ID, RunKey: r.RunKey, Text: t.step.occ.job.Text, Checkpoint: checkpoint, Ticket: r.ticket,
	})
}

// dropReason says why a recorded run isn't ordered after all; empty if it is.
func (c *Cell) dropReason(now time.Time, r *Run) string {
	w := r.worker
	switch {
	case r.stop.wanted:
		return "no longer wanted"
	case !w.silentSince.IsZero():
		return "worker silent"
	case w.Draining:
		return "worker drains"
	case r.ticket != "" && !r.ticketUntil.After(now.Add(ticketMargin)):
		return "ticket too old"
	}
	return ""
}

// withdraw takes back a run that surely isn't on its worker, with its gang.
func (c *Cell) withdraw(now time.Time, r *Run, reason string) {
	t := r.task
	c.dropRun(r)
	c.health.AbortProbe(r.worker.ID)
	if t.current == r {
		t.current = nil
	}
	c.note(Note{Kind: NotePlacementDropped, Job: t.step.occ.job.ID, Task: r.Task, Run: r.Number, Worker: r.worker.ID, Reason: reason})
	if t.step.spec.Gang && !t.done {
		c.stopGang(now, t.step)
	}
	c.touch(t.step.occ.job)
}
