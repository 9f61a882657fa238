package dedupe

import (
	"context"
	"sync"
	"time"
)

// replicateFor bounds one call to the guards.
const replicateFor = 3 * time.Second

// Replicator sends ids to the guards, many in one call: while a call is in
// progress, further ids gather for the next one.
type Replicator struct {
	send func(ctx context.Context, keys []string) error

	mu      sync.Mutex
	sending bool
	next    *batch
}

type batch struct {
	keys []string
	done chan struct{}
	err  error
}

// NewReplicator returns a replicator over send, which must return nil only when
// every guard holds the ids.
func NewReplicator(send func(ctx context.Context, keys []string) error) *Replicator {
	return &Replicator{send: send}
}

// Replicate returns nil when every guard holds the id.
func (r *Replicator) Replicate(ctx context.Context, key string) error {
	b, leads := r.join(key)
	if leads {
		go r.run()
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replicator) join(key string) (b *batch, leads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &batch{done: make(chan struct{})}
	}
	r.next.keys = append(r.next.keys, key)
	leads = !r.sending
	r.sending = true
	return r.next, leads
}

// run sends batches until none is left.
func (r *Replicator) run() {
	for {
		r.mu.Lock()
		b := r.next
		r.next = nil
		if b == nil {
			r.sending = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), replicateFor)
		b.err = r.send(ctx, b.keys)
		cancel()
		close(b.done)
	}
}
