package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

const (
	// handoverDrain bounds the wait for the calls and writes in progress at a handover.
	handoverDrain = 300 * time.Millisecond
	// minNotifyTime is the least time for the notification that the lease is released.
	minNotifyTime = 200 * time.Millisecond
	// drainCheckPeriod is the interval between checks whether writes have ended.
	drainCheckPeriod = 5 * time.Millisecond
	// offerTimeout bounds the offer of the lease to an entry.
	offerTimeout = 200 * time.Millisecond
	// offerHolds is how long an entry that accepted an offer waits for the lease.
	offerHolds = handoverDrain + releaseTimeout
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
// have answered, or after releaseTimeout and minNotifyTime.
func (n *Node) releaseLease(ctx context.Context, fence uint64, successor string) {
	began := time.Now()
	n.writeRelease(ctx, fence)
	n.mu.Lock()
	members := n.knownEntriesLocked()
	// If this entry stays, it leaves the lease to the successor for a while.
	n.acquireFrom = time.Now().Add(afterSuccessor)
	n.mu.Unlock()
	left := max(minNotifyTime, releaseTimeout-time.Since(began))
	n.notify(members, methodReleased, seenReply{Fence: fence, Successor: successor}, left).Wait()
}

// acceptedOffer is an offer of the lease that this entry has accepted: it acquires the lease
// of this fence once it is released, even if it begins to leave meanwhile.
type acceptedOffer struct {
	fence uint64
	until time.Time
	// released is set once the lease has been released to this entry.
	released bool
}

// open reports whether the lease may still be released to this entry.
func (o acceptedOffer) open() bool { return time.Now().Before(o.until) }

// toMe reports whether the lease has just been released to this entry.
func (o acceptedOffer) toMe() bool { return o.released && o.open() }

// offerLease asks an entry to take the lease over, and reports whether it will. An entry of
// an earlier version doesn't know the question; it acquires the lease when it is released.
func (n *Node) offerLease(ctx context.Context, name string) bool {
	n.mu.Lock()
	to, known := n.standbys[name]
	message := seenReply{leaseRow: n.ownLease(), Fence: n.offeredFenceLocked()}
	n.mu.Unlock()
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var reply offerReply
	err := n.config.Peers.Call(ctx, to.Address, methodOffer, message, &reply)
	var remote *peer.RemoteError
	if reply.Accepted || errors.As(err, &remote) {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if to, known = n.standbys[name]; known {
		// Its next heartbeat says whether it can schedule again.
		to.unable = true
		n.standbys[name] = to
	}
	return false
}

// offeredFenceLocked returns the fence of the leadership that this entry has or reads the
// cell for. n.mu must be held.
func (n *Node) offeredFenceLocked() uint64 {
	if n.loading != 0 {
		return n.loading
	}
	if n.leadership != nil {
		return n.leadership.fence
	}
	return 0
}

// serveOffer answers a scheduler that offers to hand the cell over.
func (n *Node) serveOffer(_ context.Context, params json.RawMessage) (any, error) {
	var message seenReply
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	n.follow(leaseState{leaseRow: message.leaseRow, version: message.Fence})
	n.mu.Lock()
	defer n.mu.Unlock()
	able := n.published.Catalog != nil && n.view.fence == message.Fence && (n.leadership == nil || n.leadership.over())
	if n.leaving {
		able = able && n.config.Timings.Leave.mayAccept(time.Since(n.leavingSince))
	}
	if able {
		n.offer = acceptedOffer{fence: message.Fence, until: time.Now().Add(offerHolds)}
	}
	return offerReply{Accepted: able}, nil
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

// candidatesLocked returns the other live entries that can schedule: the largest first, and
// of those that are equal the one that started last, which is the last to be restarted
// again. n.mu must be held.
func (n *Node) candidatesLocked() (staying, leaving []candidate) {
	for _, m := range n.standbys {
		if !m.live() || m.Name == n.config.Name || m.unable {
			continue
		}
		c := candidate{Member: m.Member, startedAt: m.startedAt}
		switch {
		case !m.Leaving:
			staying = append(staying, c)
		case !m.leavingSince.IsZero():
			c.leavingFor = time.Since(m.leavingSince)
			leaving = append(leaving, c)
		}
	}
	order := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.leavingFor, b.leavingFor), b.startedAt.Compare(a.startedAt), strings.Compare(a.Name, b.Name))
	}
	slices.SortFunc(staying, order)
	slices.SortFunc(leaving, order)
	return staying, leaving
}
