package placement

import "math/bits"

// levels is the number of levels of free capacity that a grid distinguishes in each of
// its two dimensions.
const levels = 64

// grid sorts workers into cells by their free capacity in two dimensions. Bit sets of
// the non-empty cells make it cheap to find the next cell with more or less free
// capacity. The lists within a cell are linked through the index's links.
type grid struct {
	rows  uint64
	cells [levels]uint64
	// head is the index of the first worker of a cell plus one; 0 means none.
	head [levels * levels]int32
}

// link is a worker's position in the list of its cell. next and prev are a worker's
// index plus one; 0 means none.
type link struct {
	next, prev int32
	row, cell  uint8
	// grid is the grid that holds the worker, or nil.
	grid *grid
}

func (g *grid) insert(links []link, i int, row, cell uint8) {
	head := &g.head[int(row)*levels+int(cell)]
	links[i] = link{next: *head, row: row, cell: cell, grid: g}
	if *head != 0 {
		links[*head-1].prev = int32(i + 1)
	}
	*head = int32(i + 1)
	g.cells[row] |= 1 << cell
	g.rows |= 1 << row
}

// unlink removes worker i from the grid that holds it, if any.
func unlink(links []link, i int) {
	l := links[i]
	if l.grid == nil {
		return
	}
	if l.next != 0 {
		links[l.next-1].prev = l.prev
	}
	if l.prev != 0 {
		links[l.prev-1].next = l.next
	} else {
		l.grid.setHead(l.row, l.cell, l.next)
	}
	links[i] = link{}
}

func (g *grid) setHead(row, cell uint8, to int32) {
	g.head[int(row)*levels+int(cell)] = to
	if to != 0 {
		return
	}
	g.cells[row] &^= 1 << cell
	if g.cells[row] == 0 {
		g.rows &^= 1 << row
	}
}

// nextSetBit returns the lowest set bit of mask at or above from, or levels if there is
// none.
func nextSetBit(mask uint64, from int) int {
	if from >= levels {
		return levels
	}
	rest := mask >> from
	if rest == 0 {
		return levels
	}
	return from + bits.TrailingZeros64(rest)
}

// prevSetBit returns the highest set bit of mask at or below from, or a negative number
// if there is none.
func prevSetBit(mask uint64, from int) int {
	if from < 0 {
		return from
	}
	return from - bits.LeadingZeros64(mask<<(levels-1-from))
}

// levelOf returns the level of an amount, where reference is the largest capacity of
// any worker.
func levelOf(amount, reference int64) uint8 {
	if reference <= 0 || amount <= 0 {
		return 0
	}
	return uint8(min(amount*(levels-1)/reference, levels-1))
}
