// Package cell is the scheduler of one cell: a set of workers, the jobs that run
// on them, and the decisions about both.
//
// # Model
//
// A Cell is a state machine without I/O, clock or goroutine. The shell around it
// (package cluster) feeds it events, each with the time: a job handed in, a list
// of runs from a worker, an order answered, a batch of rows recorded. The Cell
// answers with Actions: orders to send, advice to ask for, rows to record. So
// every decision is a function of the state and can be replayed.
//
// # Records before orders
//
// A change is acted on only after it is recorded in the platform's table: a job
// is accepted, a task is started and an end is acknowledged once the row that says
// so is written. Every write is conditional on the cell's lease row and on the
// last version of the row it replaces, so a scheduler that was replaced records
// nothing and starts nothing new.
//
// # Room
//
// A run takes its room on a worker from the moment it is planned until its end is
// listed, or until it surely isn't there: a list asked for after its start was
// answered doesn't show it, or the worker's lease ran out. An order without answer
// may be carried out later; it is stopped first, and the task runs elsewhere only
// after a list asked for after the answered stop doesn't show the run.
//
// # Order
//
// Steps that wait are sorted by the latest moment at which they can start and meet
// their job's objective (earliest deadline first with laxity). Work that a team
// hands in beyond its weight comes after what is owed, and work that can't earn
// anything any more comes last. All-at-once steps that find no room hold back the
// workers they wait for, so that smaller ones can't starve them.
package cell
