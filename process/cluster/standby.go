package cluster

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// reachableByPeers queries the other entries and reports whether one of them reaches a
// scheduler that reaches the table. If a reply names a newer scheduler, this entry follows
// it.
func (n *Node) reachableByPeers(ctx context.Context, view leaderView) bool {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answers := make(chan seenReply, len(view.members))
	queried := 0
	for _, m := range view.members {
		if m.Name == n.config.Name || m.Name == view.Holder {
			continue
		}
		queried++
		go func() { answers <- n.querySeen(ctx, m) }()
	}
	for range queried {
		reply := <-answers
		if !reply.fresh(view.lagAllowance()) || reply.Fence < view.fence {
			continue
		}
		if reply.Fence > view.fence {
			n.follow(leaseState{leaseRow: reply.leaseRow, version: reply.Fence})
		}
		return true
	}
	return false
}

// querySeen queries one entry; it returns the zero reply if there is no answer.
func (n *Node) querySeen(ctx context.Context, m Member) seenReply {
	var reply seenReply
	if err := n.config.Peers.Call(ctx, m.Address, methodSeen, struct{}{}, &reply); err != nil {
		// Counted, not logged: unreachable entries are queried several times a second.
		n.metrics.heartbeatFailures.Inc()
		return seenReply{}
	}
	return reply
}

// fresh reports whether the entry reaches a scheduler that reaches the table. allowance is
// added to the timeouts, for the scheduler's lag.
func (r seenReply) fresh(allowance time.Duration) bool {
	return r.Fence != 0 && !r.Refused && time.Duration(r.ContactAgeMS)*time.Millisecond < unreachableAfter+allowance &&
		time.Duration(r.TableAgeMS)*time.Millisecond < tableStaleAfter+allowance
}

// serveReleased drops the view of a scheduler that has released the lease, and checks the
// lease after this entry's takeover delay.
func (n *Node) serveReleased(_ context.Context, params json.RawMessage) (any, error) {
	var message seenReply
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	n.mu.Lock()
	followed := n.view.fence == message.Fence
	delay := n.releasedDelayLocked(message.Successor)
	if followed {
		n.acquireFrom = time.Now().Add(delay)
		n.offer.released = message.Successor == n.config.Name && n.offer.fence == message.Fence
		n.setView(noView(n.view.members))
	}
	n.mu.Unlock()
	if followed {
		go func() {
			sleep(context.Background(), delay)
			n.checkReleasedLease()
		}()
	}
	return struct{}{}, nil
}

// releasedDelayLocked returns how long this entry leaves a released lease to others. n.mu
// must be held.
func (n *Node) releasedDelayLocked(successor string) time.Duration {
	if successor == n.config.Name {
		return 0
	}
	delay := n.unrankedDelay()
	if rank, known := rankOf(n.config.Name, n.view); known {
		delay = takeoverDelay(rank) + n.sizeDelay(n.view)
	}
	if successor != "" {
		delay += afterSuccessor
	}
	return delay
}

// serveAcquiring leaves the lease to another standby that is writing the lease row.
func (n *Node) serveAcquiring(_ context.Context, params json.RawMessage) (any, error) {
	var message seenReply
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.fence == message.Fence {
		n.view.acquiringUntil = time.Now().Add(acquireHoldoff)
	}
	return struct{}{}, nil
}

// serveAcquired follows a scheduler that has just acquired the lease.
func (n *Node) serveAcquired(_ context.Context, params json.RawMessage) (any, error) {
	var message seenReply
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r != nil && message.Fence > r.fence {
		r.stepDown("another entry acquired the lease")
	}
	n.follow(leaseState{leaseRow: message.leaseRow, version: message.Fence})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setLoading(message.Fence, message.Loading)
	n.noteStampLocked(message)
	return struct{}{}, nil
}

// noteStampLocked takes the clock of a new scheduler from its notification, so that calls have their
// time before the first heartbeat is answered. After that a notification would be late. n.mu must be
// held.
func (n *Node) noteStampLocked(message seenReply) {
	if message.Stamp > 0 && n.view.fence == message.Fence && n.view.clock.stamp == 0 {
		n.view.clock = clockSample{message.Stamp, time.Now()}
	}
}

// serveLoaded lets the calls go that wait for the scheduler to read the cell.
func (n *Node) serveLoaded(_ context.Context, params json.RawMessage) (any, error) {
	var message seenReply
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	n.follow(leaseState{leaseRow: message.leaseRow, version: message.Fence})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setLoading(message.Fence, false)
	n.noteStampLocked(message)
	return struct{}{}, nil
}

// notify sends a message to all members except this entry, and returns at once. The
// returned group is done when every call has ended.
func (n *Node) notify(members []Member, method string, message seenReply, timeout time.Duration) *sync.WaitGroup {
	var calls sync.WaitGroup
	for _, m := range members {
		if m.Name == n.config.Name {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			if err := n.config.Peers.Call(ctx, m.Address, method, message, nil); err != nil {
				n.log.Log(events.PeerFailed, m.Address, err)
			}
		})
	}
	return &calls
}

// checkReleasedLease checks the lease at once, without waiting for the next pass of elect.
func (n *Node) checkReleasedLease() {
	<-n.leaseLock
	defer func() { n.leaseLock <- struct{}{} }()
	n.mu.Lock()
	idle := n.view.fence == 0 && (n.leadership == nil || n.leadership.over())
	n.mu.Unlock()
	if idle {
		n.checkLease(context.Background())
	}
}

// serveSeen returns how recently this entry reached the scheduler. It also marks the
// scheduler as suspected, so that this entry sends a heartbeat at once.
func (n *Node) serveSeen(context.Context, json.RawMessage) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspected = true
	if n.leadership != nil && !n.leadership.over() {
		return seenReply{leaseRow: n.ownLease(), Fence: n.leadership.fence, TableAgeMS: n.leadership.tableAge().Milliseconds()}, nil
	}
	return seenReply{
		leaseRow: n.view.leaseRow, Fence: n.view.fence, ContactAgeMS: time.Since(n.view.lastHeard).Milliseconds(), TableAgeMS: time.Since(n.view.tableContact).Milliseconds(),
		Refused: n.view.refused,
	}, nil
}
