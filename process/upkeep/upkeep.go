// Package upkeep decides which machines of a maintenance wave are taken down, and when.
//
// # Model
//
// An operator requests maintenance of each machine of a wave within a given time, with
// a limit on how many may be down at once. A machine is first cordoned: its worker gets
// no new work. It is taken down once its worker has no more runs that end by themselves,
// or when waiting longer would make the wave late. A machine with tasks that must not be
// interrupted is never taken down.
//
// Next is a pure function of the wave, the machines and the progress so far, except
// that it records newly cordoned machines in the progress.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// A wave's time is divided equally between groups of MaxDown machines. drainShare is the
// part of a group's time during which the runs on its machines may continue.
const drainShare = 0.5

// Wave is an operator's request for maintenance.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time for the whole wave, MaxDown how many machines may be down at
	// once.
	Within  time.Duration
	MaxDown int
}

// Machine is a machine with the load of its worker.
type Machine struct {
	Name   string
	Worker string
	// Up is set while the machine's worker is running, Down while the machine is under
	// maintenance. Neither is set while the machine is being moved or has failed.
	Up   bool
	Down bool
	// Runs counts the runs on the worker that end by themselves.
	Runs int
	// Needed is set while tasks on the worker must not be interrupted.
	Needed bool
}

// Progress is the state of a wave. Next sets CordonedAt; the caller sets Done and BegunAt.
type Progress struct {
	// SeenAt is when the wave was first seen.
	SeenAt time.Time
	// Done are the machines that need no further step: their maintenance has begun, or they
	// no longer exist.
	Done map[string]bool
	// CordonedAt is when each machine was cordoned.
	CordonedAt map[string]time.Time
	// BegunAt is when the last call to take each machine down returned, even if it failed:
	// the machine may then be down.
	BegunAt map[string]time.Time
}

// NewProgress returns the progress of a wave first seen now, with the machines that are
// already done.
func NewProgress(now time.Time, done []string) *Progress {
	p := &Progress{SeenAt: now, Done: make(map[string]bool), CordonedAt: make(map[string]time.Time), BegunAt: make(map[string]time.Time)}
	for _, name := range done {
		p.Done[name] = true
	}
	return p
}

// listLag is how long a machine is considered down after it was taken down, even if the
// list of machines does not show it yet.
const listLag = time.Second

// Step is the next step of a wave.
type Step struct {
	// Cordon are the machines whose workers get no new work.
	Cordon []string
	// Begin are the machines to take down.
	Begin []string
	// Completed is set once no machine of the wave is left to take down. Maintenance may
	// still be in progress.
	Completed bool
}

// Next returns the next step of a wave. now is when the list of machines was requested, which may
// be long ago. Next records newly cordoned machines in the progress.
func Next(now time.Time, w Wave, machines map[string]Machine, p *Progress) Step {
	var s Step
	var left []Machine
	down := 0
	for _, name := range w.Machines {
		m, known := machines[name]
		if m.Down || now.Sub(p.BegunAt[name]) < listLag {
			down++
		}
		if known && !p.Done[name] {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		s.Completed = true
		return s
	}
	free := max(1, w.MaxDown) - down
	slices.SortStableFunc(left, func(a, b Machine) int { return compareMachines(a, b, p) })
	for _, m := range left {
		if free <= 0 {
			break
		}
		if !m.Up {
			continue
		}
		free--
		if p.CordonedAt[m.Name].IsZero() {
			p.CordonedAt[m.Name] = now
		}
		s.Cordon = append(s.Cordon, m.Name)
		if !m.Needed && (m.Runs == 0 || now.Sub(p.CordonedAt[m.Name]) > drainTimeout(w)) {
			s.Begin = append(s.Begin, m.Name)
		}
	}
	return s
}

// compareMachines orders cordoned machines first, then those with the fewest runs.
func compareMachines(a, b Machine, p *Progress) int {
	cordoned := func(m Machine) int {
		if p.CordonedAt[m.Name].IsZero() {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(cordoned(a), cordoned(b)), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
}

// drainTimeout returns how long a cordoned machine's runs may continue.
func drainTimeout(w Wave) time.Duration {
	groups := (len(w.Machines) + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	return time.Duration(drainShare * float64(w.Within) / float64(max(1, groups)))
}
