package requests

import (
	"context"
	"sync"
)

// gate counts the requests in progress that other entries sent to this one. Once closed, it
// admits no more.
type gate struct {
	mu         sync.Mutex
	inProgress int
	closed     bool
	// drained is closed once the gate is closed and no request is in progress.
	drained chan struct{}
}

func newGate() *gate { return &gate{drained: make(chan struct{})} }

// enter counts a request as in progress. It returns false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inProgress++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress--
	if g.closed && g.inProgress == 0 {
		close(g.drained)
	}
}

// drain closes the gate and waits until no request is in progress or ctx ends.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.closed && g.inProgress == 0 {
		close(g.drained)
	}
	g.closed = true
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
