package cluster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// directPollsPerCore is the number of workers that a scheduler polls itself, for each of
	// its cores; relayedPollsPerCore that which another entry polls for it. Fewer, fuller
	// groups make fewer messages.
	directPollsPerCore  = 120
	relayedPollsPerCore = 240
	// requestPause is the least time between two requests to an entry, for each entry that
	// polls. It bounds the messages a second, and reports of more workers share one.
	requestPause = 5 * time.Millisecond
	// minRequestPause bounds the pause below.
	minRequestPause = 15 * time.Millisecond
	// pollRelayTimeout is how long a request may take beyond reportWait.
	pollRelayTimeout = 500 * time.Millisecond
	// grantInterval is how often the lease of a worker that another entry polls is extended.
	grantInterval = 400 * time.Millisecond
	// keepSentFor is how long the times of requests are kept: longer than a poll may take.
	keepSentFor = 10 * time.Second
)

// pollRelays lets other entries poll workers for the scheduler. A poll costs a scheduler more
// than most decisions, and there are one or more a second for each worker; an entry returns
// the replies of its group together.
//
// The scheduler decides what is acknowledged and how long leases last. Replies count only in
// the order in which the workers gave them, and only if they were requested after the worker
// came to its group. A worker that doesn't reply to an entry, and those of an entry that
// doesn't reply, are polled by the scheduler again.
type pollRelays struct {
	leadership *leadership

	mu sync.Mutex
	// groups are the groups of workers, by the name of the entry that polls them.
	groups map[string]*pollGroup
	// direct is the number of workers that the scheduler polls itself.
	direct int
	// avoidUntil is until when an entry gets no group after it failed, directUntil until when
	// an entry doesn't get a worker that didn't reply to it.
	avoidUntil  map[string]time.Time
	directUntil map[relayPath]time.Time
	lastSet     uint64
	lastSeq     uint64
}

// pollGroup is the group of workers that one entry polls. Its fields are guarded by the lock
// of pollRelays.
type pollGroup struct {
	relays *pollRelays
	entry  Member
	set    uint64
	ctx    context.Context
	cancel context.CancelFunc
	// wake is signalled when there is something to send.
	wake    chan struct{}
	members map[string]*groupMember
	// changed is set if members changed since the last request, urgent if an acknowledgement
	// waits, outstanding the number of requests without reply.
	changed     bool
	urgent      bool
	outstanding int
	// sentAt are the times of the last requests, by their numbers.
	sentAt map[uint64]time.Time
}

// groupMember is a worker of a group.
type groupMember struct {
	loop *workerLoop
	// fromSeq is the number of the first request that named the worker; 0 before. lastReport
	// is the number of its last report.
	fromSeq    uint64
	lastReport uint64
	// acked and grantedAt are what was sent last.
	acked     int64
	grantedAt time.Time
	// released is closed when the scheduler polls the worker again; failed is set before if
	// the worker didn't reply.
	released chan struct{}
	failed   bool
}

func newPollRelays(r *leadership) *pollRelays {
	return &pollRelays{
		leadership: r, groups: make(map[string]*pollGroup), avoidUntil: make(map[string]time.Time), directUntil: make(map[relayPath]time.Time),
	}
}

// chooseGroup returns the entry that is to poll a further worker, and false if the scheduler
// does: first the scheduler up to its share, then one entry after the other up to theirs,
// those with the most cores first, and beyond all shares the least loaded entry.
func chooseGroup(own Member, direct int, candidates []Member, polled map[string]int) (Member, bool) {
	if float64(direct) < directPollsPerCore*own.Cores || len(candidates) == 0 {
		return Member{}, false
	}
	load := func(m Member) float64 { return float64(polled[m.Name]) / (relayedPollsPerCore * m.Cores) }
	least := candidates[0]
	for _, m := range candidates {
		if load(m) < 1 {
			return m, true
		}
		if load(m) < load(least) {
			least = m
		}
	}
	return least, true
}

// add changes the number of workers that the scheduler polls itself.
func (p *pollRelays) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.direct += n
}

// poll lets another entry poll a worker, if one is to, until the scheduler has to. It
// reports whether one did, and whether the worker failed to reply to it.
func (p *pollRelays) poll(ctx context.Context, w *workerLoop) (relayed, failed bool) {
	g, m := p.assign(w)
	if g == nil {
		return false, false
	}
	select {
	case <-m.released:
	case <-ctx.Done():
		g.remove(m)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.direct++
	return true, m.failed
}

// assign adds a worker that the scheduler polls to the group of an entry, if one is to poll
// it.
func (p *pollRelays) assign(w *workerLoop) (*pollGroup, *groupMember) {
	r := p.leadership
	candidates := r.node.relayCandidates()
	slices.SortStableFunc(candidates, func(a, b Member) int {
		switch {
		case a.Cores > b.Cores:
			return -1
		case a.Cores < b.Cores:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	now := time.Now()
	id := w.target.ID
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(m Member) bool {
		return now.Before(p.avoidUntil[m.Name]) || now.Before(p.directUntil[relayPath{m.Name, id}])
	})
	polled := make(map[string]int, len(p.groups))
	for name, g := range p.groups {
		polled[name] = len(g.members)
	}
	entry, ok := chooseGroup(r.node.self(), p.direct-1, candidates, polled)
	if !ok {
		return nil, nil
	}
	g := p.groups[entry.Name]
	if g == nil {
		g = p.newGroup(entry)
	}
	m := &groupMember{loop: w, released: make(chan struct{})}
	g.members[id] = m
	g.changed = true
	p.direct--
	signal(g.wake)
	return g, m
}

// newGroup adds the group of an entry and starts its loop. p.mu must be held.
func (p *pollRelays) newGroup(entry Member) *pollGroup {
	p.lastSet++
	g := &pollGroup{
		relays: p, entry: entry, set: p.lastSet, wake: make(chan struct{}, 1), members: make(map[string]*groupMember), sentAt: make(map[uint64]time.Time),
	}
	g.ctx, g.cancel = context.WithCancel(p.leadership.ctx)
	p.groups[entry.Name] = g
	go g.run()
	return g
}

// pause returns the time between two requests to an entry. A scheduler that lags sends
// fewer, fuller ones.
func (p *pollRelays) pause() time.Duration {
	lag := p.leadership.node.lag.average()
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minRequestPause, time.Duration(len(p.groups))*requestPause, lag)
}

// run sends requests: one is always open for reports, and another one is sent when there is
// something to tell the entry.
func (g *pollGroup) run() {
	for g.ctx.Err() == nil {
		if !g.relays.leadership.node.mayRelay(g.entry.Name) {
			g.fail()
			return
		}
		if request, ok := g.nextRequest(); ok {
			go g.send(request)
		}
		sleep(g.ctx, g.relays.pause())
		select {
		case <-g.wake:
		case <-g.ctx.Done():
		}
	}
}

// nextRequest returns the next request, and whether one is to be sent now.
func (g *pollGroup) nextRequest() (pollRequest, bool) {
	p := g.relays
	r := p.leadership
	extend := r.mayExtend()
	r.mu.Lock()
	defer r.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(g.members) == 0 || (g.outstanding > 0 && !g.changed && !g.urgent) {
		return pollRequest{}, false
	}
	now := time.Now()
	p.lastSeq++
	request := pollRequest{Fence: r.fence, Set: g.set, Seq: p.lastSeq}
	g.sentAt[p.lastSeq] = now
	for seq, at := range g.sentAt {
		if now.Sub(at) > keepSentFor {
			delete(g.sentAt, seq)
		}
	}
	for id, m := range g.members {
		if g.changed {
			request.Workers = append(request.Workers, polledWorker(m.loop.target))
		}
		if m.fromSeq == 0 {
			m.fromSeq = p.lastSeq
		}
		acked, _ := r.cell.Acked(id)
		if acked == m.acked && now.Sub(m.grantedAt) < grantInterval {
			continue
		}
		update := pollUpdate{Worker: id, Acked: acked}
		if extend {
			update.NotAfter = m.loop.lease.grant(now, r.timings.Lease)
		}
		m.acked, m.grantedAt = acked, now
		request.Updates = append(request.Updates, update)
	}
	g.changed, g.urgent = false, false
	g.outstanding++
	return request, true
}

// send sends a request and applies the reports that its reply brings.
func (g *pollGroup) send(request pollRequest) {
	r := g.relays.leadership
	ctx, cancel := context.WithTimeout(g.ctx, reportWait+pollRelayTimeout+r.node.lag.allowance())
	defer cancel()
	var replies pollReplies
	err := r.node.config.Peers.Call(ctx, g.entry.Address, methodPoll, request, &replies)
	if g.ctx.Err() != nil {
		return
	}
	if err != nil {
		g.fail()
		return
	}
	g.relays.mu.Lock()
	g.outstanding--
	g.relays.mu.Unlock()
	if len(replies.Reports) > 0 {
		g.apply(replies.Reports)
	}
	signal(g.wake)
}

// apply applies reports to the cell.
func (g *pollGroup) apply(reports []pollReport) {
	r := g.relays.leadership
	fenced := false
	r.change(func(now time.Time, c *cell.Cell) {
		for _, report := range reports {
			m, sentAt := g.accept(report)
			switch {
			case m == nil:
			case report.Fenced:
				fenced = true
			case report.Failed:
				r.unreachable(now, c, m.loop)
				g.releaseFailed(now, m)
			default:
				r.answered(now, c, m.loop, report.reply(sentAt))
				_, m.loop.awaitsAcks = c.Acked(report.Worker)
			}
		}
	})
	if fenced {
		r.stepDown(fencedReason)
	}
}

// accept returns the worker of a report, and a time before its poll was sent; nil if the
// report doesn't count: the worker isn't in the group, wasn't yet when the poll was sent, or
// a later report of it has been applied.
func (g *pollGroup) accept(report pollReport) (*groupMember, time.Time) {
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	m := g.members[report.Worker]
	sentAt, known := g.sentAt[report.Seq]
	if m == nil || !known || m.fromSeq == 0 || report.Seq < m.fromSeq || report.Number <= m.lastReport {
		return nil, time.Time{}
	}
	m.lastReport = report.Number
	return m, sentAt
}

// acksReady makes the group send acknowledgements. The leadership's lock must be held.
func (p *pollRelays) acksReady(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.groups {
		if g.members[id] != nil {
			g.urgent = true
			signal(g.wake)
			return
		}
	}
}

// releaseFailed takes a worker that didn't reply out of the group.
func (g *pollGroup) releaseFailed(now time.Time, m *groupMember) {
	p := g.relays
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directUntil[relayPath{g.entry.Name, m.loop.target.ID}] = now.Add(pathBackoff)
	m.failed = true
	g.release(m)
}

// remove takes a worker out of the group.
func (g *pollGroup) remove(m *groupMember) {
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	g.release(m)
}

// release lets the scheduler poll a worker again. The lock of pollRelays must be held.
func (g *pollGroup) release(m *groupMember) {
	id := m.loop.target.ID
	if g.members[id] != m {
		return
	}
	delete(g.members, id)
	close(m.released)
	g.changed = true
	if len(g.members) == 0 {
		g.end()
	}
}

// end removes the group. The lock of pollRelays must be held.
func (g *pollGroup) end() {
	g.cancel()
	if g.relays.groups[g.entry.Name] == g {
		delete(g.relays.groups, g.entry.Name)
	}
}

// fail returns all workers of an entry that doesn't reply to the scheduler.
func (g *pollGroup) fail() {
	p := g.relays
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil[g.entry.Name] = time.Now().Add(relayBackoff)
	for _, m := range g.members {
		g.release(m)
	}
	g.end()
}
