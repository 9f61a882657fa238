package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAdmitUntil is the whole decision: version 1 is in force, the peers are a
// and b, the bound is 2 s. Times are seconds.
func TestAdmitUntil(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	says := func(known uint64, age float64, reachable bool) PeerStatus {
		return PeerStatus{Number: 1, Known: known, StoreAge: at(age).Sub(start), StoreReachable: reachable}
	}
	down := says(1, -1, false)
	both := []string{"a", "b"}
	cases := []struct {
		name  string
		peers []string
		given func(c *contact)
		// want is until when the entry admits; 0 if not at all.
		want float64
	}{
		{"own read", both, func(c *contact) { c.readDone(at(10), 1) }, 12},
		{"own read finds a newer version", both, func(c *contact) { c.readDone(at(10), 2) }, 0},
		{"a peer's read", both, func(c *contact) { c.observe("a", says(1, 0.5, true), at(10)) }, 11.5},
		{"a peer's read found a newer version", both, func(c *contact) { c.observe("a", says(2, 0.5, true), at(10)) }, 0},
		{"an older answer of a peer comes late", both, func(c *contact) {
			c.observe("a", says(1, 0.5, true), at(10))
			c.observe("a", says(1, 0.5, true), at(9))
		}, 11.5},
		{"down for all", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("b", down, at(9.5))
		}, 11},
		{"own failure is the oldest statement", both, func(c *contact) {
			c.readFailed(at(8))
			c.observe("a", down, at(9))
			c.observe("b", down, at(9.5))
		}, 10},
		{"a peer is silent", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
		}, 0},
		{"a peer reaches the table but has not read it", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("b", says(1, -1, true), at(9.5))
		}, 0},
		{"a peer knows a newer version", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("b", says(2, -1, false), at(9.5))
		}, 0},
		{"no peers", nil, func(c *contact) { c.readFailed(at(10)) }, 0},
		{"nothing loaded", both, func(c *contact) {
			c.loaded = false
			c.readDone(at(10), 1)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := &contact{loaded: true, known: 1}
			c.given(state)
			state.verify(1)
			until := state.admitUntil(1, c.peers, 2*time.Second)
			if c.want == 0 {
				assert.Assert(t, until.IsZero(), "admits until %s", until)
				return
			}
			assert.Equal(t, until, at(c.want))
		})
	}
}
