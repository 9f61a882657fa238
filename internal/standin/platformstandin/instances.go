package platformstandin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// InstancesChange changes the list of instances. It is the body of POST to
// PathInstances.
type InstancesChange struct {
	// Put adds instances or replaces those of the same name.
	Put []platform.Instance `json:"put,omitempty"`
	// Remove removes instances by name.
	Remove []string `json:"remove,omitempty"`
	// Leaving marks instances as leaving, by name.
	Leaving []string `json:"leaving,omitempty"`
	// NotLeaving marks instances as no longer leaving, by name.
	NotLeaving []string `json:"returned,omitempty"`
}

// instanceChange is a change and the time from which the list shows it.
type instanceChange struct {
	visibleAt time.Time
	change    InstancesChange
}

// ChangeInstances changes the list of instances. List shows the change after
// Switches.ListLag, and shows changes in the order in which they were made.
func (p *Platform) ChangeInstances(change InstancesChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleAt := time.Now().Add(time.Duration(p.switches.ListLag))
	p.changes = append(p.changes, instanceChange{visibleAt: visibleAt, change: change})
}

// List implements platform.Instances.
func (p *Platform) List(ctx context.Context) ([]platform.Instance, error) {
	list, _, err := p.listWithVersion(ctx)
	return list, err
}

// listWithVersion returns the list and the number of changes that it shows.
func (p *Platform) listWithVersion(ctx context.Context) (list []platform.Instance, shownChanges uint64, err error) {
	err = p.read(ctx, "list instances", func() error {
		p.counts.Lists++
		p.applyDueChangesLocked(time.Now())
		shownChanges = p.shownChanges
		list = make([]platform.Instance, 0, len(p.instances))
		for _, instance := range p.instances {
			list = append(list, instance)
		}
		return nil
	})
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list, shownChanges, err
}

func (p *Platform) applyDueChangesLocked(now time.Time) {
	for len(p.changes) > 0 && !p.changes[0].visibleAt.After(now) {
		p.applyChangeLocked(p.changes[0].change)
		p.shownChanges++
		p.changes = p.changes[1:]
	}
}

func (p *Platform) applyChangeLocked(change InstancesChange) {
	for _, instance := range change.Put {
		p.instances[instance.Name] = instance
	}
	for _, name := range change.Remove {
		delete(p.instances, name)
	}
	p.setLeavingLocked(change.Leaving, true)
	p.setLeavingLocked(change.NotLeaving, false)
}

func (p *Platform) setLeavingLocked(names []string, leaving bool) {
	for _, name := range names {
		instance, found := p.instances[name]
		if !found {
			continue
		}
		instance.Leaving = leaving
		p.instances[name] = instance
	}
}
