package jobs

import (
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

// task is one task of a job.
type task struct {
	state TaskState
	// attempt is the number of the last attempt that was recorded.
	attempt int
	// failures counts the attempts that failed or were lost.
	failures   int
	worker     string
	block      string
	epoch      uint64
	checkpoint string
	// owner is the instance that last confirmed the attempt; not in the row.
	owner string
	// since is when the state was entered; not in the row.
	since time.Time
	// notBefore delays the next attempt; not in the row.
	notBefore time.Time
}

// job is guarded by its shard's lock.
type job struct {
	spec      Spec
	tasks     []task
	cancelled bool
	// started is when a task was first seen running; zero if none was.
	started time.Time

	// version is that of the row in the table; 0 before the first write.
	version uint64
	// sent are the values of the writes that are not known to have succeeded or
	// failed, for reading back.
	sent [][]byte
	// undecided says that the outcome of an earlier write is unknown.
	outcomeUnknown bool
	dirty          bool
	deleting       bool
	waiters        []chan error

	// starts counts the start calls that may still start a task.
	startCalls int
	startsDone chan struct{}

	placing     bool
	notBefore   time.Time
	failedTries int
	limit       string
	dimension   string
	neverFits   bool
	endedAt     time.Time
}

func newJob(spec Spec) *job {
	j := &job{spec: spec, tasks: make([]task, spec.Tasks)}
	for i := range j.tasks {
		j.tasks[i].state = Pending
	}
	return j
}

func taskName(id string, index int) string { return fmt.Sprintf("%s/%d", id, index) }

// indexOf returns the index in a task's name "JOB/INDEX".
func indexOf(name string) (int, bool) {
	var index int
	id := tasks.JobOf(name)
	if len(id)+1 >= len(name) {
		return 0, false
	}
	if _, err := fmt.Sscanf(name[len(id)+1:], "%d", &index); err != nil {
		return 0, false
	}
	return index, true
}

func (j *job) task(ref worker.TaskRef) *task {
	index, ok := indexOf(ref.Task)
	if !ok || index < 0 || index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[index]
}

func (j *job) located(index int) tasks.Located {
	t := &j.tasks[index]
	return tasks.Located{
		TaskRef: worker.TaskRef{Task: taskName(j.spec.ID, index), Attempt: t.attempt},
		Worker:  t.worker,
	}
}

func (j *job) counts() Counts {
	var c Counts
	for i := range j.tasks {
		switch j.tasks[i].state {
		case Pending:
			c.Pending++
		case Assigned:
			c.Assigned++
		case Running:
			c.Running++
		case Done:
			c.Done++
		case Failed:
			c.Failed++
		case Cancelled:
			c.Cancelled++
		}
	}
	return c
}

func (j *job) view() Job {
	return Job{
		ID: j.spec.ID, Team: j.spec.Team, Kind: j.spec.Kind,
		Created: j.spec.Created, Deadline: j.spec.Deadline,
		Cancelled: j.cancelled, Ended: j.ended(), Tasks: j.counts(),
		Waited: j.waited(),
	}
}

// waited returns the time from acceptance to the first start, 0 before it.
func (j *job) waited() time.Duration {
	if j.started.IsZero() {
		return 0
	}
	return j.started.Sub(j.spec.Created)
}

// run notes that the task's current attempt was seen running at an owner, which
// is empty if it is not known.
func (j *job) markRunning(t *task, owner string, now time.Time) {
	t.markRunning(owner, now)
	if j.started.IsZero() {
		j.started = now
	}
}

func (j *job) ended() bool {
	for i := range j.tasks {
		if !j.tasks[i].state.ended() {
			return false
		}
	}
	return true
}

// pending returns the places of at most limit tasks that may start at now.
func (j *job) pendingIndexes(now time.Time, limit int) []int {
	var indexes []int
	for i := range j.tasks {
		if len(indexes) == limit {
			break
		}
		if j.tasks[i].state == Pending && !now.Before(j.tasks[i].notBefore) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// unsaved reports whether the row may lack the job's state.
func (j *job) unsaved() bool { return j.dirty || len(j.sent) > 0 }

// pendingTasks counts, up to limit, the tasks that may start at now.
func (j *job) countPending(now time.Time, limit int) int {
	count := 0
	for i := range j.tasks {
		if count == limit {
			break
		}
		if j.tasks[i].state == Pending && !now.Before(j.tasks[i].notBefore) {
			count++
		}
	}
	return count
}

func (j *job) waitsForStart() bool {
	if j.cancelled || j.version == 0 || j.deleting {
		return false
	}
	for i := range j.tasks {
		if j.tasks[i].state == Pending {
			return true
		}
	}
	return false
}

// cancel marks the job and all tasks that are on no worker.
func (j *job) cancel() {
	j.cancelled = true
	for i := range j.tasks {
		if j.tasks[i].state == Pending {
			j.tasks[i].state = Cancelled
		}
	}
}
