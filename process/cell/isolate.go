package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Tasks that may have crashed their worker run apart from others until they are done, so that
// a further crash costs nobody else anything and shows which of them is to blame. Those that
// several others may have to answer for share workers, one start at a time, or some of the same
// step once others of it run well. Those that alone had just been started at the crash, and those
// with several crashes, run alone.
//
// Load pattern: none are waiting in almost all rounds. When workers crash, some ten tasks a
// crash wait for the few workers that are empty.

const (
	// isolationDivisor bounds the workers that isolated tasks occupy to one in this many of those
	// that accept other work, or minIsolationWorkers, or one in emptyDivisor of those that are empty anyway, or all
	// of these while half of the fleet's processors are free. While several teams' tasks wait,
	// teamDivisor divides that for one team.
	isolationDivisor    = 6
	minIsolationWorkers = 2
	emptyDivisor        = 2
	teamDivisor         = 2
	// probableDivisor bounds those of these workers for tasks that most likely crash them to one
	// in this many, or to the empty ones, while others wait: their jobs will hardly be done.
	probableDivisor = 2
	// vacatingTime is how long a worker is kept free of other work for isolated tasks that
	// wait.
	vacatingTime = 500 * time.Millisecond
	// isolationPatience is how long a long-running task waits for a worker without other work, and any
	// work for one without isolated tasks. A long-running task must be at work again some 9 s after its
	// last run; where each worker has a task that lasts, none will ever be empty.
	isolationPatience = 2 * time.Second
	// isolationBound is how long a suspect waits at most for a worker without other work: accepted work
	// must run in the end, whatever it may do to what runs beside it.
	isolationBound = 30 * time.Second
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
	// candidates holds the workers that accept new work and are isolated or empty.
	candidates []*Worker
	// limit bounds the workers that isolated tasks occupy, teamLimit those for one team; used
	// is their number, byTeam that of each team.
	limit, teamLimit, used int
	byTeam                 map[string]int
	// probable is the number of workers with tasks that most likely crash them, probableLimit
	// its bound.
	probable, probableLimit int
}

// isolated reports whether w runs isolated tasks or is kept free for some.
func (w *Worker) isolated(now time.Time) bool {
	return w.isolatedRuns > 0 || (w.vacatedFor != nil && w.vacatedUntil.After(now))
}

// addSuspects adds the step's waiting suspects to those of the round, and reports whether there
// are any.
func (r *round) addSuspects(u waitingStep) bool {
	found := false
	for _, t := range u.step.tasks {
		if len(t.crashes) == 0 || !t.placeable(r.now) || !t.suspect() {
			continue
		}
		if t.apartSince.IsZero() {
			t.apartSince = r.now
		}
		if !t.apart(r.now) {
			continue
		}
		found = true
		if !t.awaitsConfirmation(r.now) {
			r.isolation.waiting = append(r.isolation.waiting, waitingSuspect{u, t})
		}
	}
	return found
}

// planSuspects places the suspects that the round found. Those come last that most likely crash
// their worker: their jobs will hardly be done, and those of the others may still be in time.
func (c *Cell) planSuspects(r *round) {
	if len(r.isolation.waiting) == 0 {
		c.lastIsolation = ""
		return
	}
	slices.SortStableFunc(r.isolation.waiting, compareSuspects)
	c.countIsolation(r)
	for _, waiting := range r.isolation.waiting {
		if c.starts.full(r.now) || c.runsFull() {
			break
		}
		c.planSuspect(r, waiting)
	}
	c.lastIsolation = r.isolation.String()
}

// String returns the state as it appears in logs.
func (i *isolation) String() string {
	return fmt.Sprintf("%d tasks wait to run apart; %d workers for such tasks, limit %d; %d for those that most likely crash them, limit %d",
		len(i.waiting), i.used, i.limit, i.probable, i.probableLimit)
}

// compareSuspects orders suspects: first those that are hardly to blame, then those with most
// crashes, of which one more may be the last, then those that wait longest.
func compareSuspects(a, b waitingSuspect) int {
	return cmp.Or(
		cmp.Compare(boolToInt(a.task.suspicion() >= evidenceSole), boolToInt(b.task.suspicion() >= evidenceSole)),
		cmp.Compare(len(b.task.crashes), len(a.task.crashes)),
		a.step.waitingSince.Compare(b.step.waitingSince),
	)
}

// suspicion returns how much the crashes under the task, or under the members of its gang, speak
// against it.
func (t *task) suspicion() evidence {
	suspicion := evidenceNone
	for _, one := range t.unit() {
		suspicion = max(suspicion, suspicionOf(one.crashes))
	}
	return suspicion
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
			i.probable += boolToInt(w.runList[0].task.suspicion() >= evidenceSole)
		}
	}
	i.candidates = slices.Clone(r.isolatedReady)
	empty := 0
	var free, all int64
	for _, w := range r.ready {
		free, all = free+w.freeCapacity.MilliCPU, all+w.Capacity.MilliCPU
		if len(w.runList) == 0 {
			i.candidates = append(i.candidates, w.Worker)
			empty++
		}
	}
	spare := empty / emptyDivisor
	if 2*free > all {
		spare = empty
	}
	i.limit = max(minIsolationWorkers, len(r.ready)/isolationDivisor, i.used+spare)
	i.probableLimit = i.limit
	if i.waiting[0].task.suspicion() < evidenceSole {
		i.probableLimit = max(1, i.limit/probableDivisor, spare)
	}
	i.teamLimit = i.limit
	team := i.waiting[0].task.step.occ.job.Team
	if slices.ContainsFunc(i.waiting, func(w waitingSuspect) bool { return w.task.step.occ.job.Team != team }) {
		i.teamLimit = max(1, i.limit/teamDivisor)
	}
}

// planSuspect places a suspect, or has a worker kept free for it.
func (c *Cell) planSuspect(r *round, waiting waitingSuspect) {
	t := waiting.task
	s := t.step
	defer c.setAsideOnPanic(r.now, s.occ.job)
	if !s.mayTry(r.now) || !c.withinCap(s.occ.job.Team, s.spec.charge()) || c.cannotGetTicket(r, s) {
		return
	}
	mayOccupy := r.isolation.mayOccupy(t)
	w := c.isolationWorker(r, t, mayOccupy)
	if w == nil {
		t.besideOthers = c.waitsInVain(r, t, t.apartSince)
		if !mayOccupy || t.besideOthers {
			return
		}
		c.vacate(r, s)
		c.requestIsolationAdvice(r, s)
		return
	}
	if !w.isolated(r.now) {
		r.isolation.used++
	}
	if w.isolatedRuns == 0 {
		r.isolation.byTeam[s.occ.job.Team]++
		r.isolation.probable += boolToInt(t.suspicion() >= evidenceSole)
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
// other suspects that run well, or else an empty one if it may occupy one. It returns nil if
// there is none.
func (c *Cell) isolationWorker(r *round, t *task, mayOccupy bool) *Worker {
	s := t.step
	alone := t.runsAlone()
	var empty *Worker
	for _, w := range r.isolation.candidates {
		if !fits(&s.spec.Need, &w.freeCapacity) || !s.eligible(r.now, c.upstreamOf(s.occ.job), w) || !c.hasTicket(r.now, s, w) || s.runsOn(w) >= s.perWorkerBound() {
			continue
		}
		if len(w.runList) > 0 {
			if !alone && w.takesSuspect(r.now, s) {
				return w
			}
			continue
		}
		if !mayOccupy || (w.vacatedUntil.After(r.now) && w.vacatedFor != s) || (r.isolation.used >= r.isolation.limit && !w.isolated(r.now)) {
			continue
		}
		if empty == nil || c.isolationRank(r.now, t, w) > c.isolationRank(r.now, t, empty) {
			empty = w
		}
	}
	return empty
}

// isolationRank orders empty workers for a suspect: those kept free for it come first, and those
// of machines that have crashed lately, or even under it, last: another crash there would say
// little.
func (c *Cell) isolationRank(now time.Time, t *task, w *Worker) int {
	before := slices.ContainsFunc(t.crashes, func(one crash) bool { return one.machine == w.Address })
	return 2*boolToInt(w.vacatedUntil.After(now)) - boolToInt(c.crashedLately(now, w)) - 4*boolToInt(before)
}

// runsAlone reports whether a suspect must be the only task on its worker.
func (t *task) runsAlone() bool {
	return t.step.spec.Gang || mustRunAlone(t.crashes)
}

// takesSuspect reports whether one more suspect of s that may share its worker can be started on
// w: all runs there are isolated, none of them has to be alone, and those of other steps run
// well.
func (w *Worker) takesSuspect(now time.Time, s *step) bool {
	return !slices.ContainsFunc(w.runList, func(r *Run) bool {
		return !r.isolated || r.task.runsAlone() || (r.task.step != s && !r.startedWell(now))
	})
}

// mayOccupy reports whether a suspect may occupy one more worker.
func (i *isolation) mayOccupy(t *task) bool {
	if t.suspicion() >= evidenceSole && i.probable >= i.probableLimit {
		return false
	}
	return i.byTeam[t.step.occ.job.Team] < i.teamLimit
}

// vacate keeps the worker that is expected to be empty first, of those on which s may run, free
// of other work, if isolated tasks may occupy another one.
func (c *Cell) vacate(r *round, s *step) {
	if w := r.vacatedFor(s); w != nil {
		w.vacatedUntil = r.now.Add(vacatingTime)
		return
	}
	if r.isolation.used >= r.isolation.limit {
		return
	}
	for _, w := range r.byLastEnd() {
		if w.isolated(r.now) || len(w.runList) == 0 || w.runsLong() || r.reservedForOther(w, s) ||
			!s.eligible(r.now, c.upstreamOf(s.occ.job), w) || !s.advice.allows(s, w) || !fits(&s.spec.Need, &w.Capacity) {
			continue
		}
		w.vacatedUntil, w.vacatedFor = r.now.Add(vacatingTime), s
		r.isolation.used++
		return
	}
}

// vacatedFor returns the worker that is kept free for s, or nil.
func (r *round) vacatedFor(s *step) *Worker {
	for _, w := range r.isolatedReady {
		if w.vacatedFor == s && w.vacatedUntil.After(r.now) {
			return w
		}
	}
	return nil
}

// runsLong reports whether w has a long-running task.
func (w *Worker) runsLong() bool {
	return slices.ContainsFunc(w.runList, func(r *Run) bool { return r.task.step.spec.LongRunning })
}

// runsFinite reports whether w has a task that ends by itself.
func (w *Worker) runsFinite() bool {
	return slices.ContainsFunc(w.runList, func(r *Run) bool { return !r.task.step.spec.LongRunning })
}

// waitsInVain reports whether a suspect that has waited since then is to be placed beside others: it
// is hardly to blame, too few workers can be empty, or it has waited for long. For one that wasn't alone
// when its worker crashed, those count that will be empty soon.
func (c *Cell) waitsInVain(r *round, t *task, since time.Time) bool {
	s, waited, suspicion := t.step, r.now.Sub(since), t.suspicion()
	switch {
	case waited < confirmationTime:
		return false
	case waited >= isolationBound, suspicion < evidenceSole:
		return true
	case suspicion < evidenceAlone:
		return !c.canBeEmptied(r, s, s.wantedAtOnce(), r.now.Add(confirmationTime))
	default:
		return !c.canBeEmptied(r, s, s.wantedAtOnce(), time.Time{})
	}
}

// canBeEmptied reports whether the workers that accept work and run nothing that lasts have, when
// empty, the given number of slots for s. Unless by is zero, all runs there must be expected to end
// by then.
func (c *Cell) canBeEmptied(r *round, s *step, wanted int, by time.Time) bool {
	upstream := c.upstreamOf(s.occ.job)
	slots := func(w *Worker) int {
		late := !by.IsZero() && w.lastEndEstimate(r.now).After(by)
		if late || w.runsLong() || !s.eligible(r.now, upstream, w) || s.advice.refused(w) {
			return 0
		}
		return s.slotsIn(w.Capacity)
	}
	for _, w := range r.isolatedReady {
		wanted -= slots(w)
	}
	for _, w := range r.ready {
		if wanted -= slots(w.Worker); wanted <= 0 {
			return true
		}
	}
	return wanted <= 0
}

// requestIsolationAdvice requests advice on the workers that suspects of s could be started on,
// those first that are empty already.
func (c *Cell) requestIsolationAdvice(r *round, s *step) {
	if !c.canRequestAdvice(r.now, s) {
		return
	}
	upstream := c.upstreamOf(s.occ.job)
	var candidates []workerSlots
	for _, w := range r.isolation.candidates {
		if c.lacksTicket(r, s, w, upstream) && fits(&s.spec.Need, &w.freeCapacity) {
			candidates = append(candidates, workerSlots{worker: w, tasks: 1, allowed: s.advice.allows(s, w)})
		}
	}
	if len(candidates) == 0 {
		c.requestTaskAdvice(r, s, 1)
		return
	}
	c.requestAdvice(s, candidates, c.minCallCapacity(s))
}

// endIsolation lets a run that has lasted long share its worker. A long-running task that would be
// given up if it were another stays alone until its crashes are forgotten.
func (r *Run) endIsolation(now time.Time) {
	if !r.isolated || r.listedAt.IsZero() || now.Sub(r.listedAt) <= isolationEndsAfter {
		return
	}
	if r.task.step.spec.LongRunning && crashesAlone(r.task.crashes) {
		return
	}
	r.isolated = false
	r.worker.isolatedRuns--
}
