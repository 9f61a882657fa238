// Package cell implements the scheduler of one cell: a set of workers, the jobs
// that run on them, and the decisions about both.
//
// # Model
//
// A Cell is a state machine without I/O, clock or goroutines. The runtime around
// it (package cluster) feeds it events, each with its time: a submitted job, a list
// of runs from a worker, the reply to a command, a recorded batch of rows. The Cell
// returns Actions: commands to send, advice to request, rows to record. Every
// decision is therefore a function of the state and can be replayed.
//
// Advice is the reply of the advisory service, which decides for some queues on which
// workers a step may run and issues a ticket for each of them.
//
// # Records before commands
//
// A change takes effect only after it is recorded in the platform's table: a job is
// accepted, a task is started and an end is acknowledged once the row that says so
// is written. Every write is conditional on the cell's lease row and on the last
// version of the row that it replaces, so a scheduler that has been replaced records
// nothing and starts nothing new.
//
// # Capacity
//
// A run occupies capacity on its worker from the moment it is planned until its end
// is listed, or until it is certain not to be on the worker: a list requested after
// the reply to its start does not show it, or the worker's lease has expired.
// A command without a reply may still be carried out later. Its run is stopped
// first, and the task runs elsewhere only after a list requested after the reply to
// the stop does not show the run.
//
// A worker's capacity may change while it runs. A start is checked against the present one again
// when it is sent.
//
// # Crashes
//
// A worker's process may end without notice, by its own fault or by that of a task. Each task keeps
// the crashes of workers under its runs and what they say about it: had it just been started,
// was it the only one, was it alone. Tasks that may be to blame run apart from others, and are given
// up once their crashes can't have another cause.
//
// # Order
//
// Waiting steps are sorted by the latest time at which they can start and still meet
// their job's objective (earliest deadline first with laxity). Work beyond a team's
// guaranteed share comes after work within it, and work that can no longer finish
// before its result is of no use comes last. All-at-once steps (gangs) that do not fit
// reserve the workers that they wait for, so that smaller steps can't starve them.
package cell
