package cluster

import (
	"sync"
	"time"
)

const (
	// relayBackoff is how long an entry is asked for nothing after it failed to answer.
	relayBackoff = 2 * time.Second
	// pathBackoff is how long an entry isn't asked to call a worker that didn't reply to it:
	// the path between the two may be broken while others work.
	pathBackoff = 10 * time.Second
)

// relayHealth remembers which entries failed to make calls for the scheduler.
type relayHealth struct {
	mu sync.Mutex
	// entryUntil is until when an entry is avoided, by name, pathUntil until when it isn't
	// asked to call a worker.
	entryUntil map[string]time.Time
	pathUntil  map[relayPath]time.Time
}

// relayPath is the path from an entry to a worker, both by name.
type relayPath struct{ relay, worker string }

func newRelayHealth() *relayHealth {
	return &relayHealth{entryUntil: make(map[string]time.Time), pathUntil: make(map[relayPath]time.Time)}
}

// entryFailed records that an entry didn't answer the scheduler.
func (h *relayHealth) entryFailed(now time.Time, relay string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entryUntil[relay] = now.Add(relayBackoff)
}

// pathFailed records that a worker didn't reply to an entry.
func (h *relayHealth) pathFailed(now time.Time, relay, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pathUntil[relayPath{relay, worker}] = now.Add(pathBackoff)
}

// entryUsable reports whether an entry may be asked.
func (h *relayHealth) entryUsable(now time.Time, relay string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.entryUntil[relay])
}

// pathUsable reports whether an entry may be asked to call a worker.
func (h *relayHealth) pathUsable(now time.Time, relay, worker string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	path := relayPath{relay, worker}
	until, failed := h.pathUntil[path]
	if failed && !now.Before(until) {
		delete(h.pathUntil, path)
	}
	return !now.Before(until)
}
