package cluster

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// slowShare of totalShares is the fraction of the entries that receive slow calls. The
	// service answers an entry's calls one after the other, so separate entries keep quick
	// calls from waiting behind slow ones.
	slowShare   = 6
	totalShares = 9
	// adviceTimeout is added to the expected duration of a call.
	adviceTimeout = 700 * time.Millisecond
)

// advisers distributes calls to the advisory service over the entries.
type advisers struct {
	leadership *leadership

	mu    sync.Mutex
	queue adviceQueue
}

// adviceQueue holds the time until which each entry is expected to be busy, by name.
type adviceQueue struct{ busyUntil map[string]time.Time }

// adviserBackoff is how long an entry receives no calls after a failed one. Without it, an
// entry that cannot reach the service would look idle and attract all calls.
const adviserBackoff = time.Second

func newAdvisers(r *leadership) *advisers {
	return &advisers{leadership: r, queue: adviceQueue{busyUntil: make(map[string]time.Time)}}
}

// request sends a call through the entry that is expected to return advice first.
func (a *advisers) request(request cell.AdviceRequest) {
	members := a.leadership.node.liveMembers()
	now := time.Now()
	a.mu.Lock()
	chosen, ready := a.queue.choose(now, members, request)
	a.mu.Unlock()
	go a.call(chosen, request, ready.Sub(now)+adviceTimeout)
}

// choose returns the member that can answer first among those for calls as slow as this
// one, and when its answer is expected. members must be in a fixed order and not empty.
func (q *adviceQueue) choose(now time.Time, members []Member, request cell.AdviceRequest) (Member, time.Time) {
	count := slowCount(len(members))
	group := members[:count]
	if request.Decide < cell.SlowAdvice && count < len(members) {
		group = members[count:]
	}
	best := group[0]
	for _, m := range group[1:] {
		if q.freeAt(now, m).Before(q.freeAt(now, best)) {
			best = m
		}
	}
	ready := q.freeAt(now, best).Add(request.Estimate)
	q.busyUntil[best.Name] = ready
	return best, ready
}

func (q *adviceQueue) freeAt(now time.Time, m Member) time.Time {
	return maxTime(now, q.busyUntil[m.Name])
}

// failed records that a call through a member failed.
func (q *adviceQueue) failed(now time.Time, m Member) {
	q.busyUntil[m.Name] = maxTime(q.busyUntil[m.Name], now.Add(adviserBackoff))
}

// slowCount returns how many of n entries receive slow calls.
func slowCount(n int) int { return max(1, n*slowShare/totalShares) }

const (
	// callsPerSlow and callsPerQuick limit the calls in flight per entry that receives
	// slow calls and per entry that receives quick ones. Of the quick calls of an entry, one
	// is in progress and the others are queued at the service.
	callsPerSlow  = 1
	callsPerQuick = 3
)

// adviceLimits returns how many calls may be in flight with n entries.
func adviceLimits(n int) cell.AdviceLimits {
	slow := slowCount(n)
	return cell.AdviceLimits{Slow: slow * callsPerSlow, Quick: max(1, n-slow) * callsPerQuick}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (a *advisers) call(m Member, request cell.AdviceRequest, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(a.leadership.ctx, timeout)
	defer cancel()
	n := a.leadership.node
	began := time.Now()
	var took time.Duration
	var tickets []cell.Ticket
	var err error
	if m.Name == n.config.Name {
		tickets, err = n.config.Advisor.Advise(ctx, request.Step, request.Workers)
	} else {
		var reply adviseReply
		err = n.config.Peers.Call(ctx, m.Address, methodAdvise, adviseCall{Step: request.Step, Workers: request.Workers}, &reply)
		tickets, took = reply.Tickets, time.Duration(reply.TookMS)*time.Millisecond
	}
	n.metrics.adviceTime.UpdateDuration(began)
	if err != nil && a.leadership.ctx.Err() == nil {
		n.metrics.adviceFailures.Inc()
		n.logAdviceFailure(m, request, err)
		a.mu.Lock()
		a.queue.failed(time.Now(), m)
		a.mu.Unlock()
	}
	a.leadership.change(func(now time.Time, c *cell.Cell) {
		c.Advised(now, adviceAnsweredAt(now, began, took), request, tickets, err != nil)
	})
}

// adviceAnsweredAt returns the earliest time at which the advisory service can have replied,
// from which its tickets are valid: the call of another entry, which took this long, can't
// have begun before the request to that entry. This entry may read the reply much later.
func adviceAnsweredAt(now, began time.Time, took time.Duration) time.Time {
	if answered := began.Add(took); took > 0 && answered.Before(now) {
		return answered
	}
	return now
}

// serveAdvise calls the advisory service on behalf of the scheduler.
func (n *Node) serveAdvise(ctx context.Context, params json.RawMessage) (any, error) {
	var call adviseCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	began := time.Now()
	tickets, err := n.config.Advisor.Advise(ctx, call.Step, call.Workers)
	if err != nil {
		return nil, err
	}
	return adviseReply{Tickets: tickets, TookMS: time.Since(began).Milliseconds()}, nil
}
