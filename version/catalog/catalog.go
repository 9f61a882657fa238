// Package catalog holds one version of what the operators publish for a cell:
// queues of jobs, the teams that may hand work in, and the bounds on calls.
//
// A Catalog is immutable once it is in use; a newer one replaces it whole.
package catalog

import (
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Catalog is one version of the operators' configuration.
type Catalog struct {
	// Version rises with every change.
	Version int64
	Queues  []*Queue
	Teams   []*Team
	Limits  Limits

	queuesByName map[string]*Queue
	teamsByKey   map[string]*Team
	teamsByName  map[string]*Team
	upstreams    map[string]Upstream
}

// Queue takes jobs in under a host and path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Upstream names the service whose workers run the queue's tasks.
	Upstream string
	// Public queues take calls without a key.
	Public bool
	Policy Policy
}

// Policy is how the jobs of a queue are run. A job keeps a copy, so that it can
// end after its queue was removed.
type Policy struct {
	// Priority orders queues; 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch times the longest chain of work, plus Target, is a job's objective.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	Advice  *Advice       `json:"advice,omitempty"`
}

// Advice is what the advisory service takes for a queue's steps. A queue with
// advice runs a step only on workers that the service names, with its ticket.
type Advice struct {
	// Decide is the time of a call, and Each what every worker asked about adds.
	Decide time.Duration `json:"decide,omitempty"`
	Each   time.Duration `json:"each,omitempty"`
	// Valid is how long a ticket can be used.
	Valid time.Duration `json:"valid,omitempty"`
}

// CallTime returns how long the service takes to judge n workers.
func (a Advice) CallTime(n int) time.Duration { return a.Decide + time.Duration(n)*a.Each }

// Team is who hands jobs in.
type Team struct {
	Name string
	Keys []string
	// Weight is the team's share when all is full, in jobs a second.
	Weight float64
	// Cap bounds what the team may have running; zero elements are unbounded.
	Cap resource.Amount
}

// Upstream is a service that workers carry.
type Upstream struct {
	Name string
	// Guarded workers refuse what doesn't fit; others start what they are told.
	Guarded bool
}

// Limits bounds the calls of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New indexes a catalog. The arguments must not be changed afterwards.
func New(version int64, queues []*Queue, teams []*Team, upstreams []Upstream, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Queues: queues, Teams: teams, Limits: limits,
		queuesByName: make(map[string]*Queue, len(queues)),
		teamsByKey:   make(map[string]*Team),
		teamsByName:  make(map[string]*Team, len(teams)),
		upstreams:    make(map[string]Upstream, len(upstreams)),
	}
	for _, q := range queues {
		c.queuesByName[q.Name] = q
	}
	for _, t := range teams {
		c.teamsByName[t.Name] = t
		for _, key := range t.Keys {
			c.teamsByKey[key] = t
		}
	}
	for _, u := range upstreams {
		c.upstreams[u.Name] = u
	}
	return c
}

// Match returns the queue whose host is host and whose prefix is the longest
// that path begins with, and the rest of the path.
func (c *Catalog) Match(host, path string) (queue *Queue, rest string, ok bool) {
	for _, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if queue == nil || len(q.Prefix) > len(queue.Prefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.Prefix):], true
}

// Queue returns the queue with this name, or nil.
func (c *Catalog) Queue(name string) *Queue { return c.queuesByName[name] }

// TeamOfKey returns the team that holds key, or nil.
func (c *Catalog) TeamOfKey(key string) *Team { return c.teamsByKey[key] }

// Team returns the team with this name, or nil.
func (c *Catalog) Team(name string) *Team { return c.teamsByName[name] }

// Upstream returns the upstream with this name.
func (c *Catalog) Upstream(name string) (Upstream, bool) {
	u, ok := c.upstreams[name]
	return u, ok
}
