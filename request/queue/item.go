package queue

import (
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Item is a unit of waiting work. The queue keeps the pointer, and the caller must not
// change the item while it is queued.
type Item struct {
	// ID is unique among queued items.
	ID   string
	Team string
	Kind string
	// Urgent items come first within the limit stated in the package comment.
	Urgent bool
	// Deadline is when the answer is required; zero means none.
	Deadline time.Time
	// RunTime is the expected run time; zero means unknown.
	RunTime time.Duration
	Amount  resource.Amount
	// Enqueued is when the work was accepted. It breaks ties between equal deadlines.
	Enqueued time.Time
	// Value belongs to the caller. The queue does not read it.
	Value any

	// startBy is the latest time at which the item must start; zero means none.
	startBy time.Time
	// rank orders the items of a team: startBy, or noDeadlineStartDelay after Enqueued.
	rank     time.Time
	sequence uint64
	// firstIndex and lastIndex are the positions of the item in the two heaps of its
	// lane, and expiryIndex its position in the heap of deadlines of the queue.
	firstIndex, lastIndex, expiryIndex int
	class                              *class
}

// Charge is an amount that a team has running. Started and Finished must be called with
// equal charges for the same work.
type Charge struct {
	Team   string
	Urgent bool
	Amount resource.Amount
}

// Charge returns the charge of the item to its team while it runs.
func (it *Item) Charge() Charge {
	return Charge{Team: it.Team, Urgent: it.Urgent, Amount: it.Amount}
}

// FullError reports that the new item itself was shed: it was not queued and has not
// run.
type FullError struct {
	Team string
	// Waiting is the number of items queued: those of the team if TeamLimit is set,
	// otherwise those of all teams.
	Waiting int
	// TeamLimit is set if the team's own limit was reached.
	TeamLimit bool
	// RetryAfter is how long to wait before retrying.
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

// LateError reports that the item could not meet its deadline: it was not queued and
// has not run.
type LateError struct {
	Team     string
	Deadline time.Time
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("team %s: deadline %s can't be met", e.Team, e.Deadline.Format(time.RFC3339Nano))
}

// DuplicateError reports that an item with the same ID is already queued.
type DuplicateError struct{ ID string }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("item %s is queued already", e.ID)
}

// noDeadlineStartDelay is the delay after Enqueued at which an item without a deadline
// is ordered among those with one.
const noDeadlineStartDelay = time.Minute

// prepare sets the fields by which the item is ordered.
func (it *Item) prepare(sequence uint64) {
	it.sequence = sequence
	it.startBy = time.Time{}
	it.rank = it.Enqueued.Add(noDeadlineStartDelay)
	if !it.Deadline.IsZero() {
		it.startBy = it.Deadline.Add(-it.RunTime)
		it.rank = it.startBy
	}
}

// late reports whether the item would miss its deadline if it started now.
func (it *Item) late(now time.Time) bool {
	return !it.startBy.IsZero() && it.startBy.Before(now)
}

// before reports whether a starts before b within their team.
func before(a, b *Item) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.sequence < b.sequence
}
