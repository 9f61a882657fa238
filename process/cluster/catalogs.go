package cluster

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// followCatalog applies updates of the operators' configuration.
func (n *Node) followCatalog(ctx context.Context) {
	n.config.Catalogs.Follow(ctx, n.publish, func(at time.Time) {
		n.mu.Lock()
		n.configContact = maxTime(n.configContact, at)
		n.mu.Unlock()
	})
}

// publish applies a configuration version if it is newer than the current one.
func (n *Node) publish(p Publication) {
	n.mu.Lock()
	old := n.published.Catalog
	if old != nil && old.Version >= p.Catalog.Version {
		n.mu.Unlock()
		return
	}
	n.published = p
	n.behindSince = time.Time{}
	if n.newer.version > p.Catalog.Version {
		n.behindSince = n.newer.heardAt
	}
	r := n.leadership
	n.mu.Unlock()
	n.log.Log(events.VersionInForce, p.Catalog.Version)
	if r != nil {
		r.setCatalog(p.Catalog)
	}
}

// catalogVersion returns the version of the configuration in force, or 0 if there is none yet.
func (n *Node) catalogVersion() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.catalogVersionLocked()
}

func (n *Node) catalogVersionLocked() int64 {
	if n.published.Catalog == nil {
		return 0
	}
	return n.published.Catalog.Version
}

// Catalog returns the configuration in force. It returns nil if there is none yet, if the last
// contact with its source is older than ConfigBound, or if a newer one has been missing here for
// ConfigApply.
func (n *Node) Catalog() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	bound := n.config.Timings.ConfigBound
	if bound > 0 && time.Since(n.configContact) > bound || n.overdueLocked() {
		return nil
	}
	return n.published.Catalog
}

// CatalogConfirmed reports whether no newer configuration is known, and the one in force was the
// newest within ConfigApply. Otherwise an entry can't say that a queue or key doesn't exist.
func (n *Node) CatalogConfirmed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	bound := n.config.Timings.ConfigApply
	return !n.behindLocked() && (bound <= 0 || time.Since(n.configContact) <= bound)
}

// behindLocked reports whether another entry has a newer configuration, as far as it can be decoded
// here. n.mu must be held.
func (n *Node) behindLocked() bool {
	return n.newer.version > n.undecodable && !n.behindSince.IsZero()
}

// overdueLocked reports whether a newer configuration has been missing here for ConfigApply. n.mu
// must be held.
func (n *Node) overdueLocked() bool {
	bound := n.config.Timings.ConfigApply
	return bound > 0 && n.behindLocked() && time.Since(n.behindSince) > bound
}

// configAgeMS returns how long ago, in milliseconds and at least 1, the configuration in force was
// known to be the newest, or 0 if it never was. n.mu must be held.
func (n *Node) configAgeMS() int64 {
	if n.configContact.IsZero() {
		return 0
	}
	return max(1, time.Since(n.configContact).Milliseconds())
}

// confirmCatalog notes what the scheduler's reply to a heartbeat, sent at a time, says about the
// configuration. n.mu must be held.
func (n *Node) confirmCatalog(sent time.Time, reply heartbeatReply) {
	if c := n.published.Catalog; c != nil && c.Version == reply.CatalogVersion && reply.ConfigAgeMS > 0 {
		n.configContact = maxTime(n.configContact, sent.Add(-time.Duration(reply.ConfigAgeMS)*time.Millisecond))
	}
}

// registerCatalogMetrics registers the metrics about the age of the configuration.
func (n *Node) registerCatalogMetrics() {
	gauge := func(name string, value func() float64) {
		n.metrics.set.NewGauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return value()
		})
	}
	gauge("kingcuplatch_cell_config_version", func() float64 { return float64(n.catalogVersionLocked()) })
	gauge("kingcuplatch_cell_config_newest_heard", func() float64 { return float64(n.newer.version) })
	gauge("kingcuplatch_cell_config_confirmed_age_seconds", func() float64 {
		if n.configContact.IsZero() {
			return time.Since(n.startedAt).Seconds()
		}
		return time.Since(n.configContact).Seconds()
	})
	gauge("kingcuplatch_cell_config_fetches_in_progress", func() float64 {
		if n.fetchingCatalog {
			return 1
		}
		return 0
	})
}
