package capacity

import (
	"sync"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
)

// index is a list of ledgers with constant-time insertion and removal. A removal
// changes the order.
type index struct {
	mu   sync.RWMutex
	list []*ledger
	// position returns a pointer to a ledger's position in this index.
	position func(*ledger) *int
}

func (x *index) insert(l *ledger) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*x.position(l) = len(x.list)
	x.list = append(x.list, l)
}

func (x *index) remove(l *ledger) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := len(x.list) - 1
	at := *x.position(l)
	x.list[at] = x.list[last]
	*x.position(x.list[at]) = at
	x.list[last] = nil
	x.list = x.list[:last]
}

// Len implements placement.Fleet.
func (x *index) Len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.list)
}

// At implements placement.Fleet. If i is no longer valid, because a worker was removed
// after the call of Len, it returns a closed worker without a name.
func (x *index) At(i int) placement.Candidate {
	l := x.get(i)
	if l == nil {
		return placement.Candidate{Closed: true}
	}
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.candidate()
}

func (x *index) get(i int) *ledger {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if i < 0 || i >= len(x.list) {
		return nil
	}
	return x.list[i]
}
