// Package admission estimates how long new work waits and decides whether it is accepted.
//
// Load pattern: more work comes than can be started in time, for seconds. Work that is accepted
// all the same ends late, is worth little to its callers then, and takes the place of work that
// could still be in time; so what can't be in time is refused at once.
//
// Jobs of one class (a queue, within or beyond their teams' guaranteed shares, and the standing of
// their teams) wait in one line. What limits them may be capacity, advice, the rate of starts or the scheduler's processor;
// the estimate needs only the line. Those that wait have ages between zero
// and the wait of the one that comes next, so twice their median age estimates that wait, and a few
// that wait for something of their own (a label, a quota) don't move it. The length of the line over
// the rate at which it is served is a second estimate, and the lower one counts: a job is refused
// only if both say that it would be late.
package admission

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/shares"
)

// Class is the work that waits in one line.
type Class struct {
	Queue     string
	OverShare bool
	// Standing is how the teams stand to their shares of contended capacity: work of lower ones comes
	// first.
	Standing shares.Standing
}

// Line describes the jobs of a class that wait for their first placement.
type Line struct {
	// Ages holds how long each has waited, in any order.
	Ages []time.Duration
	// PerSecond is the rate of first placements.
	PerSecond float64
}

// minLine is the number of waiting jobs from which their ages say something about the next one.
const minLine = 4

// Wait estimates how long a job that arrives now waits for its first placement; 0 while too few
// wait to tell.
func (l Line) Wait() time.Duration {
	if len(l.Ages) < minLine {
		return 0
	}
	return min(2*l.median(), l.drainTime())
}

// LongestWait is an estimate that counts every waiting job: the longest wait so far, or the time in
// which the whole line is placed if that is longer. It is for work that may be refused rather
// than take the place of other work.
func (l Line) LongestWait() time.Duration {
	if len(l.Ages) == 0 {
		return 0
	}
	return max(slices.Max(l.Ages), l.drainTime())
}

// drainTime returns the time in which the whole line is placed at its rate.
func (l Line) drainTime() time.Duration {
	return time.Duration(float64(len(l.Ages)) / max(l.PerSecond, 1) * float64(time.Second))
}

func (l Line) median() time.Duration {
	sorted := slices.Sorted(slices.Values(l.Ages))
	return sorted[len(sorted)/2]
}

// Job is what a decision needs to know of a new job.
type Job struct {
	// Waited is the time since its caller first sent it.
	Waited time.Duration
	// Path is the estimated duration of its longest chain of work.
	Path time.Duration
	// Within is the time from the first send within which the result is wanted.
	Within time.Duration
}

// Overdue returns by how much the job would be late after the given wait; 0 or less if it can be
// in time.
func (j Job) Overdue(wait time.Duration) time.Duration { return j.Waited + wait + j.Path - j.Within }

// lineHorizon is how far ahead the line of the present tells what a job will meet: loads that are
// too high last for seconds.
const lineHorizon = 2 * time.Second

// LateBehind reports whether the wait in a line makes the job late. A job that has more time than
// lineHorizon to spare isn't late for certain, since the load may be over by then.
func (j Job) LateBehind(wait time.Duration) bool {
	spare := -j.Overdue(0)
	return wait > 0 && spare < lineHorizon && wait > spare
}

// ReturnAfter returns when a refused caller is to come back, at least after least: by then the wait
// has become short enough, or is over.
func (j Job) ReturnAfter(wait, least time.Duration) time.Duration {
	return min(j.Overdue(wait), max(wait, least))
}
