package cell

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Prefixes of the keys of a cell's rows. A job has a row for what never changes,
// which goes when it ends, and one for how far it has come.
const (
	specPrefix  = "s/"
	statePrefix = "t/"
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

// stateRow is how far a job has come. Names are short since it is written often.
type stateRow struct {
	Outcome State     `json:"o,omitempty"`
	Ended   time.Time `json:"e,omitzero"`
	Queue   string    `json:"q,omitempty"`
	Team    string    `json:"c,omitempty"`
	Started bool      `json:"b,omitempty"`
	Occs    []occRow  `json:"k,omitempty"`
}

type occRow struct {
	Steps []stepRow `json:"s"`
}

// stepRow is a step's progress; Done has a character a task, empty if none is done.
type stepRow struct {
	Done       string    `json:"d,omitempty"`
	Failed     []int     `json:"f,omitempty"`
	Checkpoint string    `json:"p,omitempty"`
	Tasks      []taskRow `json:"t,omitempty"`
}

// taskRow is a task that has run and isn't done, or whose run isn't over.
type taskRow struct {
	Index      int    `json:"i"`
	Last       int    `json:"r,omitempty"`
	Failed     []int  `json:"f,omitempty"`
	Checkpoint string `json:"p,omitempty"`
	// Worker is where the last run may still be.
	Worker string `json:"w,omitempty"`
}

// Batch is one write to the table.
type Batch struct {
	Conditions []platform.Condition
	Writes     []platform.Write
	jobs       []*batchJob
	runs       []*Run
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
		upTo = min(upTo, b.jobs[0].dirtyAt-1)
	}
	if len(c.dirty) > 0 {
		upTo = min(upTo, c.dirty[0].dirtyAt-1)
	}
	return upTo
}

// TakeBatch returns the next write, or nil if there is nothing to record. Several
// may be on their way at a time, each with jobs of its own.
func (c *Cell) TakeBatch(now time.Time) *Batch {
	b := &Batch{}
	bytes := 0
	var left []*Job
	for i, job := range c.dirty {
		full := len(b.Conditions)+len(b.Writes)+2*maxRowsPerJob > maxBatchEntries || bytes >= maxBatchBytes
		if full {
			left = append(left, c.dirty[i:]...)
			break
		}
		if job.inFlight || (c.slowTable && job.mayJoin(now)) {
			left = append(left, job)
			continue
		}
		bytes += b.add(job)
	}
	c.dirty = left
	if len(b.jobs) == 0 {
		return nil
	}
	c.batches = append(c.batches, b)
	return b
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

// addSpec puts or removes the row of what never changes.
func (b *Batch) addSpec(e *batchJob) int {
	job := e.job
	switch {
	case e.over && job.specVersion != 0:
		e.removedSpec = true
		b.remove(specPrefix+job.ID, job.specVersion)
	case !e.over && job.specVersion == 0 && !job.specGone:
		e.wroteSpec = true
		return b.put(specPrefix+job.ID, 0, encode(job.JobSpec))
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

// encode returns a row's value. The types hold nothing that JSON can't.
func encode(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", row, err))
	}
	return value
}

// hasState reports whether there is more to record than the acceptance.
func (j *Job) hasState() bool {
	if j.outcome.Ended() || len(j.occs) > 1 {
		return true
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.done > 0 || slices.ContainsFunc(s.tasks, func(t *task) bool { return t.lastRun > 0 }) {
				return true
			}
		}
	}
	return false
}

func (j *Job) stateRow() stateRow {
	row := stateRow{Outcome: j.outcome, Ended: j.endedAt, Started: j.started}
	if j.outcome.Ended() {
		row.Queue, row.Team = j.Queue, j.Team
	}
	if j.outcome.Ended() && j.live == 0 {
		return row
	}
	for _, o := range j.occs {
		var or occRow
		for _, s := range o.steps {
			or.Steps = append(or.Steps, s.row())
		}
		row.Occs = append(row.Occs, or)
	}
	return row
}

func (s *step) row() stepRow {
	row := stepRow{Failed: sortedNumbers(s.failedRuns), Checkpoint: s.checkpoint}
	if s.done > 0 {
		done := make([]byte, len(s.tasks))
		for i, t := range s.tasks {
			done[i] = '0'
			if t.done {
				done[i] = '1'
			}
		}
		row.Done = string(done)
	}
	for _, t := range s.tasks {
		if t.current == nil && (t.done || t.lastRun == 0) {
			continue
		}
		tr := taskRow{Index: t.index, Last: t.lastRun, Failed: sortedNumbers(t.failedRuns), Checkpoint: t.checkpoint}
		if t.current != nil {
			tr.Worker = t.current.worker.ID
		}
		row.Tasks = append(row.Tasks, tr)
	}
	return row
}

func sortedNumbers(set map[int]bool) []int {
	numbers := make([]int, 0, len(set))
	for n := range set {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
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
	if t.current == r {
		t.current = nil
	}
	c.note(Note{Kind: NotePlacementDropped, Job: t.step.occ.job.ID, Task: r.Task, Run: r.Number, Worker: r.worker.ID, Reason: reason})
	if t.step.spec.Gang && !t.done {
		c.stopGang(now, t.step)
	}
	c.touch(t.step.occ.job)
}

// Load returns a cell with the jobs that its rows hold. A row that can't be read
// is an error that names it.
func Load(settings Settings, rows []platform.Row) (*Cell, error) {
	c := New(settings, nil)
	states := make(map[string]platform.Row)
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, specPrefix):
			var spec JobSpec
			if err := json.Unmarshal(row.Value, &spec); err != nil {
				return nil, fmt.Errorf("row %s: %w", row.Key, err)
			}
			job := newJob(spec)
			job.accepted = true
			job.specVersion = row.Version
			c.jobs[job.ID] = job
			c.live = append(c.live, job)
		case strings.HasPrefix(row.Key, statePrefix):
			states[strings.TrimPrefix(row.Key, statePrefix)] = row
		}
	}
	for id, row := range states {
		if err := c.loadState(id, row); err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	return c, nil
}

func (c *Cell) loadState(id string, row platform.Row) error {
	var state stateRow
	if err := json.Unmarshal(row.Value, &state); err != nil {
		return err
	}
	job := c.jobs[id]
	if job == nil {
		job = &Job{JobSpec: JobSpec{ID: id, Queue: state.Queue, Team: state.Team}, specGone: true, accepted: true}
		c.jobs[id] = job
	}
	job.stateVersion = row.Version
	job.outcome, job.shown, job.endedAt, job.started = state.Outcome, state.Outcome, state.Ended, state.Started
	if job.shown == "" {
		job.shown = Queued
	}
	if job.specGone {
		return nil
	}
	if job.outcome.Ended() {
		job.endedAt = state.Ended
	}
	for k, or := range state.Occs {
		if k >= len(job.occs) {
			job.addOccurrence(k, job.dueOf(k))
		}
		for i, sr := range or.Steps {
			if i < len(job.occs[k].steps) {
				c.loadStep(job.occs[k].steps[i], sr)
			}
		}
	}
	return nil
}

func (c *Cell) loadStep(s *step, row stepRow) {
	s.checkpoint = row.Checkpoint
	s.failedRuns = numberSet(row.Failed)
	for i, t := range s.tasks {
		if i < len(row.Done) && row.Done[i] == '1' {
			t.markDone()
		}
	}
	for _, tr := range row.Tasks {
		if tr.Index < 0 || tr.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[tr.Index]
		t.lastRun, t.checkpoint, t.failedRuns = tr.Last, tr.Checkpoint, numberSet(tr.Failed)
		if tr.Worker != "" {
			c.addRun(t, c.workerNamed(tr.Worker), runAdopted)
		}
	}
}

func numberSet(numbers []int) map[int]bool {
	set := make(map[int]bool, len(numbers))
	for _, n := range numbers {
		set[n] = true
	}
	return set
}

// workerNamed returns the worker, known from a record only if need be.
func (c *Cell) workerNamed(id string) *Worker {
	w := c.workers[id]
	if w == nil {
		w = &Worker{WorkerInfo: WorkerInfo{ID: id}, runs: make(map[RunKey]*Run), strays: make(map[RunKey]time.Time)}
		c.workers[id] = w
		c.workerOrder = append(c.workerOrder, w)
	}
	return w
}

// addRun puts the task's last run on w and takes its room.
func (c *Cell) addRun(t *task, w *Worker, state runState) *Run {
	job := t.step.occ.job
	r := &Run{
		RunKey: RunKey{Task: t.name(), Number: t.lastRun},
		task:   t, worker: w, need: t.step.spec.Need, team: job.Team, state: state,
	}
	w.runs[r.RunKey] = r
	w.use(r.need)
	c.usage[r.team] = c.usage[r.team].Add(r.need)
	t.current = r
	job.live++
	return r
}
