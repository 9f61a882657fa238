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
	// controlDrainFor is shorter than defaultDrainFor, since control calls are short and
	// an unresponsive control connection must not delay the renewal of leases.
	controlDrainFor       = time.Second
	defaultMaxAnswerBytes = 64 << 20
	maxHeaderBytes        = 64 << 10
)

// Options are the settings of a Client.
type Options struct {
	// Address is the worker's IP and port.
	Address string
	// MaxConnections is the maximum number of open connections, including those that the
	// worker still counts as open. One of them is reserved for control calls. If the
	// maximum is 1, control calls and requests share it.
	MaxConnections int
	// FreshWithin is how recently a connection must have received data to be used for a
	// call that requires a fresh connection; 0 means one second.
	FreshWithin time.Duration
	// DrainFor is how long a closed connection counts against MaxConnections unless the
	// worker closes it earlier; 0 means 30 seconds. It is limited to one second for the
	// control connection.
	DrainFor time.Duration
	// Bytes counts the bytes of all connections; nil counts nothing.
	Bytes *traffic.Bytes
	// MaxAnswerBytes is the maximum size of an answer's body; 0 means 64 MiB.
	MaxAnswerBytes int64
}

// Client calls one worker. It is safe for concurrent use. If all connections are in use, a
// call waits for one until its context is done.
type Client struct {
	options  Options
	requests *pool
	control  *pool
	// controlCalls is the number of control calls made, from which their IDs are derived.
	controlCalls atomic.Uint64
}

var _ worker.Client = (*Client)(nil)

// New returns a client of one worker. It opens connections on demand.
func New(options Options) *Client {
	if options.FreshWithin <= 0 {
		options.FreshWithin = defaultFreshWithin
	}
	if options.DrainFor <= 0 {
		options.DrainFor = defaultDrainFor
	}
	if options.MaxAnswerBytes <= 0 {
		options.MaxAnswerBytes = defaultMaxAnswerBytes
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

// Close implements worker.Client. Calls that have been sent fail with worker.ErrUnknown.
func (c *Client) Close() {
	c.requests.closeAll()
	c.control.closeAll()
}

// Do implements worker.Client. An answer with any HTTP status is a Response, unless the
// worker marked it as a refusal.
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

// report makes a control call whose answer is the worker's state.
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

// statuses makes a control call whose answer has want statuses.
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

// fail wraps outcome with the step, the worker's address and the cause.
func (c *Client) fail(outcome error, step string, cause any) error {
	return eris.Wrapf(outcome, "%s peer %s: %v", step, c.options.Address, cause)
}
