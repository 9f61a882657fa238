package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAdmitUntil is the whole decision: version 1 is in force, the bound is 2 s.
// All read the head at 1. Times are seconds.
func TestAdmitUntil(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	says := func(known uint64, age float64, reachable bool) PeerStatus {
		return PeerStatus{Number: 1, Known: known, StoreAge: at(age).Sub(start), StoreReachable: reachable}
	}
	down := says(1, 5, false)
	forgot := says(1, -1, false)
	four := []string{"a", "b", "c", "d"}
	both := []string{"a", "b"}
	cases := []struct {
		name  string
		peers []string
		given func(c *contact)
		// want is until when the entry admits; 0 if not at all.
		want float64
	}{
		{"own read", both, func(c *contact) { c.readDone(at(10), 1) }, 12},
		{"own read finds a newer version", both, func(c *contact) { c.readDone(at(10), 2) }, 3},
		{"a peer's read", both, func(c *contact) { c.observe("a", says(1, 0.5, true), at(10)) }, 11.5},
		{"a peer's read found a newer version", both, func(c *contact) { c.observe("a", says(2, 0.5, true), at(10)) }, 3},
		{"an older answer of a peer comes late", both, func(c *contact) {
			c.observe("a", says(1, 0.5, true), at(10))
			c.observe("a", says(1, 0.5, true), at(9))
		}, 11.5},
		{"down for all", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("b", down, at(9.5))
		}, 11.5},
		{"own failure is the oldest statement needed", both, func(c *contact) {
			c.readFailed(at(8))
			c.observe("a", down, at(9))
		}, 10},
		{"a peer is silent", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
		}, 11},
		{"most are silent", four, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
		}, 6},
		{"most speak", four, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("d", down, at(7))
		}, 9},
		{"one that has forgotten is among them", four, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("d", forgot, at(9))
		}, 6},
		{"a stranger is among them", four, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("e", down, at(9))
		}, 6},
		{"this one has forgotten itself", both, func(c *contact) {
			c.readAt, c.verifiedAt = time.Time{}, time.Time{}
			c.readFailed(at(10))
			c.observe("a", down, at(9))
		}, 6},
		{"a peer reaches the table but has not read it", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("b", says(1, -1, true), at(9.5))
		}, 3},
		{"a peer knows a newer version", both, func(c *contact) {
			c.readFailed(at(10))
			c.observe("a", down, at(9))
			c.observe("b", says(2, -1, false), at(9.5))
		}, 6},
		{"no peers", nil, func(c *contact) { c.readFailed(at(10)) }, 3},
		{"nothing loaded", both, func(c *contact) {
			c.loaded = false
			c.readDone(at(10), 1)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := &contact{loaded: true, known: 1}
			state.readDone(at(1), 1)
			state.verify(1)
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
