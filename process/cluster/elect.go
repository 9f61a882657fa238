package cluster

import (
	"context"
	"errors"
	"hash/fnv"
	"time"
)

// Timings of the election.
const (
	// electEvery is the period of looks at what is known of the scheduler.
	electEvery = 50 * time.Millisecond
	// beatEvery is the period of heartbeats to the scheduler, and of looks at the lease
	// row while none is known.
	beatEvery = 200 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 600 * time.Millisecond
	// silentAfter is how long a scheduler may be silent.
	silentAfter = 500 * time.Millisecond
	// refusedAfter is the same if its address refuses connections.
	refusedAfter = 100 * time.Millisecond
	// firstRankPause is the pause of all but the first in turn, which so has looked
	// before them; rankPause is added for each standby between.
	firstRankPause = 4 * electEvery
	rankPause      = 25 * time.Millisecond
	// takingPause is how long a standby leaves the lease to another one that is
	// writing it.
	takingPause = tableTimeout
	// staleTable is how long a scheduler may be without the table.
	staleTable = 500 * time.Millisecond
	// failingTable is the same if the table refuses its calls at once.
	failingTable = 250 * time.Millisecond
	// waveringTable is from when on a standby looks whether it reaches the table itself.
	waveringTable = 300 * time.Millisecond
	// confirmTable is for how long the first standby in turn must have reached the table
	// when the scheduler still says that it doesn't: when the table comes back for all,
	// somebody sees it first.
	confirmTable = lostProbeEvery + electEvery
	// lookEvery is the period of these looks.
	lookEvery = 2 * electEvery
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
	sleep(ctx, phaseOf(n.config.Name))
	for ctx.Err() == nil {
		began := time.Now()
		n.electOnce(ctx)
		sleep(ctx, electEvery-time.Since(began))
	}
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r != nil {
		r.end()
	}
}

// beatLoop sends heartbeats to the scheduler while it is another entry. It is apart
// from elect, which may wait for the table.
func (n *Node) beatLoop(ctx context.Context) {
	var period pacer
	for ; ctx.Err() == nil; sleep(ctx, electEvery) {
		view, wanted := n.beatTarget()
		if view.fence != 0 && (wanted || period.due(beatEvery)) {
			go n.sendBeat(ctx, view)
		}
	}
}

// beatTarget returns the view of the scheduler that is to hear heartbeats, the zero
// view if there is none, and whether somebody suspects it and this entry hasn't
// looked for itself lately.
func (n *Node) beatTarget() (view leaderView, wanted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.Holder == "" || (n.leadership != nil && !n.leadership.over()) {
		return leaderView{}, false
	}
	wanted = n.suspected && time.Since(n.view.heardAt) > electEvery
	n.suspected = false
	return n.view, wanted
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
		if n.looks.due(beatEvery) {
			n.lookAtLease(ctx, !leaving)
		}
		return
	}
	if !leaving {
		n.considerTakeover(ctx)
	}
}

// phaseOf spreads the entries' looks over the period, so that entries which start
// together don't act at the same moment.
func phaseOf(name string) time.Duration {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(name))
	return time.Duration(h.Sum32()) % electEvery
}

// pacer keeps a period. It is used by one goroutine.
type pacer struct{ last time.Time }

// due reports whether the period is over, and begins the next one then.
func (p *pacer) due(every time.Duration) bool {
	if time.Since(p.last) < every {
		return false
	}
	p.last = time.Now()
	return true
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

// considerTakeover takes the lease over if the scheduler is gone, or has lost the table
// alone.
func (n *Node) considerTakeover(ctx context.Context) {
	n.mu.Lock()
	view := n.view
	n.mu.Unlock()
	pause := n.unknownPause()
	if rank, known := rankOf(n.config.Name, view); known {
		pause = turnPause(rank)
	}
	switch now := time.Now(); {
	case n.leftToOther():
		n.lookForSuccessor(ctx, view)
	case view.silent(now, pause):
		n.takeFromSilent(ctx, view)
	case view.tableLost(now) && n.reaches.goodFor(view.heardAt) >= confirmTable+pause:
		n.takeWithoutTable(ctx, view)
	case view.silent(now, 0) || view.tableWavers():
		n.lookForSuccessor(ctx, view)
	}
}

// takeFromSilent takes the lease over from a scheduler that nobody hears. On a slow
// table others are told before, since their tries would wait in line with this one.
func (n *Node) takeFromSilent(ctx context.Context, view leaderView) {
	if n.heardByOthers(ctx, view) || n.leftToOther() {
		return
	}
	if view.cancel != nil {
		view.cancel()
	}
	if n.reaches.slow() {
		n.tell(view.members, methodTaking, seenReply{Fence: view.fence})
	}
	if row, err := n.readSuccessor(ctx, view); err == nil {
		n.take(ctx, row.version, "the scheduler is silent")
	}
}

// takeWithoutTable takes the lease over from a scheduler that has lost the table, if
// the table answers this entry quickly: if it is slow for all, nothing is won.
func (n *Node) takeWithoutTable(ctx context.Context, view leaderView) {
	began := time.Now()
	row, err := n.readSuccessor(ctx, view)
	if err == nil && time.Since(began) <= quickTable {
		n.take(ctx, row.version, "the scheduler has lost the table")
	}
}

// errFollowed says that another scheduler was found.
var errFollowed = errors.New("another scheduler is known now")

// readSuccessor reads the lease row. It is an error if the table can't be read, or if
// the row names another scheduler, which is followed.
func (n *Node) readSuccessor(ctx context.Context, view leaderView) (leaseState, error) {
	row, ok, err := n.readLease(ctx)
	if err != nil {
		return row, err
	}
	if ok && row.version != view.fence && row.Holder != "" {
		n.follow(row)
		return row, errFollowed
	}
	return row, nil
}

// leftToOther reports whether another standby has the first try at the lease.
func (n *Node) leftToOther() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.view.takingUntil)
}

// firstInTurn is how many standbys hear of a suspicion.
const firstInTurn = 3

// lookForSuccessor acts on a first suspicion: it reads the lease row, in case the
// message of another entry that took over was lost, and to see whether the table
// answers. If the scheduler is silent, the first in turn are asked, so that they look
// for themselves.
func (n *Node) lookForSuccessor(ctx context.Context, view leaderView) {
	if !n.looks.due(lookEvery) {
		return
	}
	asked := 0
	for _, m := range view.members {
		if m.Name == n.config.Name || m.Name == view.Holder || asked == firstInTurn || !view.silent(time.Now(), 0) {
			continue
		}
		asked++
		go n.askSeen(ctx, m)
	}
	// Its error is counted, and kept by reaches.
	_, _ = n.readSuccessor(ctx, view)
}
