package ownership

import (
	"context"
	"time"
)

// remind tells the entries that should claim them of blocks that nobody owns. An
// entry may give a block up before it knows of the one that has just joined and
// should have it; whoever knows both passes the row on. Without unowned blocks it
// costs nothing.
func (m *Manager) remind(ctx context.Context) {
	now := time.Now()
	if now.Sub(m.reminded) < m.Heartbeat {
		return
	}
	m.reminded = now
	for to, blocks := range m.unclaimed() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
			defer cancel()
			var none struct{}
			_ = m.Peers.Call(ctx, to.Address, methodChanged, changedParams{Blocks: blocks}, &none)
		}()
	}
}

// unclaimed returns the blocks known to have no owner, by the other live entry
// that should claim them.
func (m *Manager) unclaimed() map[Member][]seenBlock {
	all := m.allBlocks()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.live()
	missing := make(map[Member][]seenBlock)
	for _, b := range all {
		seen := m.blocks[b.ID]
		if seen.Row.Owner != "" || seen.Version == 0 {
			continue
		}
		owner, ok := desiredOwner(b, live)
		if ok && owner.Instance != m.self.Instance && len(missing[owner]) < claimBatch {
			missing[owner] = append(missing[owner], seen)
		}
	}
	return missing
}
