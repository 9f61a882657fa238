// Package ownership decides which entry may act for a block of workers or a
// shard of keys, so that one process accounts for everything started there.
//
// # Contract
//
// At any moment at most one entry gets true from HoldsLease for a block. Each
// incarnation of an entry process has one row in the platform's table. The row
// names the incarnation's witnesses: other entries of its region that it sends
// heartbeats to. The lease of an incarnation holds while
//
//	now < renewed + LongTerm  and
//	(now < renewed + ShortTerm  or  a witness acked a heartbeat sent less than
//	                                ShortTerm ago)
//
// where renewed is the time at which the latest renewal known to have taken
// effect was sent, on the entry's own monotonic clock. ShortTerm and LongTerm are
// set in Options. An ack counts only if the confirmed row and every renewal with
// unknown outcome name the witness, with the same incarnation.
//
// Another entry takes the blocks over in one transaction, conditional on the
// version of the row:
//
//   - fast, when it has seen the version unchanged for ShortTerm and every
//     witness named in the row has promised that it has sent no ack for
//     ShortTerm and will never again ack this incarnation unless the incarnation
//     has renewed since, in which case the transaction fails;
//   - slow, when it has seen the version unchanged for LongTerm.
//
// Both waits are longer by Margin, which covers clock drift. There is no vote:
// if one witness does not answer, only the slow path is left. A process that
// starts on an instance takes over from its predecessor immediately: it could bind
// the address, so the predecessor has ended. Release frees all blocks immediately.
//
// # A single entry
//
// A row without witnesses is held for LongTerm by the table alone, so that a
// single entry keeps working through an outage of the table. The cost: if it
// crashes, its blocks wait until a process starts on the same instance or
// LongTerm has passed. The first renewal after a second entry has joined names
// that entry as a witness.
//
// # Limitations
//
// A pause between HoldsLease and the dispatch is not detected here; the epoch in
// the Grant lets a worker refuse what was sent under an older lease. The monotonic
// clock continues while a process is stopped, but may stop while the whole machine
// is suspended.
//
// The rule is a lease (Gray and Cheriton, "Leases", SOSP 1989) with witnesses.
package ownership

// Grant is the right to act for a block, as of the time of the call that
// returned it.
type Grant struct {
	Block string
	// Epoch increases at every change of owner; workers refuse lower ones.
	Epoch uint64
}

// Owners returns the owners of blocks. Implemented by Manager.
type Owners interface {
	// HoldsLease returns the grant if this entry owns the block and its lease
	// holds now. Call it right before each dispatch.
	HoldsLease(block string) (Grant, bool)
	// Owned returns the blocks that this entry owns, sorted.
	Owned() []Grant
	// OwnerOf returns the peer address and instance name of the block's last
	// known owner; ok is false if the block has no owner or it isn't known.
	OwnerOf(block string) (address, instance string, ok bool)
}

// Member is one incarnation of an entry.
type Member struct {
	Instance string `json:"instance"`
	// Incarnation is unique to one run of the process; empty if not known.
	Incarnation string `json:"incarnation,omitempty"`
	// Address is the IP and port of the peer listener.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
}

// Block is a unit of ownership: a worker, the workers of a rack, or a shard of keys.
type Block struct {
	ID string
	// FailureDomain of the block's workers; empty for shards of keys.
	FailureDomain string
}

func (m Member) ref() memberRef {
	return memberRef{Instance: m.Instance, Incarnation: m.Incarnation}
}
