package cluster

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// leaseRow is the value of the lease row. A released lease has no holder.
type leaseRow struct {
	Holder      string `json:"holder,omitempty"`
	Address     string `json:"address,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
}

// leaderView is a standby's view of the scheduler.
type leaderView struct {
	// fence is the scheduler's fencing token, or 0 while no scheduler is known.
	fence uint64
	leaseRow
	// since is when this scheduler became known.
	since time.Time
	// lastContact is when the last heartbeat that the scheduler answered was sent.
	// tableContact is when the scheduler last reached the table, as it reported.
	lastContact  time.Time
	tableContact time.Time
	// tableAge and failingFor are from the scheduler's last reply: the age of its last
	// table contact, and how long its calls to the table had failed.
	tableAge   time.Duration
	failingFor time.Duration
	// acquiringUntil is the time until which this entry does not try to acquire the lease,
	// because another standby is writing the lease row.
	acquiringUntil time.Time
	// refused is set while the scheduler's address refuses connections, or answers
	// heartbeats with an error because the process there is not the scheduler.
	refused bool
	leaving bool
	members []Member
	// ctx ends when the scheduler becomes unreachable or is replaced, which cancels the
	// calls that wait for its answer.
	ctx    context.Context
	cancel context.CancelFunc
}

// newView returns the view of a scheduler that has just become known.
func newView(fence uint64, row leaseRow, members []Member) leaderView {
	now := time.Now()
	v := leaderView{fence: fence, leaseRow: row, since: now, lastContact: now, tableContact: now, members: members}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v
}

// setView replaces the view of the scheduler. n.mu must be held.
func (n *Node) setView(v leaderView) {
	if n.view.cancel != nil {
		n.view.cancel()
	}
	n.view = v
	close(n.changed)
	n.changed = make(chan struct{})
}

// noView returns the view while no scheduler is known.
func noView(members []Member) leaderView { return leaderView{since: time.Now(), members: members} }

// knownMembers returns the last known list of entries.
func (n *Node) knownMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.members
}

// leaseState is the lease row with its version.
type leaseState struct {
	leaseRow
	version uint64
}

// follow replaces the view if the row names a newer scheduler.
func (n *Node) follow(row leaseState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if row.version <= n.view.fence {
		return
	}
	n.setView(newView(row.version, row.leaseRow, n.view.members))
	n.log.Log(events.SchedulerObserved, row.Holder, row.version)
}

// unreachable reports whether the scheduler has been unreachable for long enough that a
// standby with this takeover delay may act.
func (v leaderView) unreachable(now time.Time, delay time.Duration) bool {
	timeout := unreachableAfter
	if v.refused || v.leaving {
		timeout = unreachableAfterRefusal
	}
	return now.Sub(v.lastContact) > timeout+delay
}

// tableUnavailable reports whether the scheduler cannot reach the table, according to a
// recent reply of its own. A new scheduler is exempt during warmUpTime.
func (v leaderView) tableUnavailable(now time.Time) bool {
	warmedUp := now.Sub(v.since) > warmUpTime
	return warmedUp && !v.unreachable(now, 0) && (v.tableAge > tableStaleAfter || v.failingFor > tableFailingAfter)
}

// tableSuspect reports whether the scheduler may have lost contact with the table.
func (v leaderView) tableSuspect() bool { return v.tableAge > tableSuspectAfter || v.failingFor > 0 }

// takeoverDelay returns how long a standby of this rank waits before a takeover.
func takeoverDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return firstRankDelay + time.Duration(rank-1)*rankDelay
}

// rankOf returns the position of a standby in the order of takeover. known is false if the
// view does not list it.
func rankOf(name string, v leaderView) (rank int, known bool) {
	for _, m := range v.members {
		if m.Name == name {
			return rank, true
		}
		if m.Name != v.Holder {
			rank++
		}
	}
	return rank, false
}

// hashMembers returns a hash that identifies a list of members.
func hashMembers(members []Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(h, "%s %s %g;", m.Name, m.Address, m.Cores)
	}
	return h.Sum64()
}
