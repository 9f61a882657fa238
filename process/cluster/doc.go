// Package cluster runs the cells of an entry: it elects one scheduler per cell,
// forwards client calls to it, and executes the decisions of package cell.
//
// # Election
//
// Each cell has a lease row in the platform's table. The entry that writes its name
// into the row, conditional on the row's last known version, becomes the scheduler. The
// row's version is its fencing token: every command to a worker carries it, and every
// write to the table is conditional on it. The lease is not renewed. Every other entry
// is a standby: it sends heartbeats to the scheduler and takes the lease over when no
// entry can reach the scheduler, or when the scheduler reports that it cannot reach
// the table.
//
// A scheduler that leaves, or gives way to a larger entry, hands the cell over: it offers
// the lease to a successor, answers the calls in progress, and releases the lease.
//
// A replaced scheduler finds out at its next write or read of the lease row, which
// happens several times a second, or from a worker that has seen a higher fence.
//
// # Leadership
//
// A new scheduler loads the cell's rows and polls every worker with its fence before
// it plans work there. Each worker has its own loop, which long-polls the worker,
// extends its lease and applies the lists of runs in its replies. One goroutine plans
// and one records. Both work on the cell under its lock and never hold the lock across
// I/O.
//
// # Calls through other entries
//
// A scheduler decides for the whole cell, but its processor and its link need not carry
// every call. Start commands go through the entry that has the job's text, and workers
// beyond the scheduler's own share are polled by other entries. To the scheduler, an entry
// that fails is a worker that doesn't reply; it then calls the worker itself.
package cluster
