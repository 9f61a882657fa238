// Package placement chooses workers for tasks and requests. Every choice is a function
// of a view of the fleet and a random source. The package does no I/O and reads no
// clock. A plan must be validated again when it is applied, because the view may be out
// of date.
package placement

import "github.com/kingcuplatch/kingcuplatch/process/resource"

// Candidate is the view of one worker on which a choice is based.
type Candidate struct {
	Worker        string
	Rack          string
	FailureDomain string
	Upstream      string
	Capacity      resource.Amount
	Free          resource.Amount
	// Closed workers accept no new work: they are leaving, unreachable, quarantined or
	// not yet adopted.
	Closed bool
}

// Fleet is an indexed view of workers. Callers may read only a sample of the workers, so
// an implementation does not have to copy all of them.
type Fleet interface {
	Len() int
	At(i int) Candidate
}
