package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

const (
	// stopInterval is how long stops are gathered into one message an owner.
	stopInterval = 20 * time.Millisecond
	// stopBatch is the most attempts in one message.
	maxStopBatch = 1000
)

// Cancel ends a job of the team. It returns nil once the cancellation is durable
// and no start call for the job is outstanding. Errors: ErrForbidden,
// ErrNotKeeper, ErrUnknown (not confirmed; it may be repeated).
func (c *Keeper) Cancel(ctx context.Context, team, id string) error {
	s, j, err := c.find(team, id)
	if err != nil {
		return err
	}
	c.stopQueue.add(j.cancelAttempts())
	outcome := c.commit.markDirty(s, j)
	s.updateSets(j, time.Now())
	s.mu.Unlock()
	if err := awaitOutcome(ctx, outcome); err != nil {
		return ErrUnknown
	}
	if c.unsafe.ackAtOnce {
		return nil
	}
	return awaitIdle(ctx, s, j)
}

// cancelNow cancels the job and returns the attempts to stop, by block.
func (j *job) cancelAttempts() map[string][]tasks.Located {
	j.cancel()
	active := make(map[string][]tasks.Located)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state.active() {
			active[t.block] = append(active[t.block], j.located(i))
		}
	}
	return active
}

// awaitIdle waits until no start call of the job is outstanding.
func awaitIdle(ctx context.Context, s *shard, j *job) error {
	s.mu.Lock()
	if j.startCalls == 0 {
		s.mu.Unlock()
		return nil
	}
	if j.startsDone == nil {
		j.startsDone = make(chan struct{})
	}
	idle := j.startsDone
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ErrUnknown
	}
}

// stops gathers the attempts to stop, so that a wave of cancellations costs few
// messages.
type stopQueue struct {
	coordinator *Keeper
	wake        chan struct{}

	mu       sync.Mutex
	attempts map[string][]tasks.Located
}

func (q *stopQueue) init(coordinator *Keeper) {
	q.coordinator = coordinator
	q.wake = make(chan struct{}, 1)
	q.attempts = make(map[string][]tasks.Located)
}

func (q *stopQueue) add(blocks map[string][]tasks.Located) {
	if len(blocks) == 0 {
		return
	}
	q.mu.Lock()
	for block, attempts := range blocks {
		q.attempts[block] = append(q.attempts[block], attempts...)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *stopQueue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		sleep(ctx, stopInterval)
		q.send(ctx)
	}
}

// send asks the owners to stop what was gathered. What it doesn't reach is
// asked for again by the sweep.
func (q *stopQueue) send(ctx context.Context) {
	q.mu.Lock()
	blocks := q.attempts
	q.attempts = make(map[string][]tasks.Located)
	q.mu.Unlock()
	c := q.coordinator
	c.callOwners(ctx, blocks, func(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error) {
		return c.Workers.Cancel(ctx, to, r)
	})
}

type ownerCall func(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)

// eachOwner asks the owners of the blocks about attempts, all owners at once and
// at most stopBatch attempts a message, and takes in the outcomes.
func (c *Keeper) callOwners(ctx context.Context, blocks map[string][]tasks.Located, call ownerCall) {
	owners := make(map[tasks.Peer][]tasks.Located)
	for block, attempts := range blocks {
		if to, ok := c.peerOf(block); ok {
			owners[to] = append(owners[to], attempts...)
		}
	}
	var wg sync.WaitGroup
	for to, attempts := range owners {
		wg.Go(func() { c.callOwner(ctx, to, attempts, call) })
	}
	wg.Wait()
}

func (c *Keeper) callOwner(ctx context.Context, to tasks.Peer, attempts []tasks.Located, call ownerCall) {
	for len(attempts) > 0 {
		n := min(len(attempts), maxStopBatch)
		timed, cancel := context.WithTimeout(ctx, c.CallTimeout)
		reply, err := call(timed, to, tasks.AttemptsRequest{Attempts: attempts[:n]})
		cancel()
		if err != nil {
			return
		}
		c.applyOutcomes(reply.Outcomes, to.Instance)
		attempts = attempts[n:]
	}
}
