package ownership

import (
	"context"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// shardPrefix is the prefix of the block names of key shards.
const shardPrefix = "s/"

// IsShard reports whether a block is a shard of keys.
func IsShard(block string) bool { return strings.HasPrefix(block, shardPrefix) }

// Ended reports whether an incarnation's lease is known to have ended: its row is
// dead, or its instance runs under a later incarnation. Incarnations of an instance
// must sort in the order in which they started, and begin with the instance's name
// and a dot.
func (m *Manager) Ended(incarnation string) bool {
	instance := incarnation[:max(0, strings.LastIndexByte(incarnation, '.'))]
	m.mu.Lock()
	defer m.mu.Unlock()
	w, known := m.entries[instance]
	if !known {
		return false
	}
	if w.row.Incarnation == incarnation {
		return !w.row.Live
	}
	return w.row.Incarnation > incarnation
}

// Fence returns the condition under which this entry may write for a block, and
// whether it owns the block and its lease holds now. The condition fails once
// another entry has taken the block over.
func (m *Manager) Fence(block string) (platform.Condition, bool) {
	m.mu.Lock()
	seen := m.blocks[block]
	m.mu.Unlock()
	_, owned := m.HoldsLease(block)
	return platform.Condition{Key: blockPrefix + block, Version: seen.Version}, owned && seen.Version != 0
}

// refreshInterval is the shortest time between two reads of one block's row by
// RefreshBlock.
const refreshInterval = 200 * time.Millisecond

// RefreshBlock reads a block's row from the table. Call it when the last known owner
// turned out not to own the block: notifications between entries may be lost, and all
// rows are read only once per ScanEvery. It does nothing if the row was read less than
// refreshInterval ago.
func (m *Manager) RefreshBlock(ctx context.Context, block string) {
	now := time.Now()
	m.mu.Lock()
	recent := now.Sub(m.refreshedAt[block]) < refreshInterval
	if !recent {
		m.refreshedAt[block] = now
	}
	m.mu.Unlock()
	if !recent {
		m.refresh(ctx, blockPrefix+block)
	}
}
