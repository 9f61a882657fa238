package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// yield releases the lease if a sufficiently larger entry is live.
func (n *Node) yield(ctx context.Context, r *leadership) {
	n.mu.Lock()
	largest := n.membersLocked()[0]
	due := time.Since(r.began) > yieldAfter && time.Since(n.yieldedAt) > yieldInterval &&
		largest.Cores > yieldFactor*n.config.Cores
	if due {
		n.yieldedAt = time.Now()
	}
	n.mu.Unlock()
	if due {
		n.release(ctx, r)
	}
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
	n.log.Log(events.CellLeaseAcquired, fence, reason, time.Since(began).String())
	n.notify(n.knownMembers(), methodAcquired, seenReply{leaseRow: n.ownLease(), Fence: fence})
	n.begin(ctx, fence, began)
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

// begin loads the cell and starts scheduling. If the cell cannot be loaded, it releases
// the lease.
func (n *Node) begin(ctx context.Context, fence uint64, since time.Time) {
	n.setLoading(fence)
	defer n.setLoading(0)
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := newLeadership(loadCtx, n, fence, since)
	if err != nil {
		n.log.Log(events.OwnershipFailed, "read the cell", err)
		n.writeRelease(ctx, fence)
		return
	}
	jobs, live, _, _ := r.cell.Counts()
	n.mu.Lock()
	if n.leaving {
		n.mu.Unlock()
		n.writeRelease(ctx, fence)
		return
	}
	n.leadership = r
	n.inherit(n.view)
	n.setView(newView(fence, n.ownLease(), n.view.members))
	n.mu.Unlock()
	n.log.Log(events.SchedulerStarted, fence, jobs, live, time.Since(since).String())
	go func() {
		r.run()
		n.leadershipEnded(r)
	}()
}

// ownLease returns the lease row with which this entry schedules.
func (n *Node) ownLease() leaseRow {
	return leaseRow{Holder: n.config.Name, Address: n.config.Address, Incarnation: n.config.Incarnation}
}

// inherit adds the standbys that the former scheduler listed. They are considered live
// until they have had time to send a heartbeat. n.mu must be held.
func (n *Node) inherit(former leaderView) {
	for _, m := range former.members {
		if m.Name == former.Holder {
			continue
		}
		known := n.standbys[m.Name]
		n.standbys[m.Name] = standby{Member: m, lastContact: known.lastContact, confirmedAt: known.confirmedAt, inheritedAt: time.Now()}
	}
}

// setLoading sets the fence of the leadership whose cell is being loaded; 0 means that
// none is.
func (n *Node) setLoading(fence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loading == 0 && fence != 0 {
		n.loaded = make(chan struct{})
	}
	if n.loading != 0 && fence == 0 {
		close(n.loaded)
	}
	n.loading = fence
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

// leadershipEnded makes the node a standby that reads the lease row next.
func (n *Node) leadershipEnded(r *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.fence == r.fence {
		n.setView(noView(n.membersLocked()))
	}
	n.log.Log(events.SchedulerStopped, r.fence)
}

// release ends a leadership, releases the lease and notifies the other entries.
func (n *Node) release(ctx context.Context, r *leadership) {
	r.end()
	r.goroutines.Wait()
	n.writeRelease(ctx, r.fence)
	n.notify(n.liveMembers(), methodReleased, seenReply{Fence: r.fence}).Wait()
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
