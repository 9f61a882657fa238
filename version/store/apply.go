package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version/records"
	"github.com/rotisserie/eris"
)

// Bounds of the exponential backoff between the attempts to write a change, to read back its
// outcome and to announce it.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// ErrOutcomeUnknown means that the change may or may not have been accepted: the outcome of
// the write could not be read from the table before the context was done, or fewer than
// a majority of the entries could be notified. Call Apply with the same change ID to find out.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown")

// ErrHeadBehind means that the table contains an older version than the one in force. No
// change is accepted in this state.
var ErrHeadBehind = errors.New("the table's version is older than the one in force")

// BaseError is the refusal of a change that was made for a version other than the newest.
type BaseError struct {
	// Base is the version that the change was made for, Head the newest version.
	Base, Head uint64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the change is for version %d, the newest is %d", e.Base, e.Head)
}

// Result is an accepted change.
type Result struct {
	// Number is the version that the change created.
	Number uint64
	// AlreadyApplied is set if the change had been accepted before this call.
	AlreadyApplied bool
}

// Edit returns the new records, given a copy of the newest ones. It may be called several
// times.
type Edit func(*records.Records) (*records.Records, error)

// Apply makes a change and returns once it is accepted: the table contains it and it is known
// to a majority of the entries, the running instances of the daemon. The new version is then
// in force on this entry. If an earlier call made the change, the version may come into force
// on this entry only later. base is the version that the change was made for, 0 for any. changeID is chosen
// by the caller and consists of 1 to 128 letters, digits, dots, hyphens and underscores. A
// change whose ID was accepted before is not made again.
//
// After ErrOutcomeUnknown, the change may or may not take effect. Any other error means that
// this call was refused and will have no effect: *BaseError, records.Faults, an error of
// edit, ErrHeadBehind, platform.ErrUnavailable or the error of ctx.
//
// After ErrOutcomeUnknown, or a call that did not return, call Apply again with the same
// changeID, base and edit, on any entry. If it succeeds, the change is accepted. If it fails
// with a *BaseError, no earlier call with that changeID and base has taken effect or will.
// Any other error says nothing about the earlier calls.
func (s *Store) Apply(ctx context.Context, changeID string, base uint64, edit Edit) (Result, error) {
	if !changeIDPattern.MatchString(changeID) {
		return Result{}, eris.Errorf("change id %q must match %s", changeID, changeIDPattern)
	}
	a := &applyCall{store: s, id: changeID, base: base, edit: edit}
	result, err := a.run(ctx)
	if err != nil {
		return Result{}, eris.Wrapf(err, "%s: apply change %s", s.options.Self, changeID)
	}
	if err := s.awaitMajority(ctx, result.Number); err != nil {
		return Result{}, eris.Wrapf(err, "%s: apply change %s", s.options.Self, changeID)
	}
	return result, nil
}

// applyCall is one call of Apply.
type applyCall struct {
	store *Store
	id    string
	base  uint64
	edit  Edit
	// pending is the attempt whose outcome is unknown, nil if there is none. It can take
	// effect only while the head, the table's row that names the newest version, is
	// unchanged.
	pending *attempt
	// sent is set once an attempt was sent.
	sent bool
}

// attempt is a transaction and the version that it creates.
type attempt struct {
	from headRow
	txn  platform.Txn
	next *loadedVersion
}

// run makes attempts until the outcome is certain or ctx is done.
func (a *applyCall) run(ctx context.Context) (Result, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, done, err := a.try(ctx)
		if done {
			return result, err
		}
		if sleep(ctx, backoff) != nil {
			return Result{}, a.interrupted(err)
		}
	}
}

// interrupted returns the error of a call whose context was done before its outcome was
// known.
func (a *applyCall) interrupted(err error) error {
	if a.pending != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "last error: %v", err)
	}
	return err
}

// try makes one attempt. It must read the head before the change's row: if that row is
// absent, a pending attempt had not taken effect when the head was read, and if the head has
// changed since the attempt, it never will.
func (a *applyCall) try(ctx context.Context) (result Result, done bool, err error) {
	from, err := a.store.readHead(ctx)
	if err != nil {
		return Result{}, a.pending == nil, err
	}
	found, ok, err := a.store.readChange(ctx, a.id)
	if err != nil {
		return Result{}, a.pending == nil, err
	}
	if ok {
		return a.accepted(ctx, found)
	}
	if a.pending != nil && a.pending.from.rowVersion != from.rowVersion {
		a.pending = nil
	}
	next := a.pending
	if next == nil {
		next, err = a.prepare(ctx, from)
		if err != nil {
			return Result{}, true, err
		}
	}
	return a.commit(ctx, next)
}

// accepted returns the result of a change that is in the table. It puts the pending attempt
// in force if the change was written by it. Otherwise, it polls the head.
func (a *applyCall) accepted(ctx context.Context, found change) (Result, bool, error) {
	result := Result{Number: found.Number, AlreadyApplied: !a.sent}
	if a.pending != nil && a.pending.next.version.Object == found.Object {
		a.store.adopt(a.pending.next)
		return result, true, nil
	}
	err := a.store.Poll(ctx)
	a.store.reportError(ctx, err)
	a.store.learnNumber(found.Number)
	return result, true, nil
}

// prepare builds the attempt that replaces the head `from`. If it returns an error, the
// change is refused.
func (a *applyCall) prepare(ctx context.Context, from headRow) (*attempt, error) {
	if a.base != 0 && a.base != from.Number {
		return nil, &BaseError{Base: a.base, Head: from.Number}
	}
	if from.Number < a.store.Current().Number {
		return nil, ErrHeadBehind
	}
	newest, err := a.store.fetch(ctx, from.head)
	if err != nil {
		return nil, err
	}
	edited, err := a.edit(newest.records.Clone())
	if err != nil {
		return nil, err
	}
	next, err := build(edited, from.Number+1)
	if err != nil {
		return nil, err
	}
	if err := a.store.options.Objects.Put(ctx, next.version.Object, next.version.Body); err != nil {
		return nil, eris.Wrapf(err, "put object of version %d", next.version.Number)
	}
	txn, err := applyTxn(from, a.id, next.version)
	if err != nil {
		return nil, err
	}
	return &attempt{from: from, txn: txn, next: next}, nil
}

// build checks the records and returns them as a version.
func build(edited *records.Records, number uint64) (*loadedVersion, error) {
	if _, err := records.Compile(edited, number); err != nil {
		return nil, err
	}
	text, err := records.Encode(edited)
	if err != nil {
		return nil, err
	}
	body, err := pack(text)
	if err != nil {
		return nil, eris.Wrapf(err, "pack version %d", number)
	}
	return load(Version{Number: number, Object: objectName(body), Body: body})
}

// commit sends the attempt. The second result is false if the outcome has to be read back or
// a new attempt made.
func (a *applyCall) commit(ctx context.Context, next *attempt) (Result, bool, error) {
	a.sent = true
	_, err := a.store.options.Table.Commit(ctx, next.txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		a.store.adopt(next.next)
		return Result{Number: next.next.version.Number}, true, nil
	case errors.As(err, &conflict):
		return Result{}, false, err
	case errors.Is(err, platform.ErrUnavailable):
		return Result{}, a.pending == nil, err
	case a.store.skipReadBack:
		return Result{}, true, err
	}
	a.pending = next
	return Result{}, false, err
}

// sleep waits for d. It returns the error of ctx if ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
