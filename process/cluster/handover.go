package cluster

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

const (
	// handoverDrain bounds the wait for the calls and writes in progress at a handover.
	handoverDrain = 300 * time.Millisecond
	// drainCheckPeriod is the interval between checks whether writes have ended.
	drainCheckPeriod = 5 * time.Millisecond
)

// callGate counts the calls that a scheduler is answering, and admits no more once closed.
type callGate struct {
	mu     sync.Mutex
	open   int
	closed bool
	// drained is closed when the gate is closed and no call is in progress.
	drained chan struct{}
}

func newCallGate() *callGate { return &callGate{drained: make(chan struct{})} }

// enter admits a call, which must call exit at its end, and reports whether it did.
func (g *callGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.open++
	return true
}

func (g *callGate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	if g.closed && g.open == 0 {
		close(g.drained)
	}
}

// close admits no more calls, and reports whether the gate was open.
func (g *callGate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.closed = true
	if g.open == 0 {
		close(g.drained)
	}
	return true
}

// isClosed reports whether the gate admits no more calls.
func (g *callGate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// inProgress returns the number of calls in progress.
func (g *callGate) inProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// handOver ends a leadership in an orderly way: it takes no more calls, finishes those in
// progress with their writes, releases the lease and names the successor to the other
// entries. If a handover is under way, it waits for its end.
func (n *Node) handOver(ctx context.Context, r *leadership, successor string) {
	if !r.calls.close() {
		<-r.released
		return
	}
	defer close(r.released)
	began := time.Now()
	n.mu.Lock()
	if n.view.fence == r.fence {
		n.setView(noView(n.membersLocked()))
	}
	n.mu.Unlock()
	r.drain(ctx)
	unfinished := r.calls.inProgress()
	r.end()
	r.goroutines.Wait()
	n.releaseLease(ctx, r.fence, successor)
	n.log.Log(events.HandoverDone, r.fence, successor, unfinished, time.Since(began).String())
}

// drain waits until the calls in progress have been answered and the writes in flight have
// ended, for at most handoverDrain. No new runs are planned meanwhile.
func (r *leadership) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverDrain)
	defer cancel()
	select {
	case <-r.calls.drained:
	case <-r.ctx.Done():
		return
	case <-ctx.Done():
		return
	}
	r.stopWrites()
	for r.writing() && ctx.Err() == nil {
		sleep(ctx, drainCheckPeriod)
	}
}

// stopWrites makes the record loop send no further writes.
func (r *leadership) stopWrites() {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	r.writesStopped = true
}

// writing reports whether writes are in flight.
func (r *leadership) writing() bool {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	return len(r.writes) > 0
}

// releaseLease clears the lease row and notifies the other entries. It returns when all
// have answered, or after releaseTimeout.
func (n *Node) releaseLease(ctx context.Context, fence uint64, successor string) {
	n.writeRelease(ctx, fence)
	n.mu.Lock()
	members := n.knownEntriesLocked()
	// If this entry stays, it leaves the lease to the successor for a while.
	n.acquireFrom = time.Now().Add(afterSuccessor)
	n.mu.Unlock()
	n.notify(members, methodReleased, seenReply{Fence: fence, Successor: successor}).Wait()
}

// knownEntries returns the live entries and those of the last view.
func (n *Node) knownEntries() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownEntriesLocked()
}

// knownEntriesLocked returns the live entries and those of the last view. n.mu must be held.
func (n *Node) knownEntriesLocked() []Member {
	members := slices.Clone(n.membersLocked())
	for _, m := range n.view.members {
		if !slices.ContainsFunc(members, func(known Member) bool { return known.Name == m.Name }) {
			members = append(members, m)
		}
	}
	return members
}

// stayingLocked returns the other live entries that don't leave and can schedule: the
// largest first, and of those that are equal the one that started last, which is the last
// to be restarted again. n.mu must be held.
func (n *Node) stayingLocked() []candidate {
	var staying []candidate
	for _, m := range n.standbys {
		if m.live() && m.Name != n.config.Name && !m.Leaving && !m.withoutCatalog {
			staying = append(staying, candidate{Member: m.Member, startedAt: m.startedAt})
		}
	}
	slices.SortFunc(staying, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), b.startedAt.Compare(a.startedAt), strings.Compare(a.Name, b.Name))
	})
	return staying
}
