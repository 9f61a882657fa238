package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A table outage of 5 s under steady load: callers with four tries that retry after the
// delay given in the refusal must all be served after it, at the latest when another
// 5 s have passed.
func TestRetriesOutlastAnOutage(t *testing.T) {
	const outage, tries = 5 * time.Second, 4
	for arrival := time.Duration(0); arrival < outage; arrival += 100 * time.Millisecond {
		at := arrival
		for range tries {
			if at >= outage {
				break
			}
			at += OutageRetryAfter(at)
		}
		assert.Assert(t, at >= outage, "a caller that arrives at %s gives up at %s", arrival, at)
		assert.Assert(t, at <= 2*outage, "a caller that arrives at %s is served at %s", arrival, at)
	}
}

// The first refusals of an outage give a delay of 1 s, and none gives more than the
// bound.
func TestOutageRetryAfterIsBounded(t *testing.T) {
	assert.Equal(t, OutageRetryAfter(0), time.Second)
	assert.Equal(t, OutageRetryAfter(1900*time.Millisecond), time.Second)
	assert.Equal(t, OutageRetryAfter(2100*time.Millisecond), 2*time.Second)
	assert.Equal(t, OutageRetryAfter(time.Hour), maxRetryAfter)
}
