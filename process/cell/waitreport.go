package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// reportWaitAfter is how long a job must have waited before it is reported.
	reportWaitAfter = 2 * time.Second
	// maxWorkersExamined bounds the workers that one report looks at, each once for each step that
	// the last round couldn't place. At least one step is examined.
	maxWorkersExamined = 40_000
)

// WaitReport tells which accepted jobs could run and don't, and what they wait for. A job counts
// once, with the step that has waited longest.
type WaitReport struct {
	Jobs int
	// Counts holds the jobs by WaitReason.
	Counts [waitReasons]WaitCount
	// Longest holds the job that has waited longest for each reason, the longest wait first.
	Longest []WaitingJob
}

// WaitCount is the number of jobs that wait for the same, and the longest of their waits.
type WaitCount struct {
	Jobs    int
	Longest time.Duration
}

// WaitingJob is a job that could run and doesn't.
type WaitingJob struct {
	Job, Team string
	// Step is the step that waits; empty if the job waits as a whole.
	Step   string
	Reason WaitReason
	// Waited is how long no run of the step has begun or ended on a worker.
	Waited time.Duration
	// Waiting counts the step's tasks that are neither done nor running, Running those that run,
	// and LastRun is the highest number of their runs.
	Waiting, Running, LastRun int
	// Detail says more about the reason.
	Detail string
}

// waiter is a job that waits, within one report.
type waiter struct {
	job   *Job
	since time.Time
	// step is nil if the job waits as a whole; held is then nil too.
	step *step
	// held is the run that keeps a task from running; nil if a task waits for its placement.
	held   *Run
	reason WaitReason
	tally  taskTally
	// panicked is the cause of a panic while the job was looked at; empty if there was none.
	panicked string
}

// recoverPanic, when deferred, notes a panic. A report must not end the process, nor keep what else
// waits from being reported.
func (w *waiter) recoverPanic(job *Job) {
	cause := recover()
	if cause == nil {
		return
	}
	if w.job == nil {
		w.since = job.FirstSeen
	}
	w.job, w.reason, w.panicked = job, WaitUnexplained, fmt.Sprintf("panic: %v", cause)
}

// WaitReport reports the jobs that have waited longer than reportWaitAfter.
func (c *Cell) WaitReport(now time.Time) WaitReport {
	waiters := c.findWaiters(now)
	slices.SortStableFunc(waiters, func(a, b waiter) int {
		return cmp.Or(a.since.Compare(b.since), compareStrings(a.job.ID, b.job.ID))
	})
	report := WaitReport{Jobs: len(waiters)}
	examined := 0
	for i := range waiters {
		w := &waiters[i]
		if w.reason == WaitUnexamined && (examined == 0 || examined+len(c.workerOrder) <= maxWorkersExamined) {
			examined += len(c.workerOrder)
			c.examine(now, w)
		}
		count := &report.Counts[w.reason]
		count.Jobs++
		if count.Jobs == 1 {
			count.Longest = now.Sub(w.since)
			report.Longest = append(report.Longest, c.describeWaiter(now, w))
		}
	}
	clear(waiters)
	return report
}

// findWaiters returns the jobs that have waited longer than reportWaitAfter. Those that the last
// round couldn't place have the reason WaitUnexamined.
func (c *Cell) findWaiters(now time.Time) []waiter {
	waiters := c.waitersBefore[:0]
	for _, job := range c.asides {
		if job.aside.since.IsZero() {
			job.aside.since = now
		}
		waiters = appendLong(now, waiters, waiter{job: job, since: job.aside.since, reason: WaitSetAside})
	}
	for _, job := range c.live {
		if w, ok := c.waiterOf(now, job); ok || w.panicked != "" {
			waiters = appendLong(now, waiters, w)
		}
	}
	c.waitersBefore = waiters
	return waiters
}

// appendLong appends w if it has waited longer than reportWaitAfter.
func appendLong(now time.Time, waiters []waiter, w waiter) []waiter {
	if now.Sub(w.since) <= reportWaitAfter {
		return waiters
	}
	return append(waiters, w)
}

// waiterOf returns the step of the job that has waited longest, or the job if it waits as a whole.
// ok is false if nothing of it waits.
func (c *Cell) waiterOf(now time.Time, job *Job) (longest waiter, ok bool) {
	defer longest.recoverPanic(job)
	switch {
	case !job.accepted:
		return waiter{job: job, since: job.arrivedAt, reason: WaitAcceptance}, true
	case job.outcome.Ended():
		return waiter{job: job, since: job.endedAt, reason: WaitEndRecord}, !job.shown.Ended()
	}
	for _, o := range job.occurrences {
		for _, s := range o.steps {
			if s.done == len(s.tasks) || !s.ready() {
				continue
			}
			s.noteTurn(now)
			if ok && !s.progressedAt.Before(longest.since) {
				continue
			}
			if tally := s.tally(now); tally.waiting > 0 {
				longest, ok = waiter{job: job, since: s.progressedAt, step: s, tally: tally}, true
			}
		}
	}
	if ok && now.Sub(longest.since) > reportWaitAfter {
		longest.reason, longest.held = c.stepReason(now, longest.step, longest.tally)
	}
	return longest, ok
}

// noteTurn records when the step's turn came.
func (s *step) noteTurn(now time.Time) {
	if s.progressedAt.IsZero() {
		s.progressedAt = now
	}
}

// taskTally counts the tasks of a step that aren't done, and tells what those that don't run wait
// for.
type taskTally struct {
	running, waiting int
	// held is the run that has kept a task from running longest; unplaced is a task without a run,
	// one that may be placed now rather than another.
	held     *Run
	unplaced *task
}

// tally goes over the tasks of the step.
func (s *step) tally(now time.Time) taskTally {
	var tally taskTally
	for _, t := range s.tasks {
		switch {
		case t.done:
		case t.current == nil:
			tally.waiting++
			if tally.unplaced == nil || (!tally.unplaced.placeableFreely(now) && t.placeableFreely(now)) {
				tally.unplaced = t
			}
		case t.current.runs():
			tally.running++
		default:
			tally.waiting++
			if tally.held == nil || t.current.heldSince().Before(tally.held.heldSince()) {
				tally.held = t.current
			}
		}
	}
	return tally
}

// placeableFreely reports whether the task can be placed now, beside others.
func (t *task) placeableFreely(now time.Time) bool {
	return t.placeable(now) && (len(t.crashes) == 0 || !t.apart(now))
}

// runs reports whether the run is known to be at work.
func (r *Run) runs() bool {
	return r.state == runListed && !r.stop.wanted && r.worker.unreachableSince.IsZero()
}

// heldSince returns since when the run is in the state in which it isn't known to be at work. It
// is zero for a run of an earlier scheduler.
func (r *Run) heldSince() time.Time {
	switch {
	case !r.worker.unreachableSince.IsZero():
		return r.worker.unreachableSince
	case r.state == runOutcomeUnknown:
		return r.sentAt
	case r.stop.wanted:
		return r.stop.wantedAt
	case r.state == runPlanned:
		return r.plannedAt
	case r.state == runStarting:
		return r.sentAt
	default:
		return r.answeredAt
	}
}

// heldReason returns why the run isn't known to be at work.
func (r *Run) heldReason() WaitReason {
	switch {
	case !r.worker.unreachableSince.IsZero():
		return WaitUnreachable
	case r.state == runOutcomeUnknown:
		return WaitStartOutcome
	case r.stop.wanted:
		return WaitStop
	case r.state == runPlanned:
		return WaitPlacementRecord
	case r.state == runStarting:
		return WaitStart
	default:
		return WaitListing
	}
}

// stepReason returns what the step waits for, and the run that it waits for if there is one. A gang
// waits for its runs before it can be placed. Other tasks wait each for itself: those without a run
// come before a run that is held for a short time only.
func (c *Cell) stepReason(now time.Time, s *step, tally taskTally) (WaitReason, *Run) {
	held := tally.held
	if held != nil && (s.spec.Gang || tally.unplaced == nil || now.Sub(held.heldSince()) > reportWaitAfter) {
		return held.heldReason(), held
	}
	return c.placementReason(now, s, tally.unplaced), nil
}

// placementReason returns why t, a task of the step without a run, isn't placed. It is
// WaitUnexamined if only the workers can tell.
func (c *Cell) placementReason(now time.Time, s *step, t *task) WaitReason {
	switch {
	case (s.spec.Gang && s.deferred(now)) || t.retryAt.After(now):
		return WaitRetry
	case now.Sub(c.plannedAt) > reportWaitAfter:
		return WaitNoRound
	case s.lookedIn == c.rounds:
	case c.lastCut == cutByMisses:
		return WaitRoundCut
	case c.lastCut == cutByStarts:
		return WaitStartLimit
	default:
		return WaitNotPlanned
	}
	switch {
	case !c.withinCap(s.occ.job.Team, s.spec.charge().Times(int64(s.wantedAtOnce()))):
		return WaitQuota
	case !s.spec.Gang && len(t.crashes) > 0 && t.apart(now):
		return WaitIsolation
	default:
		return WaitUnexamined
	}
}

// examine finds the reason of a step that the last round couldn't place.
func (c *Cell) examine(now time.Time, w *waiter) {
	defer w.recoverPanic(w.job)
	w.reason = c.examinePlacement(now, w.step)
}

// examinePlacement returns which condition keeps the step from being placed, as far as the workers
// tell.
func (c *Cell) examinePlacement(now time.Time, s *step) WaitReason {
	v := c.viewPlacement(now, s)
	takeable := v.slots - v.kept - v.isolated
	switch {
	case v.whenEmpty < v.wanted:
		return WaitTooFewWorkers
	case v.free < v.wanted:
		return WaitCapacity
	case v.freeAllowed < v.wanted:
		return c.adviceReason(now, s, v)
	case v.slots < v.wanted:
		return WaitTicket
	case takeable < v.wanted && v.kept >= v.isolated:
		return WaitReserved
	case takeable < v.wanted, s.spec.Gang && s.gangApart(now):
		return WaitIsolation
	case c.starts.reached:
		return WaitStartLimit
	case !s.spec.Gang && s.occ.queuePosition(now).tier >= overShare:
		return WaitShare
	default:
		return WaitUnexplained
	}
}

// adviceReason returns why too little is free on the workers that advice allows.
func (c *Cell) adviceReason(now time.Time, s *step, v placementView) WaitReason {
	switch {
	case s.advice.calls > 0:
		return WaitAdviceCall
	case s.advice.retryAt.After(now):
		return WaitAdviceRetry
	case v.unknown == 0:
		return WaitAdviceRefused
	case !c.callAllowed(s.occ.job.Policy.Advice):
		return WaitAdviceTurn
	default:
		return WaitTooFewAllowed
	}
}
