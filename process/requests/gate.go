package requests

import (
	"context"
	"sync"
)

// gate counts the requests of other entries that are in progress here, and lets
// no more in once it is shut.
type gate struct {
	mu     sync.Mutex
	inside int
	shut   bool
	// empty is closed when the gate is shut and nothing is inside.
	empty chan struct{}
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter counts a request in, unless the gate is shut.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.inside++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.shut && g.inside == 0 {
		close(g.empty)
	}
}

// drain shuts the gate and waits until nothing is inside.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.shut && g.inside == 0 {
		close(g.empty)
	}
	g.shut = true
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
