package cell

import (
	"slices"
	"time"
)

// A task may crash the worker that runs it. The cell keeps, for each task, the crashes of
// workers under its runs, and how much each of them says about this task rather than about
// the others that ran there. A task that may have crashed its worker is isolated (isolate.go)
// and given up once the crashes can't have another cause.

// LossSign is what a failed poll shows about a worker. Greater values are stronger signs that
// the worker's process has ended.
type LossSign int

// The signs of a worker's loss.
const (
	// LossSilent means that there was no reply: the worker, its machine or the network may
	// have failed.
	LossSilent LossSign = iota
	// LossRefused means that the worker's address refuses connections.
	LossRefused
	// LossReplaced means that another incarnation responds at the worker's address, so
	// nothing that was started on this one is still running.
	LossReplaced
)

// String returns the sign as it appears in logs.
func (s LossSign) String() string {
	switch s {
	case LossRefused:
		return "connections are refused"
	case LossReplaced:
		return "another incarnation responds"
	default:
		return "no reply"
	}
}

// evidence is how much a crash says about one of the tasks that ran on the worker. Greater
// values are stronger.
type evidence int

const (
	// evidenceWeak: the run had been there for some time, as others had, or its age isn't known.
	evidenceWeak evidence = iota
	// evidenceRecent: the run had just been started, as had others.
	evidenceRecent
	// evidenceSole: of all runs there only this one had just been started.
	evidenceSole
	// evidenceAlone: no other task ran there.
	evidenceAlone
)

// crash is the crash of a worker under a run of a task.
type crash struct {
	run      int
	worker   string
	at       time.Time
	evidence evidence
}

const (
	// recentStart is how long before a crash a run was started at most to count as just
	// started.
	recentStart = 500 * time.Millisecond
	// crashesToGiveUp is the number of crashes after which a task is given up if the last of
	// them can only be its own; maxCrashes that after which it is given up in any case.
	crashesToGiveUp = 3
	maxCrashes      = 4
	// crashForgottenAfter is the age of a run from which earlier crashes don't count any more.
	crashForgottenAfter = 10 * time.Minute
	// commonCrashWindow is the time within which workers that are lost by a common cause are lost.
	commonCrashWindow = 250 * time.Millisecond
	// minCommonCrashes is the number of workers that have to be lost for that; they are also
	// at least one in commonRackDivisor of a rack, or in commonFleetDivisor of all.
	minCommonCrashes   = 3
	commonRackDivisor  = 2
	commonFleetDivisor = 6
)

// guilty reports whether the crashes under a task show that it crashes its workers. Two are
// enough if it had just been started both times and the last one can only be its own.
func guilty(crashes []crash) bool {
	n := len(crashes)
	if n < 2 {
		return false
	}
	last, before := crashes[n-1], crashes[n-2]
	switch {
	case n >= maxCrashes:
		return true
	case last.evidence < evidenceSole:
		return false
	default:
		return n >= crashesToGiveUp || before.evidence >= evidenceRecent
	}
}

// suspected reports whether a task with these crashes is to be kept apart from others.
func suspected(crashes []crash) bool {
	n := len(crashes)
	return n >= 2 || (n == 1 && crashes[0].evidence >= evidenceRecent)
}

// crashLog returns the crashes under the task, or under its gang.
func (t *task) crashLog() *[]crash {
	if t.step.spec.Gang {
		return &t.step.crashes
	}
	return &t.crashes
}

// suspect reports whether the task is to be kept apart from others.
func (t *task) suspect() bool { return suspected(*t.crashLog()) }

// exposure is a run that was on a worker when the worker was lost, with what that says about
// its task if the worker has crashed.
type exposure struct {
	task     *task
	run      int
	evidence evidence
}

// exposures returns the runs that may be on the worker at the given time.
func (w *Worker) exposures(now time.Time) []exposure {
	var exposed []exposure
	var recent []*task
	for _, r := range w.runList {
		if r.state == runPlanned {
			continue
		}
		e := exposure{task: r.task, run: r.Number}
		if !r.sentAt.IsZero() && now.Sub(r.sentAt) <= recentStart {
			e.evidence = evidenceRecent
			recent = append(recent, r.task)
		}
		exposed = append(exposed, e)
	}
	alone := len(w.unknownRuns) == 0 && !slices.ContainsFunc(exposed, func(e exposure) bool { return !sameUnit(e.task, exposed[0].task) })
	sole := !slices.ContainsFunc(recent, func(t *task) bool { return !sameUnit(t, recent[0]) })
	for i := range exposed {
		switch {
		case alone:
			exposed[i].evidence = evidenceAlone
		case sole && exposed[i].evidence == evidenceRecent:
			exposed[i].evidence = evidenceSole
		}
	}
	return exposed
}

// sameUnit reports whether two tasks start and end together: a task and itself, or members
// of a gang.
func sameUnit(a, b *task) bool { return a == b || (a.step == b.step && a.step.spec.Gang) }

// recordLossSign records a sign that an unreachable worker's process has ended. The first such
// sign counts as a crash, unless the worker was to go down anyway.
func (c *Cell) recordLossSign(now time.Time, w *Worker, sign LossSign) {
	if sign <= w.lossSign {
		return
	}
	first := w.lossSign == LossSilent
	w.lossSign = sign
	if first && !w.Draining && !c.isCordoned(w) {
		c.recordCrash(now, w, sign)
	}
}

// recordCrash records the crash of a worker with the tasks that ran there.
func (c *Cell) recordCrash(now time.Time, w *Worker, sign LossSign) {
	common := c.commonCrash(w)
	c.note(Note{Kind: NoteWorkerCrashed, Worker: w.ID, Runs: len(w.exposed), Reason: sign.String(), Age: now.Sub(w.unreachableSince), Common: common})
	if common {
		return
	}
	for _, e := range w.exposed {
		job := e.task.step.occ.job
		log := e.task.crashLog()
		known := slices.ContainsFunc(*log, func(one crash) bool { return one.run == e.run })
		if known || e.task.done || job.outcome.Ended() || len(*log) >= maxCrashes {
			continue
		}
		*log = append(*log, crash{run: e.run, worker: w.ID, at: w.unreachableSince.Truncate(time.Millisecond), evidence: e.evidence})
		c.markDirty(job)
	}
}

// commonCrash reports whether so many workers, of w's rack or in all, were lost at the time that
// no task can be the cause.
func (c *Cell) commonCrash(w *Worker) bool {
	var lost, all, lostInRack, allInRack int
	for _, other := range c.workerOrder {
		inRack := other.Rack == w.Rack && other.FailureDomain == w.FailureDomain
		if other.listed {
			all++
			allInRack += boolToInt(inRack)
		}
		if other.unreachableSince.IsZero() || other.unreachableSince.Sub(w.unreachableSince).Abs() > commonCrashWindow {
			continue
		}
		lost++
		lostInRack += boolToInt(inRack)
	}
	return (lost >= minCommonCrashes && lost*commonFleetDivisor >= all) ||
		(lostInRack >= minCommonCrashes && lostInRack*commonRackDivisor >= allInRack)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// forgetCrash drops the records of a crash that wasn't one, as the worker responds again.
func (c *Cell) forgetCrash(w *Worker) {
	for _, e := range w.exposed {
		dropCrash(e.task.crashLog(), w.ID, w.unreachableSince.Truncate(time.Millisecond))
	}
}

// dropCrash removes the crash of a worker at the given time from a log.
func dropCrash(log *[]crash, worker string, at time.Time) {
	*log = slices.DeleteFunc(*log, func(one crash) bool { return one.worker == worker && one.at.Equal(at) })
}

// giveUpIfGuilty fails the job of a task that crashes its workers, and reports whether it did.
// The crashes count no longer for the tasks that ran beside it.
func (c *Cell) giveUpIfGuilty(now time.Time, t *task) bool {
	job := t.step.occ.job
	log := *t.crashLog()
	if t.done || job.outcome.Ended() || !guilty(log) {
		return false
	}
	job.failure = crashReport(t, log)
	c.note(Note{Kind: NoteTaskGivenUp, Job: job.ID, Team: job.Team, Queue: job.Queue, Task: t.name(), Run: t.lastRun, Reason: job.failure})
	for _, one := range log {
		c.exonerate(one)
	}
	c.finish(now, job, Failed)
	return true
}

// exonerate drops a crash from the logs of all tasks.
func (c *Cell) exonerate(one crash) {
	for _, job := range c.live {
		for _, o := range job.occurrences {
			for _, s := range o.steps {
				dropCrash(&s.crashes, one.worker, one.at)
				for _, t := range s.tasks {
					dropCrash(&t.crashes, one.worker, one.at)
				}
			}
		}
	}
}

// crashReport names the workers that crashed under a task, and when.
func crashReport(t *task, log []crash) string {
	report := "task " + t.name() + " crashed its workers:"
	for i, one := range log {
		if i > 0 {
			report += ","
		}
		report += " " + one.worker + " at " + one.at.UTC().Format(time.RFC3339Nano)
	}
	return report
}

// reviewCrashes drops the crashes under a task whose run has lasted so long that they say
// nothing about it.
func (c *Cell) reviewCrashes(now time.Time, r *Run) {
	log := r.task.crashLog()
	if len(*log) == 0 || r.listedAt.IsZero() || now.Sub(r.listedAt) < crashForgottenAfter || !r.worker.unreachableSince.IsZero() {
		return
	}
	*log = nil
	c.markDirty(r.task.step.occ.job)
}

const (
	// firstCrashDelay is the delay before a long-running task that has crashed two workers is
	// started again. It doubles with each further crash, up to maxCrashDelay.
	firstCrashDelay = time.Second
	maxCrashDelay   = time.Minute
)

// crashDelay returns how long a long-running task waits after the given number of crashes.
func crashDelay(crashes int) time.Duration {
	if crashes < 2 {
		return 0
	}
	return min(firstCrashDelay<<(crashes-2), maxCrashDelay)
}

// taskCrashed handles the end of a run whose worker has crashed.
func (c *Cell) taskCrashed(now time.Time, t *task) {
	if c.giveUpIfGuilty(now, t) || !t.step.spec.LongRunning {
		return
	}
	t.retryAt = now.Add(crashDelay(len(*t.crashLog())))
}
