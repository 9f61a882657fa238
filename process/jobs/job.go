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
	// attempt is the number of the last recorded attempt.
	attempt int
	// failures counts the attempts that failed or were lost.
	failures   int
	worker     string
	block      string
	epoch      uint64
	checkpoint string
	// owner is the instance that last confirmed the attempt. It is not stored.
	owner string
	// recording is set from the assignment of an attempt until its start call begins or
	// the attempt is given up. It is not stored.
	recording bool
	// since is when the state was entered. It is not stored.
	since time.Time
	// notBefore is the earliest time of the next attempt. It is not stored.
	notBefore time.Time
}

// job is the state of a job. It is protected by its shard's lock.
type job struct {
	spec      Spec
	tasks     []task
	cancelled bool
	// started is when a task was first confirmed as running; zero before.
	started time.Time

	// version is the version of the row in the table; 0 before the first write.
	version uint64
	// sent are the values of the writes that are in flight or have an unknown
	// outcome. A value that is read back is compared with them.
	sent [][]byte
	// outcomeUnknown is set if an earlier write has an unknown outcome.
	outcomeUnknown bool
	dirty          bool
	deleting       bool
	waiters        []chan error

	// startCalls counts the batches of start calls that may still start a task.
	startCalls int
	// startsDone is closed when startCalls reaches 0; nil if no call waits for it.
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

// indexOf returns the index in the name of a task, "JOB/INDEX".
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

// markRunning records that the task's current attempt is running and was confirmed by
// owner, which is empty if unknown.
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

// pendingIndexes returns the indexes of at most limit tasks that may start at now.
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

// unsaved reports whether the row may differ from the job's state.
func (j *job) unsaved() bool { return j.dirty || len(j.sent) > 0 }

// countPending counts the tasks that may start at now, up to limit.
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

// cancel marks the job and all its pending tasks as cancelled.
func (j *job) cancel() {
	j.cancelled = true
	for i := range j.tasks {
		if j.tasks[i].state == Pending {
			j.tasks[i].state = Cancelled
		}
	}
}
