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
	// reservationFor is how long a reservation lasts.
	reservationFor = 5 * time.Second
	// ownersTried is how many owners are asked for one part.
	ownersTried = 4
	// triesBeforeHold is how often a job that wants all at once fails before
	// owners keep workers for it.
	triesBeforeHold = 6
	// holdFor is how long they do; longer than gangRetryMax, so that a job that
	// goes on trying goes on holding.
	holdFor = 4 * time.Second
	// gangRetryMin and gangRetryMax bound the pause between tries.
	gangRetryMin = 50 * time.Millisecond
	gangRetryMax = 2 * time.Second
)

// reservation is one made at an owner.
type reservation struct {
	tasks.Reservation
	owner tasks.Peer
}

func newPart(s *shard, j *job, places []int) *part {
	p := &part{shard: s, job: j, spec: j.spec, places: places, tries: j.tries}
	for _, i := range places {
		p.refs = append(p.refs, taskRef{Task: taskName(j.spec.ID, i), Attempt: j.tasks[i].attempt + 1})
	}
	return p
}

// place reserves for a part and has what was reserved recorded and started
// apart from the caller. It returns what was short and whether any was placed.
func (k *Keeper) place(ctx context.Context, p *part) (tasks.Limit, bool) {
	whole := p.spec.Policy == version.PolicyAllAtOnce
	reserved, last := k.reserve(ctx, p, whole)
	if whole && len(reserved) < len(p.refs) && !k.policy.keepPartial {
		go k.release(ctx, reserved)
		reserved = nil
	}
	k.notePlacing(p, len(reserved), last, whole)
	if len(reserved) == 0 {
		return last.Limit, false
	}
	go k.recordAndStart(ctx, p, reserved)
	return last.Limit, true
}

// reserve asks owners in turn until all tasks of the part have a place.
func (k *Keeper) reserve(ctx context.Context, p *part, whole bool) ([]reservation, tasks.ReserveReply) {
	var reserved []reservation
	var last tasks.ReserveReply
	last.Limit = tasks.LimitCapacity
	for _, to := range k.candidates(p, whole) {
		reply, err := k.reserveAt(ctx, p, to, p.refs[len(reserved):])
		if err != nil {
			continue
		}
		last = reply
		for _, r := range reply.Reservations {
			reserved = append(reserved, reservation{Reservation: r, owner: to})
		}
		if len(reserved) == len(p.refs) {
			last.Limit = tasks.LimitNone
			break
		}
	}
	return reserved, last
}

func (k *Keeper) reserveAt(ctx context.Context, p *part, to tasks.Peer, refs []taskRef) (tasks.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, k.CallTimeout)
	defer cancel()
	request := tasks.ReserveRequest{
		Job: p.spec.ID, Team: p.spec.Team, Kind: p.spec.Kind, Policy: p.spec.Policy,
		Amount: p.spec.Amount, Refs: refs, For: reservationFor,
	}
	if p.spec.Policy == version.PolicyAllAtOnce && p.tries >= triesBeforeHold && !k.policy.noHold {
		request.Hold = &tasks.Hold{Created: p.spec.Created, For: holdFor}
	}
	return k.Workers.Reserve(ctx, to, request)
}

// candidates returns the owners to ask. Jobs that want all at once ask in the
// order of the owners' names, the same everywhere; others ask this entry first,
// then those with most free.
func (k *Keeper) candidates(p *part, whole bool) []tasks.Peer {
	owners := slices.Clone(p.owners)
	slices.SortFunc(owners, func(x, y OwnerInfo) int {
		if whole {
			return cmp.Compare(x.Instance, y.Instance)
		}
		return k.compareOwners(x, y, p)
	})
	var peers []tasks.Peer
	for _, owner := range owners {
		fits := p.spec.Amount.Fits(owner.Free.Largest) || owner.Instance == k.Instance
		if whole || (fits && len(peers) < ownersTried) {
			peers = append(peers, owner.Peer)
		}
	}
	return peers
}

func (k *Keeper) compareOwners(x, y OwnerInfo, p *part) int {
	if own := compareBool(y.Instance == k.Instance, x.Instance == k.Instance); own != 0 {
		return own
	}
	roomX := 1 / max(p.spec.Amount.DominantShare(x.Free.Total), minShare)
	roomY := 1 / max(p.spec.Amount.DominantShare(y.Free.Total), minShare)
	return cmp.Or(-cmp.Compare(roomX, roomY), cmp.Compare(x.Instance, y.Instance))
}

// minShare keeps the division by an amount's share finite.
const minShare = 1e-9

// notePlacing keeps what Explain tells and delays the next try.
func (k *Keeper) notePlacing(p *part, placed int, last tasks.ReserveReply, whole bool) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	j := p.job
	j.limit, j.dimension = string(last.Limit), last.Dimension
	if placed > 0 {
		j.tries = 0
		return
	}
	j.placing = false
	now := time.Now()
	if !whole {
		j.notBefore = now.Add(jitter(partRetry))
		return
	}
	j.tries++
	j.notBefore = now.Add(jitter(backOff(gangRetryMin, gangRetryMax, j.tries)))
}

// backOff doubles from least to most with each failure.
func backOff(least, most time.Duration, failures int) time.Duration {
	d := least
	for range failures {
		if d >= most {
			return most
		}
		d *= 2
	}
	return min(d, most)
}

// recordAndStart writes the attempts to the job's row, then starts them.
func (k *Keeper) recordAndStart(ctx context.Context, p *part, reserved []reservation) {
	defer k.nudge()
	defer k.unclaim(p)
	outcome, kept := k.record(p, reserved)
	if !kept {
		k.release(ctx, reserved)
		return
	}
	if !k.policy.startUnrecorded {
		if err := await(ctx, outcome); err != nil {
			k.unrecord(p, reserved)
			k.release(ctx, reserved)
			return
		}
	}
	if !k.beginStart(p, reserved) {
		k.release(ctx, reserved)
		return
	}
	k.startAll(ctx, p, reserved)
}

// record assigns the reserved workers and has the row written.
func (k *Keeper) record(p *part, reserved []reservation) (<-chan error, bool) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	j := p.job
	if p.shard.lost || j.cancelled {
		return nil, false
	}
	now := time.Now()
	for _, r := range reserved {
		t := j.task(r.TaskRef)
		t.state, t.attempt, t.since = Assigned, r.Attempt, now
		t.worker, t.block, t.epoch, t.owner = r.Worker, r.Block, r.Epoch, r.owner.Instance
	}
	p.shard.sort(j, now)
	return k.commit.mark(p.shard, j), true
}

// unrecord takes attempts back of which no start call was made. Their numbers
// are not used again, since the row may have been written.
func (k *Keeper) unrecord(p *part, reserved []reservation) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	for _, r := range reserved {
		t := p.job.task(r.TaskRef)
		if t.state.active() && t.attempt == r.Attempt {
			k.putBack(p.job, t, time.Now())
		}
	}
	k.commit.mark(p.shard, p.job)
	p.shard.sort(p.job, time.Now())
}

// putBack has a task wait for its next attempt.
func (k *Keeper) putBack(j *job, t *task, now time.Time) {
	t.state, t.since = Pending, now
	t.notBefore = now.Add(jitter(partRetry))
	if j.cancelled {
		t.state = Cancelled
	}
}

// beginStart counts the start calls in, unless the job was cancelled or the
// right to the shard has ended.
func (k *Keeper) beginStart(p *part, reserved []reservation) bool {
	_, right := k.Fence(p.shard.name)
	p.shard.mu.Lock()
	cancelled := p.job.cancelled
	ok := right && !p.shard.lost && !cancelled
	if ok {
		p.job.starts++
	}
	p.shard.mu.Unlock()
	if !ok {
		k.unrecord(p, reserved)
	}
	return ok
}

func (k *Keeper) release(ctx context.Context, reserved []reservation) {
	for owner, group := range byOwner(reserved) {
		request := tasks.AttemptsRequest{}
		for _, r := range group {
			request.Attempts = append(request.Attempts, r.Located)
		}
		k.releaseAt(ctx, owner, request)
	}
}

// releaseAt frees reservations early; those that it doesn't reach expire.
func (k *Keeper) releaseAt(ctx context.Context, owner tasks.Peer, request tasks.AttemptsRequest) {
	ctx, cancel := context.WithTimeout(ctx, k.CallTimeout)
	defer cancel()
	_ = k.Workers.Release(ctx, owner, request)
}

func byOwner(reserved []reservation) map[tasks.Peer][]reservation {
	groups := make(map[tasks.Peer][]reservation)
	for _, r := range reserved {
		groups[r.owner] = append(groups[r.owner], r)
	}
	return groups
}
