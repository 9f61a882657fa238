package placement

import "github.com/kingcuplatch/kingcuplatch/process/resource"

// Shape is how many workers of an upstream have one capacity.
type Shape struct {
	Upstream string
	Capacity resource.Amount
	Workers  int64
}

// Summary is the fleet by shape. It changes when workers come or go, not when work
// starts or ends.
type Summary struct{ Shapes []Shape }

// Summarize counts the shapes of the fleet; closed workers count too, as they may
// open again.
func Summarize(fleet Fleet) Summary {
	type key struct {
		upstream string
		capacity resource.Amount
	}
	counts := make(map[key]int)
	var s Summary
	for i := range fleet.Len() {
		c := fleet.At(i)
		k := key{c.Upstream, c.Capacity}
		at, seen := counts[k]
		if !seen {
			at = len(s.Shapes)
			counts[k] = at
			s.Shapes = append(s.Shapes, Shape{Upstream: c.Upstream, Capacity: c.Capacity})
		}
		s.Shapes[at].Workers++
	}
	return s
}

// CanEverFit reports whether an empty worker of the fleet could take the ask. If
// none could, it returns the dimension in which most workers are too small.
func CanEverFit(ask Ask, fleet Summary) (resource.Dimension, bool) {
	return CanAllEverFit(ask, 1, fleet)
}

// CanAllEverFit reports whether n tasks of the ask could run together on the empty
// fleet. If not, it returns the dimension in which most workers run out first.
func CanAllEverFit(ask Ask, n int64, fleet Summary) (resource.Dimension, bool) {
	var room int64
	var short [resource.Dimensions]int64
	for _, shape := range fleet.Shapes {
		if ask.Upstream != "" && ask.Upstream != shape.Upstream {
			continue
		}
		times, d := howOften(ask.Amount, shape.Capacity, n)
		room += times * shape.Workers
		short[d] += shape.Workers
	}
	if room >= n {
		return 0, true
	}
	most := resource.Dimension(0)
	for d := range resource.Dimensions {
		if short[d] > short[most] {
			most = d
		}
	}
	return most, false
}

// howOften returns how many times the amount fits into the capacity, at most n, and
// the dimension that runs out first.
func howOften(amount, capacity resource.Amount, n int64) (int64, resource.Dimension) {
	want, have := amount.Vector(), capacity.Vector()
	times, first := n, resource.Running
	for d := range resource.Dimensions {
		if want[d] <= 0 {
			continue
		}
		if fits := have[d] / want[d]; fits < times {
			times, first = fits, d
		}
	}
	return times, first
}
