package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// errRelayedPoll is logged when a worker didn't reply to the entry that polls it.
var errRelayedPoll = errors.New("no reply to another entry")

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
	// sentAt are the times of the last requests, by their numbers, which sent holds in their order.
	sentAt map[uint64]time.Time
	sent   []uint64
}

// groupMember is a worker of a group.
type groupMember struct {
	loop *workerLoop
	// fromSeq is the number of the first request that named the worker; 0 before. lastReport
	// is the number of its last report.
	fromSeq    uint64
	lastReport uint64
	// acked and grantedAt are what was sent last.
	acked     cell.Ack
	grantedAt time.Time
	// heardAt is when the last report was accepted, or the worker assigned.
	heardAt time.Time
	// released is closed when the scheduler polls the worker again.
	released chan struct{}
}

// run sends requests: one is always open for reports, and another one is sent when there is
// something to tell the entry.
func (g *pollGroup) run() {
	for g.ctx.Err() == nil {
		if !g.relays.leadership.node.mayRelay(g.entry.Name) {
			g.fail("the entry leaves or is silent")
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
	// The locks may be awaited for long, and the process be paused meanwhile.
	decidedAt := time.Now()
	extend := r.mayExtend()
	r.mu.Lock()
	defer r.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	g.releaseSilent(now)
	if len(g.members) == 0 || (g.outstanding > 0 && !g.changed && !g.urgent) {
		return pollRequest{}, false
	}
	g.changed = g.changed || g.incarnationsChanged()
	p.lastSeq++
	request := pollRequest{Fence: r.fence, Set: g.set, Seq: p.lastSeq}
	g.noteSent(now, p.lastSeq)
	for id, m := range g.members {
		if g.changed {
			request.Workers = append(request.Workers, polledWorkerOf(m.loop.target, r.cell))
		}
		if m.fromSeq == 0 {
			m.fromSeq = p.lastSeq
		}
		acked, _ := r.cell.Acked(id)
		if acked == m.acked && now.Sub(m.grantedAt) < grantInterval {
			continue
		}
		update := pollUpdate{Worker: id, Acked: acked.Number}
		if extend {
			update.NotAfter = m.loop.lease.grant(decidedAt, r.timings.Lease+relayedLeaseExtra)
		}
		m.acked, m.grantedAt = acked, now
		request.Updates = append(request.Updates, update)
	}
	g.changed, g.urgent = false, false
	g.outstanding++
	return request, true
}

// incarnationsChanged reports whether a worker has another incarnation than the one for which the
// entry was last told what to send. The locks of the leadership and of pollRelays must be held.
func (g *pollGroup) incarnationsChanged() bool {
	for id, m := range g.members {
		if acked, _ := g.relays.leadership.cell.Acked(id); acked.Incarnation != m.acked.Incarnation {
			return true
		}
	}
	return false
}

// noteSent keeps the time of a request, and drops those of requests to which no reply can come.
// The lock of pollRelays must be held.
func (g *pollGroup) noteSent(now time.Time, seq uint64) {
	g.sentAt[seq] = now
	g.sent = append(g.sent, seq)
	for now.Sub(g.sentAt[g.sent[0]]) > keepSentFor {
		delete(g.sentAt, g.sent[0])
		g.sent = g.sent[1:]
	}
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
		g.fail(err.Error())
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
				r.unreachable(now, c, m.loop, errRelayedPoll)
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
	m.lastReport, m.heardAt = report.Number, time.Now()
	return m, sentAt
}

// releaseSilent takes workers out of the group of which the entry has reported nothing for
// longer than a poll may take. The lock of pollRelays must be held.
func (g *pollGroup) releaseSilent(now time.Time) {
	timeout := pollWait + pollTimeout + reportWait + pollRelayTimeout + g.relays.leadership.node.lag.allowance()
	for id, m := range g.members {
		if now.Sub(m.heardAt) > timeout {
			g.relays.leadership.relayHealth.pathFailed(now, g.entry.Name, id)
			g.release(m)
		}
	}
}

// releaseFailed takes a worker that didn't reply out of the group.
func (g *pollGroup) releaseFailed(now time.Time, m *groupMember) {
	p := g.relays
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadership.relayHealth.pathFailed(now, g.entry.Name, m.loop.target.ID)
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
func (g *pollGroup) fail(reason string) {
	p := g.relays
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(g.members) > 0 {
		p.leadership.node.log.Log(events.PollGroupReturned, g.entry.Name, len(g.members), reason)
	}
	p.leadership.relayHealth.entryFailed(time.Now(), g.entry.Name)
	for _, m := range g.members {
		g.release(m)
	}
	g.end()
}
