package capacity

import (
	"cmp"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// ledger is the state of one worker, protected by the lock of its shard.
type ledger struct {
	shard    *shard
	worker   Worker
	holdings map[string]Holding
	used     resource.Amount
	// connections is how many connections the holdings occupy.
	connections int
	// untracked are the requests in flight without a holding.
	untracked   map[string]struct{}
	adopted     bool
	leaving     bool
	quarantined bool
	unreachable bool
	// all and upstream are the positions in the indexes.
	all, upstream int
}

func newLedger(s *shard, w Worker) *ledger {
	if w.Capacity.Running == 0 {
		w.Capacity.Running = unlimited
	}
	return &ledger{shard: s, worker: w, holdings: make(map[string]Holding), leaving: w.Leaving}
}

func (l *ledger) closed() bool { return !l.adopted || l.leaving || l.quarantined || l.unreachable }

// occupied returns what holdings and untracked requests use together.
func (l *ledger) occupied() resource.Amount {
	used := l.used
	used.Slots += int64(len(l.untracked))
	return used
}

func (l *ledger) free() resource.Amount {
	if !l.adopted {
		return resource.Amount{}
	}
	free := l.worker.Capacity.Sub(l.occupied()).Max(resource.Amount{})
	free.Slots = min(free.Slots, int64(max(0, l.freeConnections())))
	return free
}

func (l *ledger) freeConnections() int {
	return l.worker.Connections - controlConnections - l.connections - len(l.untracked)
}

// fits reports whether h fits the worker, and if not the first dimension in which it
// does not. A dimension that h does not use is ignored, even if the worker was found
// over its capacity there.
func (l *ledger) fits(h Holding) (dimension string, ok bool) {
	used, want, all := l.occupied().Vector(), h.Amount.Vector(), l.worker.Capacity.Vector()
	for d := range resource.Dimensions {
		if want[d] > 0 && used[d]+want[d] > all[d] {
			return d.String(), false
		}
	}
	if n := h.connections(); n > 0 && n > l.freeConnections() {
		return DimensionConnections, false
	}
	return "", true
}

func (l *ledger) put(h Holding) {
	l.holdings[h.ID] = h
	l.used = l.used.Add(h.Amount)
	l.connections += h.connections()
	l.shard.addTeam(h.Team, h.Amount)
	if !h.Until.IsZero() {
		l.shard.expiring[holdingKey{l.worker.Name, h.ID}] = h.Until
	}
}

func (l *ledger) drop(id string) (Holding, bool) {
	h, ok := l.holdings[id]
	if !ok {
		return Holding{}, false
	}
	delete(l.holdings, id)
	l.used = l.used.Sub(h.Amount)
	l.connections -= h.connections()
	l.shard.addTeam(h.Team, h.Amount.Times(-1))
	delete(l.shard.expiring, holdingKey{l.worker.Name, id})
	return h, true
}

func (l *ledger) clear() {
	for id := range l.holdings {
		l.drop(id)
	}
	l.untracked = nil
}

// sorted returns the holdings in the order of their ids.
func (l *ledger) sorted() []Holding {
	held := make([]Holding, 0, len(l.holdings))
	for _, h := range l.holdings {
		held = append(held, h)
	}
	slices.SortFunc(held, func(x, y Holding) int { return cmp.Compare(x.ID, y.ID) })
	return held
}

func (l *ledger) candidate() placement.Candidate {
	return placement.Candidate{
		Worker:        l.worker.Name,
		Rack:          l.worker.Rack,
		FailureDomain: l.worker.FailureDomain,
		Upstream:      l.worker.Upstream,
		Capacity:      l.worker.Capacity,
		Free:          l.free(),
		Closed:        l.closed(),
	}
}
