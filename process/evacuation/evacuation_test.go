package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Requests that are read again, several at once, unknown names and a request that is taken back
// at once must leave exactly the requested domains without new work.
func TestRequestsFollowTheOperatorsRows(t *testing.T) {
	var r Requests
	start := time.Unix(1_700_000_000, 0)
	assert.Assert(t, !r.Any() && !r.Covers("a"))
	assert.DeepEqual(t, r.Set(start, []string{"b", "a", "a"}), Change{Begun: []string{"a", "b"}})
	assert.DeepEqual(t, r.Set(start.Add(time.Second), []string{"a", "b"}), Change{})
	assert.Equal(t, r.LongestFor(start.Add(4*time.Second)), 4*time.Second)
	assert.DeepEqual(t, r.Set(start.Add(5*time.Second), []string{"b", "unknown"}), Change{Begun: []string{"unknown"}, Ended: []string{"a"}})
	assert.Assert(t, !r.Covers("a") && r.Covers("b") && r.Covers("unknown"))
	assert.DeepEqual(t, r.Names(), []string{"b", "unknown"})
	assert.DeepEqual(t, r.Set(start.Add(6*time.Second), nil), Change{Ended: []string{"b", "unknown"}})
	assert.Assert(t, !r.Any())
}

// The end of an evacuation's work is reported once, also if the domain was empty from the start.
func TestEmptyIsReportedOnce(t *testing.T) {
	var r Requests
	start := time.Unix(1_700_000_000, 0)
	r.Set(start, []string{"a"})
	_, emptied := r.ObserveRuns(start.Add(time.Second), "a", 3)
	assert.Assert(t, !emptied)
	lasted, emptied := r.ObserveRuns(start.Add(2*time.Second), "a", 0)
	assert.Assert(t, emptied && lasted == 2*time.Second)
	_, emptied = r.ObserveRuns(start.Add(3*time.Second), "a", 0)
	assert.Assert(t, !emptied)
	_, emptied = r.ObserveRuns(start, "another", 0)
	assert.Assert(t, !emptied)
}
