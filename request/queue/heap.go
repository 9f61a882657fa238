package queue

// itemHeap is a heap of items for container/heap that records the index of each item in
// the item.
type itemHeap struct {
	items []*Item
	// less orders the heap. index returns the field of an item that holds its index.
	less  func(a, b *Item) bool
	index func(*Item) *int
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	*h.index(it) = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(h.items) - 1
	it := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	return it
}

// top returns the first item, or nil if the heap is empty.
func (h *itemHeap) top() *Item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}
