// Package peer carries calls between entries over jsonrpc2 on TCP. One link a
// pair and direction is kept open; a link that goes silent is condemned and
// replaced by a new one, which clears the peer.
package peer

import (
	"context"
	"encoding/json"
	"errors"
)

// ErrNotSent says that the call surely did not reach the peer.
var ErrNotSent = errors.New("peer call not sent")

// ErrUnknown says that the peer may or may not have acted on the call.
var ErrUnknown = errors.New("peer outcome unknown")

// Caller calls methods of other entries.
type Caller interface {
	// Call invokes method at the peer listening on address. params and result
	// are encoded as JSON. Errors: ErrNotSent, ErrUnknown, *RemoteError, wrapped
	// with the step and the peer.
	Call(ctx context.Context, address, method string, params, result any) error
}

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message }

// NotHandled reports whether the peer refused the call before its handler ran.
func (e *RemoteError) NotHandled() bool { return e.Code == CodeBusy || e.Code == CodeNoMethod }

// Handler answers one method; the result is encoded as JSON. The context ends
// when the link does.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)
