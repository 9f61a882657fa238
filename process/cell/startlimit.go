package cell

import (
	"slices"
	"time"
)

// startLimiter bounds the runs that are planned or have a start command in progress. A
// scheduler whose processor is full reads replies late: starts that it sends beyond what it
// can handle count as unanswered, and each of them costs a stop and another start. The bound
// follows the time to a reply (additive increase, multiplicative decrease, as in
// TCP's congestion avoidance): work beyond it waits in the order of the plan.
type startLimiter struct {
	// limit is the bound. It applies before a step is placed: a gang is placed whole, even if
	// that goes beyond the limit.
	limit float64
	// inProgress holds the runs that were planned and whose start had no reply when it was
	// last updated.
	inProgress []*Run
	// reached is set once the limit has kept a step from its placement in this round.
	reached bool
	// loweredAt is when the limit was last lowered.
	loweredAt time.Time
	// reachedAt is when the limit last kept a step from its placement.
	reachedAt time.Time
	// replies measures the rate of replies to start commands.
	replies placementRate
}

const (
	// initialStartLimit, overloadedStartLimit and minStartLimit are numbers of runs.
	initialStartLimit = 128
	// overloadedStartLimit is the limit up to which the scheduler counts as overloaded.
	overloadedStartLimit = initialStartLimit / 2
	minStartLimit        = 8
	// promptStart is the time to a start's reply up to which the limit rises, and beyond
	// which it falls. It is half of the least time after which a start counts as unanswered.
	promptStart = 300 * time.Millisecond
	// startLimitIncrease is by how much the limit rises with each prompt reply while it is
	// reached.
	startLimitIncrease = 0.125
	// startLimitDecrease is the factor by which the limit falls, at most once in promptStart:
	// the replies to starts that were sent before say the same thing.
	startLimitDecrease = 0.7
)

func newStartLimiter() *startLimiter { return &startLimiter{limit: initialStartLimit} }

// add adds a planned run.
func (l *startLimiter) add(r *Run) { l.inProgress = append(l.inProgress, r) }

// beginRound drops the runs that are no longer in progress.
func (l *startLimiter) beginRound() {
	l.reached = false
	l.inProgress = slices.DeleteFunc(l.inProgress, func(r *Run) bool { return !r.startInProgress() })
}

// full reports whether no further run may be planned now.
func (l *startLimiter) full(now time.Time) bool {
	if float64(len(l.inProgress)) < l.limit {
		return false
	}
	l.reached, l.reachedAt = true, now
	return true
}

// wait returns how long it takes to start the given number of tasks; 0 unless the limit was
// reached lately and late replies have lowered it far. While replies are prompt, planned runs
// wait for something else, such as a slow table.
func (l *startLimiter) wait(now time.Time, tasks int) time.Duration {
	if now.Sub(l.reachedAt) > rateWindow || l.limit > overloadedStartLimit {
		return 0
	}
	return time.Duration(float64(tasks) / l.replies.rate(now) * float64(time.Second))
}

// StartLoad describes the start commands of a cell: those in progress, the limit on them,
// and the replies a second.
type StartLoad struct {
	InProgress int
	Limit      float64
	Replies    float64
}

// StartLoad returns the load by start commands.
func (c *Cell) StartLoad(now time.Time) StartLoad {
	l := c.starts
	return StartLoad{InProgress: len(l.inProgress), Limit: l.limit, Replies: l.replies.rate(now)}
}

// answered adjusts the limit to the reply to a start command that was sent took ago; replied
// is false if none came.
func (l *startLimiter) answered(now time.Time, took time.Duration, replied bool) {
	if replied {
		l.replies.roll(now)
		l.replies.placed++
	}
	if replied && took <= promptStart {
		if l.reached {
			l.limit += startLimitIncrease
		}
		return
	}
	if now.Sub(l.loweredAt) < promptStart {
		return
	}
	l.limit = max(minStartLimit, l.limit*startLimitDecrease)
	l.loweredAt = now
}

// startInProgress reports whether the run is planned or its start command has no reply yet.
func (r *Run) startInProgress() bool {
	if r.task.step.occ.job.aside.active || r.worker.runs[r.RunKey] != r {
		return false
	}
	return r.state == runPlanned || r.state == runStarting
}
