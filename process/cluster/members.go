package cluster

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// standby is another entry with the time of its last heartbeat.
type standby struct {
	Member
	lastContact time.Time
	// confirmedAt is the time of the last reply of this scheduler that the standby is known
	// to have received. A heartbeat may have waited in this process for long, so its
	// arrival doesn't show that the standby still follows this scheduler.
	confirmedAt time.Time
	// inheritedAt is when the entry was inherited from a former scheduler's list.
	inheritedAt time.Time
	// startedAt is when its process started, leavingSince when it began to leave; zero if not
	// known.
	startedAt    time.Time
	leavingSince time.Time
	// unable is set if the entry can't schedule now: it has no configuration, or refused.
	unable bool
	// inflates is set if the entry can read compressed rows.
	inflates bool
}

const (
	// memberTimeout is how long a standby is considered live after its last heartbeat.
	memberTimeout = time.Second
	// confirmTimeout is how long a standby is considered to follow this scheduler after a
	// reply that it is known to have received: somewhat longer than two heartbeat periods
	// and the delay of a reply.
	confirmTimeout = 1500 * time.Millisecond
	// inheritedTimeout is how long an inherited standby is considered live without a
	// heartbeat: somewhat longer than two heartbeat periods.
	inheritedTimeout = 700 * time.Millisecond
)

// live reports whether the standby is considered live.
func (m standby) live() bool {
	return time.Since(m.lastContact) < memberTimeout || time.Since(m.inheritedAt) < inheritedTimeout
}

// liveMembers returns this entry and the live standbys, those with the most cores first.
func (n *Node) liveMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membersLocked()
}

func (n *Node) membersLocked() []Member { return n.memberListLocked().members }

// memberList is a list of live entries, which must not be modified, with its hash.
type memberList struct {
	members []Member
	hash    uint64
	at      time.Time
}

// memberListAge is how long the list of live entries is kept.
const memberListAge = 50 * time.Millisecond

func (n *Node) memberListLocked() memberList {
	if now := time.Now(); now.Sub(n.memberList.at) > memberListAge {
		members := n.computeMembers()
		n.memberList = memberList{members: members, hash: hashMembers(members), at: now}
	}
	return n.memberList
}

func (n *Node) computeMembers() []Member {
	members := []Member{n.member()}
	for name, m := range n.standbys {
		if m.live() && name != n.config.Name {
			members = append(members, m.Member)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// relayCandidates returns the other entries that may be asked to make calls: those that
// have sent a heartbeat lately and don't leave, those with the most cores first.
func (n *Node) relayCandidates() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []Member
	for name, m := range n.standbys {
		if name != n.config.Name && m.mayRelay() {
			candidates = append(candidates, m.Member)
		}
	}
	slices.SortFunc(candidates, compareMembers)
	return candidates
}

// compareMembers orders entries by cores, most first, then by name.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), strings.Compare(a.Name, b.Name))
}

// mayRelay reports whether the entry may be asked to make calls.
func (m standby) mayRelay() bool { return !m.Leaving && time.Since(m.lastContact) < memberTimeout }

// mayRelay reports whether the named entry may be asked to make calls.
func (n *Node) mayRelay(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.standbys[name]
	return ok && m.mayRelay()
}

// allStandbysReachable reports whether every known standby is known to have followed this
// scheduler within confirmTimeout.
func (n *Node) allStandbysReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.standbys {
		if time.Since(m.confirmedAt) >= confirmTimeout {
			return false
		}
	}
	return true
}

// self returns this entry as other entries list it.
func (n *Node) self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member()
}

// allInflate reports whether every live standby can read compressed rows.
func (n *Node) allInflate() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.standbys {
		if m.live() && !m.inflates {
			return false
		}
	}
	return true
}

// member returns this entry as other entries list it. n.mu must be held.
func (n *Node) member() Member {
	return Member{Name: n.config.Name, Address: n.config.Address, Cores: n.config.Cores, Leaving: n.leaving}
}
