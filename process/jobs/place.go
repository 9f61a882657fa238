package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

type taskRef = worker.TaskRef

const (
	// reservationTTL is how long a reservation lasts.
	reservationTTL = 5 * time.Second
	// maxOwnersTried bounds how many owners are called for one batch, unless the job
	// is all-at-once.
	maxOwnersTried = 4
	// triesBeforeHold is the number of failed placements of an all-at-once job after
	// which owners hold workers for it.
	triesBeforeHold = 6
	// holdTTL is how long owners hold the workers. It is longer than maxGangRetry, so
	// that the next placement renews the hold.
	holdTTL = 4 * time.Second
	// minGangRetry and maxGangRetry bound the backoff between placements of an
	// all-at-once job.
	minGangRetry = 50 * time.Millisecond
	maxGangRetry = 2 * time.Second
)

// reservation is a reservation and the owner that granted it.
type reservation struct {
	tasks.Reservation
	owner tasks.Peer
}

func newTaskBatch(s *shard, j *job, indexes []int) *taskBatch {
	b := &taskBatch{shard: s, job: j, spec: j.spec, indexes: indexes, failedTries: j.failedTries}
	for _, i := range indexes {
		b.refs = append(b.refs, taskRef{Task: taskName(j.spec.ID, i), Attempt: j.tasks[i].attempt + 1})
	}
	return b
}

// place reserves capacity for a batch, and records and starts the reserved attempts in
// the background. It returns the limit that was hit and whether any task was placed.
func (c *Coordinator) place(ctx context.Context, b *taskBatch) (tasks.Limit, bool) {
	whole := b.spec.Policy == version.PolicyAllAtOnce
	reserved, last := c.reserve(ctx, b, whole)
	if whole && len(reserved) < len(b.refs) && !c.unsafe.keepPartial {
		go c.release(ctx, reserved)
		reserved = nil
	}
	c.recordPlacement(b, len(reserved), last, whole)
	if len(reserved) == 0 {
		return last.Limit, false
	}
	go c.recordAndStart(ctx, b, reserved)
	return last.Limit, true
}

// reserve calls owners in turn until all tasks of the batch have a reservation.
func (c *Coordinator) reserve(ctx context.Context, b *taskBatch, whole bool) ([]reservation, tasks.ReserveReply) {
	var reserved []reservation
	var last tasks.ReserveReply
	last.Limit = tasks.LimitCapacity
	for _, to := range c.candidates(b, whole) {
		reply, err := c.reserveAt(ctx, b, to, b.refs[len(reserved):])
		if err != nil {
			continue
		}
		last = reply
		for _, r := range reply.Reservations {
			reserved = append(reserved, reservation{Reservation: r, owner: to})
		}
		if len(reserved) == len(b.refs) {
			last.Limit = tasks.LimitNone
			break
		}
	}
	return reserved, last
}

func (c *Coordinator) reserveAt(ctx context.Context, b *taskBatch, to tasks.Peer, refs []taskRef) (tasks.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	request := tasks.ReserveRequest{
		Job: b.spec.ID, Team: b.spec.Team, Kind: b.spec.Kind, Policy: b.spec.Policy,
		Amount: b.spec.Amount, Refs: refs, TTL: reservationTTL,
	}
	if b.spec.Policy == version.PolicyAllAtOnce && b.failedTries >= triesBeforeHold && !c.unsafe.noHold {
		request.Hold = &tasks.Hold{Created: b.spec.Created, TTL: holdTTL}
	}
	return c.Workers.Reserve(ctx, to, request)
}

// candidates returns the owners to call. For all-at-once jobs they are in the order of
// their names, which is the same on all coordinators. For other jobs this entry is
// first, then the owners with most free capacity.
func (c *Coordinator) candidates(b *taskBatch, whole bool) []tasks.Peer {
	owners := slices.Clone(b.owners)
	slices.SortFunc(owners, func(x, y OwnerInfo) int {
		if whole {
			return cmp.Compare(x.Instance, y.Instance)
		}
		return c.compareOwners(x, y, b)
	})
	var peers []tasks.Peer
	for _, owner := range owners {
		fits := b.spec.Amount.Fits(owner.Free.Largest) || owner.Instance == c.Instance
		if whole || (fits && len(peers) < maxOwnersTried) {
			peers = append(peers, owner.Peer)
		}
	}
	return peers
}

func (c *Coordinator) compareOwners(x, y OwnerInfo, b *taskBatch) int {
	if own := compareBool(y.Instance == c.Instance, x.Instance == c.Instance); own != 0 {
		return own
	}
	freeX := 1 / max(b.spec.Amount.DominantShare(x.Free.Total), minShare)
	freeY := 1 / max(b.spec.Amount.DominantShare(y.Free.Total), minShare)
	return cmp.Or(-cmp.Compare(freeX, freeY), cmp.Compare(x.Instance, y.Instance))
}

// minShare avoids a division by zero in compareOwners.
const minShare = 1e-9

// recordPlacement records the result for Explain and delays the next placement after a
// failed one.
func (c *Coordinator) recordPlacement(b *taskBatch, placed int, reply tasks.ReserveReply, whole bool) {
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	j := b.job
	j.limit, j.dimension = string(reply.Limit), reply.Dimension
	if placed > 0 {
		j.failedTries = 0
		return
	}
	j.placing = false
	now := time.Now()
	if !whole {
		j.notBefore = now.Add(jitter(placementRetry))
		return
	}
	j.failedTries++
	j.notBefore = now.Add(jitter(backoff(minGangRetry, maxGangRetry, j.failedTries)))
}

// backoff returns initial, doubled with each failure up to limit.
func backoff(initial, limit time.Duration, failures int) time.Duration {
	d := initial
	for range failures {
		if d >= limit {
			return limit
		}
		d *= 2
	}
	return min(d, limit)
}

// recordAndStart writes the attempts to the job's row, then starts them.
func (c *Coordinator) recordAndStart(ctx context.Context, b *taskBatch, reserved []reservation) {
	defer c.wakeScheduler()
	defer c.unclaim(b)
	outcome, recorded := c.record(b, reserved)
	if !recorded {
		c.release(ctx, reserved)
		return
	}
	if !c.unsafe.startUnrecorded {
		if err := awaitOutcome(ctx, outcome); err != nil {
			c.undoRecord(b, reserved)
			c.release(ctx, reserved)
			return
		}
	}
	if !c.beginStart(b, reserved) {
		c.release(ctx, reserved)
		return
	}
	c.startAll(ctx, b, reserved)
}

// record assigns the reserved workers to the tasks and queues the row for writing. It
// returns false if the job was cancelled or the shard dropped.
func (c *Coordinator) record(b *taskBatch, reserved []reservation) (<-chan error, bool) {
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	j := b.job
	if b.shard.dropped || j.cancelled {
		return nil, false
	}
	now := time.Now()
	for _, r := range reserved {
		t := j.task(r.TaskRef)
		t.state, t.attempt, t.since = Assigned, r.Attempt, now
		t.worker, t.block, t.epoch, t.owner = r.Worker, r.Block, r.Epoch, r.owner.Instance
		t.recording = true
	}
	b.shard.updateSets(j, now)
	return c.commit.markDirty(b.shard, j), true
}

// undoRecord reverts attempts that were not started. Their numbers are not used again,
// since the row may have been written.
func (c *Coordinator) undoRecord(b *taskBatch, reserved []reservation) {
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	b.endRecording(reserved)
	for _, r := range reserved {
		t := b.job.task(r.TaskRef)
		if t.state.active() && t.attempt == r.Attempt {
			c.requeueTask(b.job, t, time.Now())
		}
	}
	c.commit.markDirty(b.shard, b.job)
	b.shard.updateSets(b.job, time.Now())
}

// requeueTask makes a task wait for its next attempt, or ends it if the job was
// cancelled.
func (c *Coordinator) requeueTask(j *job, t *task, now time.Time) {
	t.state, t.since = Pending, now
	t.notBefore = now.Add(jitter(placementRetry))
	if j.cancelled {
		t.state = Cancelled
	}
}

// beginStart counts the start calls as in flight. If the job was cancelled or this
// entry no longer holds the lease on the shard, it reverts the attempts and returns
// false.
func (c *Coordinator) beginStart(b *taskBatch, reserved []reservation) bool {
	_, leaseHeld := c.Fence(b.shard.name)
	b.shard.mu.Lock()
	cancelled := b.job.cancelled
	ok := leaseHeld && !b.shard.dropped && !cancelled
	if ok {
		b.job.startCalls++
		b.endRecording(reserved)
	}
	b.shard.mu.Unlock()
	if !ok {
		c.undoRecord(b, reserved)
	}
	return ok
}

// endRecording marks the attempts as no longer being recorded. The caller holds the
// shard's lock.
func (b *taskBatch) endRecording(reserved []reservation) {
	for _, r := range reserved {
		b.job.task(r.TaskRef).recording = false
	}
}

func (c *Coordinator) release(ctx context.Context, reserved []reservation) {
	for owner, group := range byOwner(reserved) {
		request := tasks.AttemptsRequest{}
		for _, r := range group {
			request.Attempts = append(request.Attempts, r.Located)
		}
		c.releaseAt(ctx, owner, request)
	}
}

// releaseAt frees reservations early. Errors are ignored, since reservations expire.
func (c *Coordinator) releaseAt(ctx context.Context, owner tasks.Peer, request tasks.AttemptsRequest) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	_ = c.Workers.Release(ctx, owner, request)
}

func byOwner(reserved []reservation) map[tasks.Peer][]reservation {
	groups := make(map[tasks.Peer][]reservation)
	for _, r := range reserved {
		groups[r.owner] = append(groups[r.owner], r)
	}
	return groups
}
