package cell

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// StepSpec is one step of a job: Count like tasks.
type StepSpec struct {
	Count int `json:"count"`
	// Need is the room that a task takes on a worker.
	Need resource.Amount `json:"need"`
	// Fills is set for tasks that run on what the others leave of a worker's
	// processors. FillCPU is what they may use of them, in thousandths; it counts for
	// the team and not for the worker.
	Fills   bool  `json:"fills,omitempty"`
	FillCPU int64 `json:"fill_cpu,omitempty"`
	// Target bounds the tail of the response times that a task gives its own users; 0
	// is for tasks that serve none.
	Target   time.Duration `json:"target,omitempty"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps whose tasks must be done first.
	After []int `json:"after,omitempty"`
	// Gang tasks run only together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks take longer when they spread over racks.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// PreferredRack is the rack where the data is.
	PreferredRack string `json:"preferred_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 is no bound.
	MaxPerWorker int  `json:"max_per_worker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// Checkpointing tasks can go on from their last checkpoint.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// MayMiss is how many long-running tasks may be away at a time; 0 is no bound.
	MayMiss int `json:"may_miss,omitempty"`
}

// charge is what a task counts for its team.
func (s *StepSpec) charge() resource.Amount {
	charge := s.Need
	charge.MilliCPU += s.FillCPU
	return charge
}

// JobSpec is what a client hands in. It doesn't change.
type JobSpec struct {
	ID    string     `json:"id"`
	Queue string     `json:"queue"`
	Team  string     `json:"team"`
	Text  string     `json:"text"`
	Steps []StepSpec `json:"steps"`
	// Repeat is how many times the steps run; 0 is once, at once.
	Repeat   int           `json:"repeat,omitempty"`
	FirstDue time.Time     `json:"first_due,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// Upstream and Policy are those of the queue at acceptance.
	Upstream string         `json:"upstream"`
	Policy   catalog.Policy `json:"policy"`
	// FirstSeen is when the job first reached an entry.
	FirstSeen time.Time `json:"first_seen"`
	// Surplus is set for jobs beyond the team's weight.
	Surplus bool `json:"surplus,omitempty"`
}

// State is how far a job has come.
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
	// outcome is the final state once there is one; shown is what callers see,
	// which follows what is recorded.
	outcome State
	shown   State
	endedAt time.Time
	started bool
	// arrived is when the job came to this scheduler, placed is set once a run of it was
	// planned.
	arrived time.Time
	placed  bool
	// accepted is set once the job's row is recorded.
	accepted bool
	occs     []*occurrence
	// live counts runs that may still take room somewhere.
	live int

	specVersion  uint64
	stateVersion uint64
	specGone     bool
	dirtyAt      uint64
	dirty        bool
	inFlight     bool
	// retired jobs are forgotten once their row is deleted.
	retired bool
	waiters []Waiter
	// wholeChain caches fullChain.
	wholeChain time.Duration
}

// occurrence is one time that the steps of a job run.
type occurrence struct {
	job   *Job
	index int
	due   time.Time
	steps []*step
	// chainLeft caches chain for a number of done tasks, chainKnown says for which.
	chainLeft  time.Duration
	chainKnown int
	done       int
}

// step is a step of one occurrence.
type step struct {
	occ   *occurrence
	index int
	spec  *StepSpec
	tasks []*task
	done  int
	// failedRuns are the numbers of a gang's failed runs.
	failedRuns map[int]bool
	// checkpoint is that of a gang.
	checkpoint string
	advice     adviceState
	// spans are the times of tasks that are done.
	spans []taskDuration
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
	// avoid is the worker on which the last run failed.
	avoid string
	// stuck counts the runs that were stopped since they stood still.
	stuck int
	// deferred is when the task may start again after a failure.
	deferred time.Time
}

// Waiter is told once how recording a call's change ended.
type Waiter func(Recorded)

// Recorded is how recording a change ended.
type Recorded int

// The ways in which recording ends.
const (
	// RecordedYes: the change is in the table.
	RecordedYes Recorded = iota
	// RecordedNo: the change surely isn't and won't be in the table.
	RecordedNo
	// RecordedUnknown: nobody knows.
	RecordedUnknown
)

func (t *task) name() string {
	s := t.step
	return s.occ.job.ID + "." + strconv.Itoa(s.occ.index) + "." + strconv.Itoa(s.index) + "." + strconv.Itoa(t.index)
}

func (s *step) name() string {
	return s.occ.job.ID + "." + strconv.Itoa(s.occ.index) + "." + strconv.Itoa(s.index)
}

// taskRef is a parsed task name.
type taskRef struct {
	job              string
	occ, step, index int
}

// parseTask reads a name of the form ID.K.STEP.INDEX.
func parseTask(name string) (taskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskRef{}, fmt.Errorf("task name %q has %d parts, not 4", name, len(parts))
	}
	ref := taskRef{job: parts[0]}
	for i, to := range []*int{&ref.occ, &ref.step, &ref.index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return taskRef{}, fmt.Errorf("task name %q: part %d is no number", name, i+1)
		}
		*to = n
	}
	return ref, nil
}

func newJob(spec JobSpec) *Job {
	j := &Job{JobSpec: spec, shown: Queued}
	if spec.Repeat <= 0 {
		j.addOccurrence(0, spec.FirstSeen)
	}
	return j
}

// addOccurrence makes the tasks of occurrence index.
func (j *Job) addOccurrence(index int, due time.Time) *occurrence {
	o := &occurrence{job: j, index: index, due: due}
	for i := range j.Steps {
		s := &step{occ: o, index: i, spec: &j.Steps[i]}
		s.tasks = make([]*task, s.spec.Count)
		for n := range s.tasks {
			s.tasks[n] = &task{step: s, index: n}
		}
		o.steps = append(o.steps, s)
	}
	j.occs = append(j.occs, o)
	return o
}

// dueOf returns when an occurrence of a repeated job is due.
func (j *Job) dueOf(index int) time.Time {
	return j.FirstDue.Add(time.Duration(index) * j.Interval)
}

// openOccurrences makes the occurrences that are due at now.
func (j *Job) openOccurrences(now time.Time) {
	for len(j.occs) < j.Repeat && !j.dueOf(len(j.occs)).After(now) {
		j.addOccurrence(len(j.occs), j.dueOf(len(j.occs)))
	}
}

// find returns the task that ref names, or nil.
func (j *Job) find(ref taskRef) *task {
	if ref.occ >= len(j.occs) || ref.step >= len(j.Steps) {
		return nil
	}
	s := j.occs[ref.occ].steps[ref.step]
	if ref.index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.index]
}

// complete reports whether every task of the job is done.
func (j *Job) complete() bool {
	if len(j.occs) < j.Repeat {
		return false
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.done < len(s.tasks) {
				return false
			}
		}
	}
	return true
}

// ready reports whether the steps that s comes after are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if b := s.occ.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

// markDone notes that the task ended done.
func (t *task) markDone() {
	if !t.done {
		t.done = true
		t.step.done++
		t.step.occ.done++
	}
}

// chain returns the estimated time of the longest chain of steps of o that
// aren't done.
func (o *occurrence) chain() time.Duration {
	if o.chainKnown != o.done+1 {
		o.chainLeft, o.chainKnown = o.longestChain(), o.done+1
	}
	return o.chainLeft
}

func (o *occurrence) longestChain() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		var begin time.Duration
		for _, before := range s.spec.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if s.done < len(s.tasks) {
			ends[i] += s.spec.Estimate
			if a := s.occ.job.Policy.Advice; a != nil {
				ends[i] += a.CallTime(typicalAdviceWorkers)
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// fullChain is the estimated time of the whole chain, done or not.
func (j *Job) fullChain() time.Duration {
	if j.wholeChain == 0 {
		j.wholeChain = j.findFullChain()
	}
	return j.wholeChain
}

func (j *Job) findFullChain() time.Duration {
	o := occurrence{job: j}
	for i := range j.Steps {
		o.steps = append(o.steps, &step{occ: &o, index: i, spec: &j.Steps[i], tasks: make([]*task, 1)})
	}
	return o.longestChain()
}

// objective is how long the job may take from its first arrival.
func (j *Job) objective() time.Duration {
	stretch := max(j.Policy.Stretch, 1)
	return time.Duration(stretch*float64(j.fullChain())) + j.Policy.Target
}
