package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Loader builds a cell from its rows, which it doesn't keep.
type Loader struct {
	cell *Cell
	// specBytes is the memory that the specifications take.
	specBytes int64
}

// NewLoader returns a loader of an empty cell.
func NewLoader(settings Settings) *Loader { return &Loader{cell: New(settings, nil)} }

// Add adds rows in the order of their keys: a job's specification comes before its progress. A job with
// a row that can't be decoded is set aside and noted; its rows stay as they are.
func (l *Loader) Add(rows []platform.Row) {
	for _, row := range rows {
		if id, ok := strings.CutPrefix(row.Key, specPrefix); ok {
			l.addSpec(id, row)
		} else if id, ok := strings.CutPrefix(row.Key, statePrefix); ok {
			if err := l.cell.loadState(id, row); err != nil {
				l.cell.setAsideRow(id, row, err)
			}
		}
	}
}

// TakeNotes returns the notes on the rows that were added since the last call.
func (l *Loader) TakeNotes() []Note { return l.cell.TakeActions().Notes }

// Cell returns the cell with the jobs of all rows that were added.
func (l *Loader) Cell() *Cell {
	l.cell.openRecorded()
	return l.cell
}

// Load returns a cell with the jobs stored in rows, in any order.
func Load(settings Settings, rows []platform.Row) *Cell {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b platform.Row) int { return compareStrings(a.Key, b.Key) })
	l := NewLoader(settings)
	l.Add(sorted)
	return l.Cell()
}

// addSpec adds the job of a spec row.
func (l *Loader) addSpec(id string, row platform.Row) {
	spec, err := decodeSpec(id, row)
	if err == nil {
		if l.specBytes += spec.HeldBytes(); l.specBytes > l.cell.memoryLimit() {
			l.specBytes -= spec.HeldBytes()
			err = fmt.Errorf("the job takes %d bytes of memory, and specifications already take %d", spec.HeldBytes(), l.specBytes)
		}
	}
	if err != nil {
		l.cell.setAsideRow(id, row, err)
		return
	}
	l.cell.noteLarge(&spec, len(row.Value))
	job := newJob(spec)
	job.accepted = true
	job.specVersion = row.Version
	l.cell.jobs[id] = job
	l.cell.live = append(l.cell.live, job)
}

// decodeSpec decodes a spec row.
func decodeSpec(id string, row platform.Row) (JobSpec, error) {
	var spec JobSpec
	if err := decodeRow(row.Value, &spec); err != nil {
		return spec, err
	}
	if spec.ID != id {
		return spec, fmt.Errorf("id: the row is of job %q", spec.ID)
	}
	for i := range spec.Steps {
		// Earlier versions recorded any estimate.
		spec.Steps[i].Estimate = max(0, spec.Steps[i].Estimate)
	}
	return spec, spec.checkStructure()
}

// loadState restores the progress of a job, or an ended job that has no spec row.
func (c *Cell) loadState(id string, row platform.Row) error {
	var state stateRow
	if err := decodeRow(row.Value, &state); err != nil {
		return err
	}
	job := c.jobs[id]
	if job != nil && job.aside.active {
		return nil
	}
	if job == nil {
		job = &Job{JobSpec: JobSpec{ID: id, Queue: state.Queue, Team: state.Team}, specRemoved: true, accepted: true}
		c.jobs[id] = job
	}
	job.stateVersion = row.Version
	job.outcome, job.shown, job.endedAt, job.started = state.Outcome, state.Outcome, state.Ended, state.Started
	job.failure = state.Failure
	if job.shown == "" {
		job.shown = Queued
	}
	if job.specRemoved {
		return nil
	}
	if job.outcome.Ended() {
		job.endedAt = state.Ended
	}
	return c.loadOccurrences(job, &state.Occs)
}

// loadOccurrences restores the progress of a job's occurrences. Only those with a run that may be live are
// opened: there may be more than the process has memory for.
func (c *Cell) loadOccurrences(job *Job, rows *occRows) error {
	if err := rows.check(job.total()); err != nil {
		return err
	}
	var live []int
	unopened := job.unopened[:0]
	err := rows.each(func(row occRow) error {
		switch {
		case row.Unbegun > 0 || !row.begun():
			if last := len(unopened) - 1; last >= 0 && unopened[last].recorded == nil && unopened[last].to == row.Index {
				unopened[last].to = row.end()
				return nil
			}
			unopened = append(unopened, span{from: row.Index, to: row.end()})
		case row.done(job.Steps):
		default:
			unopened = append(unopened, span{from: row.Index, to: row.end(), recorded: &row})
			if row.live() {
				live = append(live, row.Index)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if rows.next < job.total() {
		unopened = append(unopened, span{from: rows.next, to: job.total()})
	}
	job.unopened = unopened
	for _, index := range live {
		c.open(job, index)
	}
	return nil
}

// loadSteps restores the progress of an occurrence's steps.
func (c *Cell) loadSteps(o *occurrence, rows []stepRow) {
	for i, row := range rows[:min(len(rows), len(o.steps))] {
		c.loadStep(o.steps[i], row)
	}
}

// loadStep restores the progress of a step and adopts its runs that may be live.
func (c *Cell) loadStep(s *step, row stepRow) {
	s.checkpoint = row.Checkpoint
	s.failedRuns = numberSet(row.Failed)
	for i, t := range s.tasks {
		t.crashes = loadGangCrashes(row.GangCrashes)
		s.crashed = s.crashed || len(t.crashes) > 0
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
		t.crashes = append(t.crashes, loadCrashes(tr.Crashes)...)
		s.crashed = s.crashed || len(t.crashes) > 0
		t.retryAt = t.restartAt()
		if tr.Worker != "" {
			c.addRun(t, c.ensureWorker(tr.Worker), runAdopted)
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

// ensureWorker returns the worker with the given id. A worker that the directory
// hasn't listed is created from its id alone.
func (c *Cell) ensureWorker(id string) *Worker {
	w := c.workers[id]
	if w == nil {
		w = &Worker{WorkerInfo: WorkerInfo{ID: id}, runs: make(map[RunKey]*Run), unknownRuns: make(map[RunKey]time.Time)}
		c.workers[id] = w
		c.workerOrder = append(c.workerOrder, w)
		c.byFree = nil
	}
	return w
}

// addRun adds the task's last run to w and allocates its capacity.
func (c *Cell) addRun(t *task, w *Worker, state runState) *Run {
	job := t.step.occ.job
	r := &Run{
		RunKey: RunKey{Task: t.name(), Number: t.lastRun},
		task:   t, worker: w, incarnation: w.incarnation, need: t.step.spec.Need, team: job.Team, state: state,
	}
	r.isolated = t.suspect()
	r.pace = fullPace
	if state == runAdopted {
		r.pace = unknownPace
	}
	w.attach(r)
	c.usage[r.team] = c.usage[r.team].Add(t.step.spec.charge())
	t.current = r
	job.liveRuns++
	c.runs++
	return r
}
