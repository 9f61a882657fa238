package ownership

import (
	"context"
	"time"
)

// notifyUnclaimed sends the rows of blocks without an owner to the entries that
// should claim them, at most once per Heartbeat. The entry that released a block may
// not have seen the row of a new entry that should claim it. Therefore any entry that
// has seen both rows sends the row of the block to the new entry. If all blocks have
// an owner, nothing is sent.
func (m *Manager) notifyUnclaimed(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.unclaimedNotifiedAt) < m.Heartbeat {
		return
	}
	m.unclaimedNotifiedAt = now
	for to, blocks := range m.unclaimed() {
		go m.sendChanged(ctx, to, changedParams{Blocks: blocks})
	}
}

// unclaimed returns the blocks known to have no owner, grouped by the other live
// entry that should claim them.
func (m *Manager) unclaimed() map[Member][]seenBlock {
	all := m.allBlocks()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.live()
	unowned := make(map[Member][]seenBlock)
	for _, b := range all {
		seen := m.blocks[b.ID]
		if seen.Row.Owner != "" || seen.Version == 0 {
			continue
		}
		owner, ok := desiredOwner(b, live)
		if ok && owner.Instance != m.self.Instance && len(unowned[owner]) < claimBatch {
			unowned[owner] = append(unowned[owner], seen)
		}
	}
	return unowned
}
