package ownership

import (
	"context"
	"errors"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

const (
	// claimBatch is the largest number of blocks that one transaction claims.
	claimBatch = 64
	// claimRounds is the largest number of transactions of one step.
	claimRounds = 16
	// releaseBatch is the largest number of blocks that one step releases to other
	// entries, each in a transaction of its own.
	releaseBatch = 8
)

// claimable is a block that this entry should own. dead is the condition on the row
// of its dead owner; nil if the block has none.
type claimable struct {
	block seenBlock
	dead  *platform.Condition
}

// allBlocks returns the region's blocks and the shards of keys.
func (m *Manager) allBlocks() []Block {
	all := slices.Clone(m.Blocks())
	for _, id := range Shards() {
		all = append(all, Block{ID: id})
	}
	return all
}

// claim claims the blocks that this entry should own and that have no live owner.
func (m *Manager) claim(ctx context.Context) {
	blocks := m.allBlocks()
	for range claimRounds {
		batch := m.claimables(blocks)
		if len(batch) == 0 || !m.commitClaims(ctx, batch) {
			return
		}
	}
}

func (m *Manager) claimables(blocks []Block) []claimable {
	grants := *m.grants.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lease.held {
		return nil
	}
	live := m.live()
	var batch []claimable
	for _, b := range blocks {
		if _, granted := grants[b.ID]; granted {
			continue
		}
		seen := m.blocks[b.ID]
		seen.ID = b.ID
		if c, ok := m.mayClaim(b, seen, live); ok {
			batch = append(batch, c)
		}
		if len(batch) == claimBatch {
			break
		}
	}
	return batch
}

// mayClaim reports whether this entry should claim a block that it has no
// grant for. Call with m.mu.
func (m *Manager) mayClaim(b Block, seen seenBlock, live []Member) (claimable, bool) {
	c := claimable{block: seen}
	if seen.Row.Owner == m.self.Instance {
		return c, true
	}
	w := m.entries[seen.Row.Owner]
	if seen.Row.Owner != "" && w.row.Live {
		return c, false
	}
	if owner, ok := desiredOwner(b, live); !ok || owner.Instance != m.self.Instance {
		return c, false
	}
	if seen.Row.Owner == "" {
		return c, true
	}
	c.dead = &platform.Condition{Key: entryPrefix + seen.Row.Owner, Version: w.version}
	return c, true
}

// commitClaims claims a batch. It returns false if further batches can't succeed
// now.
func (m *Manager) commitClaims(ctx context.Context, batch []claimable) bool {
	self := m.Self()
	var txn platform.Txn
	var blocks []seenBlock
	for _, c := range batch {
		addBlock(&txn, c.block, c.block.Row.ownedBy(self))
		blocks = append(blocks, c.block)
		if c.dead != nil && !slices.Contains(txn.Conditions, *c.dead) {
			txn.Conditions = append(txn.Conditions, *c.dead)
		}
	}
	version, err := m.commit(ctx, txn)
	if err == nil {
		m.gained(ctx, blocks, self, version)
		return true
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		m.scheduleScan()
		return false
	}
	return m.refresh(ctx, conflict.Key)
}

// gained grants the blocks that self is confirmed to own by rows written at version,
// and notifies the other entries.
func (m *Manager) gained(ctx context.Context, blocks []seenBlock, self Member, version uint64) {
	if len(blocks) == 0 {
		return
	}
	now := make([]seenBlock, len(blocks))
	grants := make([]Grant, len(blocks))
	for i, b := range blocks {
		now[i] = seenBlock{ID: b.ID, Version: version, Row: b.Row.ownedBy(self)}
		grants[i] = Grant{Block: b.ID, Epoch: now[i].Row.Epoch}
	}
	m.observeBlocks(now)
	m.grant(grants)
	for _, g := range grants {
		m.OnGain(g)
	}
	m.notify(ctx, changedParams{Blocks: now})
}

// releaseMisplaced releases up to releaseBatch of the blocks that another live entry
// should own.
func (m *Manager) releaseMisplaced(ctx context.Context) {
	released := 0
	for _, b := range m.misplaced() {
		if _, granted := (*m.grants.Load())[b.ID]; !granted {
			continue
		}
		if m.releaseBlock(ctx, b.ID) {
			released++
		}
		if released == releaseBatch {
			return
		}
	}
}

// misplaced returns the blocks granted to this entry that another live entry should
// own.
func (m *Manager) misplaced() []Block {
	grants := *m.grants.Load()
	m.mu.Lock()
	live := m.live()
	m.mu.Unlock()
	var all []Block
	for _, b := range m.allBlocks() {
		if _, granted := grants[b.ID]; !granted {
			continue
		}
		if owner, ok := desiredOwner(b, live); ok && owner.Instance != m.Options.Self.Instance {
			all = append(all, b)
		}
	}
	return all
}

// releaseBlock releases a block if nothing runs in it. It revokes the grant before
// it checks whether anything runs, so that nothing starts in between.
func (m *Manager) releaseBlock(ctx context.Context, id string) bool {
	g := m.revoke(id)
	if !m.Idle(id) {
		m.grant([]Grant{g})
		return false
	}
	m.OnLoss(id)
	m.mu.Lock()
	seen := m.blocks[id]
	m.mu.Unlock()
	next := blockRow{Epoch: seen.Row.Epoch}
	var txn platform.Txn
	addBlock(&txn, seen, next)
	version, err := m.commit(ctx, txn)
	if err == nil {
		m.observeBlocks([]seenBlock{{ID: id, Version: version, Row: next}})
	} else if !m.refresh(ctx, blockPrefix+id) {
		m.scheduleScan()
		return true
	}
	m.notifyReleased(ctx, id)
	return true
}

// notifyReleased notifies the other entries of a block that has no owner.
func (m *Manager) notifyReleased(ctx context.Context, id string) {
	m.mu.Lock()
	seen := m.blocks[id]
	m.mu.Unlock()
	if seen.Row.Owner == "" {
		m.notify(ctx, changedParams{Blocks: []seenBlock{seen}})
	}
}
