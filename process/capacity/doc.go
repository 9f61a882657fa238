// Package capacity tracks the capacity of the workers that an entry owns: the
// capacity of each, what is assumed for work about to be dispatched, and what running
// work occupies.
//
// # Contract
//
// Assume never lets the sum of a worker's holdings exceed its capacity in any
// dimension. Work that was found on a worker (Reconcile) is counted even if it
// exceeds the capacity. A worker that has not been adopted yet is closed: its whole
// capacity counts as used. Each slot of a holding occupies one connection in addition
// to the control connection.
//
// A Tracker is sharded by worker name, with one lock per shard. No call does I/O or
// reads the clock.
package capacity
