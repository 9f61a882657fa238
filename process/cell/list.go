package cell

import (
	"strings"
	"time"
)

// Listing is a worker's reply to a poll.
type Listing struct {
	// SentAt is when the poll was sent.
	SentAt      time.Time
	Incarnation int64
	Running     []ListedRun
	Ends        []End
	// More is set if the worker has further ends that the reply doesn't include.
	More bool
}

// ListedRun is a run in a worker's reply.
type ListedRun struct {
	RunKey
	Checkpoint string
	Percent    int
	// TailLatency is the tail of the response times of a task that has a target for it.
	TailLatency time.Duration
}

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	// EndDone is success.
	EndDone EndKind = "done"
	// EndFailed is a failure of the task or its worker.
	EndFailed EndKind = "failed"
	// EndStopped follows a stop command.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired follows the expiry of the worker's lease.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken follows the end of another member of the gang.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout follows a timeout of the wait for the other members of the gang.
	EndGangTimeout EndKind = "alone"
	// EndCrashed is this scheduler's conclusion that the worker's process ended while the run
	// was there.
	EndCrashed EndKind = "crashed"
	// EndVanished is this scheduler's conclusion that a run is not on its worker.
	EndVanished EndKind = "vanished"
)

// End is a run that ended, as reported by its worker.
type End struct {
	// Seq numbers the ends of one incarnation of a worker.
	Seq int64
	RunKey
	Kind       EndKind
	Checkpoint string
}

// Listed handles a worker's reply: first the ends, then the running tasks, then the runs
// that are missing from it, which never started or are gone.
func (c *Cell) Listed(now time.Time, id string, l Listing) {
	w := c.workers[id]
	if w == nil {
		return
	}
	defer c.excludeOnPanic(now, w)
	absent := EndVanished
	if c.recordReply(now, w, l.Incarnation) {
		absent = EndCrashed
	}
	if l.SentAt.After(w.interruptedUntil) {
		w.interruptedUntil = time.Time{}
	}
	for _, end := range l.Ends {
		c.handleEnd(now, w, end)
	}
	c.releaseAcks(w)
	running := make(map[RunKey]bool, len(l.Running))
	clear(w.unknownRuns)
	for _, listed := range l.Running {
		running[listed.RunKey] = true
		c.updateRun(now, w, listed)
	}
	w.updateGangEnds(now)
	if l.More {
		return
	}
	for _, r := range sortedRuns(w) {
		if !running[r.RunKey] && r.provenAbsent(l.SentAt) {
			c.endRun(now, r, absent, "")
		}
	}
}

// recordReply marks the worker reachable and drops the state of an earlier incarnation. It
// reports whether there was one.
func (c *Cell) recordReply(now time.Time, w *Worker, incarnation int64) (restarted bool) {
	restarted = w.incarnation != 0 && w.incarnation != incarnation
	if restarted {
		c.noteRestart(now, w)
	}
	if !w.unreachableSince.IsZero() {
		c.note(Note{Kind: NoteWorkerReachable, Worker: w.ID})
		if !restarted {
			c.forgetCrash(w)
		}
	}
	w.unreachableSince, w.lossSign, w.exposed = time.Time{}, LossSilent, nil
	w.leaseExpired = false
	if !w.adopted {
		w.adopted = true
		c.note(Note{Kind: NoteWorkerAdopted, Worker: w.ID, Address: w.Address, Runs: len(w.runs)})
	}
	if w.incarnation == incarnation {
		return false
	}
	if restarted {
		c.health.Reset(now, w.ID)
		w.probeDue = false
	}
	w.incarnation = incarnation
	w.startFailedUntil = time.Time{}
	w.lastEnd, w.acked, w.pendingAcks = 0, 0, nil
	w.speed = speedRecord{}
	return restarted
}

// noteRestart records that a worker's earlier incarnation has ended.
func (c *Cell) noteRestart(now time.Time, w *Worker) {
	c.note(Note{Kind: NoteWorkerRestarted, Worker: w.ID, Runs: len(w.runs)})
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
		w.exposed = w.exposures(now)
	}
	c.recordLossSign(now, w, LossReplaced)
}

// provenAbsent reports whether r, missing from the reply to a poll sent at sentAt, is not
// on its worker and can't start there later.
func (r *Run) provenAbsent(sentAt time.Time) bool {
	switch r.state {
	case runAdopted, runListed:
		return true
	case runStarted:
		return sentAt.After(r.answeredAt)
	default:
		return !r.stop.answeredAt.IsZero() && sentAt.After(r.stop.answeredAt)
	}
}

// updateRun updates a run from a worker's reply. A run that is unknown to this scheduler
// is stopped.
func (c *Cell) updateRun(now time.Time, w *Worker, listed ListedRun) {
	r := w.runs[listed.RunKey]
	if r == nil {
		w.unknownRuns[listed.RunKey] = now
		c.actions.Stops = append(c.actions.Stops, StopCommand{Worker: w.ID, RunKey: listed.RunKey})
		c.note(Note{Kind: NoteRunUnknown, Worker: w.ID, Task: listed.Task, Run: listed.Number})
		return
	}
	if r.state == runAdopted && r.unwanted() {
		c.stopRun(now, r)
	}
	if r.state != runListed {
		r.state = runListed
		r.listedAt, r.progressAt, r.firstPercent = now, now, listed.Percent
		r.task.step.occ.job.started = true
		r.task.step.progressedAt = now
		w.forecast = runForecast{}
	}
	r.lastListedAt = now
	r.tailLatency = listed.TailLatency
	if listed.Percent != r.percent {
		r.percent, r.progressAt = listed.Percent, now
		w.forecast = runForecast{}
	}
	if listed.Checkpoint != "" {
		r.checkpoint = listed.Checkpoint
	}
}

// handleEnd handles one end reported by w.
func (c *Cell) handleEnd(now time.Time, w *Worker, end End) {
	if end.Seq <= w.lastEnd {
		return
	}
	w.lastEnd = end.Seq
	// An end whose handling panics stays held.
	w.pendingAcks = append(w.pendingAcks, pendingAck{end: end.Seq, held: true})
	if r := w.runs[end.RunKey]; r != nil {
		c.endRun(now, r, end.Kind, end.Checkpoint)
	} else {
		c.handleLateEnd(now, end)
	}
	job := c.jobs[jobOf(end.Task)]
	w.pendingAcks[len(w.pendingAcks)-1] = pendingAck{end: end.Seq, seq: c.seq, job: job, held: job != nil && job.aside.resumes()}
}

// jobOf returns the job in a task name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// releaseAcks raises the number up to which ends of w may be acknowledged.
func (c *Cell) releaseAcks(w *Worker) {
	horizon := c.recordedUpTo()
	n := 0
	for ; n < len(w.pendingAcks) && !w.pendingAcks[n].held && w.pendingAcks[n].seq <= horizon; n++ {
		w.acked = w.pendingAcks[n].end
	}
	w.pendingAcks = w.pendingAcks[n:]
}

// Ack acknowledges ends of one incarnation of a worker, those up to Number. The zero Ack is that of
// an incarnation which isn't known, and acknowledges nothing.
type Ack struct {
	Incarnation int64
	Number      int64
}

// Acked returns the ends of a worker that may be acknowledged, and whether further ends are waiting
// to be recorded.
func (c *Cell) Acked(id string) (ack Ack, waiting bool) {
	w := c.workers[id]
	if w == nil {
		return Ack{}, false
	}
	return Ack{Incarnation: w.incarnation, Number: w.acked}, len(w.pendingAcks) > 0
}
