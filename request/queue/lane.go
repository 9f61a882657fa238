package queue

import "container/heap"

// laneKey names a lane of a team.
type laneKey struct {
	kind   string
	urgent bool
}

// lane holds a team's waiting items of one kind, so that a kind of which nothing
// fits now doesn't keep the team's other work from starting.
type lane struct {
	key laneKey
	// first orders items by start, last in reverse.
	first, last itemHeap
}

func newLane(key laneKey) *lane {
	return &lane{
		key:   key,
		first: itemHeap{less: before, place: func(it *Item) *int { return &it.first }},
		last: itemHeap{
			less:  func(a, b *Item) bool { return before(b, a) },
			place: func(it *Item) *int { return &it.last },
		},
	}
}

func (l *lane) add(it *Item) {
	heap.Push(&l.first, it)
	heap.Push(&l.last, it)
}

func (l *lane) remove(it *Item) {
	heap.Remove(&l.first, it.first)
	heap.Remove(&l.last, it.last)
}
