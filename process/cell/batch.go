package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// maxBatchEntries bounds the conditions and writes of one batch; the runtime adds a
// condition of its own.
const maxBatchEntries = 98

// maxRowsPerJob is the number of rows that a batch may write for one job.
const maxRowsPerJob = 2

// placementWait is how long the record of a new job may wait for its placement, so that
// both are written together. It applies only while the table is slow.
const placementWait = 60 * time.Millisecond

// maxBatchBytes is the size from which a write takes no more jobs, maxWriteBytes the largest size that
// one of several jobs may get, both before encoding. The store takes 1 MB, encoded.
const (
	maxBatchBytes = 400 << 10
	maxWriteBytes = 700 << 10
)

// Batch is one atomic write to the table.
type Batch struct {
	Conditions []platform.Condition
	Writes     []platform.Write
	// Uncertain is set once an attempt at the write may have taken effect.
	Uncertain bool
	jobs      []*batchJob
	runs      []*Run
	takenAt   time.Time
	// bytes is the total size of the values.
	bytes int
	codec *rowCodec
}

// batchJob is what a batch records about one job.
type batchJob struct {
	job      *Job
	dirtySeq uint64
	outcome  State
	// finished is set if the job has ended and none of its runs may still occupy capacity.
	finished    bool
	retired     bool
	wroteSpec   bool
	removedSpec bool
	wroteState  bool
	waiters     []Waiter
	// condition, write and run are the indices of its first ones in the batch.
	condition, write, run int
}

// markDirty marks a job as changed and queues it for recording.
func (c *Cell) markDirty(job *Job) {
	c.seq++
	job.remaining.known = false
	if job.dirty || job.aside.active {
		return
	}
	job.dirty = true
	job.dirtySeq = c.seq
	c.dirty = append(c.dirty, job)
}

// recordedUpTo returns the sequence number up to which all changes are recorded.
func (c *Cell) recordedUpTo() uint64 {
	upTo := c.seq
	for _, b := range c.batches {
		for _, e := range b.jobs {
			upTo = min(upTo, e.dirtySeq-1)
		}
	}
	if len(c.dirty) > 0 {
		upTo = min(upTo, c.dirty[0].dirtySeq-1)
	}
	return upTo
}

// TakeBatch returns the next write, or nil if there is nothing to record. Several
// batches may be in flight at a time, each with different jobs. While the table is
// slow, records that a caller or a start waits for go before progress updates.
func (c *Cell) TakeBatch(now time.Time) *Batch {
	b := &Batch{codec: &c.codec, takenAt: now}
	if c.tableSlow {
		c.fill(b, now, (*Job).recordAwaited)
	}
	c.fill(b, now, func(*Job) bool { return true })
	if len(b.jobs) == 0 {
		return nil
	}
	c.batches = append(c.batches, b)
	return b
}

// fill moves changed jobs for which wanted is true from the queue into the batch,
// until the batch is full.
func (c *Cell) fill(b *Batch, now time.Time, wanted func(*Job) bool) {
	var left []*Job
	for i, job := range c.dirty {
		if len(b.Conditions)+len(b.Writes)+2*maxRowsPerJob > maxBatchEntries || b.bytes >= maxBatchBytes || (len(b.jobs) > 0 && b.bytes+maxRowsPerJob*c.rowLimit() > maxWriteBytes) {
			left = append(left, c.dirty[i:]...)
			break
		}
		if job.aside.active {
			job.dirty = false
			continue
		}
		if job.inFlight || (c.tableSlow && job.defersToPlacement(now)) || !wanted(job) {
			left = append(left, job)
			continue
		}
		rows, err := c.encodeRows(now, job)
		if err != nil {
			c.dropUnencodable(now, job, err)
			continue
		}
		b.bytes += c.addToBatch(b, job, rows)
	}
	c.dirty = left
}

// BatchesWaiting returns the number of full batches that the changed jobs not yet in
// flight would make.
func (c *Cell) BatchesWaiting() int {
	waiting := 0
	for _, job := range c.dirty {
		if !job.inFlight {
			waiting++
		}
	}
	return waiting * 2 * maxRowsPerJob / maxBatchEntries
}

// recordAwaited reports whether a caller or a planned run waits for the job's record.
func (j *Job) recordAwaited() bool {
	if !j.accepted || len(j.waiters) > 0 {
		return true
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.current != nil && t.current.state == runPlanned }) {
				return true
			}
		}
	}
	return false
}

// SetTableSlow sets whether writes to the table are slow.
func (c *Cell) SetTableSlow(slow bool) { c.tableSlow = slow }

// defersToPlacement reports whether the record of a new job waits for its placement.
func (j *Job) defersToPlacement(now time.Time) bool {
	return !j.accepted && j.liveRuns == 0 && !j.outcome.Ended() && now.Sub(j.FirstSeen) < placementWait
}

// jobRows are the encoded rows of a job; nil for those that aren't written.
type jobRows struct{ spec, state []byte }

// encodeRows encodes the rows of a job. A row that can't be encoded is an error of that job alone.
func (c *Cell) encodeRows(now time.Time, job *Job) (rows jobRows, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v%s", cause, panicOrigin())
		}
	}()
	if !job.retired && (job.stateVersion != 0 || job.hasState()) {
		rows.state = c.encodeState(now, job)
	}
	if !job.finished() && job.specVersion == 0 && !job.specRemoved {
		rows.spec = c.codec.encode(job.JobSpec)
	}
	return rows, nil
}

// finished reports whether the job has ended and none of its runs may still occupy capacity.
func (j *Job) finished() bool { return j.outcome.Ended() && j.liveRuns == 0 }

// addToBatch adds the rows of a job to the batch and returns their size in bytes.
func (c *Cell) addToBatch(b *Batch, job *Job, rows jobRows) int {
	e := &batchJob{
		condition: len(b.Conditions), write: len(b.Writes), run: len(b.runs),

		job: job, dirtySeq: job.dirtySeq, outcome: job.outcome,
		finished: job.finished(), retired: job.retired, waiters: job.waiters,
	}
	b.jobs = append(b.jobs, e)
	job.dirty, job.inFlight, job.waiters = false, true, nil
	bytes := b.addSpec(e, rows.spec)
	if job.retired {
		// A delayed write of the spec row may have been applied after the row was removed.
		b.Writes = append(b.Writes, platform.Write{Key: specPrefix + job.ID, Delete: true})
		if job.stateVersion != 0 {
			b.remove(statePrefix+job.ID, job.stateVersion)
		}
		return bytes
	}
	if rows.state != nil {
		e.wroteState = true
		bytes += b.put(statePrefix+job.ID, job.stateVersion, rows.state)
	}
	for _, o := range job.occurrences {
		for _, s := range o.steps {
			b.addPlanned(s)
		}
	}
	return bytes
}

// addSpec writes or removes the job's spec row, which never changes. The row has no
// condition of its own, which would use up an entry of the batch: rewriting it is
// idempotent, and the state row says whether the job has ended.
func (b *Batch) addSpec(e *batchJob, value []byte) int {
	job := e.job
	key := specPrefix + job.ID
	switch {
	case e.finished && !e.retired && job.specVersion != 0:
		e.removedSpec = true
		b.Writes = append(b.Writes, platform.Write{Key: key, Delete: true})
	case value != nil:
		e.wroteSpec = true
		b.Writes = append(b.Writes, platform.Write{Key: key, Value: value})
		return len(value)
	}
	return 0
}

// addPlanned adds the planned runs of a step, which start once the batch is recorded.
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

// BatchRecorded handles the successful write of a batch with the given version:
// it calls waiters, starts planned runs and releases acknowledgements.
func (c *Cell) BatchRecorded(now time.Time, b *Batch, version uint64) {
	c.forgetBatch(b)
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
	for _, notify := range e.waiters {
		notify(RecordedYes)
	}
	if e.outcome.Ended() {
		job.shown = e.outcome
	}
	if e.finished {
		c.discardDetails(job)
	}
}

// discardDetails frees the specification and tasks of an ended job.
func (c *Cell) discardDetails(job *Job) {
	job.specRemoved = true
	job.occurrences, job.unopened, job.Steps, job.Text = nil, nil, nil, ""
	c.live = slices.DeleteFunc(c.live, func(j *Job) bool { return j == job })
}

// withdrawGangs stops every gang of which one member can't be started, before any
// other member is started.
func (c *Cell) withdrawGangs(now time.Time, runs []*Run) {
	for _, r := range runs {
		if r.task.step.spec.Gang && r.state == runPlanned && c.dropReason(now, r) != "" {
			c.stopGang(now, r.task.step)
		}
	}
}

// runRecorded sends the start command of a run whose record is written, if the run is
// still wanted and its ticket still valid.
func (c *Cell) runRecorded(now time.Time, r *Run) {
	if r.state != runPlanned || r.worker.runs[r.RunKey] != r {
		return
	}
	if reason := c.dropReason(now, r); reason != "" {
		c.withdraw(now, r, reason)
		return
	}
	r.state, r.sentAt = runStarting, now
	t := r.task
	checkpoint := t.checkpoint
	if t.step.spec.Gang {
		checkpoint = t.step.checkpoint
	}
	c.actions.Starts = append(c.actions.Starts, StartCommand{
		Worker: r.worker.ID, Incarnation: r.worker.incarnation, RunKey: r.RunKey, Text: t.step.occ.job.Text, Checkpoint: checkpoint, Ticket: r.ticket,
		TextHolder: t.step.occ.job.textHolder,
	})
}

// dropReason returns why a recorded run must not be started; empty if it may be.
func (c *Cell) dropReason(now time.Time, r *Run) string {
	w := r.worker
	switch {
	case r.task.step.occ.job.aside.active:
		return "job set aside"
	case r.stop.wanted:
		return "stop requested"
	case !w.unreachableSince.IsZero():
		return "worker unreachable"
	case w.Draining:
		return "worker draining"
	case c.evacuated(w):
		return "failure domain evacuated"
	case r.incarnation != w.incarnation, !r.task.step.matches(c.upstreamOf(r.task.step.occ.job), w):
		return "worker has started again"
	case !w.capacityKnown():
		return "capacity of the worker's incarnation unknown"
	case w.overCapacity():
		return "worker's capacity has shrunk"
	case r.ticket != "" && !r.ticketUntil.After(now.Add(ticketMargin)):
		return "ticket expires too soon"
	}
	return ""
}

// withdraw drops a run that is certain not to be on its worker, because its start was
// not sent or was rejected, and stops the rest of its gang.
func (c *Cell) withdraw(now time.Time, r *Run, reason string) {
	t := r.task
	c.dropRun(r)
	c.health.AbortProbe(r.worker.ID)
	if t.current == r {
		t.current = nil
	}
	c.note(Note{Kind: NoteRunWithdrawn, Job: t.step.occ.job.ID, Task: r.Task, Run: r.Number, Worker: r.worker.ID, Reason: reason})
	if t.step.spec.Gang && !t.done {
		c.stopGang(now, t.step)
	}
	c.markDirty(t.step.occ.job)
}
