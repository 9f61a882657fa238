package cluster

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// failingPeers fails each call with the same error, after a time.
type failingPeers struct {
	after time.Duration
	err   error
}

func (p failingPeers) Call(context.Context, string, string, any, any) error {
	time.Sleep(p.after)
	return p.err
}

// All entries restart, and connect to the new scheduler at the same time. The queue of connections at its
// listener is full, so some are established late. That was taken for a refusal, by which a scheduler
// is replaced after 0.1 s in place of a second; its successor met the same, and so on.
func TestLateConnectionIsNoRefusal(t *testing.T) {
	for _, c := range []struct {
		what    string
		err     error
		refused bool
	}{
		{"connection not established in time", errors.Join(peer.ErrNotSent, &net.OpError{Op: "dial", Err: timeoutError{}}), false},
		{"connection refused", errors.Join(peer.ErrNotSent, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}), true},
		{"not the scheduler", errNotScheduler, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := NewNode(Config{Name: "n1", Peers: failingPeers{900 * time.Millisecond, eris.Wrap(c.err, "heartbeat")}, Log: events.New(io.Discard, "n1")})
			view := newView(7, leaseRow{Holder: "n0", Address: "n0"}, nil)
			view.recentTakeovers = 1
			n.view = view
			time.Sleep(time.Millisecond)
			n.sendHeartbeat(context.Background(), view)
			assert.Equal(t, n.view.unreachable(time.Now(), 0), c.refused, c.what)
		})
	}
}

// timeoutError is the error of a connection that isn't established in time.
type timeoutError struct{}

func (timeoutError) Error() string { return "i/o timeout" }
func (timeoutError) Timeout() bool { return true }
