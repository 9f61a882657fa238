package cluster

import (
	"context"
	"time"
)

// LeaveLimits are how long after Leave a scheduler hands the cell over. They are fractions of
// the time after which the process is killed, each larger than the one before. With the zero
// value a scheduler hands over at once.
type LeaveLimits struct {
	// Min is the shortest time, in which the scheduler learns whether other entries leave too.
	Min time.Duration
	// Hold is how long the scheduler waits for a successor that is about as large as itself and
	// has restarted already, while other entries leave. After it any entry that stays will do.
	Hold time.Duration
	// Final is when the scheduler releases the lease although no entry can take it.
	Final time.Duration
}

// Leave marks the node as not ready and, if it schedules, hands the cell over within
// Timings.Leave. It returns when the lease is released or ctx ends; until then, and after it,
// the node answers and forwards calls, so the caller goes on serving meanwhile.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	r := n.leadership
	n.mu.Unlock()
	if r != nil && !r.over() {
		n.release(ctx, r)
	}
}
