package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// Timings of heartbeats.
const (
	// heartbeatPeriod is the interval between heartbeats to the scheduler, and between
	// reads of the lease row while no scheduler is known.
	heartbeatPeriod = 200 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat. It is far longer than unreachableAfter, since
	// late replies show that an overloaded scheduler is alive.
	heartbeatTimeout = 2 * time.Second
	// frequentStandbys is the number of standbys, first by rank, that send a heartbeat each
	// heartbeatPeriod. The period of the others grows by heartbeatPeriodPerEntry for each
	// entry, up to maxHeartbeatPeriod, so that the scheduler's work doesn't grow with the
	// number of entries.
	frequentStandbys        = 8
	heartbeatPeriodPerEntry = 15 * time.Millisecond
	maxHeartbeatPeriod      = 500 * time.Millisecond
)

// heartbeatLoop sends heartbeats to the scheduler while that is another entry. It is
// separate from elect, which may block on the table.
func (n *Node) heartbeatLoop(ctx context.Context) {
	var period pacer
	for ; ctx.Err() == nil; n.sleepPeriod(ctx) {
		view, immediate := n.heartbeatTarget()
		if view.fence != 0 && (immediate || period.due(n.heartbeatInterval(view))) {
			go n.sendHeartbeat(ctx, view)
		}
	}
}

// sleepPeriod waits for electionPeriod and records how late that ends, including a turn in
// the queue of runnable goroutines. A goroutine that a timer wakes goes before those that
// wait there, unlike one that reads an answer.
func (n *Node) sleepPeriod(ctx context.Context) {
	began := time.Now()
	sleep(ctx, electionPeriod)
	runtime.Gosched()
	if ctx.Err() == nil {
		n.lag.record(time.Since(began) - electionPeriod)
	}
}

// heartbeatTarget returns the view of the scheduler to send heartbeats to, or the zero
// view if there is none. immediate is set if another entry suspects the scheduler and this
// entry has had no recent contact with it.
func (n *Node) heartbeatTarget() (view leaderView, immediate bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.Holder == "" || (n.leadership != nil && !n.leadership.over()) {
		return leaderView{}, false
	}
	immediate = n.suspected && time.Since(n.view.lastHeard) > electionPeriod
	n.suspected = false
	return n.view, immediate
}

// heartbeatInterval returns the interval between this entry's heartbeats.
func (n *Node) heartbeatInterval(view leaderView) time.Duration {
	rank, known := rankOf(n.config.Name, view)
	if !known || rank < frequentStandbys {
		return heartbeatPeriod
	}
	return min(max(heartbeatPeriod, time.Duration(len(view.members))*heartbeatPeriodPerEntry), maxHeartbeatPeriod)
}

// sendHeartbeat sends a heartbeat to the scheduler and applies the reply to the view.
func (n *Node) sendHeartbeat(ctx context.Context, view leaderView) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply heartbeatReply
	sent := time.Now()
	err := n.config.Peers.Call(ctx, view.Address, methodHeartbeat, n.heartbeat(view), &reply)
	if err == nil && reply.Fence > view.fence {
		// The scheduler lost the lease and has it again; it takes no calls sent for its former fence.
		n.follow(leaseState{leaseRow: view.leaseRow, version: reply.Fence})
	}
	n.mu.Lock()
	if n.view.fence != view.fence {
		n.mu.Unlock()
		return
	}
	if err != nil {
		n.view.refused = refuses(err) && sent.After(n.view.lastContact)
		lost := !n.view.refused || time.Since(n.view.lastHeard) > heartbeatPeriod
		n.mu.Unlock()
		if lost {
			// Counted, not logged: if the scheduler is lost, the entry that takes over logs
			// KCL-7002 for it.
			n.metrics.heartbeatFailures.Inc()
		}
		return
	}
	if reply.Fence == view.fence {
		if n.view.ctx.Err() != nil {
			n.view.ctx, n.view.cancel = context.WithCancel(context.Background())
		}
		n.view.refused = false
		n.setLoading(view.fence, reply.Loading)
		n.view.lag = time.Duration(reply.LagMS) * time.Millisecond
		n.view.tableSilentFor = time.Duration(reply.TableSilentMS) * time.Millisecond
		n.view.lastHeard = time.Now()
		n.view.lastContact = maxTime(n.view.lastContact, sent)
		n.view.stamp = max(n.view.stamp, reply.Stamp)
		n.view.clock = n.view.clock.with(clockSample{reply.Stamp, time.Now()})
		n.view.observeClock(n.view.lastHeard, sent, reply.Stamp)
		n.view.tableContact = maxTime(n.view.tableContact, sent.Add(-time.Duration(reply.TableAgeMS)*time.Millisecond))
		n.view.failingFor = time.Duration(reply.FailingMS) * time.Millisecond
		if len(reply.Members) > 0 {
			n.view.setMembers(reply.Members)
		}
		n.confirmCatalog(sent, reply)
		if reply.Evacuations != nil {
			n.schedulerEvacuations = reply.Evacuations
		}
	}
	n.mu.Unlock()
	n.hearOfCatalog(reply.CatalogVersion, view.Address)
}

// refuses reports whether the error of a heartbeat shows that the scheduler's address refuses connections,
// or that the process there isn't the scheduler. A new scheduler to which all entries connect at
// once accepts some late.
func refuses(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) || peer.NoListener(err)
}

// heartbeat returns the heartbeat to the scheduler of a view.
func (n *Node) heartbeat(view leaderView) heartbeat {
	version := n.catalogVersion()
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.evacuatedLocked(); !known {
		// It couldn't take the lease, as without a configuration.
		version = 0
	}
	b := heartbeat{Member: n.member(), CatalogVersion: version, MembersHash: view.membersHash, Stamp: view.stamp, UptimeMS: n.clockMS(), Inflates: true}
	if n.leaving {
		b.LeavingMS = max(1, time.Since(n.leavingSince).Milliseconds())
	}
	return b
}

// serveHeartbeat answers a standby's heartbeat.
func (n *Node) serveHeartbeat(_ context.Context, params json.RawMessage) (any, error) {
	var b heartbeat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	reply, err := n.heartbeatReply(b)
	if err == nil {
		n.hearOfCatalog(b.CatalogVersion, b.Address)
	}
	return reply, err
}

// heartbeatReply records a standby's heartbeat and returns the reply. It returns errNotScheduler if
// this entry neither schedules nor reads the cell.
func (n *Node) heartbeatReply(b heartbeat) (heartbeatReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loading != 0 {
		// While the cell is being loaded, the standbys must not take over.
		n.noteHeartbeat(b)
		return heartbeatReply{Fence: n.loading, Loading: true, Stamp: n.clockMS(), LagMS: n.lag.average().Milliseconds()}, nil
	}
	r := n.leadership
	if r == nil || r.over() {
		return heartbeatReply{}, errNotScheduler
	}
	n.noteHeartbeat(b)
	reply := heartbeatReply{
		Stamp: n.clockMS(), LagMS: n.lag.average().Milliseconds(),
		Fence: r.fence, TableAgeMS: r.tableAge().Milliseconds(), TableSilentMS: r.tableSilentFor().Milliseconds(), FailingMS: r.tableFailingFor().Milliseconds(), Leaving: n.leaving,
	}
	if list := n.memberListLocked(); list.hash != b.MembersHash {
		reply.Members = list.members
	}
	if n.published.Catalog != nil {
		reply.CatalogVersion, reply.ConfigAgeMS = n.published.Catalog.Version, n.configAgeMS()
	}
	if domains, known := n.evacuatedLocked(); known {
		reply.Evacuations = &evacuations{Domains: domains}
	}
	return reply, nil
}

// noteHeartbeat records a standby's heartbeat. n.mu must be held.
func (n *Node) noteHeartbeat(b heartbeat) {
	known, ok := n.standbys[b.Name]
	if !ok || known.Leaving != b.Leaving {
		n.memberList = memberList{}
	}
	confirmed := known.confirmedAt
	if b.Stamp > 0 {
		confirmed = maxTime(confirmed, n.startedAt.Add(time.Duration(b.Stamp)*time.Millisecond))
	}
	heard := standby{Member: b.Member, lastContact: time.Now(), confirmedAt: confirmed, unable: b.CatalogVersion == 0, inflates: b.Inflates}
	heard.startedAt, heard.leavingSince = timeBefore(b.UptimeMS), timeBefore(b.LeavingMS)
	n.standbys[b.Name] = heard
}

// timeBefore returns the time that was so many milliseconds ago; the zero time for 0.
func timeBefore(ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(ms) * time.Millisecond)
}

// clockMS returns the time since this entry started, in milliseconds, but at least 1.
func (n *Node) clockMS() int64 { return max(1, time.Since(n.startedAt).Milliseconds()) }
