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

// Workers calls the owners of workers. tasks.Client implements it.
type Workers interface {
	Reserve(ctx context.Context, to tasks.Peer, r tasks.ReserveRequest) (tasks.ReserveReply, error)
	Start(ctx context.Context, to tasks.Peer, r tasks.StartRequest) (tasks.Outcomes, error)
	Cancel(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)
	Status(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error)
	Release(ctx context.Context, to tasks.Peer, r tasks.AttemptsRequest) error
}

// Directory finds the owner of a block. ownership.Owners implements it.
type Directory interface {
	OwnerOf(block string) (address, instance string, ok bool)
}

// OwnerInfo is an owner and its free capacity as of its last digest.
type OwnerInfo struct {
	tasks.Peer
	Free capacity.Summary
}

// Fleet lists the owners, including this entry.
type Fleet interface {
	Owners() []OwnerInfo
}

// Config holds the dependencies and settings of a Coordinator. All fields except Order
// and Usage are required.
type Config struct {
	// Instance is this entry's name.
	Instance string
	Table    platform.Table
	// Fence returns the condition under which this entry may write rows of a
	// shard, and whether this entry holds the lease on the shard now.
	Fence     func(shard string) (platform.Condition, bool)
	Directory Directory
	Fleet     Fleet
	Workers   Workers
	Snapshot  func() *version.Snapshot
	// Order sorts the queue. The default is ByShare.
	Order Order
	// Usage returns what the teams use across the fleet. A team may occur more
	// than once. If it is nil, only the jobs of this coordinator are counted.
	Usage func() []capacity.TeamUsage
	// CallTimeout bounds each call to an owner or to the table.
	CallTimeout time.Duration
	// Retention is how long the rows of ended jobs are stored.
	Retention time.Duration
}

// Coordinator coordinates the jobs of the shards that this entry owns.
type Coordinator struct {
	Config
	unsafe    unsafeOptions
	commit    committer
	stopQueue stopQueue
	wake      chan struct{}

	mu     sync.RWMutex
	shards map[string]*shard

	// ownerGenerations are the generations in the owners' capacity summaries at the
	// last sweep. Only the sweep uses them.
	ownerGenerations map[string]uint64
}

// unsafeOptions disable safety steps of the protocol. Only tests set them, to show
// that the tests detect the fault that a step prevents.
type unsafeOptions struct {
	// startUnrecorded makes the start call before the row is written.
	startUnrecorded bool
	// ackAtOnce acknowledges a cancellation without waiting for start calls in
	// flight.
	ackAtOnce bool
	// retryUnknown treats an unknown outcome of a start as not executed.
	retryUnknown bool
	// queryRecording queries owners about attempts whose record is being written.
	queryRecording bool
	// unfenced writes without conditions on the fence and the row version.
	unfenced bool
	// trustOwners does not query tasks again that an owner has confirmed.
	trustOwners bool
	// noHold never has owners hold workers for a job.
	noHold bool
	// keepPartial starts an all-at-once job with a part of its tasks reserved.
	keepPartial bool
}

// shard holds the jobs of one shard.
type shard struct {
	name string

	mu sync.Mutex
	// dropped is set when this entry has lost the shard or reloads it.
	dropped bool
	// rejectedFence is the fence condition that the table has rejected since the
	// last successful write of the shard, if any.
	rejectedFence platform.Condition
	jobs          map[string]*job
	// waiting are the jobs with pending tasks.
	waiting map[string]*job
	// ended are the jobs whose rows are deleted after Retention.
	ended map[string]*job
}

// NewCoordinator returns a coordinator without shards.
func NewCoordinator(config Config) *Coordinator {
	if config.Order == nil {
		config.Order = ByShare
	}
	c := &Coordinator{Config: config, wake: make(chan struct{}, 1), shards: make(map[string]*shard)}
	c.ownerGenerations = make(map[string]uint64)
	c.commit.init(c)
	c.stopQueue.init(c)
	return c
}

// Run schedules tasks, writes rows, sends stops and queries the state of tasks until
// ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.commit.run(ctx) })
	wg.Go(func() { c.stopQueue.run(ctx) })
	wg.Go(func() { c.sweepLoop(ctx) })
	c.scheduleLoop(ctx)
	wg.Wait()
}

// LoadShard loads the jobs of a shard that this entry has acquired. Until it returns nil,
// calls for the shard's jobs fail with ErrNotCoordinator.
func (c *Coordinator) LoadShard(ctx context.Context, name string) error {
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

// scanPage bounds the number of rows in the result of one scan.
const scanPage = 500

func (c *Coordinator) load(ctx context.Context, s *shard) error {
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

func (c *Coordinator) scan(ctx context.Context, prefix, after string) ([]platform.Row, error) {
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

// updateSets adds the job to the sets waiting and ended or removes it, according to its
// state.
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

// DropShard removes a shard that this entry no longer owns.
func (c *Coordinator) DropShard(name string) {
	c.mu.Lock()
	s := c.shards[name]
	delete(c.shards, name)
	c.mu.Unlock()
	if s != nil {
		s.drop()
	}
}

// drop marks the shard as dropped. Calls that wait for writes of the shard's rows
// fail with ErrUnknown.
func (s *shard) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = true
	for _, j := range s.jobs {
		j.notify(ErrUnknown)
	}
}

// LoadedShards returns the names of the loaded shards.
func (c *Coordinator) LoadedShards() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	loaded := make([]string, 0, len(c.shards))
	for name := range c.shards {
		loaded = append(loaded, name)
	}
	return loaded
}

func (c *Coordinator) shardOf(id string) (*shard, error) {
	s := c.shard(ShardOf(id))
	if s == nil {
		return nil, ErrNotCoordinator
	}
	return s, nil
}

func (c *Coordinator) shard(name string) *shard {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.shards[name]
}

func (c *Coordinator) allShards() []*shard {
	c.mu.RLock()
	defer c.mu.RUnlock()
	shards := make([]*shard, 0, len(c.shards))
	for _, s := range c.shards {
		shards = append(shards, s)
	}
	return shards
}

func (c *Coordinator) wakeScheduler() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// peerOf returns the owner of a block.
func (c *Coordinator) peerOf(block string) (tasks.Peer, bool) {
	address, instance, ok := c.Directory.OwnerOf(block)
	return tasks.Peer{Instance: instance, Address: address}, ok
}
