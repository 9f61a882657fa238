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
	passInterval = 200 * time.Millisecond
	// passPause is the least pause between two passes.
	passPause = 5 * time.Millisecond
	// passRest is how many times the duration of a pass the next one waits, so
	// that a long queue doesn't take the processor from requests.
	passRest = 4
	// partTasks is the most tasks of one job that are started in one part.
	partTasks = 128
	// passFailures ends a pass after that many jobs that did not fit.
	passFailures = 32
	// partRetry is the pause of a job that did not fit.
	partRetry = 250 * time.Millisecond
)

func (k *Keeper) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
		}
		began := time.Now()
		k.pass(ctx)
		sleep(ctx, max(passPause, passRest*time.Since(began)))
	}
}

// queue returns the jobs with tasks to start, in their order.
func (k *Keeper) queue(total resource.Amount, now time.Time) []Waiting {
	var waiting []Waiting
	for _, s := range k.all() {
		waiting = s.queued(now, waiting)
	}
	if len(waiting) == 0 {
		return nil
	}
	return k.Order(waiting, k.teamShares(total), total)
}

func (s *shard) queued(now time.Time, waiting []Waiting) []Waiting {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.waiting {
		waiting = append(waiting, Waiting{
			ID: id, Team: j.spec.Team, Urgent: j.spec.Urgent, Deadline: j.spec.Deadline,
			Created: j.spec.Created, Amount: j.spec.Amount, Tasks: j.pendingTasks(now, partTasks),
		})
	}
	return waiting
}

func (k *Keeper) teamShares(total resource.Amount) map[string]TeamShare {
	shares := make(map[string]TeamShare)
	for name, team := range k.Snapshot().Teams {
		shares[name] = TeamShare{Share: team.Share}
	}
	for team, amount := range k.usage() {
		share := shares[team]
		share.Used = amount.DominantShare(total)
		shares[team] = share
	}
	return shares
}

func (k *Keeper) usage() map[string]resource.Amount {
	usage := make(map[string]resource.Amount)
	if k.Usage != nil {
		for _, u := range k.Usage() {
			usage[u.Team] = usage[u.Team].Add(u.Amount)
		}
		return usage
	}
	for _, s := range k.all() {
		s.sumUsage(usage)
	}
	return usage
}

func (s *shard) sumUsage(usage map[string]resource.Amount) {
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

func (f *shortfalls) covers(spec *Spec) bool {
	if spec.Policy == version.PolicyAllAtOnce {
		return false
	}
	if f.teams[spec.Team] {
		return true
	}
	for _, amount := range f.amounts {
		if amount.Fits(spec.Amount) {
			return true
		}
	}
	return false
}

func (f *shortfalls) note(spec *Spec, limit tasks.Limit) {
	if limit == tasks.LimitTeam {
		f.teams[spec.Team] = true
		return
	}
	f.amounts = append(f.amounts, spec.Amount)
}

// pass goes once over the queue and starts what fits.
func (k *Keeper) pass(ctx context.Context) {
	if k.commit.failing(time.Now()) {
		return
	}
	owners := k.Fleet.Owners()
	size := sizeOf(owners)
	short := shortfalls{teams: make(map[string]bool)}
	failures := 0
	for _, w := range k.queue(size.Total, time.Now()) {
		if ctx.Err() != nil || failures == passFailures {
			return
		}
		p := k.claim(w.ID, size, &short, time.Now())
		if p == nil {
			continue
		}
		p.owners = owners
		limit, placed := k.place(ctx, p)
		if !placed {
			failures++
		}
		if limit != tasks.LimitNone && p.spec.Policy != version.PolicyAllAtOnce {
			short.note(&p.spec, limit)
		}
	}
}

// part is a number of tasks of a job that are being placed. While it exists no
// other part of the job is.
type part struct {
	shard  *shard
	job    *job
	spec   Spec
	places []int
	// refs are the attempts to reserve for, in the order of places.
	refs []taskRef
	// owners are those known at the beginning of the pass.
	owners []OwnerInfo
	// tries is how often the job could not be placed whole.
	tries int
}

// claim takes tasks of a job for placing; nil if there is nothing to place.
func (k *Keeper) claim(id string, size FleetSize, short *shortfalls, now time.Time) *part {
	s := k.shard(ShardOf(id))
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.waiting[id]
	if j == nil || s.lost || j.placing || now.Before(j.notBefore) || short.covers(&j.spec) || k.neverNow(j, size) {
		return nil
	}
	if !k.mayPlace(s) {
		return nil
	}
	places := j.pending(now, j.partSize())
	if len(places) == 0 || (j.spec.Policy == version.PolicyAllAtOnce && len(places) < j.counts().Pending) {
		return nil
	}
	j.placing = true
	return newPart(s, j, places)
}

// partSize is how many tasks are placed together. The first start of a job that
// wants all at once is for all; tasks that are lost later are placed singly.
func (j *job) partSize() int {
	if j.spec.Policy == version.PolicyAllAtOnce {
		return len(j.tasks)
	}
	return partTasks
}

// neverNow notes whether the job can start on the fleet as it is.
func (k *Keeper) neverNow(j *job, size FleetSize) bool {
	team := k.Snapshot().Teams[j.spec.Team]
	if team == nil {
		return true
	}
	never := NeverFits(&j.spec, team.Limit, size)
	j.never = never != nil
	if never != nil {
		j.limit, j.dimension = never.Limit, never.Dimension
	}
	return j.never
}

func (k *Keeper) unclaim(p *part) {
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	p.job.placing = false
}
