// Package evacuation keeps the operators' requests to empty failure domains.
//
// Load pattern: a failure domain is about to be maintained or is suspected of a fault. Nothing
// new may start there, while what runs there ends by itself; afterwards its workers return
// empty, and some of them are slow at first.
//
// The requests are rows of the operators. They live there alone: each scheduler reads them
// before it plans, so a takeover loses none.
package evacuation

import (
	"slices"
	"time"
)

// Requests holds the evacuations in force, by failure domain. The zero value has none.
// It is not safe for concurrent use.
type Requests struct {
	domains map[string]*request
}

// request is the evacuation of one failure domain.
type request struct {
	since time.Time
	// emptied is set once no run was left in the domain.
	emptied bool
}

// Change lists the failure domains whose evacuations have begun and ended.
type Change struct {
	Begun []string
	Ended []string
}

// Set replaces the evacuations in force and returns what has changed, in the order of the
// names.
func (r *Requests) Set(now time.Time, domains []string) Change {
	var change Change
	next := make(map[string]*request, len(domains))
	for _, name := range domains {
		if known := r.domains[name]; known != nil {
			next[name] = known
			continue
		}
		if next[name] == nil {
			next[name] = &request{since: now}
			change.Begun = append(change.Begun, name)
		}
	}
	for name := range r.domains {
		if next[name] == nil {
			change.Ended = append(change.Ended, name)
		}
	}
	slices.Sort(change.Begun)
	slices.Sort(change.Ended)
	r.domains = next
	return change
}

// Any reports whether any evacuation is in force.
func (r *Requests) Any() bool { return len(r.domains) > 0 }

// Covers reports whether the failure domain is being evacuated.
func (r *Requests) Covers(domain string) bool { return r.domains[domain] != nil }

// Names returns the failure domains being evacuated, sorted.
func (r *Requests) Names() []string {
	names := make([]string, 0, len(r.domains))
	for name := range r.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// LongestFor returns for how long the oldest evacuation in force has lasted.
func (r *Requests) LongestFor(now time.Time) time.Duration {
	var longest time.Duration
	for _, q := range r.domains {
		longest = max(longest, now.Sub(q.since))
	}
	return longest
}

// ObserveRuns takes the number of runs in a domain, and returns for how long its evacuation
// has lasted if none is left for the first time.
func (r *Requests) ObserveRuns(now time.Time, domain string, runs int) (lasted time.Duration, emptied bool) {
	q := r.domains[domain]
	if q == nil || q.emptied || runs > 0 {
		return 0, false
	}
	q.emptied = true
	return now.Sub(q.since), true
}
