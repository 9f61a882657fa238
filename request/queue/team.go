package queue

import (
	"container/heap"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Team is what the queue has to know about a team.
type Team struct {
	Name string
	// Weight is the team's share when everything is full, relative to others.
	// Values below 1 count as 1.
	Weight int64
	// QueueLimit is how many items of the team may wait; 0 means only the
	// queue's own limit counts.
	QueueLimit int
}

// TeamUsage is what a team has running.
type TeamUsage struct {
	Team   string
	Amount resource.Amount
}

// Depth is how many items a team has waiting.
type Depth struct {
	Team    string
	Waiting int
	// Urgent is how many of those are urgent.
	Urgent int
}

// teamState is a team's queue and account.
type teamState struct {
	name       string
	weight     float64
	queueLimit int
	// configured is false for teams that only have usage or items left.
	configured bool

	// first orders items by start, last in reverse.
	first, last itemHeap
	urgent      int
	waiting     resource.Amount

	own, fleet, ownUrgent resource.Amount
	// rate is the team's dominant share in use over its weight.
	rate float64
	// urgentShare is the dominant share of its running urgent work.
	urgentShare float64
	// virtual is the team's virtual time at charged, in seconds of the whole
	// fleet over weight.
	virtual float64
	charged time.Time
}

func newTeamState(name string) *teamState {
	t := &teamState{name: name, weight: 1}
	t.first = itemHeap{less: before, place: func(it *Item) *int { return &it.first }}
	t.last = itemHeap{
		less:  func(a, b *Item) bool { return before(b, a) },
		place: func(it *Item) *int { return &it.last },
	}
	return t
}

// charge brings the team's virtual time up to now.
func (t *teamState) charge(now time.Time) {
	if now.After(t.charged) {
		t.virtual += t.rate * now.Sub(t.charged).Seconds()
		t.charged = now
	}
}

// measure recomputes the team's rate after usage, weight or capacity changed.
func (t *teamState) measure(total resource.Amount) {
	t.rate = t.own.Add(t.fleet).DominantShare(total) / t.weight
	t.urgentShare = t.ownUrgent.DominantShare(total)
}

// demand is the dominant share of all the team runs and wants, over its weight.
func (t *teamState) demand(total resource.Amount) float64 {
	return t.own.Add(t.fleet).Add(t.waiting).DominantShare(total) / t.weight
}

func (t *teamState) add(it *Item) {
	heap.Push(&t.first, it)
	heap.Push(&t.last, it)
	t.waiting = t.waiting.Add(it.Amount)
	if it.Urgent {
		t.urgent++
	}
}

func (t *teamState) remove(it *Item) {
	heap.Remove(&t.first, it.first)
	heap.Remove(&t.last, it.last)
	t.waiting = t.waiting.Sub(it.Amount)
	if it.Urgent {
		t.urgent--
	}
}

// idle reports whether nothing is known or wanted of the team any more.
func (t *teamState) idle() bool {
	return !t.configured && t.first.Len() == 0 && t.own.IsZero() && t.fleet.IsZero()
}
