package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An outage of the table of 5 s under steady load: callers with four tries, who come
// back when they are told, are all served after it, and none waits longer than the
// outage itself lasted after its end.
func TestCallersOutlastAnOutage(t *testing.T) {
	const outage, tries = 5 * time.Second, 4
	for arrives := time.Duration(0); arrives < outage; arrives += 100 * time.Millisecond {
		at := arrives
		for range tries {
			if at >= outage {
				break
			}
			at += OutageWait(at)
		}
		assert.Assert(t, at >= outage, "who comes at %s gives up at %s", arrives, at)
		assert.Assert(t, at <= 2*outage, "who comes at %s is served at %s", arrives, at)
	}
}

// The first refusals of an outage name a second, and none more than the bound.
func TestOutageWaitIsBounded(t *testing.T) {
	assert.Equal(t, OutageWait(0), time.Second)
	assert.Equal(t, OutageWait(1900*time.Millisecond), time.Second)
	assert.Equal(t, OutageWait(2100*time.Millisecond), 2*time.Second)
	assert.Equal(t, OutageWait(time.Hour), maxRetryAfter)
}
