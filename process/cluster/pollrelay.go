package cluster

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// directPollsPerCore is the number of workers up to which a scheduler polls all itself, for
	// each of its cores; of a larger fleet it polls none while other entries can. relayedPollsPerCore
	// is the number which another entry polls for it. Fewer, fuller groups make fewer messages.
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
	// relayedLeaseExtra is added to these leases: a worker learns of an extension up to
	// grantInterval and reportWait later than from the scheduler itself.
	relayedLeaseExtra = grantInterval + reportWait
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
	direct  int
	lastSet uint64
	lastSeq uint64
}

func newPollRelays(r *leadership) *pollRelays {
	return &pollRelays{leadership: r, groups: make(map[string]*pollGroup)}
}

// chooseGroup returns the entry that is to poll a further worker, and false if the scheduler
// does: the scheduler if the fleet is small enough for it, else one entry after the other up to
// their shares, those with the most cores first, and beyond all shares the least loaded entry.
//
// Load pattern: many short tasks on a large fleet. Each end of a task is a reply to a poll, and a
// scheduler that polls some workers itself has a message for each of these ends, while an entry
// with many workers reports several ends in one.
func chooseGroup(own Member, workers int, candidates []Member, polled map[string]int) (Member, bool) {
	if float64(workers) <= directPollsPerCore*own.Cores || len(candidates) == 0 {
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
// reports whether another entry did.
func (p *pollRelays) poll(ctx context.Context, w *workerLoop) (relayed bool) {
	g, m := p.assign(w)
	if g == nil {
		return false
	}
	select {
	case <-m.released:
	case <-ctx.Done():
		g.remove(m)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.direct++
	return true
}

// assign adds a worker that the scheduler polls to the group of an entry, if one is to poll
// it.
func (p *pollRelays) assign(w *workerLoop) (*pollGroup, *groupMember) {
	r := p.leadership
	own := r.node.self()
	if p.pollsAll(own) {
		return nil, nil
	}
	candidates := r.node.relayCandidates()
	now := time.Now()
	id := w.target.ID
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(m Member) bool {
		return !r.relayHealth.entryUsable(now, m.Name) || !r.relayHealth.pathUsable(now, m.Name, id)
	})
	polled := make(map[string]int, len(p.groups))
	for name, g := range p.groups {
		polled[name] = len(g.members)
	}
	entry, ok := chooseGroup(own, p.workers(), candidates, polled)
	if !ok {
		return nil, nil
	}
	g := p.groups[entry.Name]
	if g == nil {
		g = p.newGroup(entry)
	}
	m := &groupMember{loop: w, heardAt: now, released: make(chan struct{})}
	g.members[id] = m
	g.changed = true
	p.direct--
	signal(g.wake)
	return g, m
}

// pollsAll reports whether the fleet is small enough for the scheduler to poll all workers.
func (p *pollRelays) pollsAll(own Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.workers()) <= directPollsPerCore*own.Cores
}

// workers returns the number of polled workers. p.mu must be held.
func (p *pollRelays) workers() int {
	n := p.direct
	for _, g := range p.groups {
		n += len(g.members)
	}
	return n
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
