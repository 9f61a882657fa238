package httpworker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
)

var errClosed = errors.New("client is closed")

// pool is a bounded set of lanes and of the connections that they open.
type pool struct {
	// tokens holds one token for each lane in use.
	tokens chan struct{}
	// permits holds one token for each connection, also while it drains.
	permits  chan struct{}
	drainFor time.Duration
	// bytes counts what the connections carry.
	bytes *traffic.Bytes
	// open ends when the pool is closed.
	open  context.Context
	close context.CancelFunc

	mu   sync.Mutex
	idle []*lane
	all  []*lane
}

func newPool(size int, drainFor time.Duration, bytes *traffic.Bytes) *pool {
	p := &pool{
		tokens:   make(chan struct{}, size),
		permits:  make(chan struct{}, size),
		drainFor: drainFor,
		bytes:    bytes,
	}
	p.open, p.close = context.WithCancel(context.Background())
	return p
}

// permit waits until one more connection may be opened.
func (p *pool) permit(ctx context.Context) error {
	select {
	case p.permits <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.open.Done():
		return errClosed
	}
}

func (p *pool) returnPermit() { <-p.permits }

// acquire waits for a lane, and prefers the one that was heard from last.
func (p *pool) acquire(ctx context.Context) (*lane, error) {
	if p.open.Err() != nil {
		return nil, errClosed
	}
	select {
	case p.tokens <- struct{}{}:
		return p.take(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.open.Done():
		return nil, errClosed
	}
}

func (p *pool) take() *lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		l := newLane(p)
		p.all = append(p.all, l)
		return l
	}
	best := 0
	for i, l := range p.idle {
		if l.lastHeard().After(p.idle[best].lastHeard()) {
			best = i
		}
	}
	l := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return l
}

func (p *pool) release(l *lane) {
	if p.open.Err() != nil {
		l.drop()
	}
	p.mu.Lock()
	p.idle = append(p.idle, l)
	p.mu.Unlock()
	<-p.tokens
}

// shut drops all connections, also those in use, and permits no more.
func (p *pool) shut() {
	p.close()
	p.mu.Lock()
	lanes := slices.Clone(p.all)
	p.mu.Unlock()
	for _, l := range lanes {
		l.drop()
	}
}
