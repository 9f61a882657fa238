package jobs

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// MaxIDBytes bounds the length of a job ID.
	MaxIDBytes = 200
	// rowPrefix is the key prefix of all job rows.
	rowPrefix = "job/"
)

// ShardOf returns the shard of a job ID. Each shard is also a block.
func ShardOf(id string) string { return ownership.ShardOf(id) }

func rowKey(id string) string { return rowPrefix + ShardOf(id) + "/" + id }

// Spec is the specification of a job. Policy, Urgent, Attempts and RunTime are those
// of its kind at the time of submission.
type Spec struct {
	ID    string `json:"id"`
	Team  string `json:"t"`
	Kind  string `json:"k"`
	Tasks int    `json:"n"`
	// Amount is the amount that one task uses. The default is that of the kind.
	Amount  resource.Amount `json:"a"`
	Payload []byte          `json:"p,omitempty"`
	// Deadline is the time by which the job should end; zero for none.
	Deadline time.Time `json:"d,omitzero"`
	Created  time.Time `json:"c"`

	Policy   version.Policy `json:"o"`
	Urgent   bool           `json:"u,omitempty"`
	Attempts int            `json:"m,omitempty"`
	RunTime  time.Duration  `json:"r,omitempty"`
}

// sameRequest reports whether other is a repeated submission of s: it has the same ID
// and team.
func (s *Spec) sameRequest(other *Spec) bool { return s.ID == other.ID && s.Team == other.Team }

// TaskState is the state of a task of a job.
type TaskState byte

// The states of a task. The values are stored in the rows.
const (
	Pending   TaskState = 'p'
	Assigned  TaskState = 'a'
	Running   TaskState = 'r'
	Done      TaskState = 'd'
	Failed    TaskState = 'f'
	Cancelled TaskState = 'c'
)

// active reports whether the task may be on a worker.
func (s TaskState) active() bool { return s == Assigned || s == Running }

// ended reports whether the state is final.
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

// Job is the state of a job as shown to callers.
type Job struct {
	ID        string    `json:"id"`
	Team      string    `json:"team"`
	Kind      string    `json:"kind"`
	Created   time.Time `json:"created"`
	Deadline  time.Time `json:"deadline,omitzero"`
	Cancelled bool      `json:"cancelled,omitempty"`
	// Ended is set once all tasks are in a final state.
	Ended bool   `json:"ended"`
	Tasks Counts `json:"tasks"`
	// Waited is the time from acceptance to the first confirmed start; 0 before.
	Waited time.Duration `json:"waited_ns,omitempty"`
}

// Explanation is the reason why tasks of a job are pending.
type Explanation struct {
	Job Job `json:"job"`
	// Limit and Dimension are the limit that the last placement hit.
	Limit     string `json:"limit,omitempty"`
	Dimension string `json:"dimension,omitempty"`
	// NeverRunnable is set if the job cannot start unless the fleet or the limits
	// change.
	NeverRunnable bool `json:"never_runnable,omitempty"`
	// Position is the position in this coordinator's queue, from 1; 0 if no task is
	// pending.
	Position int `json:"place"`
	// Waiting is the number of jobs in this coordinator's queue.
	Waiting int `json:"waiting"`
	// FailedTries counts the failed placements of all tasks at once.
	FailedTries int `json:"tries,omitempty"`
}
