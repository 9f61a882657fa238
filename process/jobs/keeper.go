package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Workers calls the owners of workers; tasks.Client implements it.
type Workers interface {
	Reserve(ctx context.Context, to tasks.Peer, r tasks.ReserveRequest) (tasks.ReserveReply, error)
	Start(ctx context.Context, to tasks.Peer, r tasks.StartRequest) (tasks.Outcomes, error)
	Cancel(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)
	Status(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)
	Release(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) error
}

// Directory finds the owner of a block; ownership.Owners implements it.
type Directory interface {
	OwnerOf(block string) (address, instance string, ok bool)
}

// OwnerInfo is what is known of an owner, by its last digest.
type OwnerInfo struct {
	tasks.Peer
	Free capacity.Summary
}

// Fleet lists the owners, this entry among them.
type Fleet interface {
	Owners() []OwnerInfo
}

// Config is what a Keeper works with. All fields are required but Order and
// Usage.
type Config struct {
	// Instance is this entry's name.
	Instance string
	Table    platform.Table
	// Fence returns the condition under which this entry may write for a shard,
	// and whether its right to the shard holds at this moment.
	Fence     func(shard string) (platform.Condition, bool)
	Directory Directory
	Fleet     Fleet
	Workers   Workers
	Snapshot  func() *version.Snapshot
	// Order decides who is next; nil stands for ByShare.
	Order Order
	// Usage returns what the teams have running across the fleet; a team may occur
	// more than once. nil stands for what this keeper has started.
	Usage func() []capacity.TeamUsage
	// CallTimeout bounds each call to an owner or to the table.
	CallTimeout time.Duration
	// Retention is how long the rows of ended jobs are kept.
	Retention time.Duration
}

// Keeper keeps the jobs of the shards that this entry owns.
type Keeper struct {
	Config
	unsafe    unsafeOptions
	commit    committer
	stopQueue stopQueue
	wake      chan struct{}

	mu     sync.RWMutex
	shards map[string]*shard

	// generations are those of the owners' books at the last sweep; only the
	// sweep uses them.
	ownerGenerations map[string]uint64
}

// policy leaves out parts of the protocol, for tests that must see it fail.
type unsafeOptions struct {
	// startUnrecorded makes the start call before the row is written.
	startUnrecorded bool
	// ackAtOnce acknowledges a cancellation without waiting for start calls.
	ackAtOnce bool
	// retryUnknown takes an unknown outcome for absent.
	retryUnknown bool
	// unfenced writes without the shard's condition.
	unfenced bool
	// trustOwners never asks again about tasks that an owner has confirmed.
	trustOwners bool
	// noHold never has owners keep workers for a job.
	noHold bool
	// keepPartial keeps the reservations of an incomplete set.
	keepPartial bool
}

// shard is a part of the jobs.
type shard struct {
	name string

	mu      sync.Mutex
	dropped bool
	// refusedBy is the fence condition that the table has refused since the last
	// write of the shard; the zero value for none.
	rejectedFence platform.Condition
	jobs          map[string]*job
	// waiting are the jobs that may have tasks to start.
	waiting map[string]*job
	// ended are the jobs whose rows are to be deleted after Retention.
	ended map[string]*job
}

// NewKeeper returns a keeper without shards.
func NewKeeper(config Config) *Keeper {
	if config.Order == nil {
		config.Order = ByShare
	}
	c := &Keeper{Config: config, wake: make(chan struct{}, 1), shards: make(map[string]*shard)}
	c.ownerGenerations = make(map[string]uint64)
	c.commit.init(c)
	c.stopQueue.init(c)
	return c
}

// Run schedules, writes rows and asks for the state of tasks until ctx ends.
func (c *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.commit.run(ctx) })
	wg.Go(func() { c.stopQueue.run(ctx) })
	wg.Go(func() { c.sweepLoop(ctx) })
	c.scheduleLoop(ctx)
	wg.Wait()
}

// Gain loads a shard whose block this entry has come to own. Until it returns
// nil, calls for the shard's jobs are refused.
func (c *Keeper) Gain(ctx context.Context, name string) error {
	s := &shard{
		name: name, jobs: make(map[string]*job),
		waiting: make(map[string]*job), ended: make(map[string]*job),
	}
	if err := c.load(ctx, s); err != nil {
		return eris.Wrapf(err, "load shard %s", name)
	}
	c.mu.Lock()
	previous := c.shards[name]
	c.shards[name] = s
	c.mu.Unlock()
	if previous != nil {
		previous.drop()
	}
	c.wakeScheduler()
	return nil
}

// scanPage is how many rows one scan returns at most.
const scanPage = 500

func (c *Keeper) load(ctx context.Context, s *shard) error {
	prefix := rowPrefix + s.name + "/"
	after := ""
	for {
		rows, err := c.scan(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, r := range rows {
			if err := s.add(r); err != nil {
				return err
			}
			after = r.Key
		}
		if len(rows) < scanPage {
			return nil
		}
	}
}

func (c *Keeper) scan(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	return c.Table.Scan(ctx, prefix, after, scanPage)
}

func (s *shard) add(r platform.Row) error {
	j, err := decode(r.Value)
	if err != nil {
		return eris.Wrapf(err, "row %s", r.Key)
	}
	j.version = r.Version
	s.jobs[j.spec.ID] = j
	s.updateSets(j, time.Now())
	return nil
}

// sort enters the job in the sets that its state asks for.
func (s *shard) updateSets(j *job, now time.Time) {
	id := j.spec.ID
	delete(s.waiting, id)
	if j.waitsForStart() {
		s.waiting[id] = j
	}
	if !j.ended() || j.version == 0 {
		return
	}
	if j.endedAt.IsZero() {
		j.endedAt = now
	}
	s.ended[id] = j
}

// Lose drops a shard that this entry no longer owns.
func (c *Keeper) Lose(name string) {
	c.mu.Lock()
	s := c.shards[name]
	delete(c.shards, name)
	c.mu.Unlock()
	if s != nil {
		s.drop()
	}
}

// drop fails the calls that wait for the shard's rows.
func (s *shard) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = true
	for _, j := range s.jobs {
		j.notify(ErrUnknown)
	}
}

// Kept returns the names of the shards that are loaded.
func (c *Keeper) Kept() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	loaded := make([]string, 0, len(c.shards))
	for name := range c.shards {
		loaded = append(loaded, name)
	}
	return loaded
}

func (c *Keeper) shardOf(id string) (*shard, error) {
	s := c.shard(ShardOf(id))
	if s == nil {
		return nil, ErrNotKeeper
	}
	return s, nil
}

func (c *Keeper) shard(name string) *shard {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.shards[name]
}

func (c *Keeper) allShards() []*shard {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*shard, 0, len(c.shards))
	for _, s := range c.shards {
		all = append(all, s)
	}
	return all
}

func (c *Keeper) wakeScheduler() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// peerOf returns the owner of a block.
func (c *Keeper) peerOf(block string) (tasks.Peer, bool) {
	address, instance, ok := c.Directory.OwnerOf(block)
	return tasks.Peer{Instance: instance, Address: address}, ok
}
