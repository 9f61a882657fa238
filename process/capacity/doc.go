// Package capacity is the book that an owner keeps of its workers: what each
// can hold, what is assumed for work about to be handed over, and what is held.
//
// Contract. The sum of all holdings of a worker never exceeds its capacity in
// any dimension through Assume; work that was found on a worker (Reconcile) is
// counted even when it exceeds it. A worker that was not adopted yet is closed:
// all of it counts as used. Each slot of a holding occupies one connection
// beside the control connection.
//
// The book is in shards by worker name, each under its own lock. No call does
// I/O or reads the clock.
package capacity
