package workerstandin

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
)

// Client calls a Worker in the same process. It returns worker.ErrUnknown for a response
// that the worker's switches would drop, truncate or send with another request's id. It has
// no connections, so the switches Silence and Duplicate do not affect it.
type Client struct{ w *Worker }

var _ worker.Client = (*Client)(nil)

// Client returns a client for use in the same process.
func (w *Worker) Client() *Client { return &Client{w: w} }

var (
	errCut         = errors.New("connection was cut")
	errUnreachable = errors.New("worker is unreachable")
)

// result is the result of a call. noReply is set if the worker acted on the call but its
// response is not delivered.
type result[T any] struct {
	value   T
	noReply bool
	err     error
}

// await runs act and waits for its result. If ctx ends first, act continues.
func await[T any](ctx context.Context, w *Worker, step string, act func() result[T]) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, w.fail(worker.ErrNotSent, step, ctx.Err())
	}
	if w.Change(func(*Switches) {}).Unreachable {
		return zero, w.fail(worker.ErrNotSent, step, errUnreachable)
	}
	done := make(chan result[T], 1)
	go func() { done <- act() }()
	select {
	case <-ctx.Done():
		return zero, w.fail(worker.ErrUnknown, step, ctx.Err())
	case got := <-done:
		if got.noReply {
			return zero, w.fail(worker.ErrUnknown, step, errCut)
		}
		if got.err != nil {
			return zero, eris.Wrapf(got.err, "%s peer %s", step, w.config.Name)
		}
		return got.value, nil
	}
}

// fail wraps outcome with the step, the peer and the cause.
func (w *Worker) fail(outcome error, step string, cause error) error {
	return eris.Wrapf(outcome, "%s peer %s: %v", step, w.config.Name, cause)
}

// Do implements worker.Client.
func (c *Client) Do(ctx context.Context, r worker.Request, _ bool) (worker.Response, error) {
	return await(ctx, c.w, "request", func() result[worker.Response] {
		got, err := c.w.do(r)
		delivered := got.fault == faultNone || got.fault == faultDuplicate
		return result[worker.Response]{value: got.response, noReply: !delivered, err: err}
	})
}

func (c *Client) control(ctx context.Context, step, path string, body httpworker.Control) (httpworker.ControlAnswer, error) {
	return await(ctx, c.w, step, func() result[httpworker.ControlAnswer] {
		answer, noReply, err := c.w.control(path, body)
		return result[httpworker.ControlAnswer]{value: answer, noReply: noReply, err: err}
	})
}

// Adopt implements worker.Client.
func (c *Client) Adopt(ctx context.Context, epoch uint64) (worker.Report, error) {
	return c.report(ctx, "adopt", httpworker.PathAdopt, httpworker.Control{Epoch: epoch})
}

// Renew implements worker.Client.
func (c *Client) Renew(ctx context.Context, epoch uint64, lease time.Duration) (worker.Report, error) {
	return c.report(ctx, "renew", httpworker.PathRenew, httpworker.Control{Epoch: epoch, Lease: lease})
}

func (c *Client) report(ctx context.Context, step, path string, body httpworker.Control) (worker.Report, error) {
	answer, err := c.control(ctx, step, path, body)
	if err != nil {
		return worker.Report{}, err
	}
	return *answer.Report, nil
}

// Start implements worker.Client.
func (c *Client) Start(ctx context.Context, epoch uint64, tasks []worker.StartTask) ([]worker.TaskStatus, error) {
	answer, err := c.control(ctx, "start", httpworker.PathStart, httpworker.Control{Epoch: epoch, Start: tasks})
	return answer.Statuses, err
}

// Stop implements worker.Client.
func (c *Client) Stop(ctx context.Context, epoch uint64, tasks []worker.TaskRef) ([]worker.TaskStatus, error) {
	answer, err := c.control(ctx, "stop", httpworker.PathStop, httpworker.Control{Epoch: epoch, Tasks: tasks})
	return answer.Statuses, err
}

// Checkpoint implements worker.Client.
func (c *Client) Checkpoint(ctx context.Context, epoch uint64, tasks []worker.TaskRef) ([]worker.TaskStatus, error) {
	answer, err := c.control(ctx, "checkpoint", httpworker.PathCheckpoint, httpworker.Control{Epoch: epoch, Tasks: tasks})
	return answer.Statuses, err
}

// Throttle implements worker.Client.
func (c *Client) Throttle(ctx context.Context, epoch uint64, tasks []worker.TaskRef, on bool) ([]worker.TaskStatus, error) {
	body := httpworker.Control{Epoch: epoch, Tasks: tasks, On: on}
	answer, err := c.control(ctx, "throttle", httpworker.PathThrottle, body)
	return answer.Statuses, err
}

// Forget implements worker.Client.
func (c *Client) Forget(ctx context.Context, epoch uint64, tasks []worker.TaskRef) error {
	_, err := c.control(ctx, "forget", httpworker.PathForget, httpworker.Control{Epoch: epoch, Tasks: tasks})
	return err
}

// Close implements worker.Client.
func (c *Client) Close() {}
