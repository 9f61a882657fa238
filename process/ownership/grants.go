package ownership

import (
	"maps"
	"slices"
	"time"
)

// HoldsLease implements Owners. It takes no lock.
func (m *Manager) HoldsLease(block string) (Grant, bool) {
	g, ok := (*m.grants.Load())[block]
	return g, ok && m.leaseValid()
}

// leaseValid reports whether this incarnation's lease holds now.
func (m *Manager) leaseValid() bool {
	expiry := m.expiry.Load()
	return int64(time.Since(m.base)) < expiry
}

// publishExpiry makes a change of the lease visible to HoldsLease. Call with m.mu.
func (m *Manager) publishExpiry() {
	expiry := m.lease.expiry()
	if expiry.IsZero() {
		m.expiry.Store(0)
		return
	}
	m.expiry.Store(int64(expiry.Sub(m.base)))
}

// Owned implements Owners.
func (m *Manager) Owned() []Grant {
	grants := *m.grants.Load()
	owned := make([]Grant, 0, len(grants))
	for _, id := range slices.Sorted(maps.Keys(grants)) {
		owned = append(owned, grants[id])
	}
	return owned
}

// OwnerOf implements Owners.
func (m *Manager) OwnerOf(block string) (address, instance string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.blocks[block].Row
	return row.Address, row.Owner, row.Owner != ""
}

// grant adds blocks to those that this entry may act for.
func (m *Manager) grant(added []Grant) {
	next := maps.Clone(*m.grants.Load())
	for _, g := range added {
		next[g.Block] = g
	}
	m.grants.Store(&next)
}

// revoke removes a block from those that this entry may act for and returns its
// grant.
func (m *Manager) revoke(block string) Grant {
	old := *m.grants.Load()
	next := maps.Clone(old)
	delete(next, block)
	m.grants.Store(&next)
	return old[block]
}
