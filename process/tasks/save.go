package tasks

import (
	"cmp"
	"context"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// candidate is an attempt that may be checkpointed to make room.
type candidate struct {
	agent *agent
	ref   worker.TaskRef
	at    *attempt
}

// Checkpoint has attempts of a team saved and ended, the latest started first,
// until what they take covers the excess, which is what the team uses beyond its
// lowered limit. Attempts that are ending already count. It returns how many it
// chose. Keepers start saved tasks again from their checkpoints.
func (o *Owner) Checkpoint(team string, excess resource.Amount) int {
	chosen := 0
	for _, c := range o.latest(team) {
		if excess.Fits(resource.Amount{}) {
			break
		}
		excess = excess.Sub(c.at.amount)
		if c.agent.save(c.ref) {
			chosen++
		}
	}
	return chosen
}

// latest returns the running attempts of a team, those that are ending first, then
// the latest started.
func (o *Owner) latest(team string) []candidate {
	o.mu.Lock()
	agents := make([]*agent, 0, len(o.agents))
	for _, a := range o.agents {
		agents = append(agents, a)
	}
	o.mu.Unlock()
	var all []candidate
	for _, a := range agents {
		all = a.runningOf(team, all)
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(y.at.leaving(), x.at.leaving()),
			y.at.began.Compare(x.at.began),
			cmp.Compare(x.ref.Task, y.ref.Task),
		)
	})
	return all
}

// runningOf appends copies of the running attempts of a team.
func (a *agent) runningOf(team string, all []candidate) []candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	for ref, at := range a.attempts {
		if at.team == team && (at.phase == running || at.phase == unsure) {
			seen := *at
			all = append(all, candidate{agent: a, ref: ref, at: &seen})
		}
	}
	return all
}

// leaving is 1 for an attempt that is being stopped or saved, else 0.
func (at *attempt) leaving() int {
	if at.stop || at.saving {
		return 1
	}
	return 0
}

// save marks an attempt to be checkpointed; it returns false if it is ending
// already.
func (a *agent) save(ref worker.TaskRef) bool {
	a.mu.Lock()
	at := a.attempts[ref]
	marks := at != nil && at.phase == running && at.leaving() == 0
	if marks {
		at.saving = true
	}
	a.mu.Unlock()
	if marks {
		a.nudge()
	}
	return marks
}

// saveMarked checkpoints in one call what is marked.
func (a *agent) saveMarked(ctx context.Context) error {
	return a.endAttempts(ctx, a.savings(), a.client.Checkpoint)
}

func (a *agent) savings() []worker.TaskRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refs []worker.TaskRef
	for ref, at := range a.attempts {
		if at.saving && !at.stop && at.phase == running {
			refs = append(refs, ref)
		}
	}
	return refs
}
