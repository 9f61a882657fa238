package ownership

import "time"

type modelEvent struct {
	at time.Time
	do func()
}

// modelEvents is a heap by time.
type modelEvents []modelEvent

func (h modelEvents) Len() int           { return len(h) }
func (h modelEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h modelEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)        { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
