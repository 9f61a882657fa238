package cell

import (
	"slices"
	"time"
)

// A task may crash the worker that runs it. The cell keeps, for each task, the crashes of
// workers under its runs, and how much each of them says about this task rather than about
// the others that ran there. A task that may have crashed its worker is isolated (isolate.go)
// and given up once the crashes can't have another cause, or started ever later if it is to run until
// its job is cancelled (restart.go).

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

// crashForgottenAfter is the age of a run from which earlier crashes don't count any more.
const crashForgottenAfter = 10 * time.Minute

// ageMargin returns how much the ages of a task's runs may differ at which it crashes its workers: their
// speeds differ, and when a run began and its worker crashed is known roughly.
func ageMargin(age time.Duration) time.Duration { return 250*time.Millisecond + age/4 }

// recordLossSign records a sign that an unreachable worker's process has ended. The first such
// sign counts as a crash, unless the worker was to go down anyway.
func (c *Cell) recordLossSign(now time.Time, w *Worker, sign LossSign) {
	if sign <= w.lossSign {
		return
	}
	first := w.lossSign == LossSilent
	w.lossSign = sign
	if c.goesDown(w) {
		return
	}
	if first {
		c.recordCrash(now, w, sign)
	}
	if sign == LossReplaced {
		c.confirmCrash(now, w)
	}
}

// goesDown reports whether w is to go down anyway: it drains, or its machine is about to be taken down
// or has been, since when no list has shown that the worker goes on.
func (c *Cell) goesDown(w *Worker) bool {
	return w.Draining || c.isCordoned(w) || !w.interruptedUntil.IsZero()
}

// recordCrash records the crash of a worker with the tasks that ran there.
func (c *Cell) recordCrash(now time.Time, w *Worker, sign LossSign) {
	losses := c.countLosses(w)
	common := losses.common()
	c.machineCrashes[w.Address] = w.unreachableSince
	c.note(Note{Kind: NoteWorkerCrashed, Worker: w.ID, Runs: len(w.exposed), Reason: sign.String(), Age: now.Sub(w.unreachableSince), Common: common})
	for _, e := range w.exposed {
		job := e.task.step.occ.job
		log := &e.task.crashes
		known := slices.ContainsFunc(*log, func(one crash) bool { return one.run == e.run })
		if known || e.task.done || job.outcome.Ended() || !e.task.makeRoomForCrash() {
			continue
		}
		one := w.crashUnder(e)
		one.doubtful = losses.unexplained()
		if common {
			one.evidence = evidenceNone
		}
		*log = append(*log, one)
		e.task.step.crashed = true
		c.markDirty(job)
	}
}

// crashUnder returns the crash of an unreachable worker under one of its runs.
func (w *Worker) crashUnder(e exposure) crash {
	return crash{
		run: e.run, worker: w.ID, machine: w.Address, at: w.unreachableSince.Truncate(time.Millisecond), age: e.age,
		evidence: e.evidence, started: e.started,
	}
}

// keepLosses keeps, with the tasks of the runs that are lost with a silent worker, that it may have
// crashed. Another incarnation shows that only once it responds, often after the last lease has expired.
func (w *Worker) keepLosses() {
	for _, e := range w.exposed {
		if e.run == e.task.lastRun {
			e.task.lost = []crash{w.crashUnder(e)}
			e.task.step.crashed = true
		}
	}
}

// makeRoomForCrash reports whether one more crash can be kept for the task. Of a long-running task, whose
// crashes are without limit, the last ones are kept.
func (t *task) makeRoomForCrash() bool {
	log := &t.crashes
	if len(*log) < maxCrashLog {
		return true
	}
	if t.step.spec.LongRunning {
		*log = slices.Delete(*log, 0, 1)
	}
	return t.step.spec.LongRunning
}

// confirmCrash confirms the recorded crash of a worker, and acts on the tasks that it shows to
// be guilty.
func (c *Cell) confirmCrash(now time.Time, w *Worker) {
	for _, e := range w.exposed {
		log := e.task.crashes
		i := slices.IndexFunc(log, func(one crash) bool { return one.run == e.run && one.worker == w.ID })
		if i < 0 || log[i].confirmed {
			continue
		}
		log[i].confirmed = true
		if log[i].started && !log[i].doubtful && log[i].evidence >= evidenceSole {
			c.noteRisk(now, e.task)
		}
		c.markDirty(e.task.step.occ.job)
		c.judge(now, e.task)
	}
}

// forgetCrash drops the records of a crash that wasn't one, as the worker responds again.
func (c *Cell) forgetCrash(w *Worker) {
	for _, e := range w.exposed {
		dropCrash(&e.task.crashes, w.ID, w.unreachableSince.Truncate(time.Millisecond))
	}
	if c.machineCrashes[w.Address].Equal(w.unreachableSince) {
		delete(c.machineCrashes, w.Address)
	}
}

// dropCrash removes the crash of a worker at the given time from a log.
func dropCrash(log *[]crash, worker string, at time.Time) {
	*log = slices.DeleteFunc(*log, func(one crash) bool { return one.worker == worker && one.at.Equal(at) })
}

// reviewCrashes drops the crashes under a task whose run has lasted so long that they say nothing
// about it. A task that crashes each worker that starts it never outlives an earlier crash; one that
// takes minutes, in a fleet whose workers crash by themselves, soon does. A long-running task keeps
// its crashes for longer, since the delay before its next start follows from them.
func (c *Cell) reviewCrashes(now time.Time, r *Run) {
	t := r.task
	if len(t.crashes) == 0 || r.listedAt.IsZero() || !r.worker.unreachableSince.IsZero() {
		return
	}
	age, known := now.Sub(r.listedAt), len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(one crash) bool {
		outlived := !t.step.spec.LongRunning && one.age > 0 && age > one.age+ageMargin(one.age)
		return outlived || age >= crashForgottenAfter
	})
	if len(t.crashes) < known {
		c.markDirty(t.step.occ.job)
	}
}
