// Package shares divides contended capacity between teams.
//
// Load pattern: several teams want more than there is, and one of them sends many times its usual.
// The division is weighted max-min fairness over dominant resources (Ghodsi et al., "Dominant
// Resource Fairness", NSDI 2011): capacity is given to all teams in proportion to their weights; a
// team that wants less than that gets what it wants, and what it leaves goes to the others in the
// same way. So no team gets less than its weighted part because another one wants more.
package shares

import (
	"cmp"
	"slices"
)

// Team is what one team has and wants. Used and Wanted are parts of the capacity in the resource
// of which the team uses or wants the largest part; Wanted includes Used.
type Team struct {
	Name   string
	Weight float64
	Used   float64
	Wanted float64
}

// contendedFrom is the part of the capacity from which the sum of what teams want counts as
// contention. What is free above it is in pieces that not every task fits into.
const contendedFrom = 0.85

// Contended reports whether the teams together want more than the capacity holds.
func Contended(teams []Team) bool {
	sum := 0.0
	for _, t := range teams {
		sum += t.Wanted
	}
	return sum > contendedFrom
}

// Entitled returns the part of the capacity to which each team is entitled, by name. A team
// without weight counts as one of weight 1.
func Entitled(teams []Team) map[string]float64 {
	order := slices.Clone(teams)
	for i := range order {
		if order[i].Weight <= 0 {
			order[i].Weight = 1
		}
	}
	slices.SortFunc(order, func(a, b Team) int { return cmp.Compare(a.Wanted/a.Weight, b.Wanted/b.Weight) })
	weights := 0.0
	for _, t := range order {
		weights += t.Weight
	}
	entitled := make(map[string]float64, len(order))
	left := 1.0
	for _, t := range order {
		share := min(t.Wanted, left*t.Weight/weights)
		entitled[t.Name] = share
		left -= share
		weights -= t.Weight
	}
	return entitled
}

// Standing is how a team stands to its share of contended capacity. Work of lower standings comes
// first.
type Standing int

const (
	// Satisfiable teams want no more than they are entitled to; so does every team while capacity
	// isn't contended.
	Satisfiable Standing = iota
	// Below teams want more than they are entitled to and use less.
	Below
	// Above teams use as much as they are entitled to, or more.
	Above
)

// String returns the standing as it appears in logs.
func (s Standing) String() string {
	switch s {
	case Satisfiable:
		return "within its share"
	case Below:
		return "below its share"
	default:
		return "at or above its share"
	}
}

// Standings returns the standing of each team that isn't satisfiable; nil while capacity isn't
// contended.
func Standings(teams []Team) map[string]Standing {
	if !Contended(teams) {
		return nil
	}
	entitled := Entitled(teams)
	standings := make(map[string]Standing)
	for _, t := range teams {
		switch share := entitled[t.Name]; {
		case t.Wanted <= share:
		case t.Used < share:
			standings[t.Name] = Below
		default:
			standings[t.Name] = Above
		}
	}
	return standings
}
