package cell

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// StepSpec specifies one step of a job: Count identical tasks.
type StepSpec struct {
	Count int `json:"count"`
	// Need is the capacity that a task occupies on a worker.
	Need resource.Amount `json:"need"`
	// BestEffort is set for best-effort tasks, which run on processors that the other
	// tasks of a worker leave idle. BestEffortCPU is how much CPU such a task may use, in
	// thousandths of a core; it is added to the team's usage but not to the worker's.
	BestEffort    bool  `json:"fills,omitempty"`
	BestEffortCPU int64 `json:"fill_cpu,omitempty"`
	// Target is the target tail latency of the requests that a task serves; 0 if it
	// serves none.
	Target time.Duration `json:"target,omitempty"`
	// Estimate is the expected run time of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps whose tasks must be done first.
	After []int `json:"after,omitempty"`
	// Gang is set if the tasks of the step run only all at once.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set for tasks that take longer when spread over racks.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// PreferredRack is the rack where the data is.
	PreferredRack string `json:"preferred_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative allows redundant copies of a task to run in parallel.
	Speculative bool `json:"speculative,omitempty"`
	// Checkpointing is set for tasks that can resume from their last checkpoint.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// LongRunning is set for tasks that run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// MaxUnavailable is how many long-running tasks may be unavailable at a time; 0 means
	// no limit.
	MaxUnavailable int `json:"may_miss,omitempty"`
}

// charge returns the amount that a task adds to its team's usage.
func (s *StepSpec) charge() resource.Amount {
	charge := s.Need
	charge.MilliCPU += s.BestEffortCPU
	return charge
}

// JobSpec is a job as submitted by a client. It is immutable.
type JobSpec struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Team  string `json:"team"`
	// Text is the client's specification of the work, passed to the worker with each start.
	Text  string     `json:"text"`
	Steps []StepSpec `json:"steps"`
	// Repeat is the number of occurrences of the job, every Interval from FirstDue on;
	// 0 means that it runs once, immediately.
	Repeat   int           `json:"repeat,omitempty"`
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// Upstream and Policy are copied from the queue at acceptance.
	Upstream string         `json:"upstream"`
	Policy   catalog.Policy `json:"policy"`
	// FirstSeen is when the job first reached an entry.
	FirstSeen time.Time `json:"first_seen"`
	// OverShare is set for jobs beyond the team's guaranteed share.
	OverShare bool `json:"surplus,omitempty"`
}

// State is the state of a job as shown to clients.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Job is an accepted job, or one whose acceptance is being recorded.
type Job struct {
	JobSpec
	// outcome is the final state, empty until the job ends. shown is the recorded state,
	// which clients see.
	outcome State
	shown   State
	endedAt time.Time
	started bool
	// failure says why the job failed, if a task of it crashed its workers.
	failure string
	// arrivedAt is when the job was submitted to this scheduler; placed is set once a run
	// of it has been planned.
	arrivedAt time.Time
	placed    bool
	// textHolder is the entry through which the job was submitted last to this scheduler.
	textHolder string
	// accepted is set once the job's row is recorded.
	accepted bool
	// occurrences are those that have begun and aren't done, by index; unopened holds those that haven't
	// begun. All others are done.
	occurrences []*occurrence
	unopened    []span
	// openedIn is the number of the last pass that opened an occurrence of the job.
	openedIn uint64
	// liveRuns is the number of runs that may still occupy capacity on a worker.
	liveRuns int

	// tasks is the number of tasks of an occurrence, specBytes the memory that the specification takes and
	// occurrenceBytes that of each open occurrence.
	tasks           int
	specBytes       int64
	occurrenceBytes int64
	// stateBytes is the size of the row of the job's progress as it was last encoded, stateEntries the
	// number of tasks in it.
	stateBytes, stateEntries int

	specVersion  uint64
	stateVersion uint64
	specRemoved  bool
	dirtySeq     uint64
	dirty        bool
	inFlight     bool
	// aside says whether the job is set aside, because its rows can't be decoded or its handling
	// panicked.
	aside asideState
	// retired is set on an ended job that is dropped as soon as its rows are deleted.
	retired bool
	// waiters are called once the outcome of recording the pending change is known.
	waiters []Waiter
	// remaining is the cached work that isn't done.
	remaining remaining
	// cachedFullPath is the cached result of fullCriticalPath.
	cachedFullPath time.Duration
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job   *Job
	index int
	due   time.Time
	steps []*step
	// cachedPath is the cached result of criticalPath, valid while done is cachedPathKey-1.
	cachedPath    time.Duration
	cachedPathKey int
	done          int
}

// step is a step of one occurrence.
type step struct {
	occ   *occurrence
	index int
	spec  *StepSpec
	tasks []*task
	done  int
	// failedRuns holds the numbers of a gang's failed runs.
	failedRuns map[int]bool
	// crashed is set once a worker may have crashed under a task of the step.
	crashed bool
	// besideOthers is set if a gang that is suspect is to be placed beside others: it has waited long,
	// and is hardly to blame or too few workers can be empty.
	besideOthers bool
	// checkpoint is the last checkpoint of a gang.
	checkpoint string
	// gangEnd is when a gang is expected to end, as of gangEndAt; zero before its runs are
	// listed.
	gangEnd   time.Time
	gangEndAt time.Time
	// waitingSince is when the step was first found waiting for placement; zero while nothing
	// of it waits.
	waitingSince time.Time
	// progressedAt is when the step's turn came or, later, a run of it last began or ended on a
	// worker; zero while that isn't known.
	progressedAt time.Time
	// lookedIn is the number of the last round that tried to place the step.
	lookedIn uint64
	advice   adviceState
	// avoided holds the workers on which starts of the step failed lately.
	avoided map[*Worker]avoidance
	// durations holds the run times of completed tasks.
	durations []taskDuration
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	lastRun    int
	failedRuns map[int]bool
	checkpoint string
	current    *Run
	// crashes holds the crashes of workers under the task. A member of a gang has its own.
	crashes []crash
	// lost is the loss of the last run with its worker, as a crash, if that may have been one; empty if
	// the worker showed how it ended.
	lost []crash
	// apartSince is since when the task waits to be placed apart from others; zero if it doesn't.
	apartSince time.Time
	// besideOthers is set if the task, a suspect, is to be placed beside others: it has waited long,
	// and is hardly to blame or no worker can be empty.
	besideOthers bool
	// avoidWorker is the worker on which the last run failed.
	avoidWorker string
	// stalledRuns counts the runs that were stopped because they made no progress.
	stalledRuns int
	// retryAt is when the task may be placed again after a refused or undelivered start.
	retryAt time.Time
}

// Waiter is called once with the outcome of recording a change.
type Waiter func(Recorded)

// Recorded is the outcome of recording a change.
type Recorded int

// The outcomes of recording a change.
const (
	// RecordedYes means that the change is in the table.
	RecordedYes Recorded = iota
	// RecordedNo means that the change isn't in the table and never will be.
	RecordedNo
	// RecordedUnknown means that the write got no reply, so the change may be in the
	// table.
	RecordedUnknown
	// RecordedRefused means that the change isn't in the table, which takes no such row.
	RecordedRefused
)

// name returns the task's name in the form ID.K.STEP.INDEX, where K is the number of
// the occurrence.
func (t *task) name() string {
	s := t.step
	return s.occ.job.ID + "." + strconv.Itoa(s.occ.index) + "." + strconv.Itoa(s.index) + "." + strconv.Itoa(t.index)
}

// name returns the step's name in the form ID.K.STEP.
func (s *step) name() string {
	return s.occ.job.ID + "." + strconv.Itoa(s.occ.index) + "." + strconv.Itoa(s.index)
}

// taskRef is a parsed task name.
type taskRef struct {
	job              string
	occ, step, index int
}

// parseTask parses a task name of the form ID.K.STEP.INDEX.
func parseTask(name string) (taskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskRef{}, fmt.Errorf("task name %q has %d parts, not 4", name, len(parts))
	}
	ref := taskRef{job: parts[0]}
	for i, to := range []*int{&ref.occ, &ref.step, &ref.index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return taskRef{}, fmt.Errorf("task name %q: part %d is not a non-negative integer", name, i+1)
		}
		*to = n
	}
	return ref, nil
}

// newJob returns a job of which no occurrence has begun.
func newJob(spec JobSpec) *Job {
	j := &Job{JobSpec: spec, shown: Queued, unopened: []span{{from: 0, to: spec.total()}}}
	for i := range spec.Steps {
		j.tasks += spec.Steps[i].Count
	}
	j.specBytes, j.occurrenceBytes = spec.HeldBytes(), spec.occurrenceBytes()
	return j
}

// ready reports whether the steps listed in After are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if b := s.occ.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

// markDone marks the task as completed successfully. It is idempotent.
func (t *task) markDone() {
	if !t.done {
		t.done = true
		t.step.done++
		t.step.occ.done++
	}
}
