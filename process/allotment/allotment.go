// Package allotment keeps each team within its upper limit across the fleet.
//
// # Contract
//
// A team's limit is split into grants, one for each entry incarnation that has
// work of the team. The grants of a team are one row of the platform's table,
// changed by compare-and-set. An entry starts work only within its own grant,
// which is a local check (TryAcquire), so the sum over all entries stays within
// the limit.
//
//   - A grant is an amount under the limit at which it was written. Under a
//     lower limit every entry scales it by the same rule,
//     floor(amount*limit/limit at writing), at once and without a write.
//     The shares amount/limit of a row add up to at most one in every
//     dimension, so a row that is valid under one limit is valid under every
//     other.
//   - A smaller grant is in force before it is written, a larger one after the
//     write is confirmed. While the outcome of a write is unknown, the lesser
//     of the two applies; reading the row back shows the outcome.
//   - An entry changes only its own grant and those of ended incarnations. The
//     grant of an ended incarnation stays in the row to cover its work; an entry
//     that adopts some of that work (ForceAcquire) moves the same amount of the
//     grant to its own. The rest is free after FreeEndedAfter, by which time all
//     of that work has been adopted or has ended.
//   - A grant never shrinks below what is in use. Use above a lowered limit is
//     reported by OverLimits, so that the work can be throttled or checkpointed.
//
// Grants follow demand: Step, run about once a second, writes all teams that
// changed in one transaction. A dimension at version.NoLimit isn't counted.
//
// # Limitations
//
// During an outage of the table grants don't change, so no entry can use what
// another one leaves free.
package allotment

import (
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// TeamLimit is the largest amount that a team may have running across the fleet.
type TeamLimit struct {
	Team  string
	Limit resource.Amount
}

// TeamUsage is what a team uses at one entry.
type TeamUsage struct {
	Team string
	Used resource.Amount
}

// OverLimit is the amount by which a team's use at this entry exceeds its allotment
// under a lowered limit.
type OverLimit struct {
	Team string
	// Excess is zero in dimensions that are within the limit.
	Excess resource.Amount
}
