// Package tasks runs tasks on the workers of the blocks that this entry owns.
//
// Blocks of workers are divided among the entries; the owner of a block manages
// its workers. An attempt is one run of a task on a worker. A job's coordinator,
// in package jobs, reserves capacity at an owner and then has the owner start
// attempts of tasks from the reservations. The owner renews the leases of the
// attempts and reports to the coordinators how they ended.
//
// Guarantees:
//   - An attempt is started at most once, only from a reservation of this owner,
//     and only while the entry holds the lease on the worker's block.
//   - A start with an unknown outcome keeps its capacity until the worker reports
//     the attempt, until Stop succeeds, after which the worker rejects a delayed
//     start, or until the attempt's lease has expired.
//   - Status returns StateAbsent only if no later start of that attempt can
//     succeed: the reservation, if any, is dropped first.
//   - The capacity of an attempt is freed only after its coordinator has recorded
//     its end.
//
// Each owned worker has one agent, a goroutine with its own lock. No lock is
// held during a remote call.
package tasks
