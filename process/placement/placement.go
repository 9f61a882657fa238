// Package placement chooses workers for tasks and requests. Every choice is a
// function of a view of the fleet and a random source; it does no I/O and reads
// no clock. The plan it returns is checked again when it is applied.
package placement

import "github.com/kingcuplatch/kingcuplatch/process/resource"

// Candidate is one worker as a decision sees it.
type Candidate struct {
	Worker        string
	Rack          string
	FailureDomain string
	Upstream      string
	Capacity      resource.Amount
	Free          resource.Amount
	// Closed workers take no new work: leaving, set aside, or not adopted yet.
	Closed bool
}

// Fleet is an indexed view of workers. Implementations need not copy: At may be
// called for a bounded sample only.
type Fleet interface {
	Len() int
	At(i int) Candidate
}
