// Package upkeep decides which machines of a wave are taken down, and when.
//
// # Model
//
// An operator asks that each machine of a wave be maintained within a time, with
// at most so many down at once. A machine is first cordoned: its worker gets no new
// work. It is taken down once nothing runs there that ends by itself, or when
// waiting longer would make the wave late. A machine whose tasks may not be missed
// now is never taken down.
//
// Next is a function of the wave, the machines and the progress so far.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// patiencePart is the part of a machine's share of the wave's time for which its
// tasks may go on.
const patiencePart = 0.5

// Wave is an operator's request.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time for the whole wave, Most how many may be down at once.
	Within time.Duration
	Most   int
}

// Machine is a machine with what its worker runs.
type Machine struct {
	Name   string
	Worker string
	// Up machines carry their worker; Down ones are away for an upkeep. Neither holds
	// while a machine moves or has failed.
	Up   bool
	Down bool
	// Runs counts what runs there and ends by itself.
	Runs int
	// Needed is set while tasks there may not be missed.
	Needed bool
}

// Progress is how far a wave has come.
type Progress struct {
	// SeenAt is when the wave was first seen.
	SeenAt time.Time
	// Done are the machines whose upkeep has begun or that are gone.
	Done map[string]bool
	// CordonedAt is since when machines get no new work.
	CordonedAt map[string]time.Time
	// BegunAt is when a machine was taken down.
	BegunAt map[string]time.Time
}

// NewProgress is that of a wave seen now, of which machines are done already.
func NewProgress(now time.Time, done []string) *Progress {
	p := &Progress{SeenAt: now, Done: make(map[string]bool), CordonedAt: make(map[string]time.Time), BegunAt: make(map[string]time.Time)}
	for _, name := range done {
		p.Done[name] = true
	}
	return p
}

// settled is how long a machine counts as down after it was taken down, whatever
// the list says: the list lags.
const settled = time.Second

// Step is what is to be done for a wave now.
type Step struct {
	// Cordon are the machines that get no new work.
	Cordon []string
	// Begin are the machines to take down.
	Begin []string
	// Completed is set once the upkeep of every machine has begun.
	Completed bool
}

// Next decides on a wave. It notes newly cordoned machines in the progress.
func Next(now time.Time, w Wave, machines map[string]Machine, p *Progress) Step {
	var s Step
	var left []Machine
	down := 0
	for _, name := range w.Machines {
		m, known := machines[name]
		if m.Down || now.Sub(p.BegunAt[name]) < settled {
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
	room := max(1, w.Most) - down
	slices.SortStableFunc(left, func(a, b Machine) int { return compareTurn(a, b, p) })
	for _, m := range left {
		if room <= 0 {
			break
		}
		if !m.Up {
			continue
		}
		room--
		if p.CordonedAt[m.Name].IsZero() {
			p.CordonedAt[m.Name] = now
		}
		s.Cordon = append(s.Cordon, m.Name)
		if !m.Needed && (m.Runs == 0 || now.Sub(p.CordonedAt[m.Name]) > patience(w)) {
			s.Begin = append(s.Begin, m.Name)
		}
	}
	return s
}

// compareTurn puts cordoned machines first, then those that run least.
func compareTurn(a, b Machine, p *Progress) int {
	cordoned := func(m Machine) int {
		if p.CordonedAt[m.Name].IsZero() {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(cordoned(a), cordoned(b)), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Name, b.Name))
}

// patience is how long a cordoned machine's tasks may go on.
func patience(w Wave) time.Duration {
	turns := (len(w.Machines) + max(1, w.Most) - 1) / max(1, w.Most)
	return time.Duration(patiencePart * float64(w.Within) / float64(max(1, turns)))
}
