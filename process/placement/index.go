package placement

import (
	"math/rand/v2"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// maxClass is the class of the workers with the most free accelerators; higher counts
// are not distinguished.
const maxClass = 17

// Index is a Fleet that is kept sorted by free capacity, so that the cost of finding a
// worker that fits does not depend on the number of workers. Updates have the same
// constant cost. An Index is not safe for concurrent use.
//
// Each upstream has one grid for requests, by free slots and memory. For tasks it has
// one grid per class of free accelerators, by free processors and memory. Sorting by
// size into cells that are found through bit sets follows two-level segregated fit
// (Masmano et al., "TLSF: a New Dynamic Memory Allocator for Real-Time Systems", ECRTS
// 2004).
type Index struct {
	workers   []Candidate
	positions map[string]int
	// reference is the largest capacity of any worker, by dimension.
	reference resource.Amount
	upstreams []*upstreamIndex
	byName    map[string]*upstreamIndex
	// tasks and requests link the workers in the grids for tasks and for requests.
	tasks, requests []link
	negative        negativeCache
	// reserved holds the names of the reserved workers.
	reserved map[string]bool
}

// upstreamIndex holds the grids of one upstream's workers.
type upstreamIndex struct {
	requests grid
	// classes holds the grids for tasks by class of free accelerators. They are
	// allocated on first use.
	classes [maxClass + 1]*grid
}

// NewIndex returns an index of a copy of the workers.
func NewIndex(workers []Candidate) *Index {
	ix := &Index{
		positions: make(map[string]int, len(workers)),
		byName:    make(map[string]*upstreamIndex),
		reserved:  make(map[string]bool),
	}
	for _, c := range workers {
		ix.reference = ix.reference.Max(c.Capacity)
	}
	for _, c := range workers {
		ix.Add(c)
	}
	return ix
}

// IndexFleet returns an index of a copy of the fleet.
func IndexFleet(fleet Fleet) *Index {
	workers := make([]Candidate, fleet.Len())
	for i := range workers {
		workers[i] = fleet.At(i)
	}
	return NewIndex(workers)
}

// Len implements Fleet.
func (ix *Index) Len() int { return len(ix.workers) }

// At implements Fleet.
func (ix *Index) At(i int) Candidate { return ix.workers[i] }

// Position returns the index of the named worker.
func (ix *Index) Position(worker string) (int, bool) {
	i, known := ix.positions[worker]
	return i, known
}

// Add adds a worker or replaces the one with the same name. It returns its index.
func (ix *Index) Add(c Candidate) int {
	i, known := ix.positions[c.Worker]
	if known {
		ix.Set(i, c)
		return i
	}
	i = len(ix.workers)
	ix.workers = append(ix.workers, c)
	ix.tasks = append(ix.tasks, link{})
	ix.requests = append(ix.requests, link{})
	ix.positions[c.Worker] = i
	ix.growReference(c.Capacity)
	ix.insert(i)
	return i
}

// Set replaces worker i, whose name must not change.
func (ix *Index) Set(i int, c Candidate) {
	ix.unlink(i)
	ix.workers[i] = c
	ix.growReference(c.Capacity)
	ix.insert(i)
}

// Remove removes worker i. The last worker moves to its index.
func (ix *Index) Remove(i int) {
	last := len(ix.workers) - 1
	ix.unlink(i)
	ix.unlink(last)
	delete(ix.positions, ix.workers[i].Worker)
	delete(ix.reserved, ix.workers[i].Worker)
	moved := ix.workers[last]
	ix.workers[last] = Candidate{}
	ix.workers = ix.workers[:last]
	ix.tasks = ix.tasks[:last]
	ix.requests = ix.requests[:last]
	if i == last {
		return
	}
	ix.workers[i] = moved
	ix.positions[moved.Worker] = i
	ix.insert(i)
}

// Allocate subtracts amount, which must not be negative, from the free capacity of
// worker i.
func (ix *Index) Allocate(i int, amount resource.Amount) {
	ix.unlink(i)
	ix.workers[i].Free = ix.workers[i].Free.Sub(amount)
	ix.link(i)
}

// Release adds amount to the free capacity of worker i.
func (ix *Index) Release(i int, amount resource.Amount) {
	ix.SetFree(i, ix.workers[i].Free.Add(amount))
}

// SetFree replaces the free capacity of worker i.
func (ix *Index) SetFree(i int, free resource.Amount) {
	ix.unlink(i)
	ix.workers[i].Free = free
	ix.insert(i)
}

// SetClosed closes worker i to new work or opens it again.
func (ix *Index) SetClosed(i int, closed bool) {
	ix.unlink(i)
	ix.workers[i].Closed = closed
	ix.insert(i)
}

func (ix *Index) unlink(i int) {
	unlink(ix.tasks, i)
	unlink(ix.requests, i)
}

// insert links worker i by its free capacity. Closed and reserved workers are in no
// grid. Because an ask that did not fit before may fit now, the negative cache is
// cleared.
func (ix *Index) insert(i int) {
	ix.negative.clear()
	ix.link(i)
}

func (ix *Index) link(i int) {
	c := &ix.workers[i]
	if !ix.eligible(c) {
		return
	}
	u := ix.upstream(c.Upstream)
	memory := levelOf(c.Free.MemoryMB, ix.reference.MemoryMB)
	u.class(classOf(c)).insert(ix.tasks, i, levelOf(c.Free.MilliCPU, ix.reference.MilliCPU), memory)
	u.requests.insert(ix.requests, i, levelOf(c.Free.Slots, ix.reference.Slots), memory)
}

// growReference re-sorts all workers if capacity exceeds the reference.
func (ix *Index) growReference(capacity resource.Amount) {
	if capacity.Fits(ix.reference) {
		return
	}
	ix.reference = ix.reference.Max(capacity)
	for i := range ix.workers {
		ix.unlink(i)
	}
	for i := range ix.workers {
		ix.insert(i)
	}
}

// eligible reports whether the worker may be chosen.
func (ix *Index) eligible(c *Candidate) bool {
	return !c.Closed && (len(ix.reserved) == 0 || !ix.reserved[c.Worker])
}

func (ix *Index) upstream(name string) *upstreamIndex {
	u := ix.byName[name]
	if u == nil {
		u = &upstreamIndex{}
		ix.byName[name] = u
		ix.upstreams = append(ix.upstreams, u)
	}
	return u
}

func (u *upstreamIndex) class(n int) *grid {
	if u.classes[n] == nil {
		u.classes[n] = &grid{}
	}
	return u.classes[n]
}

// classOf returns 0 for a worker without accelerators, otherwise its free accelerators
// plus one, at most maxClass.
func classOf(c *Candidate) int {
	if c.Capacity.Accelerators == 0 {
		return 0
	}
	return int(min(max(c.Free.Accelerators, 0)+1, maxClass))
}

// choose returns the worker for the ask, or none and the reason if no worker was found.
func (ix *Index) choose(ask *Ask, rng *rand.Rand) (int, Reason) {
	if len(ix.workers) == 0 {
		return none, Reason{}
	}
	if reason, cached := ix.negative.lookup(ask); cached {
		return none, reason
	}
	best := none
	if usesSampling(ask.Policy) {
		best = ix.sample(ask, rng)
	}
	if best == none {
		best = ix.search(ask)
	}
	if best == none {
		reason := ix.explain(ask, rng)
		ix.negative.add(ask, reason)
		return none, reason
	}
	return best, Reason{Chosen: true, Workers: len(ix.workers)}
}

// sample compares workers drawn at random, without copying them.
func (ix *Index) sample(ask *Ask, rng *rand.Rand) int {
	best, bestScore := none, score{}
	for range sampleSize {
		i := rng.IntN(len(ix.workers))
		c := &ix.workers[i]
		if !ask.acceptedBy(c) || !ix.eligible(c) {
			continue
		}
		if s := scoreOf(ask, c); best == none || s.less(bestScore) {
			best, bestScore = i, s
		}
	}
	return best
}

// explain counts why workers were rejected; in a large fleet, over a sample.
func (ix *Index) explain(ask *Ask, rng *rand.Rand) Reason {
	reason := Reason{Workers: len(ix.workers)}
	if len(ix.workers) <= sampleSize {
		for i := range ix.workers {
			reason.count(ask, &ix.workers[i])
		}
		return reason
	}
	for range sampleSize {
		reason.count(ask, &ix.workers[rng.IntN(len(ix.workers))])
	}
	return reason
}
