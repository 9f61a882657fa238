package ownership

import (
	"maps"
	"slices"
	"time"
)

// MemberState is the last known state of an entry.
type MemberState struct {
	Member
	Live bool
	// Witnesses are the instance names of its witnesses.
	Witnesses []string
	// SeenAt is when a change of its row was last seen.
	SeenAt time.Time
	// Blocks is the last known number of blocks that it owns.
	Blocks int
}

// Members returns all entries that have a row in the table, sorted by instance.
func (m *Manager) Members() []MemberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := make(map[string]int)
	for _, b := range m.blocks {
		owned[b.Row.Owner]++
	}
	var all []MemberState
	for _, instance := range slices.Sorted(maps.Keys(m.entries)) {
		w := m.entries[instance]
		state := MemberState{Member: w.row.Member, Live: w.row.Live, SeenAt: w.firstSeen, Blocks: owned[instance]}
		for _, witness := range w.row.Witnesses {
			state.Witnesses = append(state.Witnesses, witness.Instance)
		}
		all = append(all, state)
	}
	return all
}

// live returns the live entries of the region, including this one only while it
// holds its row. Call with m.mu.
func (m *Manager) live() []Member {
	var all []Member
	for _, w := range m.entries {
		if w.row.Live && w.row.Region == m.self.Region && w.row.Instance != m.self.Instance {
			all = append(all, w.row.Member)
		}
	}
	if m.lease.held {
		all = append(all, m.self)
	}
	return all
}

// Self returns this entry with its current incarnation.
func (m *Manager) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// atCurrentAddress returns the member with the address in the live row of its instance, if
// one is known: a row that names it as a witness may be older than its restart. Call with
// m.mu.
func (m *Manager) atCurrentAddress(member Member) Member {
	if e, known := m.entries[member.Instance]; known && e.row.Live {
		member.Address = e.row.Address
	}
	return member
}
