// Package fleet keeps the last instance list that the platform gave, split into
// entries and workers, and tells what changed.
//
// The list lags and may be unreadable for long. The last list stays in use; an
// instance that leaves the list is treated as leaving, not as stopped.
package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// List is one reading of the instance list. It is immutable.
type List struct {
	Entries []platform.Instance
	Workers []platform.Instance
	ReadAt  time.Time
	byName  map[string]platform.Instance
	total   map[string]resource.Amount
}

// Worker returns a worker by name.
func (l *List) Worker(name string) (platform.Instance, bool) {
	instance, ok := l.byName[name]
	return instance, ok && instance.Role == platform.RoleWorker
}

// Total returns the capacity of the workers of an upstream that aren't leaving;
// an empty upstream means all workers.
func (l *List) Total(upstream string) resource.Amount { return l.total[upstream] }

// Fleet keeps the list current. It is safe for concurrent use.
type Fleet struct {
	instances platform.Instances
	list      atomic.Pointer[List]
}

// New returns a fleet with an empty list.
func New(instances platform.Instances) *Fleet {
	f := &Fleet{instances: instances}
	f.list.Store(newList(nil, time.Time{}))
	return f
}

// List returns the last list; it is never nil.
func (f *Fleet) List() *List { return f.list.Load() }

// Refresh reads the list once.
func (f *Fleet) Refresh(ctx context.Context) error {
	instances, err := f.instances.List(ctx)
	if err != nil {
		return eris.Wrap(err, "read instance list")
	}
	f.list.Store(newList(instances, time.Now()))
	return nil
}

// Run refreshes the list every interval until ctx ends and calls changed after
// each reading, with its error.
func (f *Fleet) Run(ctx context.Context, interval time.Duration, changed func(*List, error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		readCtx, cancel := context.WithTimeout(ctx, interval*2)
		err := f.Refresh(readCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		changed(f.List(), err)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func newList(instances []platform.Instance, readAt time.Time) *List {
	l := &List{
		ReadAt: readAt,
		byName: make(map[string]platform.Instance, len(instances)),
		total:  make(map[string]resource.Amount),
	}
	for _, instance := range instances {
		l.byName[instance.Name] = instance
		if instance.Role == platform.RoleEntry {
			l.Entries = append(l.Entries, instance)
			continue
		}
		l.Workers = append(l.Workers, instance)
		if instance.Leaving {
			continue
		}
		l.total[""] = l.total[""].Add(instance.Capacity)
		if instance.Upstream != "" {
			l.total[instance.Upstream] = l.total[instance.Upstream].Add(instance.Capacity)
		}
	}
	return l
}
