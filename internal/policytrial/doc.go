// Package policytrial runs the queue and placement decisions of the product on generated
// arrivals in virtual time and measures waiting time, shares, packing and refusals.
//
// It does not simulate a cluster: a worker is a row of free capacity, an item of work
// occupies its amount for a random run time, and entries differ only in the workers and
// the queue that they own. There are no messages, no table and no leases. A Setup with
// the same Seed always gives the same Result.
package policytrial
