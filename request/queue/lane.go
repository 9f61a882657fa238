package queue

import "container/heap"

// laneKey identifies a lane of a team.
type laneKey struct {
	kind   string
	urgent bool
}

// lane holds a team's waiting items of one kind, so that a kind for which there is no
// capacity does not block the team's other work.
type lane struct {
	key laneKey
	// first orders items by start, last in reverse order.
	first, last itemHeap
}

func newLane(key laneKey) *lane {
	return &lane{
		key:   key,
		first: itemHeap{less: before, index: func(it *Item) *int { return &it.firstIndex }},
		last: itemHeap{
			less:  func(a, b *Item) bool { return before(b, a) },
			index: func(it *Item) *int { return &it.lastIndex },
		},
	}
}

func (l *lane) add(it *Item) {
	heap.Push(&l.first, it)
	heap.Push(&l.last, it)
}

func (l *lane) remove(it *Item) {
	heap.Remove(&l.first, it.firstIndex)
	heap.Remove(&l.last, it.lastIndex)
}
