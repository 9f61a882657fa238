package cluster

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// A scheduler that refuses a submission because there is too much work has decoded and examined it,
// and refused callers come again: refusals alone can keep it overloaded. So entries refuse a
// part of the submissions themselves, by client-side throttling (Beyer et al., Site
// Reliability Engineering, "Handling Overload"): out of a team's submissions to a queue, throttleRatio
// times as many reach the scheduler as it accepts.
const (
	throttleRatio = 2.0
	// throttleWindow is the time constant with which counts decay.
	throttleWindow = 3 * time.Second
)

// throttle counts the submissions of one queue and team at this entry. Both counts decay.
type throttle struct {
	at time.Time
	// requests counts all submissions, accepts those that the scheduler did not refuse
	// because there is too much work.
	requests, accepts float64
	// retryAfter is that of the scheduler's last such refusal.
	retryAfter time.Duration
}

// decay brings the counts up to now.
func (t *throttle) decay(now time.Time) {
	factor := math.Exp(-now.Sub(t.at).Seconds() / throttleWindow.Seconds())
	t.requests *= factor
	t.accepts *= factor
	t.at = now
}

// refusalProbability is the part of the submissions to refuse here.
func (t *throttle) refusalProbability() float64 {
	return max(0, (t.requests-throttleRatio*t.accepts)/(t.requests+1))
}

// throttleKey tells submissions apart: a scheduler that is late refuses jobs of queues with little
// slack before others, and those of teams beyond their shares.
type throttleKey struct{ queue, team string }

// throttles holds the throttle of each queue and team.
type throttles struct {
	mu     sync.Mutex
	byKey  map[throttleKey]*throttle
	random func() float64
}

func newThrottles() throttles {
	return throttles{byKey: make(map[throttleKey]*throttle), random: rand.Float64}
}

// refuse reports whether a submission is refused here, and with which reply.
func (t *throttles) refuse(now time.Time, key throttleKey) (Reply, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.byKey[key]
	if q == nil {
		return Reply{}, false
	}
	q.decay(now)
	if t.random() >= q.refusalProbability() {
		return Reply{}, false
	}
	q.requests++
	return Reply{Result: ResultRefused, Reason: "too much work, by the scheduler's last replies", RetryAfter: q.retryAfter, Overloaded: true}, true
}

// observe counts a submission that was forwarded. A reply that says nothing of the
// load counts as accepted, since the scheduler may be about to change.
func (t *throttles) observe(now time.Time, key throttleKey, reply Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.byKey[key]
	if q == nil {
		if !reply.Overloaded {
			return
		}
		q = &throttle{at: now}
		t.byKey[key] = q
	}
	q.decay(now)
	q.requests++
	if reply.Overloaded {
		q.retryAfter = reply.RetryAfter
		return
	}
	q.accepts++
}
