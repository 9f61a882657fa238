package jobs

import (
	"errors"
	"fmt"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// Errors of the keeper.
var (
	// ErrForbidden says that the job does not exist or is another team's.
	ErrForbidden = errors.New("no such job of this team")
	// ErrUnavailable says that the call surely had no effect.
	ErrUnavailable = errors.New("not run: the job could not be recorded")
	// ErrUnknown says that the call may or may not have taken effect. It may be
	// repeated with the same id.
	ErrUnknown = errors.New("outcome unknown: the record was not confirmed")
	// ErrNotKeeper says that the job's shard is not kept here.
	ErrNotKeeper = errors.New("not run: this entry does not keep the job's shard")
)

// InvalidError says what is wrong with a job as submitted.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("not run: %s: %s", e.Field, e.Reason) }

// NeverFitsError says that a job can start on no part of the fleet as it is.
type NeverFitsError struct {
	// Limit is what the job exceeds.
	Limit string
	// Dimension is the first dimension in which it does.
	Dimension string
}

// Error implements error.
func (e *NeverFitsError) Error() string {
	return fmt.Sprintf("not run: never fits %s in %s", e.Limit, e.Dimension)
}

// Codes of errors between entries.
const (
	codeForbidden int64 = 4030 + iota
	codeUnavailable
	codeUnknown
	codeNotKeeper
	codeInvalid
	codeNeverFits
)

// encodeError gives an error its code for the way to another entry.
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
	codeForbidden:   ErrForbidden,
	codeUnavailable: ErrUnavailable,
	codeUnknown:     ErrUnknown,
	codeNotKeeper:   ErrNotKeeper,
}
