// Package tasks is the owner's side of tasks: it reserves capacity, starts
// attempts on the workers of the blocks that this entry owns, renews their
// leases and reports how they ended to the keepers of their jobs.
//
// Contract.
//   - An attempt is started only from a reservation of this owner, once, and only
//     while the entry's right to the worker's block holds.
//   - A start whose outcome is unknown keeps its capacity. It is settled by the
//     worker's own report or by Stop, which makes an unknown attempt stopped for
//     good, or when its lease has surely ended.
//   - Status answers absent only if no later start of that attempt can succeed:
//     the reservation, if any, is dropped first.
//   - What an attempt occupies is freed after its keeper has recorded the end.
//
// Each owned worker has one agent, a goroutine with its own lock. No lock is
// held across a call.
package tasks
