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
	// LinkBytes is the bandwidth of the holder's link, in bytes a second; 0 if unknown.
	LinkBytes int64 `json:"link,omitempty"`
}

// leaderView is a standby's view of the scheduler.
type leaderView struct {
	// fence is the scheduler's fencing token, or 0 while no scheduler is known.
	fence uint64
	leaseRow
	// since is when this scheduler became known.
	since time.Time
	// lastHeard is when the last reply of the scheduler arrived, lastContact when the
	// heartbeat that it answered was sent. An overloaded scheduler answers late, but its
	// replies keep coming.
	lastHeard time.Time
	// tableContact is when the scheduler last reached the table, as it reported.
	lastContact  time.Time
	tableContact time.Time
	// tableSilentFor and failingFor are from the scheduler's last reply: how long ago the
	// last answer of the table had arrived, and how long its calls to the table had failed.
	tableSilentFor time.Duration
	failingFor     time.Duration
	// loading is set while the scheduler is known to read the cell, loaded once it has.
	loading, loaded bool
	// lag is how late the scheduler's process runs work that is ready, as it reported.
	lag time.Duration
	// recentTakeovers is the number of takeovers that followed each other up to this one.
	recentTakeovers int
	// acquiringUntil is the time until which this entry does not try to acquire the lease,
	// because another standby is writing the lease row.
	acquiringUntil time.Time
	// refused is set while the scheduler's address refuses connections, or answers
	// heartbeats with an error because the process there is not the scheduler.
	refused bool
	// stamp is that of the scheduler's last reply, which the next heartbeat returns.
	stamp int64
	clock clockSample
	// clockRead is the reading of the scheduler's clock that bounds it best.
	clockRead clockReading
	members   []Member
	// membersHash identifies members.
	membersHash uint64
	// ctx ends when the scheduler becomes unreachable or is replaced, which cancels the
	// calls that wait for its answer.
	ctx    context.Context
	cancel context.CancelFunc
}

// newView returns the view of a scheduler that has just become known.
func newView(fence uint64, row leaseRow, members []Member) leaderView {
	now := time.Now()
	v := leaderView{fence: fence, leaseRow: row, since: now, lastHeard: now, lastContact: now, tableContact: now}
	v.setMembers(members)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v
}

// setView replaces the view of the scheduler. n.mu must be held.
func (n *Node) setView(v leaderView) {
	if n.view.cancel != nil {
		n.view.cancel()
	}
	if v.fence > n.takeovers.fence {
		n.takeovers.count(v)
		v.recentTakeovers = n.takeovers.recent
	}
	n.view = v
	close(n.changed)
	n.changed = make(chan struct{})
}

// setLoading notes whether the scheduler with this fence reads the cell. Messages overtake each
// other, so one that says that it does changes nothing once it has. n.mu must be held.
func (n *Node) setLoading(fence uint64, loading bool) {
	if n.view.fence != fence || n.view.loaded {
		return
	}
	waiting := n.view.loading
	n.view.loading, n.view.loaded = loading, !loading
	if waiting && !loading {
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// noView returns the view while no scheduler is known.
func noView(members []Member) leaderView {
	v := leaderView{since: time.Now()}
	v.setMembers(members)
	return v
}

// setMembers replaces the list of entries.
func (v *leaderView) setMembers(members []Member) {
	v.members, v.membersHash = members, hashMembers(members)
}

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

// takeoverCount counts the changes of scheduler that follow each other within
// takeoverWindow, also while this entry is the scheduler or knows none.
type takeoverCount struct {
	fence  uint64
	at     time.Time
	recent int
}

func (t *takeoverCount) count(v leaderView) {
	if t.fence != 0 && v.since.Sub(t.at) < takeoverWindow {
		t.recent = min(t.recent+1, maxRecentTakeovers)
	} else {
		t.recent = 0
	}
	t.fence, t.at = v.fence, v.since
}

// Bounds on changes of scheduler that follow each other. A new scheduler reads the cell and
// polls all workers, and may answer late meanwhile. If that made the next standby take over,
// the work would begin anew each time.
const (
	takeoverWindow     = 5 * time.Second
	maxRecentTakeovers = 3
)

// unreachable reports whether the scheduler has been unreachable for long enough that a
// standby with this takeover delay may act.
func (v leaderView) unreachable(now time.Time, delay time.Duration) bool {
	timeout := unreachableAfter + v.lagAllowance()
	switch {
	case v.refused:
		timeout = unreachableAfterRefusal
	case now.Sub(v.since) < takeoverWindow:
		timeout += time.Duration(v.recentTakeovers) * unreachableAfter
	}
	return now.Sub(v.lastHeard) > timeout+delay
}

// tableUnavailable reports whether the scheduler cannot reach the table, according to a
// recent reply of its own. A new scheduler is exempt during warmUpTime.
func (v leaderView) tableUnavailable(now time.Time) bool {
	warmedUp := now.Sub(v.since) > warmUpTime
	return warmedUp && !v.unreachable(now, 0) && (v.tableSilentFor > tableStaleAfter+v.lagAllowance() || v.failingFor > tableFailingAfter+v.lagAllowance())
}

// maxLagAllowance bounds lagAllowance, so that a scheduler that stops while it is overloaded
// is still replaced soon.
const maxLagAllowance = 1500 * time.Millisecond

// lagAllowance is added to the timeouts by which the scheduler counts as unreachable, or as
// cut off from the table: an overloaded one answers, and reads answers, that much later.
func (v leaderView) lagAllowance() time.Duration { return min(decisionHops*v.lag, maxLagAllowance) }

// tableSuspect reports whether the scheduler may have lost contact with the table.
func (v leaderView) tableSuspect() bool {
	return v.tableSilentFor > tableSuspectAfter || v.failingFor > 0
}

// takeoverDelay returns how long a standby of this rank waits before a takeover.
func takeoverDelay(rank int) time.Duration {
	if rank == 0 {
		return 0
	}
	return firstRankDelay + time.Duration(rank-1)*rankDelay
}

// rankOf returns the position of a standby in the order of takeover, in which entries that
// leave don't count. known is false if the view does not list it.
func rankOf(name string, v leaderView) (rank int, known bool) {
	for _, m := range v.members {
		if m.Name == name {
			return rank, true
		}
		if m.Name != v.Holder && !m.Leaving {
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
		if m.Leaving {
			_, _ = h.Write([]byte("leaving;"))
		}
	}
	return h.Sum64()
}
