// Package fleet keeps the last instance list read from the platform, split into
// entries and workers.
//
// The list lags behind the instances and may be unreadable for a long time; the last
// list then stays in use. An instance that disappears from the list is treated as
// leaving, not as stopped. Workers drained by operators have a row in the table and
// count as leaving too.
package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// DrainPrefix is the prefix of the rows of drained workers.
const DrainPrefix = "drain/"

const (
	// maxDrained bounds the number of drained workers that are read.
	maxDrained = 2000
	// unlimited replaces a missing limit on running tasks.
	unlimited = int64(1) << 40
)

// List is the instance list as read at one time. It is immutable.
type List struct {
	Entries []platform.Instance
	Workers []platform.Instance
	ReadAt  time.Time
	byName  map[string]platform.Instance
	total   map[string]resource.Amount
	// source and drained are the inputs of the list.
	source  []platform.Instance
	drained map[string]bool
}

// Worker returns a worker by name.
func (l *List) Worker(name string) (platform.Instance, bool) {
	instance, ok := l.byName[name]
	return instance, ok && instance.Role == platform.RoleWorker
}

// Total returns the capacity of an upstream's workers that aren't leaving. An empty
// upstream means all workers.
func (l *List) Total(upstream string) resource.Amount { return l.total[upstream] }

// Fleet refreshes the list. It is safe for concurrent use, except for Refresh.
type Fleet struct {
	instances platform.Instances
	table     platform.Table
	list      atomic.Pointer[List]
	// drained is written by Refresh only.
	drained map[string]bool
}

// New returns a fleet with an empty list. The rows of drained workers are read from
// table.
func New(instances platform.Instances, table platform.Table) *Fleet {
	f := &Fleet{instances: instances, table: table}
	f.list.Store(newList(nil, nil, time.Time{}))
	return f
}

// List returns the last list. It is never nil.
func (f *Fleet) List() *List { return f.list.Load() }

// Refresh reads the list once. It must not be called concurrently. If only the drained
// workers can't be read, it stores the new list with the last set of them and returns
// the error.
func (f *Fleet) Refresh(ctx context.Context) error {
	instances, err := f.instances.List(ctx)
	if err != nil {
		return eris.Wrap(err, "read instance list")
	}
	err = f.refreshDrained(ctx)
	f.list.Store(f.List().next(instances, f.drained, time.Now()))
	return err
}

// refreshDrained reads the drained workers. It keeps the last set if the table can't be
// read.
func (f *Fleet) refreshDrained(ctx context.Context) error {
	rows, err := f.table.Scan(ctx, DrainPrefix, "", maxDrained)
	if err != nil {
		return eris.Wrap(err, "read drained workers")
	}
	drained := make(map[string]bool, len(rows))
	for _, row := range rows {
		drained[strings.TrimPrefix(row.Key, DrainPrefix)] = true
	}
	f.drained = drained
	return nil
}

// Run refreshes the list every interval until ctx ends and calls changed after each
// refresh with the list in use and the error of the refresh.
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

// next returns the list for newly read inputs. If they are unchanged, it avoids
// rebuilding the indexes.
func (l *List) next(instances []platform.Instance, drained map[string]bool, readAt time.Time) *List {
	if !slices.Equal(l.source, instances) || !maps.Equal(l.drained, drained) {
		return newList(instances, drained, readAt)
	}
	same := *l
	same.ReadAt = readAt
	return &same
}

func newList(instances []platform.Instance, drained map[string]bool, readAt time.Time) *List {
	l := &List{
		ReadAt: readAt,
		byName: make(map[string]platform.Instance, len(instances)),
		total:  make(map[string]resource.Amount),
		source: instances, drained: drained,
	}
	for _, instance := range instances {
		instance.Leaving = instance.Leaving || drained[instance.Name]
		if instance.Role == platform.RoleWorker && instance.Capacity.Running == 0 {
			instance.Capacity.Running = unlimited
		}
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
