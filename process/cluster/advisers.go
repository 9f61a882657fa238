package cluster

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// slowPart of allParts are the entries that slow calls go to. The service answers
	// an entry's calls one after the other, so quick ones never wait behind slow ones.
	slowPart = 6
	allParts = 9
	// adviceTimeout is added to the expected time of a call.
	adviceTimeout = 700 * time.Millisecond
)

// advisers spreads calls for advice over the entries.
type advisers struct {
	leadership *leadership

	mu    sync.Mutex
	queue adviceQueue
}

// adviceQueue is when each entry's calls are expected to be answered, by name.
type adviceQueue struct{ busyUntil map[string]time.Time }

// adviserRest is how long an entry gets no calls after one of its failed, so that an
// entry which can't reach the service doesn't look idle and draw all calls.
const adviserRest = time.Second

func newAdvisers(r *leadership) *advisers {
	return &advisers{leadership: r, queue: adviceQueue{busyUntil: make(map[string]time.Time)}}
}

// ask calls for advice on the entry that is expected to have it first.
func (a *advisers) ask(ask cell.Ask) {
	members := a.leadership.node.liveMembers()
	now := time.Now()
	a.mu.Lock()
	chosen, ready := a.queue.take(now, members, ask)
	a.mu.Unlock()
	go a.call(chosen, ask, ready.Sub(now)+adviceTimeout)
}

// take chooses the member that can answer first among those for calls as slow as
// this one, and returns when it will have. members are in a fixed order and not empty.
func (q *adviceQueue) take(now time.Time, members []Member, ask cell.Ask) (Member, time.Time) {
	count := slowCount(len(members))
	group := members[:count]
	if ask.Decide < cell.SlowAdvice && count < len(members) {
		group = members[count:]
	}
	best := group[0]
	for _, m := range group[1:] {
		if q.freeAt(now, m).Before(q.freeAt(now, best)) {
			best = m
		}
	}
	ready := q.freeAt(now, best).Add(ask.Takes)
	q.busyUntil[best.Name] = ready
	return best, ready
}

func (q *adviceQueue) freeAt(now time.Time, m Member) time.Time {
	return maxTime(now, q.busyUntil[m.Name])
}

// failed takes in that a call on a member failed.
func (q *adviceQueue) failed(now time.Time, m Member) {
	q.busyUntil[m.Name] = maxTime(q.busyUntil[m.Name], now.Add(adviserRest))
}

// slowCount is how many of n entries slow calls go to.
func slowCount(n int) int { return max(1, n*slowPart/allParts) }

const (
	// callsPerSlow and callsPerQuick are the calls under way for each entry that
	// takes slow and quick ones: one at work, and some that wait for their turn.
	callsPerSlow  = 1
	callsPerQuick = 3
)

// lanesOf is how many calls may be under way with n entries.
func lanesOf(n int) cell.Lanes {
	slow := slowCount(n)
	return cell.Lanes{Slow: slow * callsPerSlow, Quick: max(1, n-slow) * callsPerQuick}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (a *advisers) call(m Member, ask cell.Ask, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(a.leadership.ctx, timeout)
	defer cancel()
	n := a.leadership.node
	began := time.Now()
	var good []cell.Ticket
	var err error
	if m.Name == n.config.Name {
		good, err = n.config.Advisor.Advise(ctx, ask.Step, ask.Workers)
	} else {
		var reply adviseReply
		err = n.config.Peers.Call(ctx, m.Address, methodAdvise, adviseCall{Step: ask.Step, Workers: ask.Workers}, &reply)
		good = reply.Good
	}
	n.metrics.adviceTime.UpdateDuration(began)
	if err != nil && a.leadership.ctx.Err() == nil {
		n.metrics.adviceFailures.Inc()
		n.logAdviceFailure(m, ask, err)
		a.mu.Lock()
		a.queue.failed(time.Now(), m)
		a.mu.Unlock()
	}
	a.leadership.change(func(now time.Time, c *cell.Cell) { c.Advised(now, now, ask, good, err != nil) })
}

// serveAdvise calls the advisory service for the scheduler.
func (n *Node) serveAdvise(ctx context.Context, params json.RawMessage) (any, error) {
	var call adviseCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	good, err := n.config.Advisor.Advise(ctx, call.Step, call.Workers)
	if err != nil {
		return nil, err
	}
	return adviseReply{Good: good}, nil
}
