// Package worker is the narrow door to a worker: tasks under leases, and the
// request path with slots and connections.
//
// Fencing. Every call that changes what a worker holds carries the epoch under
// which the calling entry owns the worker. Adopt with a higher epoch makes the
// worker refuse all later calls with a lower one, so that a call delayed
// between the check and the send cannot take effect after a takeover.
//
// Leases. A task runs until its lease ends; Renew extends the lease of all tasks
// that the worker holds. A worker stops a task by itself when its lease ends,
// and keeps the final status until it is forgotten.
package worker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// ErrNotSent says that the call surely did not reach the worker.
var ErrNotSent = errors.New("worker call not sent")

// ErrUnknown says that the worker may or may not have acted on the call.
var ErrUnknown = errors.New("worker outcome unknown")

// RefusedError is a worker's own refusal. What was asked for did not happen.
type RefusedError struct {
	// Code is one of the Refused constants.
	Code string
	// Epoch is the worker's current epoch.
	Epoch   uint64
	Message string
}

// Codes of RefusedError.
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

// TaskState is where a task is in its life on a worker.
type TaskState string

// The states of a task on a worker. All but Running are final.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskLapsed       TaskState = "lapsed"
)

// Final reports whether the task has left the worker's capacity.
func (s TaskState) Final() bool { return s != TaskRunning }

// StartTask asks a worker to run one attempt of a task.
type StartTask struct {
	// Task is "JOB/INDEX".
	Task string `json:"task"`
	// Attempt counts starts of the task from 1.
	Attempt int             `json:"attempt"`
	Team    string          `json:"team"`
	Kind    string          `json:"kind"`
	Amount  resource.Amount `json:"amount"`
	// RunTime is the declared run time, a hint; 0 for a service.
	RunTime time.Duration `json:"run_time_ns"`
	// Lease is how long the task may run until the next Renew.
	Lease time.Duration `json:"lease_ns"`
	// Checkpoint names the state to resume from, "" for a fresh start.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// TaskStatus is what a worker says of one attempt.
type TaskStatus struct {
	Task    string          `json:"task"`
	Attempt int             `json:"attempt"`
	Team    string          `json:"team"`
	Kind    string          `json:"kind"`
	State   TaskState       `json:"state"`
	Amount  resource.Amount `json:"amount"`
	// Usage is the lagging measured use.
	Usage resource.Amount `json:"usage"`
	// Throttled says that the task runs at reduced speed.
	Throttled  bool   `json:"throttled,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Error      string `json:"error,omitempty"`
}

// Report is the whole state of a worker.
type Report struct {
	Worker string `json:"worker"`
	Epoch  uint64 `json:"epoch"`
	// Requests counts requests in flight, of any epoch.
	Requests int `json:"requests"`
	// RequestIDs are the ids of the requests in flight.
	RequestIDs []string     `json:"request_ids,omitempty"`
	Tasks      []TaskStatus `json:"tasks"`
}

// TaskRef names one attempt of a task.
type TaskRef struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Request is one request to an upstream's worker.
type Request struct {
	ID    string
	Epoch uint64
	Team  string
	Kind  string
	Body  []byte
}

// Response is a whole, length-checked answer whose id matched its request.
type Response struct {
	ID     string
	Worker string
	Status int
	Body   []byte
}

// Client speaks to one worker. Every error is ErrNotSent, ErrUnknown or a
// *RefusedError, wrapped with the step and the peer.
type Client interface {
	// Adopt raises the worker's epoch, refusing later calls of lower ones, and
	// returns all it holds. Adopting the current epoch again is allowed.
	Adopt(ctx context.Context, epoch uint64) (Report, error)
	// Start starts attempts; the returned statuses are in the order of tasks. A
	// task that did not fit has State TaskFailed with Error RefusedCapacity.
	// Starting an attempt that the worker already knows returns its status.
	Start(ctx context.Context, epoch uint64, tasks []StartTask) ([]TaskStatus, error)
	// Renew extends the lease of all running tasks and returns all it holds.
	Renew(ctx context.Context, epoch uint64, lease time.Duration) (Report, error)
	// Stop ends attempts; stopping an unknown attempt makes it stopped for good.
	Stop(ctx context.Context, epoch uint64, tasks []TaskRef) ([]TaskStatus, error)
	// Checkpoint saves the state of attempts and ends them.
	Checkpoint(ctx context.Context, epoch uint64, tasks []TaskRef) ([]TaskStatus, error)
	// Throttle slows attempts down (on) or lets them run freely (off).
	Throttle(ctx context.Context, epoch uint64, tasks []TaskRef, on bool) ([]TaskStatus, error)
	// Forget drops final statuses that the caller has recorded.
	Forget(ctx context.Context, epoch uint64, tasks []TaskRef) error
	// Do sends one request and waits for its whole answer. When fresh is set it
	// uses a new connection, or one heard from very recently.
	Do(ctx context.Context, r Request, fresh bool) (Response, error)
	// Close ends all connections to the worker.
	Close()
}
