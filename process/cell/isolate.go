package cell

import (
	"cmp"
	"slices"
	"time"
)

// Tasks that may have crashed their worker run apart from others until they are done, so that
// a further crash costs nobody else anything and shows which of them is to blame. Those with
// one crash share workers, one start at a time: only the one that was started last can be the
// cause of a crash right after. Those with more crashes run alone.
//
// Load pattern: none are waiting in almost all rounds. When workers crash, some ten tasks a
// crash wait for the few workers that are empty.

const (
	// isolationDivisor bounds the workers that isolated tasks occupy to one in this many, as
	// long as that is at least minIsolationWorkers. One team may occupy half of them.
	isolationDivisor    = 6
	minIsolationWorkers = 2
	// vacatingTime is how long a worker is kept free of other work for isolated tasks that
	// wait.
	vacatingTime = 500 * time.Millisecond
	// isolationEndsAfter is the age from which a run shares its worker with any other.
	isolationEndsAfter = 30 * time.Second
)

// waitingSuspect is a task that waits to be placed apart from others.
type waitingSuspect struct {
	waitingStep
	task *task
}

// isolation is the state of isolated tasks in a round.
type isolation struct {
	waiting []waitingSuspect
	// limit bounds the workers that isolated tasks occupy, used is their number, byTeam that
	// of each team.
	limit, used int
	byTeam      map[string]int
}

// isolated reports whether w runs isolated tasks or is kept free for some.
func (w *Worker) isolated(now time.Time) bool {
	return w.isolatedRuns > 0 || w.vacatedUntil.After(now)
}

// addSuspects adds the step's waiting suspects to those of the round, and reports whether there
// are any.
func (r *round) addSuspects(u waitingStep) bool {
	found := false
	for _, t := range u.step.tasks {
		if t.suspect() && t.placeable(r.now) {
			r.isolation.waiting = append(r.isolation.waiting, waitingSuspect{u, t})
			found = true
		}
	}
	return found
}

// planSuspects places the suspects that the round found. Those come last that most likely crash
// their worker: their jobs will hardly be done, and those of the others may still be in time.
func (c *Cell) planSuspects(r *round) {
	if len(r.isolation.waiting) == 0 {
		return
	}
	slices.SortStableFunc(r.isolation.waiting, func(a, b waitingSuspect) int {
		return cmp.Compare(a.task.suspicion(), b.task.suspicion())
	})
	c.countIsolation(r)
	for _, waiting := range r.isolation.waiting {
		if c.starts.full(r.now) {
			return
		}
		c.planSuspect(r, waiting)
	}
}

// suspicion returns the strongest evidence against the task.
func (t *task) suspicion() evidence {
	strongest := evidenceWeak
	for _, one := range t.crashes {
		strongest = max(strongest, one.evidence)
	}
	return strongest
}

// countIsolation counts the workers that isolated tasks occupy, also those that have crashed
// under them and aren't back yet.
func (c *Cell) countIsolation(r *round) {
	i := &r.isolation
	i.byTeam = make(map[string]int)
	for _, w := range c.workerOrder {
		if !w.isolated(r.now) {
			continue
		}
		i.used++
		if len(w.runList) > 0 && w.isolatedRuns > 0 {
			i.byTeam[w.runList[0].team]++
		}
	}
	i.limit = max(minIsolationWorkers, len(c.workerOrder)/isolationDivisor)
}

// planSuspect places a suspect, or has a worker kept free for it.
func (c *Cell) planSuspect(r *round, waiting waitingSuspect) {
	t := waiting.task
	s := t.step
	defer c.setAsideOnPanic(s.occ.job)
	if !s.mayTry(r.now) || !c.withinCap(s.occ.job.Team, s.spec.charge()) || c.cannotGetTicket(r, s) {
		return
	}
	w := c.isolationWorker(r, t)
	if w == nil {
		c.vacate(r, s)
		c.requestIsolationAdvice(r, s)
		return
	}
	if !w.isolated(r.now) {
		r.isolation.used++
	}
	if w.isolatedRuns == 0 {
		r.isolation.byTeam[s.occ.job.Team]++
	}
	c.notePlaced(r.now, s, []*Run{c.place(r.now, t, w)})
}

// mayTry reports whether one more suspect of the step may be started. As tasks of a step do the
// same work, each one that runs well allows a further one to be tried beside the others.
func (s *step) mayTry(now time.Time) bool {
	tried, well := 0, 0
	for _, t := range s.tasks {
		switch {
		case t.done && len(t.crashes) > 0:
			well++
		case t.current == nil || !t.current.isolated:
		case t.current.startedWell(now):
			well++
		default:
			tried++
		}
	}
	return tried < max(1, well)
}

// startedWell reports whether the run has lasted longer than one that has just been started.
func (r *Run) startedWell(now time.Time) bool {
	return r.state >= runStarted && r.worker.unreachableSince.IsZero() && now.Sub(r.sentAt) > recentStart
}

// isolationWorker returns the worker on which a suspect can be started now: one that has only
// other suspects that run well, or else an empty one. It returns nil if there is none.
func (c *Cell) isolationWorker(r *round, t *task) *Worker {
	s := t.step
	alone := len(t.crashes) > 1
	var empty *Worker
	for _, rw := range r.isolationReady {
		w := rw.Worker
		if !fits(&s.spec.Need, &w.freeCapacity) || !s.eligible(c.upstreamOf(s.occ.job), w) || !c.hasTicket(r.now, s, w) || s.runsOn(w) >= s.perWorkerBound() {
			continue
		}
		if len(w.runList) > 0 {
			if !alone && w.takesSuspect(r.now) {
				return w
			}
			continue
		}
		if empty == nil || (w.vacatedUntil.After(r.now) && !empty.vacatedUntil.After(r.now)) {
			empty = w
		}
	}
	if empty == nil || !r.isolation.mayOccupy(r.now, empty, s.occ.job.Team) {
		return nil
	}
	return empty
}

// takesSuspect reports whether one more suspect with a single crash can be started on w: all runs
// there are isolated and run well, and none of them has to be alone.
func (w *Worker) takesSuspect(now time.Time) bool {
	return !slices.ContainsFunc(w.runList, func(r *Run) bool {
		return !r.isolated || len(*r.task.crashLog()) > 1 || !r.startedWell(now)
	})
}

// mayOccupy reports whether isolated tasks of a team may occupy an empty worker.
func (i *isolation) mayOccupy(now time.Time, w *Worker, team string) bool {
	return (i.used < i.limit || w.isolated(now)) && i.byTeam[team] < max(1, i.limit/2)
}

// vacate keeps the worker that is expected to be empty first, of those on which s may run, free
// of other work, if isolated tasks may occupy another one.
func (c *Cell) vacate(r *round, s *step) {
	if r.isolation.used >= r.isolation.limit {
		return
	}
	for _, w := range r.byLastEnd() {
		if w.isolated(r.now) || len(w.runList) == 0 || w.runsLong() || r.reservedForOther(w, s) ||
			!s.eligible(c.upstreamOf(s.occ.job), w) || !s.advice.allows(s, w) || !fits(&s.spec.Need, &w.Capacity) {
			continue
		}
		w.vacatedUntil = r.now.Add(vacatingTime)
		r.isolation.used++
		return
	}
}

// runsLong reports whether w has a long-running task.
func (w *Worker) runsLong() bool {
	return slices.ContainsFunc(w.runList, func(r *Run) bool { return r.task.step.spec.LongRunning })
}

// requestIsolationAdvice requests advice on the workers that suspects of s could be started on,
// those first that are empty already.
func (c *Cell) requestIsolationAdvice(r *round, s *step) {
	if !c.canRequestAdvice(r.now, s) {
		return
	}
	upstream := c.upstreamOf(s.occ.job)
	var candidates []workerSlots
	for _, rw := range r.isolationReady {
		if c.lacksTicket(r, s, rw.Worker, upstream) && fits(&s.spec.Need, &rw.freeCapacity) {
			candidates = append(candidates, workerSlots{worker: rw.Worker, tasks: 1, allowed: s.advice.allows(s, rw.Worker)})
		}
	}
	if len(candidates) == 0 {
		c.requestTaskAdvice(r, s, 1)
		return
	}
	c.requestAdvice(s, candidates, c.minCallCapacity(s), maxWorkersPerCall)
}

// endIsolation lets a run that has lasted long share its worker.
func (r *Run) endIsolation(now time.Time) {
	if r.isolated && !r.listedAt.IsZero() && now.Sub(r.listedAt) > isolationEndsAfter {
		r.isolated = false
		r.worker.isolatedRuns--
	}
}
