package placement

import "github.com/kingcuplatch/kingcuplatch/version"

const (
	// maxVisits is the maximum number of workers that one search examines in a grid.
	maxVisits = 64
	// maxCellVisits is the maximum number of those in one cell.
	maxCellVisits = 8
)

// search finds a worker through the grids.
func (ix *Index) search(ask *Ask) int {
	if ask.Upstream != "" {
		u := ix.byName[ask.Upstream]
		if u == nil {
			return none
		}
		return ix.searchUpstream(ask, u)
	}
	best := none
	for _, u := range ix.upstreams {
		i := ix.searchUpstream(ask, u)
		if i == none {
			continue
		}
		if best == none || scoreOf(ask, &ix.workers[i]).less(scoreOf(ask, &ix.workers[best])) {
			best = i
		}
	}
	return best
}

func (ix *Index) searchUpstream(ask *Ask, u *upstreamIndex) int {
	if ask.Policy != version.PolicyRequest {
		return ix.searchTasks(ask, u)
	}
	slots := int(levelOf(ask.Amount.Slots, ix.reference.Slots))
	if nextSetBit(u.requests.rows, slots) == levels {
		return none
	}
	if i := ix.mostFree(ask, &u.requests, slots); i != none {
		return i
	}
	return ix.searchTasks(ask, u)
}

// searchTasks searches the classes in order, fewest free accelerators first.
func (ix *Index) searchTasks(ask *Ask, u *upstreamIndex) int {
	from := 0
	if ask.Amount.Accelerators > 0 {
		from = int(min(ask.Amount.Accelerators+1, maxClass))
	}
	for class := from; class <= lastClass(ask); class++ {
		if g := u.classes[class]; g != nil {
			if i := ix.bestFit(ask, g); i != none {
				return i
			}
		}
	}
	return none
}

// lastClass returns the last class that is suitable for the ask.
func lastClass(ask *Ask) int {
	if ask.SpareAccelerators > 0 && ask.Amount.Accelerators == 0 {
		return int(min(ask.SpareAccelerators, maxClass))
	}
	return maxClass
}

// bestFit returns the best fit in a grid for tasks. It examines in each row the cell
// with the least free memory that has a fit, and stops at a row in which the leftover
// processors alone exceed the leftover of the best fit found.
func (ix *Index) bestFit(ask *Ask, g *grid) int {
	first := int(levelOf(ask.Amount.MilliCPU, ix.reference.MilliCPU))
	memory := int(levelOf(ask.Amount.MemoryMB, ix.reference.MemoryMB))
	best, least := none, 0.0
	visits := maxVisits
	for row := nextSetBit(g.rows, first); row < levels && visits > 0; row = nextSetBit(g.rows, row+1) {
		if best != none && float64(row-first-1) >= least*levels {
			break
		}
		for cell := nextSetBit(g.cells[row], memory); cell < levels && visits > 0; cell = nextSetBit(g.cells[row], cell+1) {
			i, left := ix.bestFitInCell(ask, g, row, cell, &visits)
			if i == none {
				continue
			}
			if best == none || left < least {
				best, least = i, left
			}
			break
		}
	}
	return best
}

func (ix *Index) bestFitInCell(ask *Ask, g *grid, row, cell int, visits *int) (int, float64) {
	best, least := none, 0.0
	n := g.head[row*levels+cell]
	for range maxCellVisits {
		if n == 0 || *visits == 0 {
			break
		}
		*visits--
		i := int(n - 1)
		n = ix.tasks[i].next
		c := &ix.workers[i]
		if !ask.acceptedBy(c) {
			continue
		}
		if left := leftover(ask.Amount, c); best == none || left < least {
			best, least = i, left
		}
	}
	return best, least
}

// mostFree returns a worker that meets the requirements of the request, from the cells
// with the most free slots.
func (ix *Index) mostFree(ask *Ask, g *grid, lowest int) int {
	memory := int(levelOf(ask.Amount.MemoryMB, ix.reference.MemoryMB))
	visits := maxVisits
	for row := prevSetBit(g.rows, levels-1); row >= lowest && visits > 0; row = prevSetBit(g.rows, row-1) {
		for cell := prevSetBit(g.cells[row], levels-1); cell >= memory && visits > 0; cell = prevSetBit(g.cells[row], cell-1) {
			if i := ix.firstFitInCell(ask, g, row, cell, &visits); i != none {
				return i
			}
		}
	}
	return none
}

func (ix *Index) firstFitInCell(ask *Ask, g *grid, row, cell int, visits *int) int {
	n := g.head[row*levels+cell]
	for range maxCellVisits {
		if n == 0 || *visits == 0 {
			break
		}
		*visits--
		i := int(n - 1)
		if ask.acceptedBy(&ix.workers[i]) {
			return i
		}
		n = ix.requests[i].next
	}
	return none
}
