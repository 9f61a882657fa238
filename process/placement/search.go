package placement

import "github.com/kingcuplatch/kingcuplatch/version"

const (
	// maxVisits is how many workers one search looks at in a grid.
	maxVisits = 64
	// maxCellVisits is how many of those may be in one cell.
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
	if nextUp(u.requests.rows, slots) == levels {
		return none
	}
	if i := ix.loosest(ask, &u.requests, slots); i != none {
		return i
	}
	return ix.searchTasks(ask, u)
}

// searchTasks goes through the classes, fewest free accelerators first.
func (ix *Index) searchTasks(ask *Ask, u *upstreamIndex) int {
	from := 0
	if ask.Amount.Accelerators > 0 {
		from = int(min(ask.Amount.Accelerators+1, maxClass))
	}
	for class := from; class <= lastClass(ask); class++ {
		if g := u.classes[class]; g != nil {
			if i := ix.tightest(ask, g); i != none {
				return i
			}
		}
	}
	return none
}

// lastClass returns the last class that does for the ask.
func lastClass(ask *Ask) int {
	if ask.SpareAccelerators > 0 && ask.Amount.Accelerators == 0 {
		return int(min(ask.SpareAccelerators, maxClass))
	}
	return maxClass
}

// tightest returns the best fit in a grid for tasks: row by row the tightest cell
// that has a fit, until a row by itself leaves more over than the best found.
func (ix *Index) tightest(ask *Ask, g *grid) int {
	first := int(levelOf(ask.Amount.MilliCPU, ix.reference.MilliCPU))
	memory := int(levelOf(ask.Amount.MemoryMB, ix.reference.MemoryMB))
	best, least := none, 0.0
	visits := maxVisits
	for row := nextUp(g.rows, first); row < levels && visits > 0; row = nextUp(g.rows, row+1) {
		if best != none && float64(row-first-1) >= least*levels {
			break
		}
		for cell := nextUp(g.cells[row], memory); cell < levels && visits > 0; cell = nextUp(g.cells[row], cell+1) {
			i, left := ix.tightestInCell(ask, g, row, cell, &visits)
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

func (ix *Index) tightestInCell(ask *Ask, g *grid, row, cell int, visits *int) (int, float64) {
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
		if !ask.takes(c) {
			continue
		}
		if left := leftover(ask.Amount, c); best == none || left < least {
			best, least = i, left
		}
	}
	return best, least
}

// loosest returns a worker that takes the request from the cells with the most
// free slots.
func (ix *Index) loosest(ask *Ask, g *grid, lowest int) int {
	memory := int(levelOf(ask.Amount.MemoryMB, ix.reference.MemoryMB))
	visits := maxVisits
	for row := nextDown(g.rows, levels-1); row >= lowest && visits > 0; row = nextDown(g.rows, row-1) {
		for cell := nextDown(g.cells[row], levels-1); cell >= memory && visits > 0; cell = nextDown(g.cells[row], cell-1) {
			if i := ix.anyInCell(ask, g, row, cell, &visits); i != none {
				return i
			}
		}
	}
	return none
}

func (ix *Index) anyInCell(ask *Ask, g *grid, row, cell int, visits *int) int {
	n := g.head[row*levels+cell]
	for range maxCellVisits {
		if n == 0 || *visits == 0 {
			break
		}
		*visits--
		i := int(n - 1)
		if ask.takes(&ix.workers[i]) {
			return i
		}
		n = ix.requests[i].next
	}
	return none
}
