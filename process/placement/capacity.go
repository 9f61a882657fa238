package placement

import "github.com/kingcuplatch/kingcuplatch/process/resource"

// Shape is the number of workers of an upstream that have the same capacity.
type Shape struct {
	Upstream string
	Capacity resource.Amount
	Workers  int64
}

// Summary is the fleet by shape. It changes when workers are added or removed, not when
// work starts or ends.
type Summary struct{ Shapes []Shape }

// Summarize counts the workers of the fleet by shape. Closed workers are included,
// because they may open again.
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

// CanEverFit reports whether an empty worker of the fleet could run the ask. If none
// could, it returns the dimension in which most workers are too small.
func CanEverFit(ask Ask, fleet Summary) (resource.Dimension, bool) {
	return CanAllEverFit(ask, 1, fleet)
}

// CanAllEverFit reports whether n tasks of the ask could run at the same time on the
// empty fleet. If not, it returns the dimension that is exhausted first on most
// workers.
func CanAllEverFit(ask Ask, n int64, fleet Summary) (resource.Dimension, bool) {
	var copies int64
	var exhausted [resource.Dimensions]int64
	for _, shape := range fleet.Shapes {
		if ask.Upstream != "" && ask.Upstream != shape.Upstream {
			continue
		}
		times, d := copiesThatFit(ask.Amount, shape.Capacity, n)
		copies += times * shape.Workers
		exhausted[d] += shape.Workers
	}
	if copies >= n {
		return 0, true
	}
	most := resource.Dimension(0)
	for d := range resource.Dimensions {
		if exhausted[d] > exhausted[most] {
			most = d
		}
	}
	return most, false
}

// copiesThatFit returns how many times the amount fits into the capacity, at most n,
// and the dimension that is exhausted first.
func copiesThatFit(amount, capacity resource.Amount, n int64) (int64, resource.Dimension) {
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
