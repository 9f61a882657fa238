package queue

import "github.com/kingcuplatch/kingcuplatch/process/resource"

// Answer is what a caller of PopWhere says of an item.
type Answer int

// The answers.
const (
	// Admit starts the item.
	Admit Answer = iota
	// Refuse passes over this item only, as when its team is at its limit.
	Refuse
	// NoRoom passes over all items of the same kind and amount, of any team.
	NoRoom
)

// classKey names items that need the same room.
type classKey struct {
	kind   string
	amount resource.Amount
}

// class counts the waiting items that need the same room.
type class struct {
	waiting int
	// missed is the turn in which there was no room for it.
	missed uint64
}

// turn is one run of Pop.
type turn struct {
	number uint64
	// missed counts the classes for which there was no room in this turn.
	missed int
}

// join counts the item in its class.
func (q *Queue) join(it *Item) {
	key := classKey{it.Kind, it.Amount}
	c := q.classes[key]
	if c == nil {
		c = &class{}
		q.classes[key] = c
	}
	c.waiting++
	it.class = c
}

// leave takes the item out of its class.
func (q *Queue) leave(it *Item) {
	it.class.waiting--
	if it.class.waiting == 0 {
		delete(q.classes, classKey{it.Kind, it.Amount})
	}
}

// admits asks about the item, unless one like it had no room in this turn.
func (q *Queue) admits(it *Item, ask func(*Item) Answer) bool {
	if it.class.missed == q.turn.number {
		return false
	}
	answer := ask(it)
	if answer == NoRoom {
		it.class.missed = q.turn.number
		q.turn.missed++
	}
	return answer == Admit
}

// exhausted reports whether there was no room for anything that waits.
func (q *Queue) exhausted() bool { return q.turn.missed == len(q.classes) }
