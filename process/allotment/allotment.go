// Package allotment keeps each team within its upper limit across the fleet.
//
// # Contract
//
// A team's limit is split into grants, one for each entry incarnation that has
// work of the team. The grants of a team are one row of the platform's table,
// changed by compare-and-set. An entry starts work only within its own grant,
// a local check (Take), so the sum over entries is within the limit.
//
//   - A grant is an amount under the limit at which it was written. Under a
//     lower limit every entry scales it by the same rule,
//     floor(amount*limit/limit at writing), at once and without a write.
//     The shares amount/limit of a row add up to at most one in every
//     dimension, so what holds for one limit holds for every other.
//   - A smaller grant is in force before it is written, a larger one after the
//     write is confirmed. While the outcome of a write isn't known, the lesser
//     of both counts; reading the row back settles it.
//   - An entry changes its own grant only. The grant of an incarnation that has
//     ended stays as cover for its work; whoever adopts some of that work (Force)
//     moves as much of the grant to its own. What is left is free after a time in
//     which all of that work has been adopted or has ended.
//   - A grant never shrinks below what is in use. What runs above a lowered
//     limit is reported by Over, so that it can be throttled or checkpointed.
//
// Grants follow demand: Step, run about once a second, writes all teams that
// changed in one transaction. A dimension at version.NoLimit isn't counted.
//
// # What is not covered
//
// During an outage of the table grants stay as they are: no entry lends to
// another.
package allotment

import (
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// TeamLimit is the most that a team may have running across the fleet.
type TeamLimit struct {
	Team  string
	Limit resource.Amount
}

// TeamUsage is what a team uses at one entry.
type TeamUsage struct {
	Team string
	Used resource.Amount
}

// OverLimit tells how far a team's use at this entry exceeds what a lowered
// limit leaves it.
type OverLimit struct {
	Team string
	// Excess is zero in dimensions that are within the limit.
	Excess resource.Amount
}
