// Package cluster runs the cells of an entry: it elects one scheduler a cell,
// forwards calls about jobs to it, and carries out what package cell decides.
//
// # Election
//
// A cell has a lease row in the platform's table. Whoever writes its name there,
// on condition of the row's last version, is the scheduler; the row's version is
// the fence of all its orders and a condition of all its writes. The row isn't
// renewed. Every other entry is a standby: it sends heartbeats to the scheduler
// and takes the row over when the scheduler can't be heard, by it or by any other
// entry, or says that it has lost the table.
//
// A scheduler that was replaced learns it from its next write or read of the
// row, which happens several times a second, and from workers that have seen a
// higher fence.
//
// # Leadership
//
// A new scheduler reads the cell's rows, looks at every worker with its fence, and
// only then plans work there. Each worker has a loop of its own that looks at it
// (a long poll), extends its lease and takes in what it lists. One goroutine
// plans, one records; both work on the cell under its lock and never hold it
// across I/O.
package cluster
