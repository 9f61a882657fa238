// Package worker defines the interface to a worker, which runs tasks under leases and
// answers requests.
//
// # Fencing
//
// Every call that changes the state of a worker carries the epoch under which the calling
// entry owns the worker. After Adopt with a higher epoch, the worker refuses all calls with
// a lower one. So a call that was delayed after its sender checked the ownership cannot
// take effect after a takeover.
//
// # Leases
//
// A task runs until its lease expires. Renew extends the leases of all tasks on the worker.
// The worker stops a task on its own when the lease expires, and retains the final status
// until Forget.
package worker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// ErrNotSent means that the call did not reach the worker.
var ErrNotSent = errors.New("worker call not sent")

// ErrUnknown means that the worker may or may not have handled the call.
var ErrUnknown = errors.New("worker outcome unknown")

// RefusedError is a refusal by the worker. The call had no effect.
type RefusedError struct {
	// Code is one of the Refused constants.
	Code string
	// Epoch is the worker's current epoch.
	Epoch   uint64
	Message string
}

// Values of RefusedError.Code.
const (
	RefusedEpoch    = "stale_epoch"
	RefusedCapacity = "over_capacity"
	RefusedInvalid  = "invalid"
	RefusedBroken   = "broken"
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused (%s, epoch %d): %s", e.Code, e.Epoch, e.Message)
}

// TaskState is the state of an attempt of a task on a worker.
type TaskState string

// The states of a task on a worker. All but TaskRunning are final.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskLeaseExpired TaskState = "lapsed"
)

// Final reports whether the task has ended and its capacity is free again.
func (s TaskState) Final() bool { return s != TaskRunning }

// StartTask describes an attempt of a task to start.
type StartTask struct {
	// Task is "JOB/INDEX".
	Task string `json:"task"`
	// Attempt is the number of this attempt of the task, from 1.
	Attempt int             `json:"attempt"`
	Team    string          `json:"team"`
	Kind    string          `json:"kind"`
	Amount  resource.Amount `json:"amount"`
	// RunTime is the declared run time, 0 for a service. It is a hint.
	RunTime time.Duration `json:"run_time_ns"`
	// Lease is how long the task may run unless Renew extends it.
	Lease time.Duration `json:"lease_ns"`
	// Checkpoint names the saved state to resume from, "" for a start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// TaskStatus is the status of an attempt as reported by the worker.
type TaskStatus struct {
	Task    string          `json:"task"`
	Attempt int             `json:"attempt"`
	Team    string          `json:"team"`
	Kind    string          `json:"kind"`
	State   TaskState       `json:"state"`
	Amount  resource.Amount `json:"amount"`
	// Usage is the measured resource usage. It lags behind the actual usage.
	Usage resource.Amount `json:"usage"`
	// Throttled is set if the task runs at reduced speed.
	Throttled  bool   `json:"throttled,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Error      string `json:"error,omitempty"`
}

// Report is the complete state of a worker.
type Report struct {
	Worker string `json:"worker"`
	Epoch  uint64 `json:"epoch"`
	// Requests is the number of requests in flight, of any epoch.
	Requests int `json:"requests"`
	// RequestIDs are the IDs of the requests in flight.
	RequestIDs []string     `json:"request_ids,omitempty"`
	Tasks      []TaskStatus `json:"tasks"`
}

// TaskRef identifies an attempt of a task.
type TaskRef struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Request is a request to a worker of an upstream.
type Request struct {
	ID    string
	Epoch uint64
	Team  string
	Kind  string
	Body  []byte
}

// Response is the complete response to a request, checked against the request's ID.
type Response struct {
	ID     string
	Worker string
	Status int
	Body   []byte
}

// Client calls one worker. Every error is ErrNotSent, ErrUnknown or a *RefusedError,
// wrapped with the step and the worker's address.
type Client interface {
	// Adopt raises the worker's epoch, which makes it refuse later calls with a lower one,
	// and returns the worker's state. Adopting the current epoch again is allowed.
	Adopt(ctx context.Context, epoch uint64) (Report, error)
	// Start starts attempts and returns their statuses in the order of tasks. A task that
	// does not fit has the state TaskFailed and the error RefusedCapacity. Start is
	// idempotent: for an attempt that the worker already has, it returns the status.
	Start(ctx context.Context, epoch uint64, tasks []StartTask) ([]TaskStatus, error)
	// Renew extends the leases of all running tasks and returns the worker's state.
	Renew(ctx context.Context, epoch uint64, lease time.Duration) (Report, error)
	// Stop ends attempts. An attempt that the worker does not have is recorded as stopped,
	// so that a delayed Start cannot run it.
	Stop(ctx context.Context, epoch uint64, tasks []TaskRef) ([]TaskStatus, error)
	// Checkpoint saves the state of attempts and ends them.
	Checkpoint(ctx context.Context, epoch uint64, tasks []TaskRef) ([]TaskStatus, error)
	// Throttle reduces the speed of attempts, or restores it if on is false.
	Throttle(ctx context.Context, epoch uint64, tasks []TaskRef, on bool) ([]TaskStatus, error)
	// Forget deletes final statuses, after the caller has recorded them.
	Forget(ctx context.Context, epoch uint64, tasks []TaskRef) error
	// Do sends a request and waits for the complete response. If fresh is set, it uses a new
	// connection or one that has received data very recently.
	Do(ctx context.Context, r Request, fresh bool) (Response, error)
	// Close closes all connections to the worker.
	Close()
}
