package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// sendBeat sends a heartbeat to the scheduler and takes in its answer.
func (n *Node) sendBeat(ctx context.Context, view leaderView) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var reply beatReply
	sent := time.Now()
	err := n.config.Peers.Call(ctx, view.Address, methodBeat, beat{Member: n.member(), CatalogVersion: n.catalogVersion(), MembersHash: hashMembers(view.members)}, &reply)
	n.mu.Lock()
	if n.view.fence != view.fence {
		n.mu.Unlock()
		return
	}
	var remote *peer.RemoteError
	if err != nil {
		n.view.refused = (errors.Is(err, peer.ErrNotSent) || errors.As(err, &remote)) && sent.After(n.view.heardAt)
		lost := !n.view.refused || time.Since(n.view.heardAt) > beatEvery
		n.mu.Unlock()
		if lost {
			// What follows from it is logged: KCL-7002 where somebody takes over.
			n.metrics.beatFailures.Inc()
		}
		return
	}
	if reply.Fence == view.fence {
		if n.view.ctx.Err() != nil {
			n.view.ctx, n.view.cancel = context.WithCancel(context.Background())
		}
		n.view.refused = false
		n.view.storeAge = time.Duration(reply.StoreAgeMS) * time.Millisecond
		n.view.heardAt = maxTime(n.view.heardAt, sent)
		n.view.storeAt = maxTime(n.view.storeAt, sent.Add(-n.view.storeAge))
		n.view.failingFor = time.Duration(reply.FailingMS) * time.Millisecond
		if len(reply.Members) > 0 {
			n.view.members = reply.Members
		}
		n.view.leaving = reply.Leaving
		n.contactAt = maxTime(n.contactAt, n.view.storeAt)
	}
	behind := n.published.Catalog == nil || n.published.Catalog.Version < reply.CatalogVersion
	n.mu.Unlock()
	if behind && reply.CatalogVersion > 0 {
		n.fetchCatalog(ctx, view.Address)
	}
}

func (n *Node) member() Member {
	return Member{Name: n.config.Name, Address: n.config.Address, Cores: n.config.Cores}
}

func (n *Node) catalogVersion() int64 {
	if c := n.catalog(); c != nil {
		return c.Version
	}
	return 0
}

// heardByOthers asks the other entries whether they hear the scheduler and it
// reaches the table. One that knows a newer scheduler is believed.
func (n *Node) heardByOthers(ctx context.Context, view leaderView) bool {
	ctx, cancel := context.WithTimeout(ctx, askPeers)
	defer cancel()
	answers := make(chan seenReply, len(view.members))
	asked := 0
	for _, m := range view.members {
		if m.Name == n.config.Name || m.Name == view.Holder {
			continue
		}
		asked++
		go func() { answers <- n.askSeen(ctx, m) }()
	}
	for range asked {
		reply := <-answers
		if !reply.fresh() || reply.Fence < view.fence {
			continue
		}
		if reply.Fence > view.fence {
			n.follow(leaseState{leaseRow: reply.leaseRow, version: reply.Fence})
		}
		return true
	}
	return false
}

// askSeen asks one entry; the zero reply stands for no answer.
func (n *Node) askSeen(ctx context.Context, m Member) seenReply {
	var reply seenReply
	if err := n.config.Peers.Call(ctx, m.Address, methodSeen, struct{}{}, &reply); err != nil {
		// Counted, not logged: entries that are away are asked several times a second.
		n.metrics.beatFailures.Inc()
		return seenReply{}
	}
	return reply
}

// fresh reports whether the entry hears a scheduler that reaches the table.
func (r seenReply) fresh() bool {
	return r.Fence != 0 && !r.Refused && time.Duration(r.HeardAgoMS)*time.Millisecond < silentAfter &&
		time.Duration(r.StoreAgeMS)*time.Millisecond < staleTable
}

// serveReleased looks at the lease row at once after the scheduler gave it up.
func (n *Node) serveReleased(_ context.Context, params json.RawMessage) (any, error) {
	var told seenReply
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}
	n.mu.Lock()
	rank, _ := rankOf(n.config.Name, n.view)
	mine := n.view.fence == told.Fence
	if mine {
		n.setView(noView(n.view.members))
	}
	n.mu.Unlock()
	if mine {
		go func() {
			sleep(context.Background(), turnPause(rank))
			n.lookAfterRelease()
		}()
	}
	return struct{}{}, nil
}

// serveTaking leaves the lease to another standby that is writing it.
func (n *Node) serveTaking(_ context.Context, params json.RawMessage) (any, error) {
	var told seenReply
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.fence == told.Fence {
		n.view.takingUntil = time.Now().Add(takingPause)
	}
	return struct{}{}, nil
}

// serveTook follows a scheduler that has just taken the lease.
func (n *Node) serveTook(_ context.Context, params json.RawMessage) (any, error) {
	var told seenReply
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r != nil && told.Fence > r.fence {
		r.stepDown("another entry took the lease")
	}
	n.follow(leaseState{leaseRow: told.leaseRow, version: told.Fence})
	return struct{}{}, nil
}

// tell sends the same message to members, but not to this entry, and returns at once.
// The group is done when all were told or couldn't be.
func (n *Node) tell(members []Member, method string, message seenReply) *sync.WaitGroup {
	var told sync.WaitGroup
	for _, m := range members {
		if m.Name == n.config.Name {
			continue
		}
		told.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			if err := n.config.Peers.Call(ctx, m.Address, method, message, nil); err != nil {
				n.log.Log(events.PeerFailed, m.Address, err)
			}
		})
	}
	return &told
}

// lookAfterRelease is a look at the lease row outside the turn of elect.
func (n *Node) lookAfterRelease() {
	<-n.turn
	defer func() { n.turn <- struct{}{} }()
	n.mu.Lock()
	idle := n.view.fence == 0 && !n.leaving && (n.leadership == nil || n.leadership.over())
	n.mu.Unlock()
	if idle {
		n.lookAtLease(context.Background(), true)
	}
}

// serveBeat answers a standby's heartbeat.
func (n *Node) serveBeat(_ context.Context, params json.RawMessage) (any, error) {
	var b beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	n.mu.Lock()
	r := n.leadership
	if n.loading != 0 {
		// The cell is being read: the others are to wait for it.
		defer n.mu.Unlock()
		n.heard[b.Name] = heardMember{Member: b.Member, at: time.Now()}
		return beatReply{Fence: n.loading}, nil
	}
	if r == nil || r.over() {
		n.mu.Unlock()
		return nil, errNotScheduler
	}
	n.heard[b.Name] = heardMember{Member: b.Member, at: time.Now()}
	reply := beatReply{
		Fence: r.fence, StoreAgeMS: r.storeAge().Milliseconds(), FailingMS: r.storeFailing().Milliseconds(), Leaving: n.leaving,
	}
	if members := n.membersLocked(); hashMembers(members) != b.MembersHash {
		reply.Members = members
	}
	if n.published.Catalog != nil {
		reply.CatalogVersion = n.published.Catalog.Version
	}
	n.mu.Unlock()
	if b.CatalogVersion > reply.CatalogVersion {
		go n.fetchCatalog(context.Background(), b.Address)
	}
	return reply, nil
}

// serveSeen tells another standby how recently this entry heard the scheduler, and
// lets this one look for itself.
func (n *Node) serveSeen(context.Context, json.RawMessage) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspected = true
	if n.leadership != nil && !n.leadership.over() {
		return seenReply{leaseRow: n.view.leaseRow, Fence: n.leadership.fence, StoreAgeMS: n.leadership.storeAge().Milliseconds()}, nil
	}
	return seenReply{
		leaseRow: n.view.leaseRow, Fence: n.view.fence, HeardAgoMS: time.Since(n.view.heardAt).Milliseconds(), StoreAgeMS: time.Since(n.view.storeAt).Milliseconds(),
		Refused: n.view.refused,
	}, nil
}
