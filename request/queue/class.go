package queue

import "github.com/kingcuplatch/kingcuplatch/process/resource"

// Decision is the result of offering an item to the caller of PopWhere.
type Decision int

// Decisions on an item.
const (
	// Admit starts the item.
	Admit Decision = iota
	// Skip skips this item only, for example because its team is at its limit.
	Skip
	// NoCapacity skips all items of the same kind and amount, of every team.
	NoCapacity
)

// classKey identifies the items that require the same capacity.
type classKey struct {
	kind   string
	amount resource.Amount
}

// class counts the waiting items of one classKey.
type class struct {
	waiting int
	// blockedIn is the latest round in which there was no capacity for the class.
	blockedIn uint64
}

// round is one run of Pop.
type round struct {
	number uint64
	// blocked is the number of classes for which there was no capacity in this round.
	blocked int
}

// addToClass adds the item to its class.
func (q *Queue) addToClass(it *Item) {
	key := classKey{it.Kind, it.Amount}
	c := q.classes[key]
	if c == nil {
		c = &class{}
		q.classes[key] = c
	}
	c.waiting++
	it.class = c
}

// removeFromClass removes the item from its class.
func (q *Queue) removeFromClass(it *Item) {
	it.class.waiting--
	if it.class.waiting == 0 {
		delete(q.classes, classKey{it.Kind, it.Amount})
	}
}

// admits offers the item to the caller, unless there was no capacity for its class in
// this round.
func (q *Queue) admits(it *Item, decide func(*Item) Decision) bool {
	if it.class.blockedIn == q.round.number {
		return false
	}
	decision := decide(it)
	if decision == NoCapacity {
		it.class.blockedIn = q.round.number
		q.round.blocked++
	}
	return decision == Admit
}

// exhausted reports whether there was no capacity for any waiting class in this round.
func (q *Queue) exhausted() bool { return q.round.blocked == len(q.classes) }
