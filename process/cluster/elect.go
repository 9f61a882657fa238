package cluster

import (
	"context"
	"errors"
	"hash/fnv"
	"time"
)

// Timings of the election.
const (
	// electionPeriod is the interval between checks of the scheduler's state.
	electionPeriod = 50 * time.Millisecond
	// unreachableAfter is how long after the last contact a scheduler is considered
	// unreachable.
	unreachableAfter = 500 * time.Millisecond
	// unreachableAfterRefusal replaces unreachableAfter if the scheduler's address refuses
	// connections or heartbeats.
	unreachableAfterRefusal = 100 * time.Millisecond
	// firstRankDelay is the takeover delay of the second-ranked standby, so that the first
	// one has checked before it; rankDelay is added for each further rank.
	firstRankDelay = 4 * electionPeriod
	rankDelay      = 25 * time.Millisecond
	// smallDelay is the additional takeover delay of an entry while a larger one is known.
	smallDelay = 400 * time.Millisecond
	// afterSuccessor is how long the entries leave a released lease to the successor that
	// was named, before they act by rank.
	afterSuccessor = 250 * time.Millisecond
	// acquireHoldoff is how long a standby leaves the lease to another standby that is
	// writing the lease row.
	acquireHoldoff = tableTimeout
	// tableStaleAfter is how long a scheduler may go without an answer from the table.
	tableStaleAfter = 500 * time.Millisecond
	// tableFailingAfter is how long the scheduler's calls to the table may have failed. It
	// applies before tableStaleAfter if the table refuses the calls at once.
	tableFailingAfter = 250 * time.Millisecond
	// tableSuspectAfter is the age of the scheduler's last table contact from which a
	// standby checks whether it reaches the table itself.
	tableSuspectAfter = 300 * time.Millisecond
	// tableConfirmTime is how long the first-ranked standby must have reached the table
	// while the scheduler still reports that it does not. When the table recovers for all
	// entries, some entry always notices first.
	tableConfirmTime = lostProbePeriod + electionPeriod
	// leaseReadPeriod is the interval between reads of the lease row while the scheduler
	// is suspected.
	leaseReadPeriod = 2 * electionPeriod
	// maxLeaseReadTime is the longest read of the lease row after which a standby takes
	// over from a scheduler that cannot reach the table. If the table is slow for all
	// entries, a takeover does not help.
	maxLeaseReadTime = 120 * time.Millisecond
	// peerQueryTimeout bounds the query to other entries about the scheduler's
	// reachability.
	peerQueryTimeout = 200 * time.Millisecond
	// loadTimeout bounds reading a page of a cell's rows, and is how long an entry reads a cell before
	// it leaves that to a sufficiently larger one. A load that goes on is not given up otherwise: the
	// next one would begin anew and take as long.
	loadTimeout = 6 * time.Second
	// warmUpTime is how long a new scheduler may go without answers from the table,
	// because it polls every worker first.
	warmUpTime = 2 * time.Second
	// unrankedDelay, divided by the entry's cores, is how long an entry that knows no
	// other entry waits, so that larger entries acquire the lease first. maxUnrankedDelay
	// bounds this wait.
	unrankedDelay    = 150 * time.Millisecond
	maxUnrankedDelay = 1200 * time.Millisecond
	// yieldAfter is how long a scheduler runs before it yields to an entry with more than
	// yieldFactor times its cores, and yieldInterval the minimum time between two yields.
	yieldAfter    = 3 * time.Second
	yieldInterval = 20 * time.Second
	yieldFactor   = 1.5
	// releaseTimeout bounds releasing the lease.
	releaseTimeout = 800 * time.Millisecond
)

// elect follows the scheduler and takes over when it is unreachable.
func (n *Node) elect(ctx context.Context) {
	sleep(ctx, phaseOf(n.config.Name))
	for ctx.Err() == nil {
		began := time.Now()
		n.electOnce(ctx)
		sleep(ctx, electionPeriod-time.Since(began))
	}
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r != nil {
		r.end()
	}
}

func (n *Node) electOnce(ctx context.Context) {
	<-n.leaseLock
	defer func() { n.leaseLock <- struct{}{} }()
	n.mu.Lock()
	r, view, leaving := n.leadership, n.view, n.leaving
	n.mu.Unlock()
	if r != nil && !r.over() {
		n.yield(ctx, r)
		return
	}
	if view.fence == 0 || view.Holder == "" {
		if n.leaseReads.due(heartbeatPeriod) {
			n.checkLease(ctx)
		}
		return
	}
	if !leaving {
		n.considerTakeover(ctx)
	}
}

// phaseOf spreads the entries' checks over the period, so that entries which start
// together do not act at the same moment.
func phaseOf(name string) time.Duration {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return time.Duration(h.Sum32()) % electionPeriod
}

// pacer limits an action to once per period. It is not safe for concurrent use.
type pacer struct{ last time.Time }

// due reports whether the period has elapsed, and if so starts the next one.
func (p *pacer) due(every time.Duration) bool {
	if time.Since(p.last) < every {
		return false
	}
	p.last = time.Now()
	return true
}

// checkLease reads the lease row, and acquires the lease if it has no holder and this entry
// may.
func (n *Node) checkLease(ctx context.Context) {
	row, ok, err := n.readLease(ctx)
	if err != nil {
		// Called only to follow a scheduler that another entry may name.
		n.reachableByPeers(ctx, leaderView{members: n.knownMembers()})
		return
	}
	if !ok || row.leaseRow.Holder == "" {
		if n.mayAcquire() {
			n.acquire(ctx, row.version, "the lease had no holder")
		}
		return
	}
	n.follow(row)
}

// mayAcquire reports whether this entry may acquire a lease without a holder now. An entry
// that has just started leaves it to larger ones first, unless it was named the successor.
func (n *Node) mayAcquire() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.takesLeaseLocked() {
		return false
	}
	return n.offer.toMe() || time.Since(n.startedAt) >= n.unrankedDelay() && !time.Now().Before(n.acquireFrom)
}

// sizeDelay returns how much longer an entry waits that is much smaller than another one: it
// would need long to read the cell. The list of entries may be old, and the larger ones
// restarted since.
func (n *Node) sizeDelay(view leaderView) time.Duration {
	for _, m := range view.members {
		if m.Name != view.Holder && m.Cores > yieldFactor*n.config.Cores {
			return smallDelay
		}
	}
	return 0
}

// unrankedDelay returns how long this entry waits if it knows no other entry.
func (n *Node) unrankedDelay() time.Duration {
	return min(maxUnrankedDelay, time.Duration(float64(unrankedDelay)/max(n.config.Cores, 0.01)))
}

// considerTakeover takes the lease over if the scheduler is unreachable, or if it alone
// cannot reach the table.
func (n *Node) considerTakeover(ctx context.Context) {
	n.mu.Lock()
	view := n.view
	n.mu.Unlock()
	delay := n.unrankedDelay()
	if rank, known := rankOf(n.config.Name, view); known {
		delay = takeoverDelay(rank) + n.sizeDelay(view)
	}
	delay += n.heartbeatInterval(view) - heartbeatPeriod + n.lag.allowance()
	switch now, able := time.Now(), n.takesLease(); {
	case n.otherAcquiring():
		n.findSuccessor(ctx, view)
	case able && view.unreachable(now, delay):
		n.takeOverUnreachable(ctx, view)
	case able && view.tableUnavailable(now) && n.tableReach.reachableFor(view.lastContact) >= tableConfirmTime+delay:
		n.takeOverOnTableLoss(ctx, view)
	case view.unreachable(now, 0) || view.tableSuspect():
		n.findSuccessor(ctx, view)
	}
}

// takeOverUnreachable takes the lease over from a scheduler that no entry reaches. If the
// table is slow, it first notifies the other entries, since their attempts would queue
// behind this one.
func (n *Node) takeOverUnreachable(ctx context.Context, view leaderView) {
	if n.reachableByPeers(ctx, view) || n.otherAcquiring() {
		return
	}
	if view.cancel != nil {
		view.cancel()
	}
	if n.tableReach.slow() {
		n.notify(view.members, methodAcquiring, seenReply{Fence: view.fence}, releaseTimeout)
	}
	if row, err := n.readSuccessor(ctx, view); err == nil {
		n.acquire(ctx, row.version, "the scheduler is unreachable")
	}
}

// takeOverOnTableLoss takes the lease over from a scheduler that cannot reach the table,
// provided that the table answers this entry quickly. If the table is slow for all
// entries, a takeover does not help.
func (n *Node) takeOverOnTableLoss(ctx context.Context, view leaderView) {
	began := time.Now()
	row, err := n.readSuccessor(ctx, view)
	if err == nil && time.Since(began) <= maxLeaseReadTime {
		n.acquire(ctx, row.version, "the scheduler cannot reach the table")
	}
}

// errOtherScheduler is returned when the lease row names another scheduler.
var errOtherScheduler = errors.New("another scheduler holds the lease")

// readSuccessor reads the lease row. It returns an error if the table cannot be read, or
// errOtherScheduler if the row names another scheduler, which it then follows.
func (n *Node) readSuccessor(ctx context.Context, view leaderView) (leaseState, error) {
	row, ok, err := n.readLease(ctx)
	if err != nil {
		return row, err
	}
	if ok && row.version != view.fence && row.Holder != "" {
		n.follow(row)
		return row, errOtherScheduler
	}
	return row, nil
}

// otherAcquiring reports whether another standby is currently acquiring the lease.
func (n *Node) otherAcquiring() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.view.acquiringUntil)
}

// maxQueriedStandbys is how many standbys are queried when the scheduler is suspected.
const maxQueriedStandbys = 3

// findSuccessor acts on a first suspicion. It reads the lease row, in case the
// notification of another entry's takeover was lost, and to find out whether the table
// answers. If the scheduler is unreachable, it also queries the first-ranked standbys,
// which makes them check the scheduler themselves.
func (n *Node) findSuccessor(ctx context.Context, view leaderView) {
	if !n.leaseReads.due(leaseReadPeriod) {
		return
	}
	queried := 0
	for _, m := range view.members {
		if m.Name == n.config.Name || m.Name == view.Holder || queried == maxQueriedStandbys || !view.unreachable(time.Now(), 0) {
			continue
		}
		queried++
		go n.querySeen(ctx, m)
	}
	// The error is counted in the metrics and recorded in tableReach.
	_, _ = n.readSuccessor(ctx, view)
}
