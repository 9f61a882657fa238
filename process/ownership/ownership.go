// Package ownership decides which entry may act for a block of workers or a
// shard of keys, so that everything started there is counted in one process.
//
// # Contract
//
// At any moment at most one entry gets true from MayHandOver for a block. Each
// life of an entry process, its incarnation, has one row in the platform's
// table that names its guards: other entries of its region that it sends
// heartbeats to. An entry's right holds while
//
//	now < renewed + LongTerm  and
//	(now < renewed + ShortTerm  or  a guard acked a heartbeat sent less than
//	                                ShortTerm ago)
//
// where renewed is the time at which the latest renewal known to have taken
// effect was sent, on the entry's own monotonic clock. Guards count only if
// the confirmed row and every renewal with unknown outcome name them, with the
// same incarnation.
//
// Another entry takes the blocks over in one transaction, conditional on the
// version of the row:
//
//   - quickly, when it has seen the version unchanged for ShortTerm and every
//     guard named in it promised: no ack sent for ShortTerm, and never again
//     one to this incarnation unless it has renewed since, in which case the
//     transaction can't succeed;
//   - slowly, when it has seen the version unchanged for LongTerm.
//
// Both waits are longer by Margin, which covers the drift of clocks. There is
// no vote: one answer missing means the slow way. A process that starts on an
// instance takes over from its predecessor at once, since it could bind the
// address. Release gives everything back at once.
//
// # One entry alone
//
// A row without guards is held for LongTerm by the table alone, so that a lone
// entry works through an outage of the table. What follows: if it crashes, its
// blocks wait until a process starts on the same instance or LongTerm passes.
// The next renewal after a second entry has joined names that one as guard.
//
// # What is not covered
//
// A pause between MayHandOver and the send can't be seen from here; the epoch
// in the Grant lets a worker refuse what was sent under an older right. The
// monotonic clock goes on while a process is stopped; on a machine that is
// suspended whole it may not.
//
// The rule is a lease (Gray and Cheriton, "Leases", SOSP 1989) with witnesses.
package ownership

// Grant is the right to act for a block, as of the moment it was asked for.
type Grant struct {
	Block string
	// Epoch grows at every change of owner; workers refuse lower ones.
	Epoch uint64
}

// Owners answers who owns what. Implemented by Manager.
type Owners interface {
	// MayHandOver returns the grant if this entry owns the block and its right
	// holds at this moment. Ask right before each hand-over.
	MayHandOver(block string) (Grant, bool)
	// Owned returns the blocks that this entry owns, sorted.
	Owned() []Grant
	// OwnerOf returns the peer address and instance name of the block's owner
	// as last seen; ok is false if nobody owns it or it isn't known.
	OwnerOf(block string) (address, instance string, ok bool)
}

// Member is one incarnation of an entry.
type Member struct {
	Instance string `json:"instance"`
	// Incarnation is unique to one life of the process; empty if not known.
	Incarnation string `json:"incarnation,omitempty"`
	// Address is the IP and port of the peer listener.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
}

// Block is a unit of ownership.
type Block struct {
	ID string
	// FailureDomain of the block's workers; empty for shards of keys.
	FailureDomain string
}

func (m Member) ref() guardRef {
	return guardRef{Instance: m.Instance, Incarnation: m.Incarnation}
}
