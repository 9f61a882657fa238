package tasks

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// RPC methods of owners.
const (
	MethodReserve = "tasks.reserve"
	MethodStart   = "tasks.start"
	MethodCancel  = "tasks.cancel"
	MethodRelease = "tasks.release"
	MethodStatus  = "tasks.status"
)

// Released is the reply to a release.
type Released struct{}

// Handlers returns the handlers of the owner's RPC methods.
func (o *Owner) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodReserve: handle(func(ctx context.Context, r ReserveRequest) ReserveReply { return o.Reserve(ctx, r) }),
		MethodStart:   handle(o.Start),
		MethodCancel:  handle(o.Cancel),
		MethodStatus:  handle(o.Status),
		MethodRelease: handle(func(ctx context.Context, r AttemptsRequest) Released {
			o.Release(ctx, r)
			return Released{}
		}),
	}
}

func handle[In, Out any](f func(context.Context, In) Out) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, eris.Wrap(err, "decode parameters")
		}
		return f(ctx, in), nil
	}
}

// Peer identifies an owner and its address.
type Peer struct {
	Instance string
	Address  string
}

// Client calls owners: the one of this entry directly, the others over RPC. Errors
// are those of peer.Caller.
type Client struct {
	// Instance is this entry's name.
	Instance string
	Owner    *Owner
	Caller   peer.Caller
}

// Reserve calls Owner.Reserve on the given owner.
func (c *Client) Reserve(ctx context.Context, to Peer, r ReserveRequest) (ReserveReply, error) {
	return call(ctx, c, to, MethodReserve, r, c.Owner.Reserve)
}

// Start calls Owner.Start on the given owner.
func (c *Client) Start(ctx context.Context, to Peer, r StartRequest) (Outcomes, error) {
	return call(ctx, c, to, MethodStart, r, c.Owner.Start)
}

// Cancel calls Owner.Cancel on the given owner.
func (c *Client) Cancel(ctx context.Context, to Peer, r AttemptsRequest) (Outcomes, error) {
	return call(ctx, c, to, MethodCancel, r, c.Owner.Cancel)
}

// Status calls Owner.Status on the given owner.
func (c *Client) Status(ctx context.Context, to Peer, r AttemptsRequest) (Outcomes, error) {
	return call(ctx, c, to, MethodStatus, r, c.Owner.Status)
}

// Release calls Owner.Release on the given owner.
func (c *Client) Release(ctx context.Context, to Peer, r AttemptsRequest) error {
	_, err := call(ctx, c, to, MethodRelease, r, func(ctx context.Context, r AttemptsRequest) Released {
		c.Owner.Release(ctx, r)
		return Released{}
	})
	return err
}

func call[In, Out any](
	ctx context.Context, c *Client, to Peer, method string, in In, local func(context.Context, In) Out,
) (Out, error) {
	if to.Instance == c.Instance {
		return local(ctx, in), nil
	}
	var out Out
	err := c.Caller.Call(ctx, to.Address, method, in, &out)
	return out, eris.Wrapf(err, "%s peer %s", method, to.Instance)
}
