// Package api defines the messages of an entry's two public HTTP APIs, the callers' and
// the operators'. Both use JSON. The bodies of a request to an upstream and of its answer
// are passed through unchanged.
//
// Callers' API:
//
//	POST   /v1/kinds/{kind}/requests   one request; the answer is the upstream's
//	POST   /v1/jobs                    JobSpec -> JobView, accepted when durable
//	GET    /v1/jobs                    the team's jobs
//	GET    /v1/jobs/{id}               JobView
//	GET    /v1/jobs/{id}/explain       Explanation
//	DELETE /v1/jobs/{id}               cancel
//
// The operators' API is served by package operators.
package api

import (
	"fmt"
	"net/http"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Headers of the callers' API.
const (
	// HeaderRequestID identifies a request. A repeated ID joins the first request.
	HeaderRequestID = "Kingcuplatch-Request-Id"
	// HeaderDeadline is the time in milliseconds within which the caller wants the answer.
	HeaderDeadline = "Kingcuplatch-Deadline-Ms"
	// HeaderWorker names the worker that answered.
	HeaderWorker = "Kingcuplatch-Worker"
	// HeaderWaited is the time in milliseconds that the request waited before its start.
	HeaderWaited = "Kingcuplatch-Waited-Ms"
)

// Ran states whether the work of a refused or failed call was run.
type Ran string

// The values of Ran.
const (
	// NotRun means that the work was not run and will not be.
	NotRun Ran = "not_run"
	// RanUnknown means that the work may have been run. It will not be run again.
	RanUnknown Ran = "unknown"
)

// Values of Error.Code.
const (
	CodeInvalid      = "invalid"
	CodeUnauthorized = "unauthorized"
	CodeForbidden    = "forbidden"
	CodeNotFound     = "not_found"
	CodeConflict     = "conflict"
	CodeTooLarge     = "too_large"
	CodeNeverFits    = "never_fits"
	CodeOverloaded   = "overloaded"
	CodeTeamLimit    = "team_limit"
	CodeDeadline     = "deadline"
	CodeNoWorker     = "no_worker"
	CodeNoCapacity   = "no_room"
	CodeUnavailable  = "unavailable"
	CodeStopping     = "stopping"
	CodeMoved        = "moved"
	CodeUnknown      = "outcome_unknown"
)

// Error is the body of every unsuccessful answer.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field is the invalid field of the input, if the error is about one.
	Field string `json:"field,omitempty"`
	Ran   Ran    `json:"ran"`
	// RetryAfter is the delay before a retry can succeed, 0 if a retry is useless.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	RequestID  string        `json:"request_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", e.Code, e.Field, e.Message, e.Ran)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Ran)
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	switch e.Code {
	case CodeInvalid, CodeNeverFits:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeOverloaded, CodeTeamLimit:
		return http.StatusTooManyRequests
	case CodeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// JobSpec is a job as a caller submits it.
type JobSpec struct {
	// ID makes submission idempotent. An empty ID is replaced by a generated one.
	ID   string `json:"id,omitempty"`
	Kind string `json:"kind"`
	// Tasks is the number of tasks; 0 means 1.
	Tasks int `json:"tasks,omitempty"`
	// Amount is the size of one task; zero means the declared size of the kind.
	Amount resource.Amount `json:"amount,omitzero"`
	// Deadline is the time by which the job should be finished; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// Payload is passed to every task.
	Payload []byte `json:"payload,omitempty"`
}

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobWaiting   JobState = "waiting"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is terminal.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled
}

// JobView is the callers' view of a job.
type JobView struct {
	ID       string     `json:"id"`
	Team     string     `json:"team"`
	Kind     string     `json:"kind"`
	State    JobState   `json:"state"`
	Tasks    TaskCounts `json:"tasks"`
	Accepted time.Time  `json:"accepted"`
	// Waited is the time from acceptance to the first start.
	Waited time.Duration `json:"waited_ns,omitempty"`
	Reason string        `json:"reason,omitempty"`
}

// TaskCounts counts the tasks of a job by state.
type TaskCounts struct {
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Explanation states why a job is waiting.
type Explanation struct {
	Job string `json:"job"`
	// Summary is a one-sentence description.
	Summary string `json:"summary"`
	// Limit is the limit that keeps the job waiting, if any.
	Limit string `json:"limit,omitempty"`
	// Dimension is the resource dimension that is exhausted.
	Dimension string `json:"dimension,omitempty"`
	// Position is the job's position in its team's queue, from 1.
	Position int `json:"place,omitempty"`
}
