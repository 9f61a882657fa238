package dedupe

import (
	"context"
	"sync"
	"time"
)

// replicateTimeout is the timeout of one call to the witnesses.
const replicateTimeout = 3 * time.Second

// Replicator sends IDs to the witnesses in batches: IDs that arrive while a call is in
// progress are sent together in the next call.
type Replicator struct {
	send func(ctx context.Context, keys []string) error

	mu      sync.Mutex
	sending bool
	next    *batch
}

// batch is the set of IDs of one call. err is valid once done is closed.
type batch struct {
	keys []string
	done chan struct{}
	err  error
}

// NewReplicator returns a Replicator that sends batches with send. send must return nil
// only if every witness has stored the IDs.
func NewReplicator(send func(ctx context.Context, keys []string) error) *Replicator {
	return &Replicator{send: send}
}

// Replicate returns nil once every witness has stored the ID.
func (r *Replicator) Replicate(ctx context.Context, key string) error {
	b, startsRun := r.join(key)
	if startsRun {
		go r.run()
	}
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join adds the ID to the next batch. startsRun is true if no call is in progress, in
// which case the caller must start run.
func (r *Replicator) join(key string) (b *batch, startsRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &batch{done: make(chan struct{})}
	}
	r.next.keys = append(r.next.keys, key)
	startsRun = !r.sending
	r.sending = true
	return r.next, startsRun
}

// run sends batches until there are none left.
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
		ctx, cancel := context.WithTimeout(context.Background(), replicateTimeout)
		b.err = r.send(ctx, b.keys)
		cancel()
		close(b.done)
	}
}
