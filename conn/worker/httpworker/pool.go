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

// pool limits the number of slots in use and the number of connections that they open.
type pool struct {
	// tokens holds one element per slot in use.
	tokens chan struct{}
	// permits holds one element per connection that is open or being drained.
	permits  chan struct{}
	drainFor time.Duration
	// bytes counts the bytes of the connections.
	bytes *traffic.Bytes
	// baseCtx is cancelled when the pool is closed.
	baseCtx context.Context
	cancel  context.CancelFunc

	mu   sync.Mutex
	idle []*connSlot
	all  []*connSlot
}

func newPool(size int, drainFor time.Duration, bytes *traffic.Bytes) *pool {
	p := &pool{
		tokens:   make(chan struct{}, size),
		permits:  make(chan struct{}, size),
		drainFor: drainFor,
		bytes:    bytes,
	}
	p.baseCtx, p.cancel = context.WithCancel(context.Background())
	return p
}

// permit waits until one more connection may be opened, until ctx is done or until the pool
// is closed.
func (p *pool) permit(ctx context.Context) error {
	select {
	case p.permits <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.baseCtx.Done():
		return errClosed
	}
}

func (p *pool) returnPermit() { <-p.permits }

// acquire waits for a slot. It prefers the one with the most recent read.
func (p *pool) acquire(ctx context.Context) (*connSlot, error) {
	if p.baseCtx.Err() != nil {
		return nil, errClosed
	}
	select {
	case p.tokens <- struct{}{}:
		return p.pick(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.baseCtx.Done():
		return nil, errClosed
	}
}

// pick returns the idle slot with the most recent read, or a new one if none is idle.
func (p *pool) pick() *connSlot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		s := newConnSlot(p)
		p.all = append(p.all, s)
		return s
	}
	best := 0
	for i, s := range p.idle {
		if s.lastRead().After(p.idle[best].lastRead()) {
			best = i
		}
	}
	s := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return s
}

func (p *pool) release(s *connSlot) {
	if p.baseCtx.Err() != nil {
		s.drop()
	}
	p.mu.Lock()
	p.idle = append(p.idle, s)
	p.mu.Unlock()
	<-p.tokens
}

// closeAll closes all connections, including those in use, and permits no more.
func (p *pool) closeAll() {
	p.cancel()
	p.mu.Lock()
	slots := slices.Clone(p.all)
	p.mu.Unlock()
	for _, s := range slots {
		s.drop()
	}
}
