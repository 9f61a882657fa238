package httpworker

import (
	"context"
	"errors"
	"slices"
	"sync"
)

var errClosed = errors.New("client is closed")

// pool is a bounded set of lanes.
type pool struct {
	// tokens holds one token for each lane in use.
	tokens chan struct{}

	mu     sync.Mutex
	closed bool
	idle   []*lane
	all    []*lane
}

func newPool(size int) *pool {
	return &pool{tokens: make(chan struct{}, size)}
}

// acquire waits for a lane, and prefers the one that was heard from last.
func (p *pool) acquire(ctx context.Context) (*lane, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l, err := p.take()
	if err != nil {
		<-p.tokens
	}
	return l, err
}

func (p *pool) take() (*lane, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if len(p.idle) == 0 {
		l := newLane()
		p.all = append(p.all, l)
		return l, nil
	}
	best := 0
	for i, l := range p.idle {
		if l.lastHeard().After(p.idle[best].lastHeard()) {
			best = i
		}
	}
	l := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return l, nil
}

func (p *pool) release(l *lane) {
	p.mu.Lock()
	closed := p.closed
	p.idle = append(p.idle, l)
	p.mu.Unlock()
	if closed {
		l.drop()
	}
	<-p.tokens
}

// close drops all connections, also those in use.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	lanes := slices.Clone(p.all)
	p.mu.Unlock()
	for _, l := range lanes {
		l.drop()
	}
}
