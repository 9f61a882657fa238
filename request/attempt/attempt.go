// Package attempt holds the life of one request: what it asks, what became of
// it, and whether it may be sent again.
//
// A request is queued, then handed over to a worker, then answered, or its
// outcome stays unknown. Until the hand-over it can be said truthfully that it
// was not run. After it, only the worker itself can say so.
package attempt

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Request is an admitted request. Its team is that of the key it came with.
type Request struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	Kind string `json:"kind"`
	// KeySHA256 is the hex SHA-256 of the key that the request came with.
	KeySHA256 string `json:"key_sha256"`
	// Version is the configuration that it was admitted by.
	Version uint64 `json:"version"`
	// Named is set when the caller chose the id, so that it may come again.
	Named    bool      `json:"named,omitempty"`
	Deadline time.Time `json:"deadline"`
	Body     []byte    `json:"body,omitempty"`
}

// Key is the request's id within all teams' ids.
func (r *Request) Key() string { return r.Team + "/" + r.ID }

// Outcome is what became of a request: an answer of the upstream, or Err.
type Outcome struct {
	Err    *api.Error    `json:"err,omitempty"`
	Status int           `json:"status,omitempty"`
	Body   []byte        `json:"body,omitempty"`
	Worker string        `json:"worker,omitempty"`
	Waited time.Duration `json:"waited_ns,omitempty"`
}

// NotRun returns the outcome of a request that surely was not run.
func NotRun(code, message string, retryAfter time.Duration) Outcome {
	return Outcome{Err: &api.Error{Code: code, Message: message, Ran: api.NotRun, RetryAfter: retryAfter}}
}

// Unknown returns the outcome of a request that was handed over and whose
// answer was lost.
func Unknown(message string) Outcome {
	return Outcome{Err: &api.Error{Code: api.CodeUnknown, Message: message, Ran: api.RanUnknown}}
}

// WasNotRun reports whether the request surely was not run.
func (o Outcome) WasNotRun() bool { return o.Err != nil && o.Err.Ran == api.NotRun }

// MayRepeat reports whether sending the request again could run it a second
// time only where the kind allows that.
func MayRepeat(kind *version.Kind, o Outcome) bool {
	return kind.Idempotent || o.WasNotRun()
}
