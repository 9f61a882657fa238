// Package httpworker implements worker.Client with JSON over HTTP.
//
// # Outcomes
//
// A call of which no byte was written to a connection fails with worker.ErrNotSent. An
// answer is accepted only if it is complete: it carries the ID of its request and a
// Content-Length, and its body has that length and the digest in its header. A complete
// answer that is marked as a refusal becomes a *worker.RefusedError. Any other failure is
// worker.ErrUnknown.
//
// # Connections
//
// A connection carries one call at a time. After a call without a complete answer, the
// connection is closed, so that a late answer is never read as the answer to another call,
// and an unresponsive connection fails a single call. A closed connection counts against
// the limit until the worker has closed it too, or the drain time is over.
//
// A call is never sent twice: net/http resends a POST only if its body can be read again,
// and the bodies of this package cannot.
package httpworker

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// Paths of the protocol. The method is POST. The body of a control call is a Control, that
// of its answer a ControlAnswer.
const (
	PathRequests   = "/requests"
	PathAdopt      = "/v1/adopt"
	PathStart      = "/v1/start"
	PathRenew      = "/v1/renew"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathForget     = "/v1/forget"
)

// Headers of the protocol.
const (
	// HeaderID identifies a call. The answer repeats it.
	HeaderID = "Kingcuplatch-Request-Id"
	// HeaderEpoch, HeaderTeam and HeaderKind describe a request.
	HeaderEpoch = "Kingcuplatch-Epoch"
	HeaderTeam  = "Kingcuplatch-Team"
	HeaderKind  = "Kingcuplatch-Kind"
	// HeaderWorker names the answering worker.
	HeaderWorker = "Kingcuplatch-Worker"
	// HeaderRefused marks an answer whose body is a Refusal.
	HeaderRefused = "Kingcuplatch-Refused"
	// HeaderDigest carries the Digest of the answer's body (RFC 9530).
	HeaderDigest = "Content-Digest"
)

// Control is the body of every control call. Each call uses some of the fields.
type Control struct {
	Epoch uint64             `json:"epoch"`
	Start []worker.StartTask `json:"start,omitempty"`
	Tasks []worker.TaskRef   `json:"tasks,omitempty"`
	Lease time.Duration      `json:"lease_ns,omitempty"`
	// On selects whether a throttle call reduces the speed or restores it.
	On bool `json:"on,omitempty"`
}

// ControlAnswer is the body of every answer to a control call.
type ControlAnswer struct {
	// Report answers adopt and renew.
	Report *worker.Report `json:"report,omitempty"`
	// Statuses answer start, stop, checkpoint and throttle.
	Statuses []worker.TaskStatus `json:"statuses,omitempty"`
}

// Refusal is the body of an answer with HeaderRefused; its status is 409 or 503.
type Refusal struct {
	Code    string `json:"code"`
	Epoch   uint64 `json:"epoch"`
	Message string `json:"message,omitempty"`
}

// Digest returns the value of HeaderDigest for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
