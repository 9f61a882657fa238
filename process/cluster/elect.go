package cluster

import (
	"context"
	"time"
)

// Timings of the election.
const (
	// beatEvery is the period of heartbeats to the scheduler.
	beatEvery = 200 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 600 * time.Millisecond
	// silentAfter is how long a scheduler may be silent.
	silentAfter = 500 * time.Millisecond
	// refusedAfter is the same if its address refuses connections.
	refusedAfter = 100 * time.Millisecond
	// firstRankPause is the pause of all but the first in turn, which so has looked
	// before them; rankPause is added for each standby between.
	firstRankPause = 2 * beatEvery
	rankPause      = 100 * time.Millisecond
	// staleTable is how long a scheduler may be without the table.
	staleTable = 600 * time.Millisecond
	// quickTable is how fast the table must answer a standby that takes over from a
	// scheduler without table: if it is slow for all, nothing is won.
	quickTable = 120 * time.Millisecond
	// askPeers bounds the question to other entries whether they hear the scheduler.
	askPeers = 200 * time.Millisecond
	// loadTimeout bounds the reading of a cell's rows.
	loadTimeout = 6 * time.Second
	// settleTime is how long a new scheduler may be without the table's answers: it
	// looks at every worker first.
	settleTime = 2 * time.Second
	// unknownPause, over its cores, is how long an entry that knows no other waits, so
	// that larger ones come first.
	unknownPause    = 150 * time.Millisecond
	maxUnknownPause = 1200 * time.Millisecond
	// yieldAfter is how long a scheduler goes on before it gives way to an entry that is
	// larger by yieldFactor, and yieldAgain the pause before it does so again.
	yieldAfter  = 3 * time.Second
	yieldAgain  = 20 * time.Second
	yieldFactor = 1.5
	// releaseTimeout bounds the giving up of the lease.
	releaseTimeout = 800 * time.Millisecond
)

// elect follows the scheduler and takes over when it is gone.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		n.electOnce(ctx)
		sleep(ctx, beatEvery-time.Since(began))
	}
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r != nil {
		r.end()
	}
}

func (n *Node) electOnce(ctx context.Context) {
	<-n.turn
	defer func() { n.turn <- struct{}{} }()
	n.mu.Lock()
	r, view, leaving := n.leadership, n.view, n.leaving
	n.mu.Unlock()
	if r != nil && !r.over() {
		n.touchContact(r)
		n.yield(ctx, r)
		return
	}
	if view.fence == 0 || view.Holder == "" {
		n.lookAtLease(ctx, !leaving)
		return
	}
	n.sendBeat(ctx, view)
	if !leaving {
		n.considerTakeover(ctx)
	}
}

// touchContact counts the scheduler's own contact with the table as contact about
// the configuration.
func (n *Node) touchContact(r *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contactAt = maxTime(n.contactAt, time.Now().Add(-r.storeAge()))
}

// lookAtLease reads the lease row, and takes it if nobody holds it.
func (n *Node) lookAtLease(ctx context.Context, mayTake bool) {
	row, ok, err := n.readLease(ctx)
	if err != nil {
		n.heardByOthers(ctx, leaderView{members: n.knownMembers()})
		return
	}
	if !ok || row.leaseRow.Holder == "" {
		early := !ok && time.Since(n.startedAt) < n.unknownPause()
		if mayTake && !early && n.catalog() != nil {
			n.take(ctx, row.version, "nobody held the lease")
		}
		return
	}
	n.follow(row)
}

// unknownPause is how long this entry waits if it knows no other.
func (n *Node) unknownPause() time.Duration {
	return min(maxUnknownPause, time.Duration(float64(unknownPause)/max(n.config.Cores, 0.01)))
}

// considerTakeover takes the lease over if the scheduler is gone.
func (n *Node) considerTakeover(ctx context.Context) {
	n.mu.Lock()
	view := n.view
	n.mu.Unlock()
	pause := n.unknownPause()
	if rank, known := rankOf(n.config.Name, view); known {
		pause = turnPause(rank)
	}
	silent, stale := view.missing(time.Now(), pause)
	if !silent && !stale {
		return
	}
	if silent && n.heardByOthers(ctx, view) {
		return
	}
	if silent && view.cancel != nil {
		view.cancel()
	}
	began := time.Now()
	row, ok, err := n.readLease(ctx)
	if err != nil || (stale && !silent && time.Since(began) > quickTable) {
		return
	}
	switch {
	case ok && row.version != view.fence && row.Holder != "":
		n.follow(row)
	case stale && !silent:
		n.take(ctx, row.version, "the scheduler has lost the table")
	default:
		n.take(ctx, row.version, "the scheduler is silent")
	}
}
