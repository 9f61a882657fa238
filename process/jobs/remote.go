package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
)

// RPC methods of coordinators.
const (
	MethodSubmit  = "job.submit"
	MethodGet     = "job.get"
	MethodList    = "job.list"
	MethodCancel  = "job.cancel"
	MethodExplain = "job.explain"
	MethodReport  = "job.report"
)

// JobRequest identifies a job of a team. ID is empty in a list request.
type JobRequest struct {
	Team string `json:"team"`
	ID   string `json:"id,omitempty"`
}

// JobList lists the jobs of a team at one coordinator.
type JobList struct {
	Jobs []Job `json:"jobs"`
}

// CancelReply acknowledges a cancellation.
type CancelReply struct{}

// ReportRequest carries events to a coordinator.
type ReportRequest struct {
	Events []tasks.Event `json:"events"`
}

// Handlers returns the handlers of the coordinator's RPC methods.
func (c *Coordinator) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodSubmit:  handle(c.Submit),
		MethodGet:     handle(func(ctx context.Context, r JobRequest) (Job, error) { return c.Get(ctx, r.Team, r.ID) }),
		MethodExplain: handle(func(ctx context.Context, r JobRequest) (Explanation, error) { return c.Explain(ctx, r.Team, r.ID) }),
		MethodCancel:  handle(c.cancelRequest),
		MethodList:    handle(c.listRequest),
		MethodReport:  handle(c.reportRequest),
	}
}

func (c *Coordinator) cancelRequest(ctx context.Context, r JobRequest) (CancelReply, error) {
	return CancelReply{}, c.Cancel(ctx, r.Team, r.ID)
}

func (c *Coordinator) listRequest(ctx context.Context, r JobRequest) (JobList, error) {
	return JobList{Jobs: c.List(ctx, r.Team)}, nil
}

func (c *Coordinator) reportRequest(ctx context.Context, r ReportRequest) (tasks.ReportReply, error) {
	return c.Report(ctx, r.Events), nil
}

func handle[In, Out any](f func(context.Context, In) (Out, error)) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, eris.Wrap(err, "decode parameters")
		}
		out, err := f(ctx, in)
		if err != nil {
			return nil, encodeError(err)
		}
		return out, nil
	}
}

// Client calls the coordinator of a job: the one of this entry directly, the others
// over RPC. It implements tasks.Coordinators.
type Client struct {
	Coordinator *Coordinator
	Directory   Directory
	Fleet       Fleet
	Caller      peer.Caller
}

var _ tasks.Coordinators = (*Client)(nil)

// Submit calls Coordinator.Submit on the job's coordinator.
func (c *Client) Submit(ctx context.Context, spec Spec) (Job, error) {
	return call(ctx, c, ShardOf(spec.ID), MethodSubmit, spec, c.Coordinator.Submit)
}

// Get calls Coordinator.Get on the job's coordinator.
func (c *Client) Get(ctx context.Context, team, id string) (Job, error) {
	r := JobRequest{Team: team, ID: id}
	return call(ctx, c, ShardOf(id), MethodGet, r, func(ctx context.Context, r JobRequest) (Job, error) {
		return c.Coordinator.Get(ctx, r.Team, r.ID)
	})
}

// Explain calls Coordinator.Explain on the job's coordinator.
func (c *Client) Explain(ctx context.Context, team, id string) (Explanation, error) {
	r := JobRequest{Team: team, ID: id}
	return call(ctx, c, ShardOf(id), MethodExplain, r, func(ctx context.Context, r JobRequest) (Explanation, error) {
		return c.Coordinator.Explain(ctx, r.Team, r.ID)
	})
}

// Cancel calls Coordinator.Cancel on the job's coordinator.
func (c *Client) Cancel(ctx context.Context, team, id string) error {
	_, err := call(ctx, c, ShardOf(id), MethodCancel, JobRequest{Team: team, ID: id}, c.Coordinator.cancelRequest)
	return err
}

// List returns the team's jobs of all coordinators. If a call to one of them fails, it
// returns the jobs listed so far and an error.
func (c *Client) List(ctx context.Context, team string) ([]Job, error) {
	var list []Job
	for _, owner := range c.Fleet.Owners() {
		if owner.Instance == c.Coordinator.Instance {
			list = append(list, c.Coordinator.List(ctx, team)...)
			continue
		}
		var part JobList
		if err := c.Caller.Call(ctx, owner.Address, MethodList, JobRequest{Team: team}, &part); err != nil {
			return list, eris.Wrapf(err, "list jobs peer %s", owner.Instance)
		}
		list = append(list, part.Jobs...)
	}
	return list, nil
}

// Report sends events to the coordinators of their jobs in parallel. Events of shards
// without a coordinator are not recorded.
func (c *Client) Report(ctx context.Context, events []tasks.Event) (tasks.ReportReply, error) {
	shards := make(map[string][]tasks.Event)
	for _, e := range events {
		name := ShardOf(tasks.JobOf(e.Task))
		shards[name] = append(shards[name], e)
	}
	var mu sync.Mutex
	var merged tasks.ReportReply
	var wg sync.WaitGroup
	for _, group := range c.groupByCoordinator(shards) {
		wg.Go(func() {
			request := ReportRequest{Events: group.events}
			reply, err := call(ctx, c, group.shard, MethodReport, request, c.Coordinator.reportRequest)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			merged.Recorded = append(merged.Recorded, reply.Recorded...)
			merged.Stop = append(merged.Stop, reply.Stop...)
		})
	}
	wg.Wait()
	return merged, nil
}

// coordinatorEvents are the events for one coordinator. shard is one of its shards.
type coordinatorEvents struct {
	shard  string
	events []tasks.Event
}

func (c *Client) groupByCoordinator(shards map[string][]tasks.Event) map[string]*coordinatorEvents {
	groups := make(map[string]*coordinatorEvents)
	for name, events := range shards {
		_, instance, ok := c.Directory.OwnerOf(name)
		if !ok {
			continue
		}
		if groups[instance] == nil {
			groups[instance] = &coordinatorEvents{shard: name}
		}
		groups[instance].events = append(groups[instance].events, events...)
	}
	return groups
}

// call runs local if this entry owns the shard, else calls the shard's coordinator.
func call[In, Out any](
	ctx context.Context, c *Client, shard, method string, in In, local func(context.Context, In) (Out, error),
) (Out, error) {
	var out Out
	address, instance, ok := c.Directory.OwnerOf(shard)
	if !ok {
		return out, ErrNotCoordinator
	}
	if instance == c.Coordinator.Instance {
		return local(ctx, in)
	}
	err := c.Caller.Call(ctx, address, method, in, &out)
	return out, eris.Wrapf(decodeError(err), "%s peer %s", method, instance)
}

// decodeError converts the error of a call into the error that the coordinator
// returned.
func decodeError(err error) error {
	var remote *peer.RemoteError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrNotSent):
		return ErrUnavailable
	case !errors.As(err, &remote):
		return ErrUnknown
	}
	first, second, _ := strings.Cut(remote.Message, "\x00")
	switch remote.Code {
	case codeInvalid:
		return &InvalidError{Field: first, Reason: second}
	case codeNeverFits:
		return &NeverFitsError{Limit: first, Dimension: second}
	}
	if known, ok := plainErrors[remote.Code]; ok {
		return known
	}
	return err
}
