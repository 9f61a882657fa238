// Package httpworker speaks to one worker over HTTP/JSON. It implements
// worker.Client.
//
// Outcomes. A call of which no byte was given to a connection is
// worker.ErrNotSent. An answer is taken only if it is whole: it carries the id
// of its request, states its length, and its body has that length and the
// stated digest. A whole answer that is marked as a refusal is a
// *worker.RefusedError. Every other end of a call is worker.ErrUnknown.
//
// Connections. A connection carries one call at a time. It is closed and never
// used again after any call on it that did not end in a whole answer, so that a
// late answer has no reader and a silent connection harms one call only. A
// closed connection counts as open until the worker has closed it too, or the
// drain time is over.
// Nothing is sent twice: net/http repeats a POST only if its body can be read
// again, and the bodies of this package can't.
package httpworker

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// Paths of the protocol; all take POST. Control calls carry a Control and
// answer a ControlAnswer.
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
	// HeaderID names a call; the answer repeats it.
	HeaderID = "Kingcuplatch-Request-Id"
	// HeaderEpoch, HeaderTeam and HeaderKind belong to requests.
	HeaderEpoch = "Kingcuplatch-Epoch"
	HeaderTeam  = "Kingcuplatch-Team"
	HeaderKind  = "Kingcuplatch-Kind"
	// HeaderWorker names the worker that answers.
	HeaderWorker = "Kingcuplatch-Worker"
	// HeaderRefused marks an answer whose body is a Refusal.
	HeaderRefused = "Kingcuplatch-Refused"
	// HeaderDigest carries Digest of the answer's body (RFC 9530).
	HeaderDigest = "Content-Digest"
)

// Control is the body of every control call; each uses the fields it needs.
type Control struct {
	Epoch uint64             `json:"epoch"`
	Start []worker.StartTask `json:"start,omitempty"`
	Tasks []worker.TaskRef   `json:"tasks,omitempty"`
	Lease time.Duration      `json:"lease_ns,omitempty"`
	// On is the argument of throttle.
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
