package cell

import (
	"fmt"
	"strings"
	"time"
)

// judge acts on crashes that show that a task crashes its workers: its job is failed, unless the task
// is to run until its job is cancelled (restart.go). The crashes right after its start count no
// longer for the tasks that ran beside it.
func (c *Cell) judge(now time.Time, t *task) {
	job := t.step.occ.job
	log := t.crashes
	if t.done || job.outcome.Ended() || !guilty(log) {
		return
	}
	kind, reason := NoteTaskGivenUp, crashReport(t, log)
	if t.step.spec.LongRunning {
		kind = NoteTaskCrashesWorkers
	}
	c.note(Note{Kind: kind, Job: job.ID, Team: job.Team, Queue: job.Queue, Task: t.name(), Run: t.lastRun, Reason: reason})
	for _, one := range log {
		if one.evidence >= evidenceRecent {
			c.exonerate(one, t)
		}
	}
	if kind == NoteTaskGivenUp {
		job.failure = reason
		c.finish(now, job, Failed)
	}
}

// exonerate records that a crash says nothing about the tasks that ran there beside the one that caused
// it, nor about the machine.
func (c *Cell) exonerate(one crash, cause *task) {
	if c.machineCrashes[one.machine].Truncate(time.Millisecond).Equal(one.at) {
		delete(c.machineCrashes, one.machine)
	}
	for _, job := range c.live {
		for _, o := range job.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if !sameUnit(t, cause) {
						ignoreCrash(t.crashes, one.worker, one.at)
					}
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
	if one.age > 0 {
		text += ", after " + one.age.String()
	}
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
