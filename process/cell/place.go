package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Weights of a worker's score, as parts of its capacity. Lower scores come first.
const (
	// offRackPenalty is for a worker outside the preferred rack.
	offRackPenalty = 0.6
	// failedPenalty is for the worker on which the task failed last, and for those on which the last start
	// failed.
	failedPenalty = 5.0
	// reservedPenalty is for a worker that a gang waits for. Work that may come first takes
	// other workers if there are any.
	reservedPenalty = 2.0
	// coldPenalty is for a worker that has just started and says that it is slow.
	coldPenalty = 1.0
	// bystanderPenalty is for each task that a suspect would run beside.
	bystanderPenalty = 1.0
	// slowPenalty is multiplied by the slowness of a worker beyond that of the fleet.
	slowPenalty = 0.5
)

// taskRetryDelay is the delay between a refused or undelivered start and the next run.
const taskRetryDelay = 50 * time.Millisecond

// Plan places waiting steps. It is called after any change that may have freed capacity. It places
// nothing before the configuration is known, which says where a step may run.
func (c *Cell) Plan(now time.Time) {
	if c.catalog == nil {
		return
	}
	c.markProbesDue(now)
	c.starts.beginRound()
	r := c.newRound(now)
	c.plannedAt, c.lastCut = now, notCut
	for _, u := range c.waiting(now) {
		if c.lastCut = c.cutOf(r); c.lastCut != notCut {
			break
		}
		c.planStep(r, u)
	}
	c.planSuspects(r)
}

// planStep places a step, or sets its job aside if that panics.
func (c *Cell) planStep(r *round, u waitingStep) {
	defer c.setAsideOnPanic(r.now, u.step.occ.job)
	u.step.lookedIn = r.number
	c.noteIsolated(r, u.step)
	if u.step.spec.Gang {
		c.planGang(r, u)
		return
	}
	c.planTasks(r, u)
}

// planTasks places the waiting tasks of a step one by one.
func (c *Cell) planTasks(r *round, u waitingStep) {
	s := u.step
	job := s.occ.job
	suspects := r.addSuspects(u)
	if len(r.withFreeCPU(s.spec.Need)) == 0 || c.cannotGetTicket(r, s) || !c.withinCap(job.Team, s.spec.charge()) {
		return
	}
	workers := c.startableWorkers(r, s)
	missing, room := 0, c.roomForTasks(job)
	var placed []*Run
	for _, t := range s.tasks {
		if !t.placeable(r.now) || (suspects && t.apart(r.now)) || (room <= 0 && !t.hasEntry()) {
			continue
		}
		if missing > 0 {
			missing++
			continue
		}
		if !c.withinCap(job.Team, s.spec.charge()) || c.starts.full(r.now) || c.runsFull() {
			break
		}
		startable := len(workers)
		if workers = c.besideKept(r, u, workers); len(workers) == 0 && startable > 0 {
			break
		}
		w := c.bestWorker(r.now, t, workers)
		if w == nil {
			missing++
			continue
		}
		room -= boolToInt(!t.hasEntry())
		placed = append(placed, c.place(r.now, t, w))
		r.totalFreeCPU -= s.spec.Need.MilliCPU
	}
	c.notePlaced(r.now, s, placed)
	if missing > 0 {
		r.recordMiss(u, missing)
		c.requestTaskAdvice(r, s, missing)
	}
}

// placeable reports whether the task can be placed now.
func (t *task) placeable(now time.Time) bool {
	return !t.done && t.current == nil && !t.retryAt.After(now)
}

// place plans a run of t on w.
func (c *Cell) place(now time.Time, t *task, w *Worker) *Run {
	t.lastRun++
	t.apartSince, t.besideOthers, t.lost = time.Time{}, false, nil
	r := c.addRun(t, w, runPlanned)
	r.plannedAt = now
	c.starts.add(r)
	c.countFirstPlaced(now, t.step.occ.job)
	if v, ok := t.step.advice.byWorker[w]; ok {
		r.ticket, r.ticketUntil = v.ticket, v.until
	}
	if c.health.Quarantined(w.ID) {
		w.probeDue = false
		if t.step.spec.LongRunning {
			// Its end, which would be the result, may never come.
			c.health.AbortProbe(w.ID)
		}
	}
	c.markDirty(t.step.occ.job)
	return r
}

// notePlaced adds a note on the runs of a step that were placed.
func (c *Cell) notePlaced(now time.Time, s *step, placed []*Run) {
	if len(placed) == 0 {
		return
	}
	job := s.occ.job
	n := Note{Kind: NotePlaced, Job: job.ID, Team: job.Team, Queue: job.Queue, Task: placed[0].Task, Run: placed[0].Number, Runs: len(placed), Age: now.Sub(job.FirstSeen), Wait: now.Sub(s.waitingSince)}
	for _, r := range placed {
		n.Workers = append(n.Workers, r.worker.ID)
	}
	c.note(n)
	if !s.awaitsPlacement(now) {
		s.waitingSince = time.Time{}
	}
}

// bestWorker returns the worker with the lowest score among those with enough free
// capacity, or nil if there is none.
func (c *Cell) bestWorker(now time.Time, t *task, workers []*Worker) *Worker {
	s := t.step
	var best *Worker
	bestScore := 0.0
	for _, w := range workers {
		if !fits(&s.spec.Need, &w.freeCapacity) || c.keepsProbeAlone(s, w) || s.runsOn(w) >= s.perWorkerBound() {
			continue
		}
		score := c.score(now, t, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (s *StepSpec) labelMatches(w *Worker) bool {
	return s.RequiredLabel == "" || slices.Contains(w.Labels, s.RequiredLabel)
}

// unbounded is a bound that is never reached.
const unbounded = 1 << 30

func (s *step) perWorkerBound() int {
	if s.spec.MaxPerWorker > 0 {
		return s.spec.MaxPerWorker
	}
	return unbounded
}

// runsOn counts the step's runs on w. It returns 0 for a step without a bound per worker.
func (s *step) runsOn(w *Worker) int {
	n := 0
	if s.spec.MaxPerWorker == 0 {
		return 0
	}
	for _, r := range w.runList {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// score returns the capacity left over after placing the task (best fit), plus penalties.
func (c *Cell) score(now time.Time, t *task, w *Worker) float64 {
	left := leftover(w, t.step.spec.Need)
	if t.step.spec.BestEffort {
		// Best-effort tasks get most done, and affect others least, on the worker with
		// most left over.
		left = -left + w.tailRatio()
	}
	if rack := t.step.spec.PreferredRack; rack != "" && rack != w.Rack {
		left += offRackPenalty
	}
	if t.avoidWorker == w.ID {
		left += failedPenalty
	}
	if c.reservedLately(w, t.step) {
		left += reservedPenalty
	}
	if w.cold(now) {
		left += coldPenalty
	}
	if w.startFailed(now) {
		left += failedPenalty
	}
	if len(t.crashes) > 0 && t.suspect() {
		left += bystanderPenalty * float64(len(w.runList))
	}
	if len(c.riskyUntil) > 0 && c.mixes(t.step, w) {
		left += mixPenalty
	}
	return left + slowPenalty*max(0, c.slowness(w)-1)
}

// leftover returns the part of w's processors and memory that stays free once need is
// placed.
func leftover(w *Worker, need resource.Amount) float64 {
	free := w.free().Sub(need)
	return float64(free.MilliCPU)/float64(max(w.Capacity.MilliCPU, 1)) +
		memoryWeight*float64(free.MemoryMB)/float64(max(w.Capacity.MemoryMB, 1))
}

// memoryWeight is the weight of free memory relative to free processors, which are
// scarcer.
const memoryWeight = 0.25

// StartAnswered handles the result of a start command.
func (c *Cell) StartAnswered(now time.Time, id string, key RunKey, answer StartAnswer) {
	w := c.workers[id]
	if w == nil {
		return
	}
	r := w.runs[key]
	if r == nil || r.state == runListed {
		return
	}
	job := r.task.step.occ.job
	c.limitStarts(now, r, answer)
	if answer == StartOK {
		r.state, r.answeredAt = runStarted, now
		job.started = true
		delete(r.task.step.avoided, w)
		w.startFailedUntil = time.Time{}
		return
	}
	c.note(Note{Kind: NoteStartFailed, Job: job.ID, Task: key.Task, Run: key.Number, Worker: id, Reason: answer.String(), Age: r.age(now)})
	switch answer {
	case StartOK:
	case StartNoReply:
		c.avoid(now, r.task.step, w, answer)
		r.state = runOutcomeUnknown
		c.stopRun(now, r)
		if r.task.step.spec.Gang {
			// The others would wait for this one until the worker's limit.
			c.stopGang(now, r.task.step)
		}
	case StartTicketRejected:
		r.task.step.advice.forget(w)
		c.withdraw(now, r, answer.String())
	case StartUnhealthy:
		w.pausedUntil = now.Add(unhealthyPause)
		c.avoid(now, r.task.step, w, answer)
		c.withdraw(now, r, answer.String())
	case StartRefused, StartNotSent:
		r.task.retryAt = now.Add(taskRetryDelay)
		c.avoid(now, r.task.step, w, answer)
		c.withdraw(now, r, answer.String())
	}
}

// limitStarts adjusts the limit on starts to the result of a start command. A worker that can't
// be reached, or whose connection broke soon after the command, says nothing about the
// scheduler's load.
func (c *Cell) limitStarts(now time.Time, r *Run, answer StartAnswer) {
	took := now.Sub(r.sentAt)
	switch answer {
	case StartNoReply:
		if r.worker.unreachableSince.IsZero() && took > promptStart {
			c.starts.answered(now, took, false)
		}
	case StartNotSent:
		if r.worker.unreachableSince.IsZero() {
			c.starts.answered(now, took, false)
		}
	default:
		c.starts.answered(now, took, true)
	}
}

// StartAnswer is the result of a start command.
type StartAnswer int

// The results of a start command. After all but StartOK and StartNoReply the run is not
// on the worker and can't start there later.
const (
	StartOK StartAnswer = iota
	// StartNoReply means that the command may be carried out, now or later.
	StartNoReply
	// StartNotSent means that the command never reached the worker.
	StartNotSent
	// StartTicketRejected means that the ticket isn't valid.
	StartTicketRejected
	// StartUnhealthy means that the worker reported itself unhealthy and did nothing.
	StartUnhealthy
	// StartRefused means that the command came too late or the run is already over.
	StartRefused
)

// String returns the result as it appears in logs.
func (a StartAnswer) String() string {
	switch a {
	case StartOK:
		return "started"
	case StartNoReply:
		return "no reply"
	case StartNotSent:
		return "not sent"
	case StartTicketRejected:
		return "ticket refused"
	case StartUnhealthy:
		return "worker unhealthy"
	default:
		return "refused"
	}
}
