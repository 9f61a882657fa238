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
	stopBatch = 1000
)

// Cancel ends a job of the team. It returns nil once the cancellation is durable
// and no start call for the job is outstanding. Errors: ErrForbidden,
// ErrNotKeeper, ErrUnknown (not confirmed; it may be repeated).
func (k *Keeper) Cancel(ctx context.Context, team, id string) error {
	s, j, err := k.find(team, id)
	if err != nil {
		return err
	}
	k.stops.add(j.cancelNow())
	outcome := k.commit.mark(s, j)
	s.sort(j, time.Now())
	s.mu.Unlock()
	if err := await(ctx, outcome); err != nil {
		return ErrUnknown
	}
	if k.policy.ackAtOnce {
		return nil
	}
	return awaitIdle(ctx, s, j)
}

// cancelNow cancels the job and returns the attempts to stop, by block.
func (j *job) cancelNow() map[string][]tasks.Located {
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
	if j.starts == 0 {
		s.mu.Unlock()
		return nil
	}
	if j.idle == nil {
		j.idle = make(chan struct{})
	}
	idle := j.idle
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
type stops struct {
	keeper *Keeper
	wake   chan struct{}

	mu     sync.Mutex
	blocks map[string][]tasks.Located
}

func (q *stops) init(k *Keeper) {
	q.keeper = k
	q.wake = make(chan struct{}, 1)
	q.blocks = make(map[string][]tasks.Located)
}

func (q *stops) add(blocks map[string][]tasks.Located) {
	if len(blocks) == 0 {
		return
	}
	q.mu.Lock()
	for block, attempts := range blocks {
		q.blocks[block] = append(q.blocks[block], attempts...)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *stops) run(ctx context.Context) {
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
func (q *stops) send(ctx context.Context) {
	q.mu.Lock()
	blocks := q.blocks
	q.blocks = make(map[string][]tasks.Located)
	q.mu.Unlock()
	k := q.keeper
	k.eachOwner(ctx, blocks, func(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error) {
		return k.Workers.Cancel(ctx, to, r)
	})
}

type ask func(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)

// eachOwner asks the owners of the blocks about attempts, all owners at once and
// at most stopBatch attempts a message, and takes in the outcomes.
func (k *Keeper) eachOwner(ctx context.Context, blocks map[string][]tasks.Located, call ask) {
	owners := make(map[tasks.Peer][]tasks.Located)
	for block, attempts := range blocks {
		if to, ok := k.peerOf(block); ok {
			owners[to] = append(owners[to], attempts...)
		}
	}
	var wg sync.WaitGroup
	for to, attempts := range owners {
		wg.Go(func() { k.askOwner(ctx, to, attempts, call) })
	}
	wg.Wait()
}

func (k *Keeper) askOwner(ctx context.Context, to tasks.Peer, attempts []tasks.Located, call ask) {
	for len(attempts) > 0 {
		n := min(len(attempts), stopBatch)
		timed, cancel := context.WithTimeout(ctx, k.CallTimeout)
		reply, err := call(timed, to, tasks.AttemptsRequest{Attempts: attempts[:n]})
		cancel()
		if err != nil {
			return
		}
		k.take(reply.Outcomes, to.Instance)
		attempts = attempts[n:]
	}
}
