package cluster

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// scriptedPeers answers each forwarded call with the next of its functions.
type scriptedPeers struct {
	tries []func(ctx context.Context) error
}

// Call implements peer.Caller.
func (s *scriptedPeers) Call(ctx context.Context, _, method string, _, _ any) error {
	if method != methodCall || len(s.tries) == 0 {
		return peer.ErrNotSent
	}
	try := s.tries[0]
	s.tries = s.tries[1:]
	return try(ctx)
}

// The first try may have been recorded; the caller's time ends before the second one is
// sent. The caller was told that the job hadn't been accepted and would never run.
func TestUnknownOutcomeOutlastsLaterTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		peers := &scriptedPeers{tries: []func(context.Context) error{
			func(context.Context) error { return peer.ErrUnknown },
			func(ctx context.Context) error {
				cancel()
				<-ctx.Done()
				return errors.Join(peer.ErrNotSent, ctx.Err())
			},
		}}
		n := NewNode(Config{Name: "n0", Peers: peers})
		n.mu.Lock()
		n.setView(newView(1, leaseRow{Holder: "s1", Address: "s1"}, nil))
		n.mu.Unlock()
		reply := n.Do(ctx, testJob("a", 1))
		assert.Equal(t, reply.Result, ResultUnknown)
	})
}
