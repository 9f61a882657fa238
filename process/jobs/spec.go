package jobs

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// MaxIDBytes bounds the length of a job's id.
	MaxIDBytes = 200
	// rowPrefix starts the keys of all job rows.
	rowPrefix = "job/"
)

// ShardOf returns the shard, which is also a block, of a job id.
func ShardOf(id string) string { return ownership.ShardOf(id) }

func rowKey(id string) string { return rowPrefix + ShardOf(id) + "/" + id }

// Spec is what a job asks for. Policy, Urgent, Attempts and RunTime are those
// of its kind when it was submitted.
type Spec struct {
	ID    string `json:"id"`
	Team  string `json:"t"`
	Kind  string `json:"k"`
	Tasks int    `json:"n"`
	// Amount is the size of one task; zero stands for the kind's.
	Amount  resource.Amount `json:"a"`
	Payload []byte          `json:"p,omitempty"`
	// Deadline is when the job should have ended; zero for none.
	Deadline time.Time `json:"d,omitzero"`
	Created  time.Time `json:"c"`

	Policy   version.Policy `json:"o"`
	Urgent   bool           `json:"u,omitempty"`
	Attempts int            `json:"m,omitempty"`
	RunTime  time.Duration  `json:"r,omitempty"`
}

// sameRequest reports whether other asks for the same as s.
func (s *Spec) sameRequest(other *Spec) bool { return s.ID == other.ID && s.Team == other.Team }

// TaskState is where a task of a job is.
type TaskState byte

// The states of a task. The values are those in the rows.
const (
	Pending   TaskState = 'p'
	Assigned  TaskState = 'a'
	Running   TaskState = 'r'
	Done      TaskState = 'd'
	Failed    TaskState = 'f'
	Cancelled TaskState = 'c'
)

// active tasks may be on a worker.
func (s TaskState) active() bool { return s == Assigned || s == Running }

// ended tasks change no more.
func (s TaskState) ended() bool { return s == Done || s == Failed || s == Cancelled }

// Counts is the number of tasks in each state.
type Counts struct {
	Pending   int `json:"pending"`
	Assigned  int `json:"assigned"`
	Running   int `json:"running"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Job is what callers see of a job.
type Job struct {
	ID        string    `json:"id"`
	Team      string    `json:"team"`
	Kind      string    `json:"kind"`
	Created   time.Time `json:"created"`
	Deadline  time.Time `json:"deadline,omitzero"`
	Cancelled bool      `json:"cancelled,omitempty"`
	// Ended is set once no task can change any more.
	Ended bool   `json:"ended"`
	Tasks Counts `json:"tasks"`
	// Waited is the time from acceptance to the first start, 0 before it.
	Waited time.Duration `json:"waited_ns,omitempty"`
}

// Explanation says why the tasks of a job wait.
type Explanation struct {
	Job Job `json:"job"`
	// Limit and Dimension are what kept the job from starting at the last try.
	Limit     string `json:"limit,omitempty"`
	Dimension string `json:"dimension,omitempty"`
	// NeverRunnable says that no change but one of the fleet or of the limits
	// can make the job start.
	NeverRunnable bool `json:"never_runnable,omitempty"`
	// Place is the place in this keeper's queue, from 1; 0 if nothing waits.
	Position int `json:"place"`
	// Waiting is the number of jobs in the queue.
	Waiting int `json:"waiting"`
	// Tries counts the failed tries to start all tasks at once.
	FailedTries int `json:"tries,omitempty"`
}
