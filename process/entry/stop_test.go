package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Each step of a stop must keep time for those after it, whatever the timeout: a drain that
// took all of it left the blocks to expire.
func TestStopTimesAreInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(time.Hour)).Draw(t, "timeout"))
		times := stopTimesWithin(timeout)
		steps := []time.Duration{
			0, times.requests, times.servers.Answer, times.servers.Cut, times.forwarded, times.release, times.peers,
		}
		for i := 1; i < len(steps); i++ {
			assert.Assert(t, steps[i] >= steps[i-1], "%v", steps)
		}
		assert.Assert(t, times.release > times.forwarded && times.forwarded > times.servers.Cut, "%v", steps)
		assert.Assert(t, times.servers.Accept <= times.servers.Answer)
		assert.Equal(t, times.peers, timeout)
	})
}
