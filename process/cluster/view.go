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

// leaderView is what a standby knows of the scheduler.
type leaderView struct {
	fence uint64
	leaseRow
	// since is when it became known.
	since time.Time
	// heardAt is when the scheduler was last heard, storeAt when it last reached the
	// table, by its own word.
	heardAt time.Time
	storeAt time.Time
	// storeAge is how long ago the table had answered it when it was last heard, failingFor
	// for how long the table had refused its calls.
	storeAge   time.Duration
	failingFor time.Duration
	// takingUntil is until when another standby has the first try at the lease.
	takingUntil time.Time
	// refused is set while its address refuses connections.
	refused bool
	leaving bool
	members []Member
	// ctx ends when the scheduler falls silent or another one is known: whoever waits
	// for its answer waits in vain.
	ctx    context.Context
	cancel context.CancelFunc
}

// newView is the view of a scheduler that was just heard of.
func newView(fence uint64, row leaseRow, members []Member) leaderView {
	now := time.Now()
	v := leaderView{fence: fence, leaseRow: row, since: now, heardAt: now, storeAt: now, members: members}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v
}

// setView replaces what is known of the scheduler. n.mu is held.
func (n *Node) setView(v leaderView) {
	if n.view.cancel != nil {
		n.view.cancel()
	}
	n.view = v
	close(n.changed)
	n.changed = make(chan struct{})
}

// noView is what is known while there is no scheduler.
func noView(members []Member) leaderView { return leaderView{since: time.Now(), members: members} }

// knownMembers are the entries that were known last.
func (n *Node) knownMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.members
}

// leaseState is the lease row as read.
type leaseState struct {
	leaseRow
	version uint64
}

// follow takes in who the scheduler is.
func (n *Node) follow(row leaseState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if row.version <= n.view.fence {
		return
	}
	n.setView(newView(row.version, row.leaseRow, n.view.members))
	n.log.Log(events.SchedulerKnown, row.Holder, row.version)
}

// silent reports whether the scheduler is silent for longer than a standby waits whose
// turn comes after pause.
func (v leaderView) silent(now time.Time, pause time.Duration) bool {
	patience := silentAfter
	if v.refused || v.leaving {
		patience = refusedAfter
	}
	return now.Sub(v.heardAt) > patience+pause
}

// tableLost reports whether the scheduler is without the table, by its own word, which
// must be recent. A new one is given some time.
func (v leaderView) tableLost(now time.Time) bool {
	settled := now.Sub(v.since) > settleTime
	return settled && !v.silent(now, 0) && (v.storeAge > staleTable || v.failingFor > failingTable)
}

// tableWavers reports whether the scheduler may have lost the table.
func (v leaderView) tableWavers() bool { return v.storeAge > waveringTable || v.failingFor > 0 }

// turnPause is how long a standby of this rank waits.
func turnPause(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return firstRankPause + time.Duration(rank-1)*rankPause
}

// rankOf is the place of a standby among those that may take over, and whether it
// is known among them.
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

// hashMembers tells lists of members apart.
func hashMembers(members []Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		// A hash never fails to write.
		_, _ = fmt.Fprintf(h, "%s %s %g;", m.Name, m.Address, m.Cores)
	}
	return h.Sum64()
}
