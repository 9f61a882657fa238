// Package attempt defines an admitted request and the outcome of running it.
//
// A request is queued and then dispatched to a worker. It ends with an answer or with
// an unknown outcome. Until it is dispatched, the scheduler can state that it was not
// run. After that, only the worker can.
package attempt

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Request is an admitted request. Team is the team of the API key that authenticated
// it.
type Request struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	Kind string `json:"kind"`
	// KeySHA256 is the hex SHA-256 of the API key that authenticated the request.
	KeySHA256 string `json:"key_sha256"`
	// Version is the version of the configuration under which the request was admitted.
	Version uint64 `json:"version"`
	// Named is set if the caller chose the ID, which allows the caller to send the
	// request again under the same ID.
	Named    bool      `json:"named,omitempty"`
	Deadline time.Time `json:"deadline"`
	Body     []byte    `json:"body,omitempty"`
}

// Key returns the ID qualified by the team, which is unique across teams.
func (r *Request) Key() string { return r.Team + "/" + r.ID }

// Outcome is the result of a request: an answer of the upstream, or Err.
type Outcome struct {
	Err    *api.Error    `json:"err,omitempty"`
	Status int           `json:"status,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	Worker string        `json:"worker,omitempty"`
	Waited time.Duration `json:"waited_ns,omitempty"`
}

// NotRun returns the outcome of a request that is known not to have run.
func NotRun(code, message string, retryAfter time.Duration) Outcome {
	return Outcome{Err: &api.Error{Code: code, Message: message, Ran: api.NotRun, RetryAfter: retryAfter}}
}

// Unknown returns the outcome of a request that was dispatched but whose answer was not
// received.
func Unknown(message string) Outcome {
	return Outcome{Err: &api.Error{Code: api.CodeUnknown, Message: message, Ran: api.RanUnknown}}
}

// WasNotRun reports whether the request is known not to have run.
func (o Outcome) WasNotRun() bool { return o.Err != nil && o.Err.Ran == api.NotRun }

// MayRetry reports whether the request may be sent again: either its kind is
// idempotent, or it is known not to have run.
func MayRetry(kind *version.Kind, o Outcome) bool {
	return kind.Idempotent || o.WasNotRun()
}
