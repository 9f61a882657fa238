package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Weights of the score of a worker, in parts of the worker's capacity. Lower
// scores come first.
const (
	// farPenalty is for a worker off the preferred rack.
	farPenalty = 0.6
	// failedPenalty is for the worker on which the task failed last.
	failedPenalty = 5.0
	// slowPenalty times its slowness beyond the fleet's is for a slow worker.
	slowPenalty = 0.5
)

// retryPause is kept between a failure of a task and its next run.
const retryPause = 50 * time.Millisecond

// Plan places what waits. It is called after any change that may have made room.
func (c *Cell) Plan(now time.Time) {
	c.returnProbed(now)
	r := c.newRound(now)
	for _, u := range c.waiting(now) {
		if r.misses >= maxMisses {
			return
		}
		if u.step.spec.Gang {
			c.planGang(r, u)
			continue
		}
		c.planTasks(r, u)
	}
}

// planTasks places the waiting tasks of a step one by one.
func (c *Cell) planTasks(r *round, u unit) {
	s := u.step
	job := s.occ.job
	if len(r.roomy(s.spec.Need)) == 0 || c.hopelessNow(r, s) || !c.withinCap(job.Team, s.spec.charge()) {
		return
	}
	list := c.startable(r, s)
	short := 0
	var placed []*Run
	for _, t := range s.tasks {
		if !t.placeable(r.now) {
			continue
		}
		if short > 0 {
			short++
			continue
		}
		if !c.withinCap(job.Team, s.spec.charge()) || !r.leaves(u) {
			break
		}
		w := c.bestWorker(t, list)
		if w == nil {
			short++
			continue
		}
		placed = append(placed, c.place(r.now, t, w))
		r.free -= s.spec.Need.MilliCPU
	}
	c.notePlaced(r.now, s, placed)
	if short > 0 {
		r.miss(u, short)
		c.askForTasks(r, s, short)
	}
}

// placeable reports whether the task waits for a run.
func (t *task) placeable(now time.Time) bool {
	return !t.done && t.current == nil && !t.deferred.After(now)
}

// place plans a run of t on w.
func (c *Cell) place(now time.Time, t *task, w *Worker) *Run {
	t.lastRun++
	r := c.addRun(t, w, runPlanned)
	r.plannedAt = now
	c.noteFirstPlaced(now, t.step.occ.job)
	if v, ok := t.step.advice.judged[w.ID]; ok {
		r.ticket, r.ticketUntil = v.ticket, v.until
	}
	if c.health.Quarantined(w.ID) {
		w.probe = false
	}
	c.touch(t.step.occ.job)
	return r
}

// notePlaced notes the runs that a plan placed of a step.
func (c *Cell) notePlaced(now time.Time, s *step, placed []*Run) {
	if len(placed) == 0 {
		return
	}
	job := s.occ.job
	n := Note{Kind: NotePlaced, Job: job.ID, Team: job.Team, Task: placed[0].Task, Run: placed[0].Number, Runs: len(placed), Age: now.Sub(job.FirstSeen)}
	for _, r := range placed {
		n.Workers = append(n.Workers, r.worker.ID)
	}
	c.note(n)
}

// bestWorker returns the worker of the list with the lowest score that has room, or
// nil.
func (c *Cell) bestWorker(t *task, list []*Worker) *Worker {
	s := t.step
	var best *Worker
	bestScore := 0.0
	for _, w := range list {
		if !fits(&s.spec.Need, &w.room) || (len(w.runs) > 0 && c.health.Quarantined(w.ID)) || s.onWorker(w) >= s.perWorkerBound() {
			continue
		}
		score := c.score(t, w)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (s *StepSpec) labelFits(w *Worker) bool {
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

// onWorker counts the step's runs on w.
func (s *step) onWorker(w *Worker) int {
	n := 0
	if s.spec.MaxPerWorker == 0 {
		return 0
	}
	for _, r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// score is the room left over after placing the task (best fit), with penalties.
func (c *Cell) score(t *task, w *Worker) float64 {
	left := leftover(w, t.step.spec.Need)
	if t.step.spec.Fills {
		// Tasks that fill do most, and disturb least, where most is left.
		left = -left + w.strain()
	}
	if rack := t.step.spec.PreferredRack; rack != "" && rack != w.Rack {
		left += farPenalty
	}
	if t.avoid == w.ID {
		left += failedPenalty
	}
	return left + slowPenalty*max(0, c.slowness(w)-1)
}

// leftover is the part of w's processors and memory that stays free beside need.
func leftover(w *Worker, need resource.Amount) float64 {
	free := w.free().Sub(need)
	return float64(free.MilliCPU)/float64(max(w.Capacity.MilliCPU, 1)) +
		memoryWeight*float64(free.MemoryMB)/float64(max(w.Capacity.MemoryMB, 1))
}

// memoryWeight is what free memory counts beside free processors, which are
// scarcer.
const memoryWeight = 0.25

// StartAnswered takes in a worker's answer to an order to start.
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
	if answer == StartOK {
		r.state, r.answeredAt = runStarted, now
		job.started = true
		return
	}
	c.note(Note{Kind: NoteStartAnswered, Job: job.ID, Task: key.Task, Run: key.Number, Worker: id, Reason: answer.String(), Age: now.Sub(r.plannedAt)})
	switch answer {
	case StartOK:
	case StartLost:
		r.state = runUnsure
		c.stopRun(now, r)
	case StartTicket:
		delete(r.task.step.advice.judged, id)
		c.withdraw(now, r, answer.String())
	case StartUnhealthy:
		w.pause = now.Add(refusedPause)
		c.withdraw(now, r, answer.String())
	case StartRefused, StartNotSent:
		r.task.deferred = now.Add(retryPause)
		c.withdraw(now, r, answer.String())
	}
}

// StartAnswer is how an order to start ended.
type StartAnswer int

// The answers to an order to start. All but StartOK and StartLost mean that the
// run surely isn't there.
const (
	StartOK StartAnswer = iota
	// StartLost orders may be carried out, now or later.
	StartLost
	// StartNotSent orders never reached the worker.
	StartNotSent
	// StartTicket orders had a ticket that isn't valid.
	StartTicket
	// StartUnhealthy workers did nothing and say so.
	StartUnhealthy
	// StartRefused orders came too late, or for a run that is over.
	StartRefused
)

// String returns the answer as logs show it.
func (a StartAnswer) String() string {
	switch a {
	case StartOK:
		return "started"
	case StartLost:
		return "answer lost"
	case StartNotSent:
		return "not sent"
	case StartTicket:
		return "ticket refused"
	case StartUnhealthy:
		return "worker unhealthy"
	default:
		return "refused"
	}
}
