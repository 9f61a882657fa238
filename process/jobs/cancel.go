package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

const (
	// stopInterval is how long stops are collected into one message per owner.
	stopInterval = 20 * time.Millisecond
	// maxStopBatch bounds the number of attempts in one message.
	maxStopBatch = 1000
)

// Cancel cancels a job of the team. It returns nil once the cancellation is durable
// and no start call for the job is in flight. Errors: ErrForbidden, ErrNotCoordinator,
// ErrUnknown (not confirmed; the call may be repeated).
func (c *Coordinator) Cancel(ctx context.Context, team, id string) error {
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

// cancelAttempts cancels the job and returns the attempts to stop, by block.
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

// awaitIdle waits until no start call of the job is in flight.
func awaitIdle(ctx context.Context, s *shard, j *job) error {
	s.mu.Lock()
	if j.startCalls == 0 {
		s.mu.Unlock()
		return nil
	}
	if j.startsDone == nil {
		j.startsDone = make(chan struct{})
	}
	startsDone := j.startsDone
	s.mu.Unlock()
	select {
	case <-startsDone:
		return nil
	case <-ctx.Done():
		return ErrUnknown
	}
}

// stopQueue collects the attempts to stop, so that many cancellations need few
// messages.
type stopQueue struct {
	coordinator *Coordinator
	wake        chan struct{}

	mu      sync.Mutex
	byBlock map[string][]tasks.Located
}

func (q *stopQueue) init(coordinator *Coordinator) {
	q.coordinator = coordinator
	q.wake = make(chan struct{}, 1)
	q.byBlock = make(map[string][]tasks.Located)
}

func (q *stopQueue) add(byBlock map[string][]tasks.Located) {
	if len(byBlock) == 0 {
		return
	}
	q.mu.Lock()
	for block, attempts := range byBlock {
		q.byBlock[block] = append(q.byBlock[block], attempts...)
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

// send sends the collected stops to the owners. The sweep repeats stops that were not
// delivered.
func (q *stopQueue) send(ctx context.Context) {
	q.mu.Lock()
	byBlock := q.byBlock
	q.byBlock = make(map[string][]tasks.Located)
	q.mu.Unlock()
	c := q.coordinator
	c.callOwners(ctx, byBlock, func(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error) {
		return c.Workers.Cancel(ctx, to, r)
	})
}

type ownerCall func(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)

// callOwners calls the owners of the blocks in parallel, with at most maxStopBatch
// attempts per message, and applies the outcomes.
func (c *Coordinator) callOwners(ctx context.Context, byBlock map[string][]tasks.Located, call ownerCall) {
	owners := make(map[tasks.Peer][]tasks.Located)
	for block, attempts := range byBlock {
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

func (c *Coordinator) callOwner(ctx context.Context, to tasks.Peer, attempts []tasks.Located, call ownerCall) {
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
