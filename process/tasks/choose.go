package tasks

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
)

const (
	// maxIndexAge is how long an index of the fleet is used.
	maxIndexAge = 50 * time.Millisecond
	// indexAgePerWorker, times the number of workers, is the age from which an index
	// is rebuilt when too few workers were found in it. It bounds the time spent on
	// rebuilding.
	indexAgePerWorker = 5 * time.Microsecond
)

// Chooser chooses workers with package placement from a recent index of the fleet,
// so that the cost of most choices does not depend on the size of the fleet. A
// choice that is out of date is detected when its capacity is reserved.
type Chooser struct {
	mu      sync.Mutex
	rng     *rand.Rand
	fleet   placement.Fleet
	index   *placement.Index
	builtAt time.Time
}

// NewChooser returns a Chooser with a random seed.
func NewChooser() *Chooser {
	return &Chooser{rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Choose implements ChooseFunc. It returns as many workers as have free capacity; an
// all-at-once job may get the remaining workers from other owners.
func (c *Chooser) Choose(fleet placement.Fleet, request PlacementRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.fleet != fleet || now.Sub(c.builtAt) >= maxIndexAge {
		c.rebuild(fleet, now)
	}
	names := c.pick(nil, request)
	minAge := indexAgePerWorker * time.Duration(fleet.Len())
	if len(names) < request.Count && now.Sub(c.builtAt) > minAge {
		c.rebuild(fleet, now)
		names = c.pick(nil, request)
	}
	return names
}

func (c *Chooser) rebuild(fleet placement.Fleet, now time.Time) {
	c.fleet, c.index, c.builtAt = fleet, placement.IndexFleet(fleet), now
}

func (c *Chooser) pick(names []string, request PlacementRequest) []string {
	ask := placement.Ask{Amount: request.Amount, Policy: request.Policy}
	for len(names) < request.Count {
		i, _ := placement.Choose(ask, c.index, c.rng)
		if i < 0 {
			break
		}
		names = append(names, c.index.At(i).Worker)
		c.index.Allocate(i, request.Amount)
	}
	return names
}
