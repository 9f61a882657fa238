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
	// Put adds instances, or replaces those of the same name.
	Put []platform.Instance `json:"put,omitempty"`
	// Remove drops instances by name.
	Remove []string `json:"remove,omitempty"`
	// Leaving marks instances as leaving, by name.
	Leaving []string `json:"leaving,omitempty"`
	// Returned marks instances as no longer leaving, by name.
	Returned []string `json:"returned,omitempty"`
}

// instanceChange is a change and when the list begins to show it.
type instanceChange struct {
	visibleAt time.Time
	change    InstancesChange
}

// ChangeInstances changes the list; List shows it after the list's lag. Changes
// are shown in the order in which they were made.
func (p *Platform) ChangeInstances(change InstancesChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleAt := time.Now().Add(time.Duration(p.switches.ListLag))
	p.changes = append(p.changes, instanceChange{visibleAt: visibleAt, change: change})
}

// List implements platform.Instances.
func (p *Platform) List(ctx context.Context) ([]platform.Instance, error) {
	list, _, err := p.listAt(ctx)
	return list, err
}

// listAt returns the list and the number of changes that it shows.
func (p *Platform) listAt(ctx context.Context) (list []platform.Instance, listed uint64, err error) {
	err = p.read(ctx, "list instances", func() error {
		p.counts.Lists++
		p.showChangesLocked(time.Now())
		listed = p.listed
		list = make([]platform.Instance, 0, len(p.instances))
		for _, instance := range p.instances {
			list = append(list, instance)
		}
		return nil
	})
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list, listed, err
}

func (p *Platform) showChangesLocked(now time.Time) {
	for len(p.changes) > 0 && !p.changes[0].visibleAt.After(now) {
		p.applyLocked(p.changes[0].change)
		p.listed++
		p.changes = p.changes[1:]
	}
}

func (p *Platform) applyLocked(change InstancesChange) {
	for _, instance := range change.Put {
		p.instances[instance.Name] = instance
	}
	for _, name := range change.Remove {
		delete(p.instances, name)
	}
	p.markLocked(change.Leaving, true)
	p.markLocked(change.Returned, false)
}

func (p *Platform) markLocked(names []string, leaving bool) {
	for _, name := range names {
		instance, found := p.instances[name]
		if !found {
			continue
		}
		instance.Leaving = leaving
		p.instances[name] = instance
	}
}
