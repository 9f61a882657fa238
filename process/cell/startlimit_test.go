package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A scheduler whose processor handles 40 commands a second gets more work at once than that.
// Starts that it sends all the same wait in its own queue until they count as unanswered;
// then each of them is stopped and started again, and little gets done. Work beyond what it
// can send must wait in the plan instead.
func TestOverloadedSchedulerSendsNoMoreStartsThanItHandles(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 21, 48, 6, queues, nil)
	w.commandTime = 25 * time.Millisecond
	w.generateJobs(kinds, 10*time.Second, steadyLoad)
	w.run(90 * time.Second)
	w.logResults()
	t.Logf("%d unanswered starts, limit %.0f", w.unansweredStarts, w.cell.starts.limit)
	assert.Assert(t, w.unansweredStarts < 300, "%d", w.unansweredStarts)
	assert.Equal(t, len(w.violations), 0, "%v", w.violations)
	assert.Equal(t, w.gangTimeouts, 0)
	w.checkCompleted()
}

// The limit falls once per promptStart of late replies, rises with prompt ones only while it
// is reached, and never falls below its minimum.
func TestStartLimitFollowsReplies(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := newStartLimiter()
	l.answered(now, time.Millisecond, true)
	assert.Equal(t, l.limit, float64(initialStartLimit))
	l.answered(now, 2*promptStart, true)
	l.answered(now, 0, false)
	assert.Equal(t, l.limit, initialStartLimit*startLimitDecrease)
	for range 100 {
		now = now.Add(promptStart)
		l.answered(now, 0, false)
	}
	assert.Equal(t, l.limit, float64(minStartLimit))
	l.reached = true
	l.answered(now, time.Millisecond, true)
	assert.Equal(t, l.limit, minStartLimit+startLimitIncrease)
}

// While a scheduler starts fewer tasks than arrive, a job that has to wait behind too many of them
// to meet its objective must be refused at once with a time to come back: accepted, it
// would only make those behind it late as well.
func TestBacklogOfStartsRefusesJobs(t *testing.T) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, 22, 48, 6, queues, nil)
	w.run(time.Second)
	c := w.cell
	c.starts.replies = placementRate{windowStart: w.now, perSecond: 20}
	c.starts.limit = 0
	submit := func(id string) Admission {
		return c.Submit(w.now, kinds[2].job(w.traffic, id).spec, func(Recorded) {})
	}
	accepted := 0
	for ; accepted < 1000; accepted++ {
		c.Plan(w.now)
		a := submit(fmt.Sprintf("quote%d", accepted))
		if a.Verdict == Refused {
			assert.Equal(t, a.Reason, "the scheduler is overloaded")
			assert.Assert(t, a.RetryAfter >= time.Second)
			break
		}
	}
	assert.Assert(t, accepted > 0 && accepted < 1000, "%d accepted", accepted)
	assert.Assert(t, c.starts.wait(w.now, 1000) > 0)
	later := w.now.Add(2 * rateWindow)
	assert.Equal(t, c.starts.wait(later, 1000), time.Duration(0), "the limit isn't reached any more")
	c.starts.limit = initialStartLimit
	assert.Equal(t, c.starts.wait(w.now, 1000), time.Duration(0), "replies are prompt")
}

// Starts that fail because their worker has crashed must not lower the limit, which would make
// all other work wait.
func TestCrashedWorkersDoNotLimitStarts(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		c, s, now := gangOfTwo(t)
		limit := c.starts.limit
		now = now.Add(promptStart / 2)
		if unreachable {
			c.WorkerUnreachable(now, "w0", LossRefused, nil)
			now = now.Add(promptStart)
		}
		c.StartAnswered(now, "w0", s.tasks[0].current.RunKey, StartNoReply)
		assert.Equal(t, c.starts.limit, limit, "unreachable %t", unreachable)
	}
}
