// Package peer carries JSON-RPC 2.0 calls between entries over TCP.
//
// Each entry keeps one connection, called a link, open to every peer that it calls. A link
// that receives nothing while calls are in progress is closed, and the next call opens a
// new one. So a broken connection alone does not make the peer unreachable.
package peer

import (
	"context"
	"encoding/json"
	"errors"
)

// ErrNotSent means that the call did not reach the peer.
var ErrNotSent = errors.New("peer call not sent")

// ErrNotEncodable means that the call can't be sent to any peer: its parameters can't be encoded. It comes
// with ErrNotSent.
var ErrNotEncodable = errors.New("parameters not encodable")

// NoListener reports whether the error of a call shows that no process listens at the peer's address. A
// connection that isn't established in time doesn't: a busy process accepts late.
func NoListener(err error) bool {
	var timing interface{ Timeout() bool }
	if errors.As(err, &timing) && timing.Timeout() {
		return false
	}
	return errors.Is(err, ErrNotSent)
}

// ErrUnknown means that the peer may or may not have handled the call.
var ErrUnknown = errors.New("peer outcome unknown")

// Caller calls methods of other entries.
type Caller interface {
	// Call invokes the method of the peer that listens on address. params and result are
	// encoded as JSON. The error is ErrNotSent, ErrUnknown or a *RemoteError, wrapped with
	// the method and the peer's address.
	Call(ctx context.Context, address, method string, params, result any) error
}

// RemoteError is an error returned by the peer's server or handler.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }

// NotHandled reports whether the peer refused the call without running a handler.
func (e *RemoteError) NotHandled() bool { return e.Code == CodeBusy || e.Code == CodeNoMethod }

// Handler handles the calls of one method. Its result is encoded as JSON. ctx is cancelled
// when the link is closed.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)
