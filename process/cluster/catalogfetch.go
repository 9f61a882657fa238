package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// An entry reads the configuration from the table. One that can't, or not in time, fetches it from
// an entry that has it, of which it hears by heartbeats. It receives a configuration on one way at a
// time, and what it has received isn't sent again: on a narrow link, transfers that are begun anew
// before others have ended keep each other from ending.
const (
	// catalogPart is the size of the parts in which a configuration is fetched, in bytes. Other
	// messages of the same link wait for one of them at most.
	catalogPart = 32 << 10
	// catalogFetchDelay is how long an entry that hears of a newer configuration leaves it to its
	// feed, which then is about to deliver it in most cases.
	catalogFetchDelay = 500 * time.Millisecond
	// catalogRetryDelay is the pause after a part that wasn't received, and while the feed receives.
	catalogRetryDelay = 250 * time.Millisecond
)

// Errors of fetching a configuration: the other entry has no newer one, or none any more, or it
// has sent another part than the one that it was asked for.
var (
	errNotNewer  = errors.New("the entry has no newer configuration")
	errWrongPart = errors.New("the entry has sent another part of the configuration")
)

// newerCatalog is a version of the configuration that another entry has.
type newerCatalog struct {
	version int64
	address string
	// heardAt is when this entry heard of the version first.
	heardAt time.Time
}

// partialCatalog is the beginning of a version of the configuration.
type partialCatalog struct {
	version int64
	raw     []byte
}

// hearOfCatalog notes that the entry at an address has a version of the configuration. If that is
// newer than the one in force here, fetchCatalogs will see to it.
func (n *Node) hearOfCatalog(version int64, address string) {
	n.mu.Lock()
	own := n.catalogVersionLocked()
	if version <= own {
		n.mu.Unlock()
		return
	}
	first := version > n.newer.version
	if first {
		n.newer = newerCatalog{version: version, heardAt: time.Now()}
	}
	if version == n.newer.version {
		n.newer.address = address
	}
	if n.behindSince.IsZero() {
		n.behindSince = time.Now()
	}
	n.mu.Unlock()
	if first {
		n.log.Log(events.CatalogBehind, own, version, address)
	}
	signal(n.catalogHeard)
}

// fetchCatalogs fetches configurations of which this entry has heard and which its feed doesn't
// deliver, until ctx ends.
func (n *Node) fetchCatalogs(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.catalogHeard:
			if n.catalogVersion() > 0 {
				sleep(ctx, catalogFetchDelay)
			}
			n.catchUp(ctx)
		}
	}
}

// catchUp fetches the newest configuration of which this entry has heard, unless the feed is
// receiving one, until it is in force.
func (n *Node) catchUp(ctx context.Context) {
	var partial partialCatalog
	began := time.Now()
	for ctx.Err() == nil {
		newer, missing := n.missingCatalog()
		if !missing {
			return
		}
		if n.config.Catalogs.Receiving() {
			sleep(ctx, catalogRetryDelay)
			continue
		}
		n.setFetchingCatalog(true)
		err := n.fetchCatalogPart(ctx, newer, &partial)
		n.setFetchingCatalog(false)
		if err != nil && ctx.Err() == nil {
			n.metrics.catalogFetched(err)
			n.log.Log(events.CatalogNotFetched, newer.address, newer.version, time.Since(began).String(), len(partial.raw), err)
			sleep(ctx, catalogRetryDelay)
		}
	}
}

// missingCatalog returns the newest configuration of which this entry has heard, and whether it is
// newer than the one in force and than one that can't be decoded here.
func (n *Node) missingCatalog() (newerCatalog, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newer, n.newer.version > max(n.catalogVersionLocked(), n.undecodable)
}

// fetchCatalogPart fetches the part of the newest configuration that follows the bytes in partial,
// or the first part of a version that has replaced it, and publishes the configuration once it is
// complete.
func (n *Node) fetchCatalogPart(ctx context.Context, newer newerCatalog, partial *partialCatalog) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	call := catalogCall{Version: partial.version, Offset: len(partial.raw), Limit: catalogPart}
	var part rawCatalog
	if err := n.config.Peers.Call(ctx, newer.address, methodCatalog, call, &part); err != nil {
		return err
	}
	if len(part.Raw) == 0 || part.Version != 0 && part.Version <= n.catalogVersion() {
		return errNotNewer
	}
	if part.Version != partial.version {
		*partial = partialCatalog{version: part.Version}
	}
	if part.Offset != len(partial.raw) {
		*partial = partialCatalog{}
		return errWrongPart
	}
	partial.raw = append(partial.raw, part.Raw...)
	if len(partial.raw) < part.Size {
		return nil
	}
	p, err := n.config.Catalogs.Decode(partial.raw)
	if err != nil {
		n.setUndecodable(newer.version)
		return err
	}
	*partial = partialCatalog{}
	if p.Catalog.Version <= n.catalogVersion() {
		return errNotNewer
	}
	n.metrics.catalogFetched(nil)
	n.publish(p)
	return nil
}

// setUndecodable notes a version of the configuration that can't be decoded here.
func (n *Node) setUndecodable(version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.undecodable = version
}

func (n *Node) setFetchingCatalog(fetching bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetchingCatalog = fetching
}

// serveCatalog returns the configuration in force, or a part of it, to another entry.
func (n *Node) serveCatalog(_ context.Context, params json.RawMessage) (any, error) {
	var call catalogCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	n.mu.Lock()
	p := n.published
	n.mu.Unlock()
	if call.Limit <= 0 || p.Catalog == nil {
		return rawCatalog{Raw: p.Raw}, nil
	}
	part := rawCatalog{Version: p.Catalog.Version, Size: len(p.Raw)}
	if call.Version == part.Version {
		part.Offset = max(0, min(call.Offset, part.Size))
	}
	part.Raw = p.Raw[part.Offset:min(part.Offset+call.Limit, part.Size)]
	return part, nil
}
