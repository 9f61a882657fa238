package ownership

import (
	"context"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// shardPrefix starts the blocks of key shards.
const shardPrefix = "s/"

// IsShard reports whether a block is a shard of keys.
func IsShard(block string) bool { return strings.HasPrefix(block, shardPrefix) }

// Ended reports whether an incarnation's right has surely ended: its row is dead,
// or its instance runs under a later one. Incarnations of an instance must sort in
// the order of their lives, and start with the instance's name and a dot.
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
// whether its right to it holds now. The condition fails once another entry has
// taken the block.
func (m *Manager) Fence(block string) (platform.Condition, bool) {
	m.mu.Lock()
	seen := m.blocks[block]
	m.mu.Unlock()
	_, owned := m.MayHandOver(block)
	return platform.Condition{Key: blockPrefix + block, Version: seen.Version}, owned && seen.Version != 0
}

// lookEvery bounds how often Look reads one block's row.
const lookEvery = 200 * time.Millisecond

// Look reads a block's row from the table, for a caller that met an entry that
// doesn't own it: what entries tell each other of changes may be lost, and all
// rows are read only now and then. It does nothing if the row was read just now.
func (m *Manager) Look(ctx context.Context, block string) {
	now := time.Now()
	m.mu.Lock()
	recent := now.Sub(m.looked[block]) < lookEvery
	if !recent {
		m.looked[block] = now
	}
	m.mu.Unlock()
	if !recent {
		m.refresh(ctx, blockPrefix+block)
	}
}
