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

	mu sync.Mutex
	// busyUntil is when each entry's calls are expected to be answered.
	busyUntil map[string]time.Time
}

func newAdvisers(r *leadership) *advisers {
	return &advisers{leadership: r, busyUntil: make(map[string]time.Time)}
}

// ask calls for advice on the entry that is expected to have it first.
func (a *advisers) ask(ask cell.Ask) {
	members := a.leadership.node.liveMembers()
	a.mu.Lock()
	now := time.Now()
	chosen := chooseAdviser(now, members, a.busyUntil, ask.Decide >= cell.SlowAdvice)
	ready := maxTime(now, a.busyUntil[chosen.Name]).Add(ask.Takes)
	a.busyUntil[chosen.Name] = ready
	a.mu.Unlock()
	go a.call(chosen, ask, ready.Sub(now)+adviceTimeout)
}

// chooseAdviser returns the member that can answer first among those for calls as
// slow as this one. members are in a fixed order and not empty.
func chooseAdviser(now time.Time, members []Member, busyUntil map[string]time.Time, slow bool) Member {
	count := slowCount(len(members))
	group := members[:count]
	if !slow && count < len(members) {
		group = members[count:]
	}
	best := group[0]
	for _, m := range group[1:] {
		if maxTime(now, busyUntil[m.Name]).Before(maxTime(now, busyUntil[best.Name])) {
			best = m
		}
	}
	return best
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
