// Package queue decides which waiting item starts next, and which items are shed when
// too many wait.
//
// # Slots
//
// A slot is the capacity of a worker to run one request. A worker with 8 slots runs at
// most 8 requests at the same time. Slots are one dimension of the resource.Amount that
// every Item requires, together with processors, memory and accelerators. The queue does
// not allocate capacity: the caller's admit function decides whether an item fits, and
// the queue decides the order in which items are offered.
//
// # Order
//
// Teams share capacity by weighted max-min fairness over dominant shares (Ghodsi et
// al., "Dominant Resource Fairness", NSDI 2011): a team's usage is the largest fraction
// of the fleet's capacity that it takes in any dimension, divided by the team's weight.
// Usage is integrated over time rather than counted per start, because run times are
// unknown when work starts. Each team has a virtual time that grows by usage / weight
// per second, and the backlogged team with the smallest virtual time is next. A team
// that becomes active after being idle starts at the queue's own virtual time, which is
// that of the team started last: it gains no credit for the time in which it was idle
// and no debt for having used capacity that was otherwise idle. This is start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996) with the cost of an item charged while
// it runs. Credit and debt relative to the queue's virtual time are bounded, so that a
// team held back by its own limit, or one whose services run for days, is scheduled
// normally again within seconds.
//
// Starts are charged in advance for the mean run time, measured by Little's law, so
// that many starts at the same instant, and long work, count before they have run.
//
// The usage of a team is what this queue started plus what its peers, the queues that
// schedule the fleet's other workers, report. A team that submits to a single queue
// therefore gains no advantage. Peers exchange the usage of each team as totals that
// only grow. Between two reports, a peer's usage is extrapolated from this queue's
// usage by the ratio of the last reports. The queues together then correct an error
// once, instead of each queue correcting all of it. A team's usage is counted in the
// dimension that it uses most of in the whole fleet.
//
// Urgent items come before all other items, as long as the running urgent work of their
// team is within the team's weighted share. Beyond that share they take part in the
// ordinary order of teams, ahead of the other work of their team.
//
// Within a team, items are queued by kind of work. If the first item of one kind is not
// admitted, the team's other kinds can still start. The caller must ensure that a skipped
// item starts eventually; package backfill does so with reservations. The items of a
// kind, and the first items of different kinds, are ordered by the latest time at which
// they must start, earliest first: the deadline minus the expected run time (Liu and
// Layland, "Scheduling Algorithms for Multiprogramming in a Hard-Real-Time Environment",
// JACM 1973). An item without a deadline is ordered as if it had to start one minute after
// it was enqueued. An item that can no longer meet its deadline is not started; Expire
// returns it.
//
// # Load shedding
//
// A full queue sheds from the team whose demand, running and waiting together, exceeds
// its weighted share the most. Of that team it sheds the item that would start last
// (longest queue drop: Suter et al., "Buffer Management Schemes for Supporting TCP in
// Gigabit Routers with Per-flow Queueing", IEEE JSAC 1999). If that is the new item,
// Push returns a *FullError with the time after which to retry.
//
// # Contract
//
// All decisions are functions of the calls made so far and of the time passed in. The
// package reads no clock, does no I/O and starts no goroutine. Time must not go
// backwards between calls; an earlier time is treated as the latest one seen. A Queue is
// not safe for concurrent use: callers guard it with a lock of their own.
package queue
