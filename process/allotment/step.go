package allotment

import (
	"context"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/rotisserie/eris"
)

const (
	// maxStepsPerPeriod is the largest number of steps per period.
	maxStepsPerPeriod = 10
	// maxRounds is the largest number of attempts of a step; it retries after a conflict.
	maxRounds = 4
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
