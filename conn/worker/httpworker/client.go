package httpworker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

const (
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = time.Minute
	defaultFreshWithin = time.Second
	defaultDrainFor    = 30 * time.Second
	// controlDrainFor is shorter, since control calls are short on the worker
	// and a silent connection must not hold up the renewal of leases.
	controlDrainFor  = time.Second
	defaultMaxAnswer = 64 << 20
	maxHeaderBytes   = 64 << 10
)

// Options are the settings of a Client.
type Options struct {
	// Address is the worker's IP and port.
	Address string
	// MaxConnections bounds the connections that are open, also as the worker
	// counts them. One of them is kept for control calls; with a bound of 1,
	// control and requests share it.
	MaxConnections int
	// FreshWithin is how recently a connection must have been heard from to
	// carry a fresh call; 0 means one second.
	FreshWithin time.Duration
	// DrainFor is how long a closed connection counts against MaxConnections
	// unless the worker closes it sooner; 0 means 30 seconds. For the control
	// connection it is one second at most.
	DrainFor time.Duration
	// Bytes counts what all connections carry; nil counts nothing.
	Bytes *traffic.Bytes
	// MaxAnswerBytes bounds the body of an answer; 0 means 64 MiB.
	MaxAnswerBytes int64
}

// Client speaks to one worker. It is safe for concurrent use. Calls wait for a
// connection when all are in use, until their context ends.
type Client struct {
	options  Options
	requests *pool
	control  *pool
	// controlCalls numbers control calls, so that each has its own id.
	controlCalls atomic.Uint64
}

var _ worker.Client = (*Client)(nil)

// New returns a client of one worker. It dials when it is first used.
func New(options Options) *Client {
	if options.FreshWithin <= 0 {
		options.FreshWithin = defaultFreshWithin
	}
	if options.DrainFor <= 0 {
		options.DrainFor = defaultDrainFor
	}
	if options.MaxAnswerBytes <= 0 {
		options.MaxAnswerBytes = defaultMaxAnswer
	}
	c := &Client{
		options:  options,
		requests: newPool(max(1, options.MaxConnections-1), options.DrainFor, options.Bytes),
	}
	c.control = c.requests
	if options.MaxConnections > 1 {
		c.control = newPool(1, min(options.DrainFor, controlDrainFor), options.Bytes)
	}
	return c
}

// Close implements worker.Client. Calls under way end with worker.ErrUnknown.
func (c *Client) Close() {
	c.requests.shut()
	c.control.shut()
}

// Do implements worker.Client. An answer of the worker with any status is a
// Response, unless the worker marked it as a refusal.
func (c *Client) Do(ctx context.Context, r worker.Request, fresh bool) (worker.Response, error) {
	header := make(http.Header)
	header.Set(HeaderID, r.ID)
	header.Set(HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	header.Set(HeaderTeam, r.Team)
	header.Set(HeaderKind, r.Kind)
	sent := call{step: "request", path: PathRequests, header: header, body: r.Body, fresh: fresh}
	got, err := c.send(ctx, c.requests, sent)
	if err != nil {
		return worker.Response{}, err
	}
	return worker.Response{
		ID:     r.ID,
		Worker: got.header.Get(HeaderWorker),
		Status: got.status,
		Body:   got.body,
	}, nil
}

// Adopt implements worker.Client.
func (c *Client) Adopt(ctx context.Context, epoch uint64) (worker.Report, error) {
	return c.report(ctx, "adopt", PathAdopt, Control{Epoch: epoch})
}

// Renew implements worker.Client.
func (c *Client) Renew(ctx context.Context, epoch uint64, lease time.Duration) (worker.Report, error) {
	return c.report(ctx, "renew", PathRenew, Control{Epoch: epoch, Lease: lease})
}

// Start implements worker.Client.
func (c *Client) Start(ctx context.Context, epoch uint64, tasks []worker.StartTask) ([]worker.TaskStatus, error) {
	return c.statuses(ctx, "start", PathStart, len(tasks), Control{Epoch: epoch, Start: tasks})
}

// Stop implements worker.Client.
func (c *Client) Stop(ctx context.Context, epoch uint64, tasks []worker.TaskRef) ([]worker.TaskStatus, error) {
	return c.statuses(ctx, "stop", PathStop, len(tasks), Control{Epoch: epoch, Tasks: tasks})
}

// Checkpoint implements worker.Client.
func (c *Client) Checkpoint(ctx context.Context, epoch uint64, tasks []worker.TaskRef) ([]worker.TaskStatus, error) {
	return c.statuses(ctx, "checkpoint", PathCheckpoint, len(tasks), Control{Epoch: epoch, Tasks: tasks})
}

// Throttle implements worker.Client.
func (c *Client) Throttle(ctx context.Context, epoch uint64, tasks []worker.TaskRef, on bool) ([]worker.TaskStatus, error) {
	return c.statuses(ctx, "throttle", PathThrottle, len(tasks), Control{Epoch: epoch, Tasks: tasks, On: on})
}

// Forget implements worker.Client.
func (c *Client) Forget(ctx context.Context, epoch uint64, tasks []worker.TaskRef) error {
	_, err := c.controlCall(ctx, "forget", PathForget, Control{Epoch: epoch, Tasks: tasks})
	return err
}

// report makes a control call that answers with the worker's whole state.
func (c *Client) report(ctx context.Context, step, path string, body Control) (worker.Report, error) {
	answer, err := c.controlCall(ctx, step, path, body)
	if err != nil {
		return worker.Report{}, err
	}
	if answer.Report == nil {
		return worker.Report{}, c.fail(worker.ErrUnknown, step, "answer without a report")
	}
	return *answer.Report, nil
}

// statuses makes a control call that answers with want statuses.
func (c *Client) statuses(ctx context.Context, step, path string, want int, body Control) ([]worker.TaskStatus, error) {
	answer, err := c.controlCall(ctx, step, path, body)
	if err != nil {
		return nil, err
	}
	if len(answer.Statuses) != want {
		return nil, c.fail(worker.ErrUnknown, step, "answer with another number of statuses")
	}
	return answer.Statuses, nil
}

func (c *Client) controlCall(ctx context.Context, step, path string, body Control) (ControlAnswer, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return ControlAnswer{}, c.fail(worker.ErrNotSent, step, err)
	}
	header := make(http.Header)
	header.Set(HeaderID, "control-"+strconv.FormatUint(c.controlCalls.Add(1), 10))
	sent := call{step: step, path: path, header: header, body: encoded, fresh: true}
	got, err := c.send(ctx, c.control, sent)
	if err != nil {
		return ControlAnswer{}, err
	}
	var answer ControlAnswer
	if got.status != http.StatusOK {
		return ControlAnswer{}, c.fail(worker.ErrUnknown, step, http.StatusText(got.status))
	}
	if err := json.Unmarshal(got.body, &answer); err != nil {
		return ControlAnswer{}, c.fail(worker.ErrUnknown, step, err)
	}
	return answer, nil
}

// fail returns outcome with the step, the peer and the cause.
func (c *Client) fail(outcome error, step string, cause any) error {
	return eris.Wrapf(outcome, "%s peer %s: %v", step, c.options.Address, cause)
}
