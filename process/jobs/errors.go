package jobs

import (
	"errors"
	"fmt"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// Errors of the coordinator.
var (
	// ErrForbidden means that the job does not exist or belongs to another team.
	ErrForbidden = errors.New("no such job of this team")
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("not run: the job could not be recorded")
	// ErrUnknown means that the call may have taken effect. It may be repeated with
	// the same ID.
	ErrUnknown = errors.New("outcome unknown: the record was not confirmed")
	// ErrNotCoordinator means that this entry does not own the job's shard or has not
	// loaded it.
	ErrNotCoordinator = errors.New("not run: this entry does not keep the job's shard")
)

// InvalidError is returned for a submitted job with an invalid field.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("not run: %s: %s", e.Field, e.Reason) }

// NeverFitsError is returned for a job that cannot start on the current fleet or
// within its team's limit.
type NeverFitsError struct {
	// Limit is the limit that the job exceeds.
	Limit string
	// Dimension is the first dimension in which the job exceeds it.
	Dimension string
}

// Error implements error.
func (e *NeverFitsError) Error() string {
	return fmt.Sprintf("not run: never fits %s in %s", e.Limit, e.Dimension)
}

// RPC codes of the errors.
const (
	codeForbidden int64 = 4030 + iota
	codeUnavailable
	codeUnknown
	codeNotCoordinator
	codeInvalid
	codeNeverFits
)

// encodeError converts an error into an RPC error with its code.
func encodeError(err error) error {
	var invalid *InvalidError
	var never *NeverFitsError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return &peer.RemoteError{Code: codeInvalid, Message: invalid.Field + "\x00" + invalid.Reason}
	case errors.As(err, &never):
		return &peer.RemoteError{Code: codeNeverFits, Message: never.Limit + "\x00" + never.Dimension}
	}
	for code, known := range plainErrors {
		if errors.Is(err, known) {
			return &peer.RemoteError{Code: code, Message: known.Error()}
		}
	}
	return err
}

var plainErrors = map[int64]error{
	codeForbidden:      ErrForbidden,
	codeUnavailable:    ErrUnavailable,
	codeUnknown:        ErrUnknown,
	codeNotCoordinator: ErrNotCoordinator,
}
