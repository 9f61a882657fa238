package allotment

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/rotisserie/eris"
)

const (
	rowPrefix = "allotment/"
	// maxCandidates is the largest number of candidate grants of a team: the
	// confirmed one and those of writes whose outcome is unknown.
	maxCandidates = 8
	// maxStepsPerPeriod is the largest number of steps per period.
	maxStepsPerPeriod = 10
	// maxRounds is the largest number of attempts of a step; it retries after a conflict.
	maxRounds = 4
	// maxSingleReads is the largest number of rows that are read one by one.
	maxSingleReads = 16
	// scanPage is the largest number of rows that one scan returns.
	scanPage = 500
	// callTimeout is the timeout of one call to the table.
	callTimeout = 2 * time.Second
)

// Run calls Step periodically until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// A failed step is safe to ignore: the next one reads the rows back.
		l.tableUnavailable.Store(l.Step(ctx) != nil)
		l.AfterStep()
		pause(ctx, l.Every/maxStepsPerPeriod, nil)
		pause(ctx, l.Every-l.Every/maxStepsPerPeriod, l.wakeups)
	}
}

// pause waits for d, or until ctx ends or something is received.
func pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// change is one team's part of a batch.
type change struct {
	team    string
	version uint64
	next    row
}

// Step adjusts the grants to the demand, for all teams in one transaction. After an
// error all grants are still within the limits.
func (l *Ledger) Step(ctx context.Context) error {
	l.Refresh()
	select {
	case l.stepping <- struct{}{}:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "step")
	}
	defer func() { <-l.stepping }()
	names := l.names()
	l.recordEnded(names, time.Now())
	defer l.resetDemand(names)
	for range maxRounds {
		if err := l.readStale(ctx, names); err != nil {
			return err
		}
		again, err := l.write(ctx, l.changes(names))
		if err != nil || !again {
			return err
		}
	}
	return nil
}

// ReturnUnused returns all grants that aren't in use; nothing can be acquired any more.
// Call it when nothing runs, before the entry's lease is released. Errors: those of
// the table; grants that aren't returned are handled like those of a dead entry.
func (l *Ledger) ReturnUnused(ctx context.Context) error {
	for _, name := range l.names() {
		l.with(name, func(t *team) {
			t.closed = true
			t.stale = true
		})
	}
	return l.Step(ctx)
}

// names returns all teams, sorted.
func (l *Ledger) names() []string {
	var all []string
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for name := range s.teams {
			all = append(all, name)
		}
		s.mu.Unlock()
	}
	slices.Sort(all)
	return all
}

// resetDemand starts a new period of measuring the demand.
func (l *Ledger) resetDemand(names []string) {
	for _, name := range names {
		l.with(name, func(t *team) {
			// After a refusal the row is read again: other entries may have
			// shrunk their grants or have unmet demand.
			t.stale = t.stale || !t.want.IsZero()
			t.want = resource.Amount{}
			t.peak = t.used
		})
	}
}

// readStale reads the rows of stale teams: up to maxSingleReads one by one, more by
// scanning all rows page by page.
func (l *Ledger) readStale(ctx context.Context, names []string) error {
	var stale []string
	for _, name := range names {
		l.with(name, func(t *team) {
			if t.stale {
				stale = append(stale, name)
			}
		})
	}
	if len(stale) > maxSingleReads {
		return l.readAll(ctx, stale)
	}
	for _, name := range stale {
		if err := l.read(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) read(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, _, err := l.Table.Get(ctx, rowPrefix+name)
	if err != nil {
		return eris.Wrapf(err, "read allotments of %s", name)
	}
	return l.applyRow(name, found)
}

// readAll reads all rows; a stale team without a row holds nothing.
func (l *Ledger) readAll(ctx context.Context, stale []string) error {
	found := make(map[string]platform.Row)
	after := ""
	for {
		rows, err := l.readPage(ctx, after)
		if err != nil {
			return eris.Wrap(err, "read all allotments")
		}
		for _, r := range rows {
			found[strings.TrimPrefix(r.Key, rowPrefix)] = r
		}
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	for _, name := range stale {
		if err := l.applyRow(name, found[name]); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) readPage(ctx context.Context, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.Table.Scan(ctx, rowPrefix, after, scanPage)
}

// applyRow applies a team's row as read; the zero Row means that there is none.
func (l *Ledger) applyRow(name string, found platform.Row) error {
	var r row
	if found.Version != 0 {
		if err := json.Unmarshal(found.Value, &r); err != nil {
			return eris.Wrapf(err, "decode allotments of %s", name)
		}
	}
	l.with(name, func(t *team) { t.readBack(r, found.Version, l.Incarnation, l.omit) })
	return nil
}

// readBack applies the row. If its version has changed, no earlier write with an
// unknown outcome can still take effect, and the row shows which one did.
func (t *team) readBack(r row, version uint64, self string, omit omissions) {
	t.stale = false
	if version == t.version {
		return
	}
	mine, _ := r.own(self)
	t.row = r
	t.version = version
	t.candidates = []grant{mine.grant}
	t.recompute(omit)
}

// changes plans the rows of all teams and returns those to write. Smaller grants are in
// force immediately.
func (l *Ledger) changes(names []string) []change {
	entries := l.Entries()
	var all []change
	for _, name := range names {
		l.with(name, func(t *team) {
			t.base = baseOf(t.limit, entries)
			if next, ok := t.change(l.Incarnation, time.Now(), l.dispositionOf, l.omit); ok {
				all = append(all, change{team: name, version: t.version, next: next})
			}
		})
	}
	return all
}

// change plans one team's row. It returns false if there is nothing to write or
// if too many earlier writes have an unknown outcome.
func (t *team) change(self string, now time.Time, dispositionOf func(string, time.Time) disposition, omit omissions) (row, bool) {
	if len(t.candidates) >= maxCandidates {
		return row{}, false
	}
	t.idle = now.Sub(t.refusedAt) > idleAfter
	mine, others := t.row.own(self)
	uncovered := t.used.Sub(mine.at(t.limit)).Max(resource.Amount{})
	others, reclaimed := reclaimEnded(others, uncovered, t.limit, func(incarnation string) disposition { return dispositionOf(incarnation, now) })
	if t.closed {
		t.demand = demand{used: t.used, idle: true}
	}
	next, ceiling := plan(t.demand, others, t.limit)
	if t.closed {
		ceiling = resource.Amount{}
	}
	t.ceiling = ceiling
	want := t.want
	write := reclaimed || len(t.candidates) > 1 || needsWrite(mine, next, want, others)
	if !write {
		t.recompute(omit)
		return row{}, false
	}
	t.candidates = append(t.candidates, next)
	t.recompute(omit)
	r := row{Entries: others}
	if !next.Amount.IsZero() || !want.IsZero() {
		r.Entries = append(r.Entries, entry{Incarnation: self, grant: next, Want: want})
	}
	return r, true
}

// write commits the changes. It returns true after a conflict, when another attempt
// may succeed.
func (l *Ledger) write(ctx context.Context, changes []change) (bool, error) {
	if len(changes) == 0 {
		return false, nil
	}
	var txn platform.Txn
	for _, c := range changes {
		value, err := json.Marshal(c.next)
		if err != nil {
			return false, eris.Wrapf(err, "encode allotments of %s", c.team)
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: rowPrefix + c.team, Version: c.version})
		txn.Writes = append(txn.Writes, platform.Write{Key: rowPrefix + c.team, Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := l.Table.Commit(ctx, txn)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		l.confirm(changes, version)
		return false, nil
	case errors.As(err, &conflict):
		l.rollBack(changes, strings.TrimPrefix(conflict.Key, rowPrefix))
		return true, nil
	case errors.Is(err, platform.ErrUnavailable):
		l.rollBack(changes, "")
	default:
		l.markUnknown(changes)
	}
	return false, eris.Wrap(err, "write allotments")
}

// confirm applies a batch that took effect.
func (l *Ledger) confirm(changes []change, version uint64) {
	for _, c := range changes {
		l.with(c.team, func(t *team) { t.readBack(c.next, version, l.Incarnation, l.omit) })
	}
}

// rollBack reverts a batch that is known not to have taken effect.
func (l *Ledger) rollBack(changes []change, conflicting string) {
	for _, c := range changes {
		l.with(c.team, func(t *team) {
			t.candidates = t.candidates[:len(t.candidates)-1]
			t.stale = t.stale || c.team == conflicting
			t.recompute(l.omit)
		})
	}
}

// markUnknown marks the teams of a batch with unknown outcome to be read back.
func (l *Ledger) markUnknown(changes []change) {
	for _, c := range changes {
		l.with(c.team, func(t *team) { t.stale = true })
	}
}
