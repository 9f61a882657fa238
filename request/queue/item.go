package queue

import (
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Item is one piece of waiting work. The queue keeps the pointer; the caller must
// not change the item while it is queued.
type Item struct {
	// ID is unique among queued items.
	ID   string
	Team string
	Kind string
	// Urgent items go first within the bound that the package comment states.
	Urgent bool
	// Deadline is when the answer must be there; zero means no deadline.
	Deadline time.Time
	// RunTime is how long the item is expected to run; zero when unknown.
	RunTime time.Duration
	Amount  resource.Amount
	// Enqueued is when the work was accepted. Ties in deadline go by it.
	Enqueued time.Time
	// Value is the caller's own and not looked at.
	Value any

	// startBy is when the item must have started, zero for never.
	startBy time.Time
	// rank orders the items of a team: startBy, or a patience after Enqueued.
	rank     time.Time
	sequence uint64
	// first and last are the item's places in its team's two heaps, expiry that
	// in the queue's heap of deadlines.
	first, last, expiry int
	class               *class
}

// Charge is an amount that a team has running. Started and Finished take equal
// charges for the same work.
type Charge struct {
	Team   string
	Urgent bool
	Amount resource.Amount
}

// Charge returns what the item costs its team while it runs.
func (it *Item) Charge() Charge {
	return Charge{Team: it.Team, Urgent: it.Urgent, Amount: it.Amount}
}

// FullError says that the newcomer itself was shed: it was not queued and has not
// run.
type FullError struct {
	Team string
	// Waiting is the number of items queued, of the team if TeamLimit is set and
	// of all teams if not.
	Waiting int
	// TeamLimit is set when the team's own limit was reached.
	TeamLimit bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	scope := "queue"
	if e.TeamLimit {
		scope = "queue of the team"
	}
	return fmt.Sprintf("team %s: %s is full with %d waiting, retry after %s", e.Team, scope, e.Waiting, e.RetryAfter)
}

// LateError says that the item could not have met its deadline: it was not queued
// and has not run.
type LateError struct {
	Team     string
	Deadline time.Time
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("team %s: deadline %s can't be met", e.Team, e.Deadline.Format(time.RFC3339Nano))
}

// DuplicateError says that an item with this ID is queued already.
type DuplicateError struct{ ID string }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("item %s is queued already", e.ID)
}

// patience is how long after Enqueued an item without deadline ranks among those
// with one.
const patience = time.Minute

// prepare sets what the order of the item depends on.
func (it *Item) prepare(sequence uint64) {
	it.sequence = sequence
	it.startBy = time.Time{}
	it.rank = it.Enqueued.Add(patience)
	if !it.Deadline.IsZero() {
		it.startBy = it.Deadline.Add(-it.RunTime)
		it.rank = it.startBy
	}
}

// late reports whether starting the item now would miss its deadline.
func (it *Item) late(now time.Time) bool {
	return !it.startBy.IsZero() && it.startBy.Before(now)
}

// before reports whether a starts before b inside their team.
func before(a, b *Item) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.sequence < b.sequence
}
