package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// passInterval is the longest pause between two passes over the queue.
	maxPassPause = 200 * time.Millisecond
	// passPause is the least pause between two passes.
	minPassPause = 5 * time.Millisecond
	// passRest is how many times the duration of a pass the next one waits, so
	// that a long queue doesn't take the processor from requests.
	passPauseFactor = 4
	// partTasks is the most tasks of one job that are started in one part.
	maxBatchTasks = 128
	// passFailures ends a pass after that many jobs that did not fit.
	maxPassFailures = 32
	// partRetry is the pause of a job that did not fit.
	placementRetry = 250 * time.Millisecond
)

func (c *Keeper) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(maxPassPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		startedAt := time.Now()
		c.pass(ctx)
		sleep(ctx, max(minPassPause, passPauseFactor*time.Since(startedAt)))
	}
}

// queue returns the jobs with tasks to start, in their order.
func (c *Keeper) queue(total resource.Amount, now time.Time) []QueuedJob {
	var waiting []QueuedJob
	for _, s := range c.allShards() {
		waiting = s.appendQueued(now, waiting)
	}
	if len(waiting) == 0 {
		return nil
	}
	return c.Order(waiting, c.teamShares(total), total)
}

func (s *shard) appendQueued(now time.Time, waiting []QueuedJob) []QueuedJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.waiting {
		waiting = append(waiting, QueuedJob{
			ID: id, Team: j.spec.Team, Urgent: j.spec.Urgent, Deadline: j.spec.Deadline,
			Created: j.spec.Created, Amount: j.spec.Amount, Tasks: j.countPending(now, maxBatchTasks),
		})
	}
	return waiting
}

func (c *Keeper) teamShares(total resource.Amount) map[string]TeamShare {
	shares := make(map[string]TeamShare)
	for name, team := range c.Snapshot().Teams {
		shares[name] = TeamShare{Share: team.Share}
	}
	for team, amount := range c.usage() {
		share := shares[team]
		share.Used = amount.DominantShare(total)
		shares[team] = share
	}
	return shares
}

func (c *Keeper) usage() map[string]resource.Amount {
	usage := make(map[string]resource.Amount)
	if c.Usage != nil {
		for _, u := range c.Usage() {
			usage[u.Team] = usage[u.Team].Add(u.Amount)
		}
		return usage
	}
	for _, s := range c.allShards() {
		s.addUsage(usage)
	}
	return usage
}

func (s *shard) addUsage(usage map[string]resource.Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		counts := j.counts()
		active := int64(counts.Assigned + counts.Running)
		usage[j.spec.Team] = usage[j.spec.Team].Add(j.spec.Amount.Times(active))
	}
}

// shortfalls remembers what did not fit in a pass, so that the same or more is
// not asked for again.
type shortfalls struct {
	teams   map[string]bool
	amounts []resource.Amount
}

func (s *shortfalls) covers(spec *Spec) bool {
	if spec.Policy == version.PolicyAllAtOnce {
		return false
	}
	if s.teams[spec.Team] {
		return true
	}
	for _, amount := range s.amounts {
		if amount.Fits(spec.Amount) {
			return true
		}
	}
	return false
}

func (s *shortfalls) add(spec *Spec, limit tasks.Limit) {
	if limit == tasks.LimitTeam {
		s.teams[spec.Team] = true
		return
	}
	s.amounts = append(s.amounts, spec.Amount)
}

// pass goes once over the queue and starts what fits.
func (c *Keeper) pass(ctx context.Context) {
	if c.commit.recentlyFailed(time.Now()) {
		return
	}
	owners := c.Fleet.Owners()
	size := fleetSize(owners)
	shortfalls := shortfalls{teams: make(map[string]bool)}
	failures := 0
	for _, w := range c.queue(size.Total, time.Now()) {
		if ctx.Err() != nil || failures == maxPassFailures {
			return
		}
		b := c.claim(w.ID, size, &shortfalls, time.Now())
		if b == nil {
			continue
		}
		b.owners = owners
		limit, placed := c.place(ctx, b)
		if !placed {
			failures++
		}
		if limit != tasks.LimitNone && b.spec.Policy != version.PolicyAllAtOnce {
			shortfalls.add(&b.spec, limit)
		}
	}
}

// part is a number of tasks of a job that are being placed. While it exists no
// other part of the job is.
type taskBatch struct {
	shard   *shard
	job     *job
	spec    Spec
	indexes []int
	// refs are the attempts to reserve for, in the order of places.
	refs []taskRef
	// owners are those known at the beginning of the pass.
	owners []OwnerInfo
	// tries is how often the job could not be placed whole.
	failedTries int
}

// claim takes tasks of a job for placing; nil if there is nothing to place.
func (c *Keeper) claim(id string, size FleetSize, shortfalls *shortfalls, now time.Time) *taskBatch {
	s := c.shard(ShardOf(id))
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.waiting[id]
	if j == nil || s.dropped || j.placing || now.Before(j.notBefore) || shortfalls.covers(&j.spec) || c.checkNeverFits(j, size) {
		return nil
	}
	if !c.canRecordStarts(s) {
		return nil
	}
	indexes := j.pendingIndexes(now, j.batchSize())
	if len(indexes) == 0 || (j.spec.Policy == version.PolicyAllAtOnce && len(indexes) < j.counts().Pending) {
		return nil
	}
	j.placing = true
	return newTaskBatch(s, j, indexes)
}

// partSize is how many tasks are placed together. The first start of a job that
// wants all at once is for all; tasks that are lost later are placed singly.
func (j *job) batchSize() int {
	if j.spec.Policy == version.PolicyAllAtOnce {
		return len(j.tasks)
	}
	return maxBatchTasks
}

// neverNow notes whether the job can start on the fleet as it is.
func (c *Keeper) checkNeverFits(j *job, size FleetSize) bool {
	team := c.Snapshot().Teams[j.spec.Team]
	if team == nil {
		return true
	}
	never := NeverFits(&j.spec, team.Limit, size)
	j.neverFits = never != nil
	if never != nil {
		j.limit, j.dimension = never.Limit, never.Dimension
	}
	return j.neverFits
}

func (c *Keeper) unclaim(b *taskBatch) {
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	b.job.placing = false
}
