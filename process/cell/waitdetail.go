package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// describeWaiter returns what is reported of a job that waits.
func (c *Cell) describeWaiter(now time.Time, w *waiter) WaitingJob {
	described := WaitingJob{
		Job: w.job.ID, Team: w.job.Team, Reason: w.reason, Waited: now.Sub(w.since),
		Waiting: w.tally.waiting, Running: w.tally.running, Detail: c.safeDetail(now, w),
	}
	if w.step != nil {
		described.Step = w.step.name()
		for _, t := range w.step.tasks {
			described.LastRun = max(described.LastRun, t.lastRun)
		}
	}
	return described
}

// safeDetail returns waitDetail, or the cause of a panic while the job was looked at.
func (c *Cell) safeDetail(now time.Time, w *waiter) (detail string) {
	if w.panicked != "" {
		return w.panicked
	}
	defer func() {
		if cause := recover(); cause != nil {
			detail = fmt.Sprintf("panic: %v", cause)
		}
	}()
	return c.waitDetail(now, w)
}

// waitDetail says more about what the job waits for.
func (c *Cell) waitDetail(now time.Time, w *waiter) string {
	switch w.reason {
	case WaitSetAside:
		return w.job.aside.reason
	case WaitAcceptance, WaitEndRecord:
		return c.recordDetail(now, w.job)
	case WaitPlacementRecord:
		return w.held.detail(now) + "; " + c.recordDetail(now, w.job)
	case WaitNoRound:
		return fmt.Sprintf("last round %s ago", now.Sub(c.plannedAt))
	}
	if w.held != nil {
		return w.held.detail(now)
	}
	detail := c.whyWaits(now, w.step)
	if w.job.Policy.Advice != nil {
		detail += fmt.Sprintf("; all advice requests in flight: %d of %d slow, %d of %d quick", c.slowAdviceCalls, c.adviceLimits.Slow, c.quickAdviceCalls, c.adviceLimits.Quick)
	}
	if closed := c.closedWorkers(now); closed != "" {
		detail += "; no new work on workers: " + closed
	}
	return detail
}

// detail describes a run that isn't known to be at work.
func (r *Run) detail(now time.Time) string {
	text := fmt.Sprintf("%s run %d on %s, %s", r.Task, r.Number, r.worker.ID, r.state)
	if since := r.heldSince(); !since.IsZero() {
		text += fmt.Sprintf(", so for %s", now.Sub(since))
	}
	if r.stop.wanted {
		text += fmt.Sprintf(", stop wanted for %s, in progress: %t, answered: %t", now.Sub(r.stop.wantedAt), r.stop.inProgress, !r.stop.answeredAt.IsZero())
	}
	return text
}

// String returns the state as it appears in logs.
func (s runState) String() string {
	return [...]string{
		runPlanned: "planned", runStarting: "starting", runOutcomeUnknown: "start without reply",
		runStarted: "started", runAdopted: "adopted", runListed: "listed",
	}[s]
}

// recordDetail describes how far the record of the job's last change is.
func (c *Cell) recordDetail(now time.Time, job *Job) string {
	var parts []string
	if job.dirty {
		parts = append(parts, fmt.Sprintf("changed, one of %d jobs in no write yet", len(c.dirty)))
	}
	for _, b := range c.batches {
		if slices.ContainsFunc(b.jobs, func(e *batchJob) bool { return e.job == job }) {
			parts = append(parts, fmt.Sprintf("in a write of %d jobs taken %s ago", len(b.jobs), now.Sub(b.takenAt)))
		}
	}
	if len(parts) == 0 {
		parts = append(parts, "in no write and not marked as changed")
	}
	if c.tableUnavailableFor > 0 {
		parts = append(parts, fmt.Sprintf("table unavailable for %s", c.tableUnavailableFor))
	}
	return strings.Join(parts, "; ")
}
