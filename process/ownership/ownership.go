// Package ownership decides which entry may act for a block.
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
