package tasks

import (
	"cmp"
	"context"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// checkpointCandidate is an attempt that may be checkpointed to free capacity. at is a
// copy of the attempt.
type checkpointCandidate struct {
	agent *agent
	ref   worker.TaskRef
	at    *attempt
}

// Checkpoint checkpoints and ends attempts of a team, the latest started first,
// until their amounts cover excess, the amount by which the team exceeds its
// lowered limit. Attempts that are ending already count towards it. Checkpoint
// returns the number of attempts that it marked. The coordinators of their jobs
// restart the tasks from the checkpoints.
func (o *Owner) Checkpoint(team string, excess resource.Amount) int {
	chosen := 0
	for _, c := range o.latestStarted(team) {
		if excess.Fits(resource.Amount{}) {
			break
		}
		excess = excess.Sub(c.at.amount)
		if c.agent.markCheckpoint(c.ref) {
			chosen++
		}
	}
	return chosen
}

// latestStarted returns the running attempts of a team: those that are ending, then
// the others by descending start time.
func (o *Owner) latestStarted(team string) []checkpointCandidate {
	o.mu.Lock()
	agents := make([]*agent, 0, len(o.agents))
	for _, a := range o.agents {
		agents = append(agents, a)
	}
	o.mu.Unlock()
	var candidates []checkpointCandidate
	for _, a := range agents {
		candidates = a.appendRunning(team, candidates)
	}
	slices.SortFunc(candidates, func(x, y checkpointCandidate) int {
		return cmp.Or(
			cmp.Compare(y.at.ending(), x.at.ending()),
			y.at.startedAt.Compare(x.at.startedAt),
			cmp.Compare(x.ref.Task, y.ref.Task),
		)
	})
	return candidates
}

// appendRunning appends copies of the running attempts of a team to candidates.
func (a *agent) appendRunning(team string, candidates []checkpointCandidate) []checkpointCandidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	for ref, at := range a.attempts {
		if at.team == team && (at.phase == running || at.phase == startUnknown) {
			snapshot := *at
			candidates = append(candidates, checkpointCandidate{agent: a, ref: ref, at: &snapshot})
		}
	}
	return candidates
}

// ending returns 1 for an attempt that is being stopped or checkpointed, else 0.
func (at *attempt) ending() int {
	if at.stop || at.checkpointing {
		return 1
	}
	return 0
}

// markCheckpoint marks a running attempt for checkpointing. It returns false if the
// attempt is not running or is ending already.
func (a *agent) markCheckpoint(ref worker.TaskRef) bool {
	a.mu.Lock()
	at := a.attempts[ref]
	marked := at != nil && at.phase == running && at.ending() == 0
	if marked {
		at.checkpointing = true
	}
	a.mu.Unlock()
	if marked {
		a.wakeUp()
	}
	return marked
}

// checkpointMarked checkpoints the marked attempts with one call.
func (a *agent) checkpointMarked(ctx context.Context) error {
	return a.endAttempts(ctx, a.toCheckpoint(), a.client.Checkpoint)
}

func (a *agent) toCheckpoint() []worker.TaskRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refs []worker.TaskRef
	for ref, at := range a.attempts {
		if at.checkpointing && !at.stop && at.phase == running {
			refs = append(refs, ref)
		}
	}
	return refs
}
