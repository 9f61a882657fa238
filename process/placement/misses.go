package placement

import (
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// maxMisses is how many asks without a worker are remembered.
const maxMisses = 32

// miss is an ask for which nothing was found since free capacity last grew, and
// why.
type miss struct {
	upstream string
	policy   version.Policy
	amount   resource.Amount
	spare    int64
	reason   Reason
}

// misses remembers asks that need not be searched for again.
type misses struct{ list []miss }

// find returns the reason for an ask that was missed before.
func (m *misses) find(ask *Ask) (Reason, bool) {
	for i := range m.list {
		known := &m.list[i]
		if known.amount == ask.Amount && known.policy == ask.Policy && known.upstream == ask.Upstream && known.spare == ask.SpareAccelerators {
			return known.reason, true
		}
	}
	return Reason{}, false
}

// note remembers a miss; one that avoids workers says nothing about other asks.
func (m *misses) note(ask *Ask, reason Reason) {
	if len(ask.Avoid) > 0 || len(m.list) >= maxMisses {
		return
	}
	m.list = append(m.list, miss{upstream: ask.Upstream, policy: ask.Policy, amount: ask.Amount, spare: ask.SpareAccelerators, reason: reason})
}

func (m *misses) clear() { m.list = m.list[:0] }
