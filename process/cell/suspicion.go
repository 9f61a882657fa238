package cell

import (
	"slices"
	"time"
)

// evidence is how much a crash says about one of the tasks that ran on the worker. Greater
// values are stronger.
type evidence int

const (
	// evidenceNone: many workers were lost at the same time, so hardly by a task, or another
	// task was found to be the cause.
	evidenceNone evidence = iota
	// evidenceWeak: the run had been there for some time, as others had, or its age isn't known.
	evidenceWeak
	// evidenceRecent: the run had just been started, as had others.
	evidenceRecent
	// evidenceSole: of all runs there only this one had just been started.
	evidenceSole
	// evidenceAlone: no other task ran there.
	evidenceAlone
	// evidenceAloneRecent: it had just been started, and no other task ran there.
	evidenceAloneRecent
)

// crash is the crash of a worker under a run of a task.
type crash struct {
	run    int
	worker string
	// machine is the worker's address, which stays with the machine.
	machine string
	at      time.Time
	// age is for how long the run had gone on by then at most; zero if that isn't known.
	age      time.Duration
	evidence evidence
	// started is set if the run had certainly begun, since the worker had said so.
	started bool
	// doubtful is set if other workers that no task can have crashed were lost at the same time.
	doubtful bool
	// confirmed is set once another incarnation has responded in place of the worker. Until
	// then it may be cut off by something that refuses connections, and its runs go on.
	confirmed bool
}

const (
	// promptCrashesToGiveUp is the number of crashes right after its start, that can hardly be
	// another's, after which a task is given up.
	promptCrashesToGiveUp = 2
	// maxWeakCrashes is the number of crashes long after its start from which a task is kept
	// apart; with one more, and nothing else there at one of them, it is given up.
	maxWeakCrashes = 3
	// maxCrashes is the number of crashes after which a task is given up in any case, whether
	// they say something about it or it was alone once.
	maxCrashes = 5
	// maxCrashLog bounds the crashes that are kept for a task, unconfirmed ones included.
	maxCrashLog = 8
	// confirmationTime is how long a worker that has crashed is likely to be down at most.
	confirmationTime = 10 * time.Second
)

// guilty reports whether the crashes under a task show that it crashes its workers: two right after
// its start, with nothing else there at the last one that could be the cause and nothing else just
// started at the first, or so many that it may hardly have one more. A worker that crashes when a task
// has been there for some time may crash by itself, however often the task is alone there, and says
// nothing about the other members of its gang.
func guilty(crashes []crash) bool {
	confirmed := slices.DeleteFunc(slices.Clone(crashes), func(one crash) bool { return !one.confirmed })
	wasAlone := slices.ContainsFunc(confirmed, func(one crash) bool { return one.evidence >= evidenceAlone })
	if countTelling(confirmed) >= maxCrashes || (len(confirmed) >= maxCrashes && wasAlone) {
		return true
	}
	prompt, alone := 0, 0
	for _, one := range confirmed {
		if one.doubtful || !one.started {
			continue
		}
		prompt += boolToInt(one.evidence == evidenceSole || one.evidence == evidenceAloneRecent)
		if one.evidence == evidenceAloneRecent && prompt >= promptCrashesToGiveUp {
			return true
		}
		alone += boolToInt(one.evidence >= evidenceAlone)
	}
	return alone > 0 && len(confirmed) > maxWeakCrashes
}

// minCrashesAlone is the number of crashes with nothing else there from which a task is kept alone even
// while its run goes on.
const minCrashesAlone = 2

// crashesAlone reports whether several workers have crashed that ran nothing but the task: too little to
// give it up, too much to run others beside it.
func crashesAlone(crashes []crash) bool {
	n := 0
	for _, one := range crashes {
		n += boolToInt(one.confirmed && one.started && !one.doubtful && one.evidence >= evidenceAlone)
	}
	return n >= minCrashesAlone || guilty(crashes)
}

// awaitsConfirmation reports whether the task, or a member of its gang, would be given up if what took
// its worker away lately were the crashes that it may have been, which is likely to be known soon.
func (t *task) awaitsConfirmation(now time.Time) bool {
	return t.step.crashed && !t.step.spec.LongRunning && slices.ContainsFunc(t.unit(), func(one *task) bool {
		likely, certain := one.likelyCrashes(now)
		return !certain && guilty(likely)
	})
}

// likelyCrashes returns the crashes under the task with those that aren't confirmed yet and the loss of
// its last run, if these were lately. certain is set if there are none such.
func (t *task) likelyCrashes(now time.Time) (likely []crash, certain bool) {
	certain = true
	for _, one := range append(slices.Clone(t.crashes), t.lost...) {
		known := slices.ContainsFunc(likely, func(l crash) bool { return l.run == one.run })
		if !one.confirmed && !known && now.Sub(one.at) <= confirmationTime {
			one.confirmed, certain = true, false
		}
		if !known {
			likely = append(likely, one)
		}
	}
	return likely, certain
}

// suspicionOf returns how much the crashes speak against a task: the evidence of those with
// nothing else on the worker, or else that of the last one. A task whose last run had gone on for
// some time isn't one that crashes its worker at once.
func suspicionOf(crashes []crash) evidence {
	suspicion := evidenceNone
	for _, one := range crashes {
		if one.evidence != evidenceNone && suspicion < evidenceAlone {
			suspicion = one.evidence
		}
	}
	return suspicion
}

// suspected reports whether a task with these crashes is to be kept apart from others.
func suspected(crashes []crash) bool {
	return suspicionOf(crashes) >= evidenceRecent || mustRunAlone(crashes)
}

// mustRunAlone reports whether a task with these crashes must be the only one on its worker: it was
// the only one that had just been started, it has several crashes, or one more is the last that
// it may have, so that must tell.
func mustRunAlone(crashes []crash) bool {
	return suspicionOf(crashes) >= evidenceSole || countTelling(crashes) >= maxWeakCrashes || len(crashes) >= maxCrashes-1
}

// countTelling counts the crashes that say something about the task.
func countTelling(crashes []crash) int {
	n := 0
	for _, one := range crashes {
		n += boolToInt(one.evidence > evidenceNone)
	}
	return n
}

// unit returns the tasks that start and end with t: itself, or all members of its gang.
func (t *task) unit() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return t.step.tasks[t.index : t.index+1]
}

// suspect reports whether the task, or a member of its gang, is to be kept apart from others.
func (t *task) suspect() bool {
	return t.step.crashed && slices.ContainsFunc(t.unit(), func(one *task) bool { return suspected(one.crashes) })
}

// String returns the evidence as it appears in logs.
func (e evidence) String() string {
	switch e {
	case evidenceAloneRecent:
		return "alone, just started"
	case evidenceAlone:
		return "alone"
	case evidenceSole:
		return "the only one just started"
	case evidenceRecent:
		return "just started, as others"
	case evidenceWeak:
		return "started before"
	}
	return "not by this task"
}
