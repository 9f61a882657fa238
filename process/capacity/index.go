package capacity

import (
	"sync"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
)

// index is a list of ledgers with constant-time insertion and removal. The
// order changes at removals.
type index struct {
	mu   sync.RWMutex
	list []*ledger
	// place returns where a ledger keeps its position in this index.
	place func(*ledger) *int
}

func (x *index) insert(l *ledger) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*x.place(l) = len(x.list)
	x.list = append(x.list, l)
}

func (x *index) remove(l *ledger) {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := len(x.list) - 1
	at := *x.place(l)
	x.list[at] = x.list[last]
	*x.place(x.list[at]) = at
	x.list[last] = nil
	x.list = x.list[:last]
}

// Len implements placement.Fleet.
func (x *index) Len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.list)
}

// At implements placement.Fleet. A place that has gone since Len was asked for
// is shown as a closed worker without a name.
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
