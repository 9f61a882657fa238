package placement

import (
	"math/rand/v2"

	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// sampleSize is the number of workers compared by a choice from a sample.
	sampleSize = 16
	// none is the index returned if no worker was chosen.
	none = -1
)

// Choose returns the index in the fleet of the worker that should run the ask, or -1
// and the reason.
//
// Requests go to the least loaded worker of a random sample (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing", IEEE TPDS 2001). Services go to the
// least used failure domain, then rack, of a sample. Batch and all-at-once tasks go to
// the best-fitting worker, with workers that have no free accelerators first. With an
// *Index, the cost does not depend on the size of the fleet, even if nothing in the
// sample fits; any other Fleet is then scanned once.
func Choose(ask Ask, fleet Fleet, rng *rand.Rand) (int, Reason) {
	if ix, indexed := fleet.(*Index); indexed {
		return ix.choose(&ask, rng)
	}
	if fleet.Len() <= sampleSize {
		return scan(&ask, fleet)
	}
	if i := sample(&ask, fleet, rng); i != none {
		return i, Reason{Chosen: true, Workers: fleet.Len()}
	}
	return scan(&ask, fleet)
}

// sample compares workers drawn at random.
func sample(ask *Ask, fleet Fleet, rng *rand.Rand) int {
	best, bestScore := none, score{}
	n := fleet.Len()
	for range sampleSize {
		i := rng.IntN(n)
		c := fleet.At(i)
		if !ask.acceptedBy(&c) {
			continue
		}
		if s := scoreOf(ask, &c); best == none || s.less(bestScore) {
			best, bestScore = i, s
		}
	}
	return best
}

// scan compares all workers.
func scan(ask *Ask, fleet Fleet) (int, Reason) {
	best, bestScore := none, score{}
	reason := Reason{Workers: fleet.Len()}
	for i := range fleet.Len() {
		c := fleet.At(i)
		if !reason.count(ask, &c) {
			continue
		}
		if s := scoreOf(ask, &c); best == none || s.less(bestScore) {
			best, bestScore = i, s
		}
	}
	reason.Chosen = best != none
	return best, reason
}

// Plan is the placement of the tasks of an all-at-once job: one index in the fleet per
// task.
type Plan []int

// ChooseAll places n tasks of the same ask together, all or nothing. Each choice takes
// the plan's earlier choices into account. The fleet is unchanged when it returns. A
// Fleet that is not an *Index is indexed for the call.
func ChooseAll(ask Ask, n int, fleet Fleet, rng *rand.Rand) (Plan, Reason) {
	ix, indexed := fleet.(*Index)
	if !indexed {
		ix = IndexFleet(fleet)
	}
	plan := make(Plan, 0, n)
	defer func() {
		for _, i := range plan {
			ix.Release(i, ask.Amount)
		}
	}()
	for range n {
		i, reason := ix.choose(&ask, rng)
		if i == none {
			return nil, reason
		}
		ix.Allocate(i, ask.Amount)
		plan = append(plan, i)
	}
	return plan, Reason{Chosen: true, Workers: ix.Len()}
}

// usesSampling reports whether the policy compares a random sample first.
func usesSampling(policy version.Policy) bool {
	return policy == version.PolicyRequest || policy == version.PolicyService
}
