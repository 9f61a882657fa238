package store

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAdmitUntil covers all cases of admitUntil. Version 1 is in force and the bound is 2 s.
// In all cases the entry has read the head at 1. Times are in seconds.
func TestAdmitUntil(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	status := func(known uint64, age float64, reachable bool) PeerStatus {
		return PeerStatus{Number: 1, Known: known, TableReadAge: at(age).Sub(start), TableReachable: reachable}
	}
	tableUnreachable := status(1, 5, false)
	restarted := status(1, -1, false)
	fourPeers := []string{"a", "b", "c", "d"}
	twoPeers := []string{"a", "b"}
	cases := []struct {
		name  string
		peers []string
		setup func(c *freshness)
		// want is until when the entry admits, 0 if it does not admit.
		want float64
	}{
		{"own read", twoPeers, func(c *freshness) { c.readDone(at(10), 1) }, 12},
		{"own read finds a newer version", twoPeers, func(c *freshness) { c.readDone(at(10), 2) }, 3},
		{"a peer's read", twoPeers, func(c *freshness) { c.observe("a", status(1, 0.5, true), at(10)) }, 11.5},
		{"a peer's read found a newer version", twoPeers, func(c *freshness) { c.observe("a", status(2, 0.5, true), at(10)) }, 3},
		{"an older status of a peer arrives late", twoPeers, func(c *freshness) {
			c.observe("a", status(1, 0.5, true), at(10))
			c.observe("a", status(1, 0.5, true), at(9))
		}, 11.5},
		{"table unreachable for all", twoPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
			c.observe("b", tableUnreachable, at(9.5))
		}, 11.5},
		{"own failure is the oldest report needed", twoPeers, func(c *freshness) {
			c.readFailed(at(8))
			c.observe("a", tableUnreachable, at(9))
		}, 10},
		{"a peer is unreachable", twoPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
		}, 11},
		{"a majority is unreachable", fourPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
		}, 6},
		{"a majority reports", fourPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
			c.observe("d", tableUnreachable, at(7))
		}, 9},
		{"a restarted peer does not count", fourPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
			c.observe("d", restarted, at(9))
		}, 6},
		{"an unknown peer does not count", fourPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
			c.observe("e", tableUnreachable, at(9))
		}, 6},
		{"the entry itself has restarted", twoPeers, func(c *freshness) {
			c.readAt, c.verifiedAt = time.Time{}, time.Time{}
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
		}, 6},
		{"a peer reaches the table but has not read it", twoPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("b", status(1, -1, true), at(9.5))
		}, 3},
		{"a peer knows a newer version", twoPeers, func(c *freshness) {
			c.readFailed(at(10))
			c.observe("a", tableUnreachable, at(9))
			c.observe("b", status(2, -1, false), at(9.5))
		}, 6},
		{"no peers", nil, func(c *freshness) { c.readFailed(at(10)) }, 3},
		{"nothing loaded", twoPeers, func(c *freshness) {
			c.loaded = false
			c.readDone(at(10), 1)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := &freshness{loaded: true, known: 1}
			state.readDone(at(1), 1)
			state.verify(1)
			c.setup(state)
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
