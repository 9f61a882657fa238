package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

const (
	// maxPassPause is the interval between passes over the queue if no event starts one
	// earlier.
	maxPassPause = 200 * time.Millisecond
	// minPassPause is the shortest pause between two passes.
	minPassPause = 5 * time.Millisecond
	// passPauseFactor times the duration of a pass is the shortest pause after it, so
	// that a long queue does not take CPU time from requests.
	passPauseFactor = 4
	// maxBatchTasks bounds the number of tasks of a job that are placed together.
	maxBatchTasks = 128
	// maxPassFailures is the number of jobs that did not fit after which a pass ends.
	maxPassFailures = 32
	// placementRetry is the pause before a job that did not fit, or a task that was
	// not started, is placed again.
	placementRetry = 250 * time.Millisecond
)

func (c *Coordinator) scheduleLoop(ctx context.Context) {
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

// queue returns the jobs with pending tasks in scheduling order.
func (c *Coordinator) queue(total resource.Amount, now time.Time) []QueuedJob {
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

func (c *Coordinator) teamShares(total resource.Amount) map[string]TeamShare {
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

func (c *Coordinator) usage() map[string]resource.Amount {
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

// shortfalls records what did not fit in a pass, so that an equal or larger amount is
// not tried again.
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

// pass processes the queue once and starts the tasks that fit.
func (c *Coordinator) pass(ctx context.Context) {
	if c.commit.recentlyFailed(time.Now()) {
		return
	}
	owners := c.Fleet.Owners()
	size := fleetSize(owners)
	short := shortfalls{teams: make(map[string]bool)}
	failures := 0
	for _, w := range c.queue(size.Total, time.Now()) {
		if ctx.Err() != nil || failures == maxPassFailures {
			return
		}
		b := c.claim(w.ID, size, &short, time.Now())
		if b == nil {
			continue
		}
		b.owners = owners
		limit, placed := c.place(ctx, b)
		if !placed {
			failures++
		}
		if limit != tasks.LimitNone && b.spec.Policy != version.PolicyAllAtOnce {
			short.add(&b.spec, limit)
		}
	}
}

// taskBatch is a batch of tasks of one job that are being placed. A job has at most
// one batch at a time.
type taskBatch struct {
	shard   *shard
	job     *job
	spec    Spec
	indexes []int
	// refs are the attempts to reserve capacity for, in the order of indexes.
	refs []taskRef
	// owners are the owners of workers, as known at the start of the pass.
	owners []OwnerInfo
	// failedTries counts the failed placements of all tasks of the job at once.
	failedTries int
}

// claim returns a batch of pending tasks of a job for placement, or nil if the job
// cannot be placed now.
func (c *Coordinator) claim(id string, size FleetSize, short *shortfalls, now time.Time) *taskBatch {
	s := c.shard(ShardOf(id))
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.waiting[id]
	if j == nil || s.dropped || j.placing || now.Before(j.notBefore) || short.covers(&j.spec) || c.checkNeverFits(j, size) {
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

// batchSize bounds how many tasks are placed together. An all-at-once job is first
// placed whole; later only the tasks that were lost are placed.
func (j *job) batchSize() int {
	if j.spec.Policy == version.PolicyAllAtOnce {
		return len(j.tasks)
	}
	return maxBatchTasks
}

// checkNeverFits records and returns whether the job cannot start on the current
// fleet.
func (c *Coordinator) checkNeverFits(j *job, size FleetSize) bool {
	team := c.Snapshot().Teams[j.spec.Team]
	if team == nil {
		return true
	}
	neverFits := NeverFits(&j.spec, team.Limit, size)
	j.neverFits = neverFits != nil
	if neverFits != nil {
		j.limit, j.dimension = neverFits.Limit, neverFits.Dimension
	}
	return j.neverFits
}

func (c *Coordinator) unclaim(b *taskBatch) {
	b.shard.mu.Lock()
	defer b.shard.mu.Unlock()
	b.job.placing = false
}
