package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// find returns a durable job of the team with its shard locked. The caller must unlock
// the shard.
func (c *Coordinator) find(team, id string) (*shard, *job, error) {
	s, err := c.shardOf(id)
	if err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	j := s.jobs[id]
	if s.dropped {
		s.mu.Unlock()
		return nil, nil, ErrNotCoordinator
	}
	if j == nil || j.version == 0 || j.spec.Team != team {
		s.mu.Unlock()
		return nil, nil, ErrForbidden
	}
	return s, j, nil
}

// Get returns a job of the team. Errors: ErrForbidden, ErrNotCoordinator.
func (c *Coordinator) Get(_ context.Context, team, id string) (Job, error) {
	s, j, err := c.find(team, id)
	if err != nil {
		return Job{}, err
	}
	defer s.mu.Unlock()
	return j.view(), nil
}

// List returns the team's jobs at this coordinator, sorted by ID.
func (c *Coordinator) List(_ context.Context, team string) []Job {
	var list []Job
	for _, s := range c.allShards() {
		list = s.list(team, list)
	}
	slices.SortFunc(list, func(x, y Job) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

func (s *shard) list(team string, list []Job) []Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.spec.Team == team && j.version > 0 {
			list = append(list, j.view())
		}
	}
	return list
}

// Explain returns why tasks of a job are pending. Errors: ErrForbidden, ErrNotCoordinator.
func (c *Coordinator) Explain(_ context.Context, team, id string) (Explanation, error) {
	s, j, err := c.find(team, id)
	if err != nil {
		return Explanation{}, err
	}
	e := Explanation{
		Job: j.view(), Limit: j.limit, Dimension: j.dimension, NeverRunnable: j.neverFits, FailedTries: j.failedTries,
	}
	s.mu.Unlock()
	queue := c.queue(fleetSize(c.Fleet.Owners()).Total, time.Now())
	e.Waiting = len(queue)
	e.Position = 1 + slices.IndexFunc(queue, func(w QueuedJob) bool { return w.ID == id })
	return e, nil
}
