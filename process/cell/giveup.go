package cell

import (
	"fmt"
	"strings"
	"time"
)

// giveUpIfGuilty fails the job of a task that crashes its workers, and reports whether it did. The
// crashes right after its start count no longer for the tasks that ran beside it.
func (c *Cell) giveUpIfGuilty(now time.Time, t *task) bool {
	job := t.step.occ.job
	log := *t.crashLog()
	if t.done || job.outcome.Ended() || !guilty(log) {
		return false
	}
	job.failure = crashReport(t, log)
	c.note(Note{Kind: NoteTaskGivenUp, Job: job.ID, Team: job.Team, Queue: job.Queue, Task: t.name(), Run: t.lastRun, Reason: job.failure})
	for _, one := range log {
		if one.evidence >= evidenceRecent {
			c.exonerate(one)
		}
	}
	c.finish(now, job, Failed)
	return true
}

// exonerate records that a crash says nothing about the other tasks that ran there, nor about the
// machine.
func (c *Cell) exonerate(one crash) {
	if c.machineCrashes[one.machine].Truncate(time.Millisecond).Equal(one.at) {
		delete(c.machineCrashes, one.machine)
	}
	for _, job := range c.live {
		for _, o := range job.occurrences {
			for _, s := range o.steps {
				ignoreCrash(s.crashes, one.worker, one.at)
				for _, t := range s.tasks {
					ignoreCrash(t.crashes, one.worker, one.at)
				}
			}
		}
	}
}

// ignoreCrash lets the crash of a worker at the given time in a log say nothing.
func ignoreCrash(log []crash, worker string, at time.Time) {
	for i := range log {
		if log[i].worker == worker && log[i].at.Equal(at) {
			log[i].evidence = evidenceNone
		}
	}
}

// crashReport names the workers that crashed under a task, when, and what speaks for or against it
// being the cause.
func crashReport(t *task, log []crash) string {
	var parts []string
	for _, one := range log {
		parts = append(parts, fmt.Sprintf("%s at %s (%s)", one.worker, one.at.UTC().Format(time.RFC3339Nano), one.describe()))
	}
	return "task " + t.name() + " crashed its workers: " + strings.Join(parts, ", ")
}

// describe returns what the crash says about the task.
func (one crash) describe() string {
	text := one.evidence.String()
	if !one.started {
		text += ", perhaps not started"
	}
	if one.doubtful {
		text += ", others lost at the same time"
	}
	if !one.confirmed {
		text += ", not confirmed"
	}
	return text
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
