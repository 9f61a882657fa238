package entry

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/process/jobs"
)

const (
	// coordinatorTimeout is how long a call waits for a shard to have a coordinator.
	coordinatorTimeout = time.Second
	// coordinatorRetryInterval is the time between two attempts of such a call.
	coordinatorRetryInterval = 20 * time.Millisecond
)

// withCoordinator retries a call while the job's shard has no coordinator. A shard that
// moves between two live entries gets a new one immediately. A call that fails with
// ErrNotCoordinator has had no effect.
func withCoordinator[T any](ctx context.Context, e *Entry, id string, call func() (T, error)) (T, error) {
	deadline := time.Now().Add(coordinatorTimeout)
	for {
		result, err := call()
		if !errors.Is(err, jobs.ErrNotCoordinator) || !time.Now().Before(deadline) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(coordinatorRetryInterval):
			e.owners.RefreshBlock(ctx, jobs.ShardOf(id))
		}
	}
}

// The methods below implement callers.Jobs with calls to the coordinators.

// Submit implements callers.Jobs.
func (e *Entry) Submit(ctx context.Context, team string, spec api.JobSpec) (api.JobView, error) {
	job, err := withCoordinator(ctx, e, spec.ID, func() (jobs.Job, error) {
		return e.jobs.Submit(ctx, jobs.Spec{
			ID: spec.ID, Team: team, Kind: spec.Kind, Tasks: spec.Tasks,
			Amount: spec.Amount, Payload: spec.Payload, Deadline: spec.Deadline, Created: time.Now(),
		})
	})
	return jobView(job), jobError(err)
}

// Get implements callers.Jobs.
func (e *Entry) Get(ctx context.Context, team, id string) (api.JobView, error) {
	job, err := withCoordinator(ctx, e, id, func() (jobs.Job, error) { return e.jobs.Get(ctx, team, id) })
	return jobView(job), jobError(err)
}

// List implements callers.Jobs.
func (e *Entry) List(ctx context.Context, team string) ([]api.JobView, error) {
	list, err := e.jobs.List(ctx, team)
	views := make([]api.JobView, 0, len(list))
	for _, job := range list {
		views = append(views, jobView(job))
	}
	return views, jobError(err)
}

// Cancel implements callers.Jobs.
func (e *Entry) Cancel(ctx context.Context, team, id string) (api.JobView, error) {
	_, err := withCoordinator(ctx, e, id, func() (struct{}, error) { return struct{}{}, e.jobs.Cancel(ctx, team, id) })
	if err != nil {
		return api.JobView{}, jobError(err)
	}
	return e.Get(ctx, team, id)
}

// Explain implements callers.Jobs.
func (e *Entry) Explain(ctx context.Context, team, id string) (api.Explanation, error) {
	x, err := withCoordinator(ctx, e, id, func() (jobs.Explanation, error) { return e.jobs.Explain(ctx, team, id) })
	if err != nil {
		return api.Explanation{}, jobError(err)
	}
	return api.Explanation{
		Job: id, Summary: explainWaiting(x), Limit: x.Limit, Dimension: x.Dimension, Position: x.Position,
	}, nil
}

// explainWaiting returns one sentence that explains why a job waits.
func explainWaiting(x jobs.Explanation) string {
	switch {
	case x.Job.Ended:
		return "the job has ended"
	case x.NeverRunnable:
		return "no worker of the fleet as it is can run it: too little " + x.Dimension
	case x.Job.Tasks.Pending == 0:
		return "nothing waits: all tasks have a worker"
	case x.Limit == "team":
		return "the team's upper limit leaves no room"
	case x.Dimension != "":
		return "no worker has enough free " + x.Dimension
	case x.Limit != "":
		return "no worker has room"
	default:
		return "it is the turn of other jobs"
	}
}

func jobView(j jobs.Job) api.JobView {
	return api.JobView{
		ID: j.ID, Team: j.Team, Kind: j.Kind, State: jobState(j), Accepted: j.Created, Waited: j.Waited,
		Tasks: api.TaskCounts{
			Waiting: j.Tasks.Pending, Running: j.Tasks.Running + j.Tasks.Assigned,
			Done: j.Tasks.Done, Failed: j.Tasks.Failed, Cancelled: j.Tasks.Cancelled,
		},
	}
}

func jobState(j jobs.Job) api.JobState {
	switch {
	case j.Cancelled && j.Ended:
		return api.JobCancelled
	case j.Ended && j.Tasks.Failed > 0:
		return api.JobFailed
	case j.Ended:
		return api.JobDone
	case j.Tasks.Running+j.Tasks.Assigned+j.Tasks.Done > 0:
		return api.JobRunning
	default:
		return api.JobWaiting
	}
}

// jobError converts a coordinator's error to the error that callers receive.
func jobError(err error) error {
	if err == nil {
		return nil
	}
	failed := &api.Error{Code: api.CodeUnknown, Message: err.Error(), Ran: api.RanUnknown}
	var invalid *jobs.InvalidError
	var never *jobs.NeverFitsError
	switch {
	case errors.As(err, &invalid):
		failed.Code, failed.Field, failed.Ran = api.CodeInvalid, invalid.Field, api.NotRun
	case errors.As(err, &never):
		failed.Code, failed.Field, failed.Ran = api.CodeNeverFits, never.Dimension, api.NotRun
	case errors.Is(err, jobs.ErrForbidden):
		failed.Code, failed.Ran = api.CodeNotFound, api.NotRun
	case errors.Is(err, jobs.ErrUnavailable), errors.Is(err, jobs.ErrNotCoordinator):
		failed.Code, failed.Ran, failed.RetryAfter = api.CodeUnavailable, api.NotRun, platformRetryAfter
	}
	return failed
}
