// Package policytrial feeds the real queue and placement decisions with generated
// arrivals in virtual time and measures waiting, shares, packing and refusals.
//
// It is no cluster simulator: workers are rows of free capacity, a piece of work
// runs for a drawn time and then gives back what it took, and entries differ only in
// which workers and which queue they own. There are no messages, no store and no
// leases. A Setup with the same Seed gives the same Result every time.
package policytrial
