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

// Pauses between tries to learn the outcome of a write whose answer was lost.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

// ErrOutcomeUnknown says that the change may or may not have been accepted: the
// table couldn't tell before the context ended, or too few entries could be told of
// it. Apply with the same change id finds out.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown")

// ErrHeadBehind says that the table holds an older version than the one in
// force. No change is accepted on top of it.
var ErrHeadBehind = errors.New("the table's version is older than the one in force")

// BaseError refuses a change that was made for another version than the newest.
type BaseError struct {
	// Base is the version that the change was made for, Head the newest one.
	Base, Head uint64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the change is for version %d, the newest is %d", e.Base, e.Head)
}

// Result is an accepted change.
type Result struct {
	// Number is the version that the change made.
	Number uint64
	// AlreadyApplied says that the change had been accepted before this call.
	AlreadyApplied bool
}

// Edit returns the records to put in force, given a copy of the newest ones. It
// may be called several times.
type Edit func(*records.Records) (*records.Records, error)

// Apply makes one change and returns once it is accepted, which it is when the
// table has it and most entries know of it; unless it was made by an earlier call,
// it is in force here. base is the version that the change was made for, 0 for any.
// changeID is chosen by the caller, 1 to 128 letters, digits, dots, hyphens and
// underscores; a change with an id that was accepted before is not made again.
//
// With ErrOutcomeUnknown nothing is known. Every other error says that this call
// was refused and nothing of it will take effect: *BaseError, records.Faults, an
// error of edit, ErrHeadBehind, platform.ErrUnavailable, or the context's.
//
// After ErrOutcomeUnknown, or a call that never answered, call again with the
// same id, base and edit, on any entry. Success is then final. So is *BaseError:
// no earlier call of that id and base took effect or ever will. Any other error
// says nothing about the earlier calls.
func (s *Store) Apply(ctx context.Context, changeID string, base uint64, edit Edit) (Result, error) {
	if !changeIDPattern.MatchString(changeID) {
		return Result{}, eris.Errorf("change id %q must match %s", changeID, changeIDPattern)
	}
	a := &application{store: s, id: changeID, base: base, edit: edit}
	result, err := a.run(ctx)
	if err != nil {
		return Result{}, eris.Wrapf(err, "%s: apply change %s", s.options.Self, changeID)
	}
	if err := s.spread(ctx, result.Number); err != nil {
		return Result{}, eris.Wrapf(err, "%s: apply change %s", s.options.Self, changeID)
	}
	return result, nil
}

// spread announces a version until most entries know of it.
func (s *Store) spread(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	defer cancel()
	told := make(map[string]bool)
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		s.announce(ctx, number, told)
		if s.knownToMost(number, told) {
			return nil
		}
		if sleep(ctx, pause) != nil {
			return eris.Wrapf(ErrOutcomeUnknown, "version %d is in the table, but most entries have not heard of it", number)
		}
	}
}

// announce adds to told who has taken note of the version.
func (s *Store) announce(ctx context.Context, number uint64, told map[string]bool) {
	if s.options.Announce == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for _, instance := range s.options.Announce(ctx, number) {
		told[instance] = true
	}
}

func (s *Store) knownToMost(number uint64, told map[string]bool) bool {
	peers := s.peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tellNobody || s.contact.knownTo(number, peers, told)
}

// application is one call of Apply.
type application struct {
	store *Store
	id    string
	base  uint64
	edit  Edit
	// pending is the attempt whose outcome is unknown, nil if there is none. It
	// can take effect only as long as the head's row is as it was.
	pending *attempt
	// tried says that an attempt was sent.
	tried bool
}

// attempt is one transaction and the version that it makes.
type attempt struct {
	from headRow
	txn  platform.Txn
	next *inForce
}

// run tries until the outcome is certain or ctx ends.
func (a *application) run(ctx context.Context) (Result, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		result, done, err := a.try(ctx)
		if done {
			return result, err
		}
		if sleep(ctx, pause) != nil {
			return Result{}, a.cutShort(err)
		}
	}
}

// cutShort returns the error for a call that ended before its outcome was known.
func (a *application) cutShort(err error) error {
	if a.pending != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "last error: %v", err)
	}
	return err
}

// try makes one attempt. It reads the head before the change's own row: when
// that row is absent, a pending attempt has not taken effect, and it never will
// if the head has moved on.
func (a *application) try(ctx context.Context) (result Result, done bool, err error) {
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

// accepted reports a change that the table has.
func (a *application) accepted(ctx context.Context, found change) (Result, bool, error) {
	result := Result{Number: found.Number, AlreadyApplied: !a.tried}
	if a.pending != nil && a.pending.next.version.Object == found.Object {
		a.store.adopt(a.pending.next)
		return result, true, nil
	}
	err := a.store.Poll(ctx)
	a.store.report(ctx, err)
	a.store.learnNumber(found.Number)
	return result, true, nil
}

// prepare makes the attempt that follows the head `from`. An error refuses the
// change.
func (a *application) prepare(ctx context.Context, from headRow) (*attempt, error) {
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

// build checks the records and turns them into a version.
func build(edited *records.Records, number uint64) (*inForce, error) {
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

// commit sends the attempt.
func (a *application) commit(ctx context.Context, next *attempt) (Result, bool, error) {
	a.tried = true
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

// sleep waits for d or the end of ctx, whose error it returns.
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
