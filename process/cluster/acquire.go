package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// yield hands the cell over if a sufficiently larger entry is live and doesn't leave.
func (n *Node) yield(ctx context.Context, r *leadership) {
	n.mu.Lock()
	successor := n.largerLocked()
	due := !n.leaving && time.Since(r.began) > yieldAfter && time.Since(n.yieldedAt) > yieldInterval && successor != ""
	if due {
		n.yieldedAt = time.Now()
	}
	n.mu.Unlock()
	if due && n.offerLease(ctx, successor) {
		n.log.Log(events.HandoverDecided, r.fence, successor, "the entry is larger", time.Since(r.began).String())
		n.handOver(ctx, r, successor)
	}
}

// yieldLoad hands a cell that is being read over if a sufficiently larger entry is live.
func (n *Node) yieldLoad() {
	n.mu.Lock()
	successor := n.largerLocked()
	n.mu.Unlock()
	if successor != "" {
		n.abandonLoad(handover{now: true, successor: successor, reason: "the entry is larger"})
	}
}

// largerLocked returns a live entry that is sufficiently larger than this one and doesn't leave; empty
// if there is none. n.mu must be held.
func (n *Node) largerLocked() string {
	if staying, _ := n.candidatesLocked(); len(staying) > 0 && staying[0].Cores > yieldFactor*n.config.Cores {
		return staying[0].Name
	}
	return ""
}

// readLease reads the lease row and reports whether it exists.
func (n *Node) readLease(ctx context.Context) (leaseState, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	sent := time.Now()
	row, ok, err := n.config.Table.Get(ctx, leaseKey)
	n.tableReach.record(time.Now(), time.Since(sent), err == nil)
	if err != nil {
		// Counted, not logged: this entry's feeds log the loss of the table once.
		n.metrics.tableFailures.Inc()
		return leaseState{}, false, err
	}
	if !ok {
		return leaseState{}, false, nil
	}
	state := leaseState{version: row.Version}
	if err := json.Unmarshal(row.Value, &state.leaseRow); err != nil {
		n.log.Log(events.OwnershipFailed, "read lease row", err)
		return leaseState{version: row.Version}, true, nil
	}
	return state, true, nil
}

// acquire writes this entry's name into the lease row, conditional on the row's version,
// and starts scheduling.
func (n *Node) acquire(ctx context.Context, version uint64, reason string) {
	began := time.Now()
	if !n.takesLease() {
		return
	}
	value, err := json.Marshal(n.ownLease())
	if err != nil {
		n.log.Log(events.OwnershipFailed, "encode lease row", err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	fence, err := n.config.Table.Commit(callCtx, platform.Txn{
		Conditions: []platform.Condition{{Key: leaseKey, Version: version}},
		Writes:     []platform.Write{{Key: leaseKey, Value: value}},
	})
	cancel()
	if err != nil {
		fence, err = n.readBackLease(ctx, err)
	}
	if err != nil || fence == 0 {
		return
	}
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// From the notifications on, calls of other entries arrive.
	n.startLoad(fence, cancel)
	long := time.AfterFunc(loadTimeout, n.yieldLoad)
	defer long.Stop()
	n.log.Log(events.CellLeaseAcquired, fence, reason, time.Since(began).String())
	n.notify(n.knownEntries(), methodAcquired, seenReply{leaseRow: n.ownLease(), Fence: fence, Loading: true, Stamp: n.clockMS()}, releaseTimeout)
	n.begin(loadCtx, fence, began)
}

// readBackLease finds out whether a lease write with unknown outcome took effect, and
// returns its fence; 0 means that it did not.
func (n *Node) readBackLease(ctx context.Context, failed error) (uint64, error) {
	row, ok, err := n.readLease(ctx)
	if err != nil {
		return 0, errors.Join(failed, err)
	}
	if !ok {
		return 0, nil
	}
	if row.Incarnation == n.config.Incarnation && row.Holder == n.config.Name && row.version > n.lastFence() {
		return row.version, nil
	}
	if row.Holder != "" {
		n.follow(row)
	}
	return 0, nil
}

// lastFence returns the fence of this node's last leadership, or 0 if there was none.
func (n *Node) lastFence() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil {
		return 0
	}
	return n.leadership.fence
}

// begin loads the cell and starts scheduling. If the cell cannot be loaded, or this entry
// leaves meanwhile and gives the load up, it releases the lease.
func (n *Node) begin(ctx context.Context, fence uint64, since time.Time) {
	r, err := newLeadership(ctx, n, fence, since)
	if err != nil {
		n.loadFailed(context.WithoutCancel(ctx), fence, err)
		return
	}
	jobs, live, _, _ := r.cell.Counts()
	r.logMemory(r.cell.MemoryReport(time.Now()))
	r.goroutines.Add(1)
	n.install(r)
	n.notify(n.knownEntries(), methodLoaded, seenReply{leaseRow: n.ownLease(), Fence: fence, Stamp: n.clockMS()}, releaseTimeout)
	n.log.Log(events.SchedulerStarted, fence, jobs, live, time.Since(since).String())
	go func() {
		r.run()
		n.leadershipEnded(r)
	}()
}

// install makes r the leadership of this node. The configuration is handed over under the node's
// lock: whatever is published afterwards reaches r by setCatalog.
func (n *Node) install(r *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.cell.SetCatalog(n.published.Catalog)
	n.leadership = r
	n.inherit(n.view)
	n.setView(newView(r.fence, n.ownLease(), n.view.members))
	n.endLoadLocked()
}

// loadFailed releases the lease of a cell that was not loaded.
func (n *Node) loadFailed(ctx context.Context, fence uint64, err error) {
	n.mu.Lock()
	abandoned := n.abandoned
	n.endLoadLocked()
	n.mu.Unlock()
	if abandoned.now {
		n.log.Log(events.HandoverDecided, fence, abandoned.successor, "the cell is not read yet; "+abandoned.reason, "")
	} else {
		n.log.Log(events.OwnershipFailed, "read the cell", err)
	}
	n.releaseLease(ctx, fence, abandoned.successor)
}

// ownLease returns the lease row with which this entry schedules.
func (n *Node) ownLease() leaseRow {
	return leaseRow{Holder: n.config.Name, Address: n.config.Address, Incarnation: n.config.Incarnation, LinkBytes: n.config.LinkBytes}
}

// inherit adds the standbys that the former scheduler listed. They are considered live
// until they have had time to send a heartbeat. n.mu must be held.
func (n *Node) inherit(former leaderView) {
	n.memberList = memberList{}
	for _, m := range former.members {
		if m.Name == former.Holder {
			continue
		}
		known := n.standbys[m.Name]
		if known.live() {
			// It has sent heartbeats while the cell was read.
			continue
		}
		n.standbys[m.Name] = standby{Member: m, lastContact: known.lastContact, confirmedAt: known.confirmedAt, inheritedAt: time.Now()}
	}
}

// startLoad notes that the cell of a leadership is being loaded; abort ends the load.
func (n *Node) startLoad(fence uint64, abort context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loading, n.loaded, n.abortLoad, n.abandoned = fence, make(chan struct{}), abort, handover{}
	n.loadingSince = time.Now()
	n.offer = acceptedOffer{}
}

// endLoadLocked notes that the load has ended. n.mu must be held.
func (n *Node) endLoadLocked() {
	close(n.loaded)
	n.loading = 0
}

// abandonLoad ends the load of a cell that is to be handed over.
func (n *Node) abandonLoad(decision handover) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loading != 0 && !n.abandoned.now {
		n.abandoned = decision
		n.abortLoad()
	}
}

// awaitLoaded waits until the cell is loaded, for at most loadWait.
func (n *Node) awaitLoaded(ctx context.Context) {
	n.mu.Lock()
	loading, loaded := n.loading != 0, n.loaded
	n.mu.Unlock()
	if !loading {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	select {
	case <-loaded:
	case <-ctx.Done():
	}
}

// awaitSchedulerLoaded waits while another entry, the scheduler, is known to read the cell,
// for at most loadWait. Calls sent meanwhile would only wait there, and delay the rows on its
// link.
func (n *Node) awaitSchedulerLoaded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	for {
		n.mu.Lock()
		loading, changed := n.view.loading, n.changed
		n.mu.Unlock()
		if !loading {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leadershipEnded makes the node a standby that reads the lease row next.
func (n *Node) leadershipEnded(r *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.fence == r.fence {
		n.setView(noView(n.membersLocked()))
	}
	n.log.Log(events.SchedulerStopped, r.fence)
}

// writeRelease clears the lease row if its version is still fence.
func (n *Node) writeRelease(ctx context.Context, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := n.config.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: leaseKey, Version: fence}},
		Writes:     []platform.Write{{Key: leaseKey, Value: []byte("{}")}},
	})
	if err != nil {
		n.log.Log(events.OwnershipFailed, "release the lease", err)
	}
}
