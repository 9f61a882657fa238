package cell

import "time"

// A long-running task is to run until its job is cancelled, however its runs end, and a service must
// not fail because of two crashes of single workers. So such a task is never given up for crashes:
// it is started again after a delay that grows with them, and apart from others while they speak
// against it (isolate.go). Both follow from the crashes in its row, so they outlive the scheduler.

const (
	// firstCrashDelay is the delay, from its last crash, before a long-running task under which two
	// workers have crashed is started again. It doubles with each further crash, up to
	// maxCrashDelay. Nothing is known against a task at its first crash.
	firstCrashDelay = time.Second
	// maxCrashDelay leaves time to find a worker: a long-running task that there is room for must be at
	// work again some 9 s after its last run.
	maxCrashDelay = 4 * time.Second
)

// crashDelay returns how long a long-running task waits after the given number of crashes that say
// something about it.
func crashDelay(crashes int) time.Duration {
	if crashes < 2 {
		return 0
	}
	return min(firstCrashDelay<<(crashes-2), maxCrashDelay)
}

// restartAt returns from when a long-running task may be started again after its last crash. It is
// zero for other tasks, and for those without crashes.
func (t *task) restartAt() time.Time {
	log := t.crashes
	if !t.step.spec.LongRunning || len(log) == 0 {
		return time.Time{}
	}
	return log[len(log)-1].at.Add(crashDelay(countTelling(log)))
}

// apart reports whether the task is to be placed apart from others: it is a suspect, and hasn't waited for
// that in vain.
func (t *task) apart(now time.Time) bool {
	return t.suspect() && !t.besideOthers && !t.step.outOfPatience(now, t.apartSince)
}

// gangApart reports the same of the gang s.
func (s *step) gangApart(now time.Time) bool {
	return s.tasks[0].suspect() && !s.besideOthers && !s.outOfPatience(now, s.waitingSince)
}

// outOfPatience reports whether tasks of s that wait since then are placed beside others rather than
// not at all.
func (s *step) outOfPatience(now, since time.Time) bool {
	return s.spec.LongRunning && !since.IsZero() && now.Sub(since) >= isolationPatience
}

// taskCrashed handles the end of a run whose worker has crashed.
func (c *Cell) taskCrashed(now time.Time, t *task) {
	if t.step.spec.LongRunning {
		t.retryAt = t.restartAt()
		// The clock may have been set back since the crash.
		if latest := now.Add(maxCrashDelay); t.retryAt.After(latest) {
			t.retryAt = latest
		}
		return
	}
	c.judge(now, t)
}
