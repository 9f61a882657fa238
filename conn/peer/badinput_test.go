package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// framed is a message with its length before it.
func framed(message string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(message))), message...)
}

// pipeLink serves one link over a pipe.
func pipeLink(server *Server) net.Conn {
	near, far := net.Pipe()
	server.serveLink(far)
	return near
}

// TestBadLinksEnd sends what isn't a message, or half of one, in virtual time. The
// link ends within the bound on silence, no handler runs, and the bubble ends only
// if all goroutines of the link do.
func TestBadLinksEnd(t *testing.T) {
	whole := framed(`{"jsonrpc":"2.0","id":1,"method":"work","params":{}}`)
	for _, c := range []struct {
		name   string
		sent   []byte
		within time.Duration
	}{
		{"nothing", nil, serverIdle},
		{"half a length", []byte{0xff}, serverIdle},
		{"half a message", whole[:len(whole)/2], serverIdle},
		{"a length over the bound", binary.AppendUvarint(nil, MaxMessageBytes+1), serverIdle},
		{"a length that overflows", []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, 0},
		{"not JSON", framed(`{"jsonrpc":"2.0","id":1,"method":`), 0},
		{"neither call nor answer", framed(`{"jsonrpc":"2.0","colour":"red"}`), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := NewServer()
				server.Register(map[string]Handler{
					"work": func(context.Context, json.RawMessage) (any, error) {
						t.Error("the handler ran")
						return nil, nil
					},
				})
				conn := pipeLink(server)
				began := time.Now()
				_, _ = conn.Write(c.sent)
				_, err := conn.Read(make([]byte, 1))
				assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
				assert.Assert(t, time.Since(began) <= c.within, time.Since(began))
				assert.NilError(t, conn.Close())
				server.Close()
			})
		})
	}
}

// TestTooManyCalls fills one link with calls that don't end: one more is refused
// and its handler does not run; another link is served; all end with the server.
func TestTooManyCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer()
		server.Register(map[string]Handler{
			"echo": func(_ context.Context, params json.RawMessage) (any, error) { return params, nil },
			"wait": func(ctx context.Context, _ json.RawMessage) (any, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		links := NewLinks()
		links.dial = func(context.Context, string) (net.Conn, error) { return pipeLink(server), nil }
		other := NewLinks()
		other.dial = links.dial
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for range maxCallsPerLink {
			go func() { _ = links.Call(ctx, "full", "wait", 1, nil) }()
		}
		synctest.Wait()
		var remote *RemoteError
		assert.Assert(t, errors.As(links.Call(ctx, "full", "echo", 1, nil), &remote))
		assert.Equal(t, remote.Code, int64(CodeBusy))
		assert.Assert(t, remote.NotHandled())
		assert.NilError(t, other.Call(ctx, "other", "echo", 1, nil))
		links.Close()
		other.Close()
		server.Close()
		synctest.Wait()
	})
}
