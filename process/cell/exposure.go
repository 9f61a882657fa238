package cell

import (
	"slices"
	"time"
)

// recentStart is how long before a crash a run was started at most to count as just started.
const recentStart = 300 * time.Millisecond

// exposure is a run that was on a worker when the worker was lost, with what that says about
// its task if the worker has crashed.
type exposure struct {
	task     *task
	run      int
	evidence evidence
	started  bool
	// age is for how long the run had gone on at most; zero if that isn't known.
	age time.Duration
}

// exposures returns the runs that may be on the worker at the given time.
func (w *Worker) exposures(now time.Time) []exposure {
	var exposed []exposure
	var recent []*task
	for _, r := range w.runList {
		if r.state == runPlanned {
			continue
		}
		e := exposure{task: r.task, run: r.Number, started: r.state == runStarted || r.state == runListed, age: r.ageOnWorker(now)}
		// A start without reply may be carried out at any time.
		unanswered := r.state == runStarting || r.state == runOutcomeUnknown
		if unanswered || (!r.sentAt.IsZero() && now.Sub(r.sentAt) <= recentStart) {
			e.evidence = evidenceRecent
			recent = append(recent, r.task)
		}
		exposed = append(exposed, e)
	}
	alone := len(w.unknownRuns) == 0 && !slices.ContainsFunc(exposed, func(e exposure) bool { return !sameUnit(e.task, exposed[0].task) })
	sole := !slices.ContainsFunc(recent, func(t *task) bool { return !sameUnit(t, recent[0]) })
	for i := range exposed {
		exposed[i].evidence = combineEvidence(exposed[i].evidence == evidenceRecent, sole, alone)
	}
	return exposed
}

// ageOnWorker returns for how long the run can have gone on at most; zero if that isn't known, since
// an earlier scheduler started it.
func (r *Run) ageOnWorker(now time.Time) time.Duration {
	if r.sentAt.IsZero() {
		return 0
	}
	return max(now.Sub(r.sentAt), time.Millisecond)
}

// combineEvidence returns the evidence of a crash against a run that had just been started or
// not, was the only one of these or not, and was alone or not.
func combineEvidence(recent, sole, alone bool) evidence {
	switch {
	case alone && recent:
		return evidenceAloneRecent
	case alone:
		return evidenceAlone
	case recent && sole:
		return evidenceSole
	case recent:
		return evidenceRecent
	}
	return evidenceWeak
}

// sameUnit reports whether two tasks start and end together: a task and itself, or members
// of a gang.
func sameUnit(a, b *task) bool { return a == b || (a.step == b.step && a.step.spec.Gang) }
