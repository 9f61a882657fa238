package allotment

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

const (
	// rowPrefix is the start of the keys of the teams' rows.
	rowPrefix = "allotment/"
	// maxSingleReads is the largest number of rows that are read one by one.
	maxSingleReads = 16
	// scanPage is the largest number of rows that one scan returns.
	scanPage = 500
	// callTimeout is the timeout of one call to the table.
	callTimeout = 2 * time.Second
)

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

// read reads one team's row.
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
