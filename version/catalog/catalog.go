// Package catalog holds one version of what the operators publish for a cell:
// queues of jobs, the teams that may submit jobs, and the bounds on calls.
//
// A Catalog is immutable once it is in use; a newer one replaces it completely.
package catalog

import (
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Catalog is one version of the operators' configuration.
type Catalog struct {
	// Version increases with every change.
	Version int64
	Queues  []*Queue
	Teams   []*Team
	Limits  Limits

	queuesByName map[string]*Queue
	teamsByKey   map[string]*Team
	teamsByName  map[string]*Team
	upstreams    map[string]Upstream
}

// Queue accepts jobs under a host and path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Upstream is the service whose workers run the queue's tasks.
	Upstream string
	// Public queues accept calls without a key.
	Public bool
	Policy Policy
}

// Policy defines how the jobs of a queue are run. A job keeps a copy, so that it can
// finish after its queue has been removed.
type Policy struct {
	// Priority orders the jobs of different queues; lower values come first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of a task, or of a gang, at which the job
	// fails; 0 means no limit.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// The objective of a job is Stretch times its critical path, plus Target.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	Advice  *Advice       `json:"advice,omitempty"`
}

// Advice describes the advisory service's timing for a queue's steps. A queue with advice
// runs a step only on workers that the service names, with the ticket that it issues.
type Advice struct {
	// Decide is the base duration of a call. Each is added for every worker that the call
	// lists.
	Decide time.Duration `json:"decide,omitempty"`
	Each   time.Duration `json:"each,omitempty"`
	// Valid is how long a ticket can be used.
	Valid time.Duration `json:"valid,omitempty"`
}

// CallTime returns the service's expected duration for a call with n workers.
func (a Advice) CallTime(n int) time.Duration { return a.Decide + time.Duration(n)*a.Each }

// Team is a client that submits jobs.
type Team struct {
	Name string
	Keys []string
	// Weight is the team's guaranteed share under full load, in jobs per second.
	Weight float64
	// Cap is the team's quota of running work; zero elements are unbounded.
	Cap resource.Amount
}

// Upstream is a service that workers provide.
type Upstream struct {
	Name string
	// ChecksCapacity is set if the workers refuse tasks that exceed their capacity. If it
	// is not set, they start every task.
	ChecksCapacity bool
}

// Limits bounds the calls of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New returns an indexed catalog. The arguments must not be modified afterwards.
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

// Match returns the queue for host with the longest prefix of path, and the rest of the
// path.
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
