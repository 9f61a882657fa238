package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// Timings of the election.
const (
	// beatEvery is the period of heartbeats to the scheduler.
	beatEvery = 200 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 600 * time.Millisecond
	// silentAfter is how long a scheduler may be silent.
	silentAfter = 500 * time.Millisecond
	// refusedAfter is the same if its address refuses connections.
	refusedAfter = 100 * time.Millisecond
	// firstRankPause is the pause of all but the first in turn, which so has looked
	// before them; rankPause is added for each standby between.
	firstRankPause = 2 * beatEvery
	rankPause      = 100 * time.Millisecond
	// staleTable is how long a scheduler may be without the table.
	staleTable = 600 * time.Millisecond
	// quickTable is how fast the table must answer a standby that takes over from a
	// scheduler without table: if it is slow for all, nothing is won.
	quickTable = 120 * time.Millisecond
	// askPeers bounds the question to other entries whether they hear the scheduler.
	askPeers = 200 * time.Millisecond
	// loadTimeout bounds the reading of a cell's rows.
	loadTimeout = 6 * time.Second
	// settleTime is how long a new scheduler may be without the table's answers: it
	// looks at every worker first.
	settleTime = 2 * time.Second
	// unknownPause, over its cores, is how long an entry that knows no other waits, so
	// that larger ones come first.
	unknownPause    = 150 * time.Millisecond
	maxUnknownPause = 1200 * time.Millisecond
	// yieldAfter is how long a scheduler reigns before it gives way to an entry that is
	// larger by yieldFactor, and yieldAgain the pause before it does so again.
	yieldAfter  = 3 * time.Second
	yieldAgain  = 20 * time.Second
	yieldFactor = 1.5
	// releaseTimeout bounds the giving up of a reign.
	releaseTimeout = 800 * time.Millisecond
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
}

// elect follows the scheduler and takes over when it is gone.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		n.electOnce(ctx)
		sleep(ctx, beatEvery-time.Since(began))
	}
	n.mu.Lock()
	r := n.reign
	n.mu.Unlock()
	if r != nil {
		r.end()
	}
}

func (n *Node) electOnce(ctx context.Context) {
	<-n.turn
	defer func() { n.turn <- struct{}{} }()
	n.mu.Lock()
	r, view, leaving := n.reign, n.view, n.leaving
	n.mu.Unlock()
	if r != nil && !r.over() {
		n.touchContact(r)
		n.yield(ctx, r)
		return
	}
	if view.fence == 0 || view.Holder == "" {
		n.lookAtLease(ctx, !leaving)
		return
	}
	n.sendBeat(ctx, view)
	if !leaving {
		n.considerTakeover(ctx)
	}
}

// yield gives the reign to a larger entry, if one is heard.
func (n *Node) yield(ctx context.Context, r *reign) {
	n.mu.Lock()
	largest := n.membersLocked()[0]
	due := time.Since(r.began) > yieldAfter && time.Since(n.yieldedAt) > yieldAgain &&
		largest.Cores > yieldFactor*n.config.Cores
	if due {
		n.yieldedAt = time.Now()
	}
	n.mu.Unlock()
	if due {
		n.release(ctx, r)
	}
}

// touchContact counts the scheduler's own contact with the table as contact about
// the configuration.
func (n *Node) touchContact(r *reign) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contactAt = maxTime(n.contactAt, time.Now().Add(-r.storeAge()))
}

// lookAtLease reads the lease row, and takes it if nobody holds it.
func (n *Node) lookAtLease(ctx context.Context, mayTake bool) {
	row, ok, err := n.readLease(ctx)
	if err != nil {
		n.heardByOthers(ctx, leaderView{members: n.knownMembers()})
		return
	}
	if !ok || row.leaseRow.Holder == "" {
		early := !ok && time.Since(n.startedAt) < n.unknownPause()
		if mayTake && !early && n.catalog() != nil {
			n.take(ctx, row.version, "nobody held the lease")
		}
		return
	}
	n.follow(row)
}

// unknownPause is how long this entry waits if it knows no other.
func (n *Node) unknownPause() time.Duration {
	return min(maxUnknownPause, time.Duration(float64(unknownPause)/max(n.config.Cores, 0.01)))
}

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

func (n *Node) readLease(ctx context.Context) (leaseState, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, ok, err := n.config.Table.Get(ctx, leaseKey)
	if err != nil {
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
		n.view.refused = errors.Is(err, peer.ErrNotSent) || errors.As(err, &remote)
		lost := !n.view.refused || time.Since(n.view.heardAt) > beatEvery
		n.mu.Unlock()
		if lost {
			n.metrics.beatFailures.Inc()
		}
		return
	}
	if reply.Fence == view.fence {
		if n.view.ctx.Err() != nil {
			n.view.ctx, n.view.cancel = context.WithCancel(context.Background())
		}
		n.view.refused = false
		n.view.heardAt = sent
		n.view.storeAt = sent.Add(-time.Duration(reply.StoreAgeMS) * time.Millisecond)
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

// considerTakeover takes the lease over if the scheduler is gone.
func (n *Node) considerTakeover(ctx context.Context) {
	n.mu.Lock()
	view := n.view
	n.mu.Unlock()
	pause := n.unknownPause()
	if rank, known := rankOf(n.config.Name, view); known {
		pause = turnPause(rank)
	}
	silent, stale := view.missing(time.Now(), pause)
	if !silent && !stale {
		return
	}
	if silent && n.heardByOthers(ctx, view) {
		return
	}
	if silent && view.cancel != nil {
		view.cancel()
	}
	began := time.Now()
	row, ok, err := n.readLease(ctx)
	if err != nil || (stale && !silent && time.Since(began) > quickTable) {
		return
	}
	switch {
	case ok && row.version != view.fence && row.Holder != "":
		n.follow(row)
	case stale && !silent:
		n.take(ctx, row.version, "the scheduler has lost the table")
	default:
		n.take(ctx, row.version, "the scheduler is silent")
	}
}

// missing reports whether the scheduler is silent, or without the table, for
// longer than a standby waits whose turn comes after pause.
func (v leaderView) missing(now time.Time, pause time.Duration) (silent, stale bool) {
	patience := silentAfter
	if v.refused || v.leaving {
		patience = refusedAfter
	}
	settled := now.Sub(v.since) > settleTime
	return now.Sub(v.heardAt) > patience+pause, settled && now.Sub(v.storeAt) > staleTable+pause
}

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

// take writes this entry's name into the lease row, on condition of its version,
// and begins to reign.
func (n *Node) take(ctx context.Context, version uint64, reason string) {
	began := time.Now()
	value, err := json.Marshal(leaseRow{Holder: n.config.Name, Address: n.config.Address, Incarnation: n.config.Incarnation})
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
	n.log.Log(events.SchedulerTook, fence, reason, time.Since(began).String())
	n.begin(ctx, fence, began)
}

// readBackLease finds out whether a write of the lease row whose answer was lost
// took effect; 0 is no.
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

// lastFence is the fence of this node's last reign, 0 if there was none.
func (n *Node) lastFence() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reign == nil {
		return 0
	}
	return n.reign.fence
}

// begin reads the cell and starts to reign. A cell that can't be read is given up.
func (n *Node) begin(ctx context.Context, fence uint64, since time.Time) {
	n.setLoading(fence)
	defer n.setLoading(0)
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := newReign(loadCtx, n, fence, since)
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
	n.reign = r
	for _, m := range n.view.members {
		if _, known := n.heard[m.Name]; !known {
			n.heard[m.Name] = heardMember{Member: m}
		}
	}
	own := leaseRow{Holder: n.config.Name, Address: n.config.Address, Incarnation: n.config.Incarnation}
	n.setView(newView(fence, own, n.view.members))
	n.mu.Unlock()
	n.log.Log(events.SchedulerBegan, fence, jobs, live, time.Since(since).String())
	go func() {
		r.run()
		n.ended(r)
	}()
}

// setLoading notes the fence of a reign whose cell is being read.
func (n *Node) setLoading(fence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loading = fence
}

// ended makes the node a standby that looks at the lease row next.
func (n *Node) ended(r *reign) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.fence == r.fence {
		n.setView(leaderView{members: n.membersLocked()})
	}
	n.log.Log(events.SchedulerEnded, r.fence)
}

// release ends a reign and gives the lease row up, then tells the next in turn.
func (n *Node) release(ctx context.Context, r *reign) {
	r.end()
	r.tasks.Wait()
	n.writeRelease(ctx, r.fence)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, m := range n.liveMembers() {
		if m.Name == n.config.Name {
			continue
		}
		told.Add(1)
		go func() {
			defer told.Done()
			if err := n.config.Peers.Call(ctx, m.Address, methodReleased, seenReply{Fence: r.fence}, nil); err != nil {
				n.log.Log(events.PeerFailed, m.Address, err)
			}
		}()
	}
	told.Wait()
}

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
		n.setView(leaderView{members: n.view.members})
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

// lookAfterRelease is a look at the lease row outside the turn of elect.
func (n *Node) lookAfterRelease() {
	<-n.turn
	defer func() { n.turn <- struct{}{} }()
	n.mu.Lock()
	idle := n.view.fence == 0 && !n.leaving && (n.reign == nil || n.reign.over())
	n.mu.Unlock()
	if idle {
		n.lookAtLease(context.Background(), true)
	}
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

// serveBeat answers a standby's heartbeat.
func (n *Node) serveBeat(_ context.Context, params json.RawMessage) (any, error) {
	var b beat
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, err
	}
	n.mu.Lock()
	r := n.reign
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
	reply := beatReply{Fence: r.fence, StoreAgeMS: r.storeAge().Milliseconds(), Leaving: n.leaving}
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

// serveSeen tells another standby how recently this entry heard the scheduler.
func (n *Node) serveSeen(context.Context, json.RawMessage) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reign != nil && !n.reign.over() {
		return seenReply{leaseRow: n.view.leaseRow, Fence: n.reign.fence, StoreAgeMS: n.reign.storeAge().Milliseconds()}, nil
	}
	return seenReply{
		leaseRow: n.view.leaseRow, Fence: n.view.fence, HeardAgoMS: time.Since(n.view.heardAt).Milliseconds(), StoreAgeMS: time.Since(n.view.storeAt).Milliseconds(),
		Refused: n.view.refused,
	}, nil
}
