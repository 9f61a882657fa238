package entry

import (
	"context"
	"sync"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// localLimits holds each team's upper limit at this entry alone. It does not hold
// it across the fleet; allotments replace it.
type localLimits struct {
	snapshot func() *version.Snapshot

	mu   sync.Mutex
	used map[string]resource.Amount
}

func (e *Entry) newAllotments() *localLimits {
	return &localLimits{snapshot: e.config.Current, used: make(map[string]resource.Amount)}
}

// Take implements tasks.Allotments.
func (l *localLimits) Take(team string, amount resource.Amount) bool {
	t, ok := l.snapshot().Teams[team]
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.used[team].Add(amount)
	if !ok || !next.Fits(t.Limit) {
		return false
	}
	l.used[team] = next
	return true
}

// Force implements tasks.Allotments.
func (l *localLimits) Force(team string, amount resource.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[team] = l.used[team].Add(amount)
}

// Give implements tasks.Allotments.
func (l *localLimits) Give(team string, amount resource.Amount) {
	l.Force(team, amount.Times(-1))
}

// Held returns the most that the team may have running here.
func (l *localLimits) Held(team string) resource.Amount {
	if t, ok := l.snapshot().Teams[team]; ok {
		return t.Limit
	}
	return resource.Amount{}
}

// Handlers returns no methods.
func (l *localLimits) Handlers() map[string]peer.Handler { return nil }

// Run does nothing.
func (l *localLimits) Run(context.Context) {}

// Release gives nothing back.
func (l *localLimits) Release(context.Context) error { return nil }

// Inherit takes nothing over.
func (l *localLimits) Inherit(string) {}

// Rejoin keeps what is used.
func (l *localLimits) Rejoin(string) {}
