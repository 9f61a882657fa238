package traffic

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBothEndsAreCounted checks the counts of both ends of a connection. It also checks that
// CloseWrite reaches the other end, which can still answer afterwards.
func TestBothEndsAreCounted(t *testing.T) {
	var near, far Bytes
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := far.Listener(inner)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.ReadAll(conn)
		_, _ = conn.Write([]byte("an answer"))
	}()
	dialer := net.Dialer{}
	conn, err := near.Dial(dialer.DialContext)(t.Context(), "tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("a call"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*counted).CloseWrite())
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "an answer")
	assert.DeepEqual(t, []uint64{near.Sent(), near.Received()}, []uint64{6, 9})
	assert.DeepEqual(t, []uint64{far.Received(), far.Sent()}, []uint64{6, 9})
}
