// Package api holds the messages of the two public doors: the callers' and the
// operators' HTTP listeners. Both speak JSON; the body of a request to an
// upstream and of its answer is passed through as it is.
//
// Callers:
//
//	POST   /v1/kinds/{kind}/requests   one request; the answer is the upstream's
//	POST   /v1/jobs                    JobSpec -> JobView, accepted when durable
//	GET    /v1/jobs                    the team's jobs
//	GET    /v1/jobs/{id}               JobView
//	GET    /v1/jobs/{id}/explain       Explanation
//	DELETE /v1/jobs/{id}               cancel
//
// Operators: see the operators' handlers in package operators.
package api

import (
	"fmt"
	"net/http"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Headers of the callers' door.
const (
	// HeaderRequestID names a request; sending it again joins the first one.
	HeaderRequestID = "Kingcuplatch-Request-Id"
	// HeaderDeadline is the time in milliseconds the answer may take.
	HeaderDeadline = "Kingcuplatch-Deadline-Ms"
	// HeaderWorker names the worker that answered.
	HeaderWorker = "Kingcuplatch-Worker"
	// HeaderWaited is the waiting time in milliseconds before the start.
	HeaderWaited = "Kingcuplatch-Waited-Ms"
)

// Ran says whether the work of a refused or failed call was run.
type Ran string

// The values of Ran.
const (
	// NotRun: the work was surely not run and won't be.
	NotRun Ran = "not_run"
	// RanUnknown: the work may have been run; it won't be run again.
	RanUnknown Ran = "unknown"
)

// Codes of Error.
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
	CodeNoRoom       = "no_room"
	CodeUnavailable  = "unavailable"
	CodeStopping     = "stopping"
	CodeMoved        = "moved"
	CodeUnknown      = "outcome_unknown"
)

// Error is the body of every answer that isn't a success.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the offending field of the input, if one does.
	Field string `json:"field,omitempty"`
	Ran   Ran    `json:"ran"`
	// RetryAfter tells when to come back; 0 if coming back makes no sense.
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

// Status returns the HTTP status that carries the error.
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

// JobSpec is what a caller hands in as a job.
type JobSpec struct {
	// ID makes handing in idempotent; one is made up if it is empty.
	ID   string `json:"id,omitempty"`
	Kind string `json:"kind"`
	// Tasks is how many tasks the job has; 0 means 1.
	Tasks int `json:"tasks,omitempty"`
	// Amount is the size of one task; zero means the kind's.
	Amount resource.Amount `json:"amount,omitzero"`
	// Deadline is when the job should be finished; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// Payload is handed to every task.
	Payload []byte `json:"payload,omitempty"`
}

// JobState is the state of a whole job.
type JobState string

// The states of a job.
const (
	JobWaiting   JobState = "waiting"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether nothing more will happen to the job.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled
}

// JobView is what a caller sees of a job.
type JobView struct {
	ID    string   `json:"id"`
	Team  string   `json:"team"`
	Kind  string   `json:"kind"`
	State JobState `json:"state"`
	// Tasks counts tasks by state.
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

// Explanation says why a job waits.
type Explanation struct {
	Job string `json:"job"`
	// Summary is one sentence.
	Summary string `json:"summary"`
	// Limit names the limit that binds, if one does.
	Limit string `json:"limit,omitempty"`
	// Dimension is the dimension that is short.
	Dimension string `json:"dimension,omitempty"`
	// Place is the job's place in its team's queue, from 1.
	Place int `json:"place,omitempty"`
}
