package placement

import (
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// maxNegativeEntries is the maximum number of asks in the negative cache.
const maxNegativeEntries = 32

// negativeEntry is an ask for which no worker has been found since free capacity last
// grew, with the reason.
type negativeEntry struct {
	upstream string
	policy   version.Policy
	amount   resource.Amount
	spare    int64
	reason   Reason
}

// negativeCache holds asks that need not be searched for again.
type negativeCache struct{ entries []negativeEntry }

// lookup returns the cached reason for an ask.
func (c *negativeCache) lookup(ask *Ask) (Reason, bool) {
	for i := range c.entries {
		entry := &c.entries[i]
		if entry.amount == ask.Amount && entry.policy == ask.Policy && entry.upstream == ask.Upstream && entry.spare == ask.SpareAccelerators {
			return entry.reason, true
		}
	}
	return Reason{}, false
}

// add caches an ask for which no worker was found. An ask that avoids workers is not
// cached, because its result does not apply to other asks.
func (c *negativeCache) add(ask *Ask, reason Reason) {
	if len(ask.Avoid) > 0 || len(c.entries) >= maxNegativeEntries {
		return
	}
	c.entries = append(c.entries, negativeEntry{upstream: ask.Upstream, policy: ask.Policy, amount: ask.Amount, spare: ask.SpareAccelerators, reason: reason})
}

func (c *negativeCache) clear() { c.entries = c.entries[:0] }
