// Package queue decides which waiting piece of work starts next, and which is
// given up when too much is waiting.
//
// # What a slot is
//
// A slot is one unit of a worker's ability to answer requests at the same time.
// A worker with 8 slots runs at most 8 requests; slot is one dimension of the
// resource.Amount that every Item asks for, beside processors, memory and
// accelerators. The queue itself hands out no slots: the caller's admit function
// says whether an item fits, and the queue says whose turn it is.
//
// # How the queue decides
//
// Between teams, work is shared by weighted max-min over dominant share (Ghodsi
// et al., "Dominant Resource Fairness", NSDI 2011): what a team uses is the
// largest fraction of the fleet's capacity that it takes in any dimension,
// divided by the team's weight. What counts is usage over time and not the number
// of starts, because run times are unknown when work starts. Each team carries a
// virtual time that grows by usage / weight each second, and the backlogged team
// with the smallest one is next. A team that comes back from idling starts at the
// queue's own virtual time, which is that of the team started last: it is neither
// paid for the time it wanted nothing nor punished for having used capacity that
// nobody else wanted. That is start-time fair queueing (Goyal, Vin and Cheng,
// SIGCOMM 1996) with the cost of a start charged while it runs. Credit and debt
// against the queue's virtual time are bounded, so that a team held back by its
// own limit, or one whose services run for days, is back to normal within seconds.
//
// Starts are charged in advance for the mean run time, measured by Little's law, so
// that many starts at one instant, and long work, count before they have run.
//
// A team's usage is what this queue started plus what peers, the queues that hand out
// the fleet's other workers, report, so that a team seen by a single queue gains
// nothing by it. Peers exchange each team's usage over time as totals that only grow;
// between reports a peer is taken to use in proportion to this queue, by the ratio of
// its last reports. All then correct an error once, and not each by the whole of it.
// A team is counted in the dimension that it uses most of in the whole fleet.
//
// Urgent items go first, before the order between teams, as long as the urgent
// work that their team has running stays within the team's weighted share. Beyond
// that they stand in their team's ordinary order, still ahead of its other work.
//
// Inside a team items wait by kind. When the first item of one kind is not admitted,
// the team's other kinds still are; package dispatch sees to it that what was passed
// over starts in the end. Inside a kind, and between kinds, the item that must start
// earliest is first: the deadline less the expected run time (Liu and Layland,
// "Scheduling Algorithms for Multiprogramming in a Hard-Real-Time Environment", JACM
// 1973). An item without deadline ranks as if it had to start a minute after it came.
// An item that can't meet its deadline any more is never started; Expire gives it up.
//
// # When the queue is full
//
// A full queue sheds from the team whose demand, running and waiting together, is
// furthest above its weighted share, and there the item that would start last
// (longest queue drop: Suter et al., "Buffer Management Schemes for Supporting TCP
// in Gigabit Routers with Per-flow Queueing", IEEE JSAC 1999). The newcomer may be
// that item: then Push returns a *FullError that says when to come back.
//
// # Contract
//
// All decisions are functions of the calls made so far and of the time passed in;
// the package reads no clock, does no I/O and starts no goroutine. Time must not go
// backwards between calls; an earlier time counts as the latest one seen. A Queue
// is not safe for concurrent use: callers keep one in a shard under its lock.
package queue
