package placement

import "math/bits"

// levels is how many steps of free capacity a grid tells apart in each of its two
// dimensions.
const levels = 64

// grid sorts workers into cells by how much of two dimensions they have free. Bit
// sets of the cells in use make the next tighter or looser cell a matter of a few
// instructions; lists inside a cell are linked through the index's links.
type grid struct {
	rows  uint64
	cells [levels]uint64
	// head is one more than the first worker of a cell; 0 means none.
	head [levels * levels]int32
}

// link is a worker's place in the list of its cell. Numbers are one more than a
// worker's index; 0 means none.
type link struct {
	next, prev int32
	row, cell  uint8
	// in is the grid that the worker is in, nil if none.
	in *grid
}

func (g *grid) insert(links []link, i int, row, cell uint8) {
	head := &g.head[int(row)*levels+int(cell)]
	links[i] = link{next: *head, row: row, cell: cell, in: g}
	if *head != 0 {
		links[*head-1].prev = int32(i + 1)
	}
	*head = int32(i + 1)
	g.cells[row] |= 1 << cell
	g.rows |= 1 << row
}

// unlink takes worker i out of the grid that it is in, if any.
func unlink(links []link, i int) {
	l := links[i]
	if l.in == nil {
		return
	}
	if l.next != 0 {
		links[l.next-1].prev = l.prev
	}
	if l.prev != 0 {
		links[l.prev-1].next = l.next
	} else {
		l.in.setHead(l.row, l.cell, l.next)
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

// nextUp returns the lowest set bit of mask at or above from, levels if none.
func nextUp(mask uint64, from int) int {
	if from >= levels {
		return levels
	}
	rest := mask >> from
	if rest == 0 {
		return levels
	}
	return from + bits.TrailingZeros64(rest)
}

// nextDown returns the highest set bit of mask at or below from, a negative number
// if none.
func nextDown(mask uint64, from int) int {
	if from < 0 {
		return from
	}
	return from - bits.LeadingZeros64(mask<<(levels-1-from))
}

// levelOf returns the step that an amount falls in when reference is the most
// that any worker has.
func levelOf(amount, reference int64) uint8 {
	if reference <= 0 || amount <= 0 {
		return 0
	}
	return uint8(min(amount*(levels-1)/reference, levels-1))
}
