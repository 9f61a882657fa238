package jobs

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Submit accepts a job and returns once it is durable. If a job with the same ID and
// team exists, Submit returns that job unchanged. Errors: *InvalidError,
// *NeverFitsError, ErrForbidden, ErrUnavailable, ErrUnknown, ErrNotCoordinator.
func (c *Coordinator) Submit(ctx context.Context, spec Spec) (Job, error) {
	s, err := c.shardOf(spec.ID)
	if err != nil {
		return Job{}, err
	}
	outcome, view, err := c.addOrJoin(s, spec, time.Now())
	if err != nil || outcome == nil {
		return view, err
	}
	if err := awaitOutcome(ctx, outcome); err != nil {
		return Job{}, err
	}
	return c.Get(ctx, spec.Team, spec.ID)
}

// awaitOutcome waits for an outcome. It returns ErrUnknown if ctx ends first.
func awaitOutcome(ctx context.Context, outcome <-chan error) error {
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return ErrUnknown
	}
}

// addOrJoin adds a new job or joins an existing one with the same ID. If outcome is
// nil, the job is already durable.
func (c *Coordinator) addOrJoin(s *shard, spec Spec, now time.Time) (outcome <-chan error, view Job, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped {
		return nil, Job{}, ErrNotCoordinator
	}
	if existing := s.jobs[spec.ID]; existing != nil {
		return c.joinExisting(s, existing, &spec)
	}
	if err := c.completeSpec(&spec, now); err != nil {
		return nil, Job{}, err
	}
	j := newJob(spec)
	s.jobs[spec.ID] = j
	return c.commit.markDirty(s, j), j.view(), nil
}

func (c *Coordinator) joinExisting(s *shard, existing *job, spec *Spec) (<-chan error, Job, error) {
	if !existing.spec.sameRequest(spec) {
		return nil, Job{}, ErrForbidden
	}
	if existing.version > 0 {
		return nil, existing.view(), nil
	}
	return c.commit.markDirty(s, existing), existing.view(), nil
}

// completeSpec validates a new job and sets the fields that its kind determines.
func (c *Coordinator) completeSpec(spec *Spec, now time.Time) error {
	if spec.ID == "" || len(spec.ID) > MaxIDBytes {
		return &InvalidError{Field: "id", Reason: "is empty or too long"}
	}
	snapshot := c.Snapshot()
	team, kind := snapshot.Teams[spec.Team], snapshot.Kinds[spec.Kind]
	switch {
	case team == nil:
		return &InvalidError{Field: "team", Reason: "is unknown"}
	case kind == nil || !kind.Allows(spec.Team) || kind.Policy == version.PolicyRequest:
		return &InvalidError{Field: "kind", Reason: "is not open to the team for jobs"}
	case spec.Tasks < 1 || (kind.MaxTasks > 0 && spec.Tasks > kind.MaxTasks):
		return &InvalidError{Field: "tasks", Reason: "is out of the kind's range"}
	}
	if spec.Amount.IsZero() {
		spec.Amount = kind.Amount
	}
	spec.Amount.Running = 1
	spec.Policy, spec.Urgent = kind.Policy, kind.Urgent
	spec.Attempts, spec.RunTime = kind.Attempts, kind.RunTime
	spec.Created = now.Round(0)
	if never := NeverFits(spec, team.Limit, fleetSize(c.Fleet.Owners())); never != nil {
		return never
	}
	return nil
}

// FleetSize is the capacity of the fleet.
type FleetSize struct {
	// Largest is the largest capacity of one worker, per dimension.
	Largest resource.Amount
	// Total is the capacity of all workers together.
	Total resource.Amount
	// Known is false while no capacity is known.
	Known bool
}

func fleetSize(owners []OwnerInfo) FleetSize {
	var size FleetSize
	for _, owner := range owners {
		size.Largest = size.Largest.Max(owner.Free.LargestCapacity)
		size.Total = size.Total.Add(owner.Free.TotalCapacity)
		size.Known = size.Known || !owner.Free.TotalCapacity.IsZero()
	}
	return size
}

// NeverFits returns an error with the limit that prevents the job from ever starting
// on a fleet of the given size, or nil.
func NeverFits(spec *Spec, limit resource.Amount, size FleetSize) *NeverFitsError {
	least := spec.Amount
	if spec.Policy == version.PolicyAllAtOnce {
		least = least.Times(int64(spec.Tasks))
	}
	if d, over := least.FirstOver(limit); over {
		return &NeverFitsError{Limit: "team limit", Dimension: d.String()}
	}
	if !size.Known {
		return nil
	}
	if d, over := spec.Amount.FirstOver(size.Largest); over {
		return &NeverFitsError{Limit: "largest worker", Dimension: d.String()}
	}
	if d, over := least.FirstOver(size.Total); over {
		return &NeverFitsError{Limit: "fleet", Dimension: d.String()}
	}
	return nil
}
