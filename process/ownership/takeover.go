package ownership

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

// takeover is a transaction that moves a dead entry's blocks to this entry.
type takeover struct {
	version     uint64
	row         entryRow
	blocks      []seenBlock
	attachments []rawMessage
}

// addTo adds the takeover by self to a renewal.
func (t *takeover) addTo(txn *platform.Txn, self Member) {
	key := entryPrefix + t.row.Instance
	dead := t.row
	dead.Live = false
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: t.version})
	txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: encode(dead)})
	for _, b := range t.blocks {
		addBlock(txn, b, b.Row.ownedBy(self))
	}
}

func addBlock(txn *platform.Txn, b seenBlock, next blockRow) {
	key := blockPrefix + b.ID
	txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: b.Version})
	txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: encode(next)})
}

// ownedBy returns the row's next value, with owner m and the next epoch.
func (r blockRow) ownedBy(m Member) blockRow {
	return blockRow{Owner: m.Instance, Incarnation: m.Incarnation, Address: m.Address, Epoch: r.Epoch + 1}
}

// watched returns the instances whose rows this entry watches.
func (m *Manager) watched() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.live()
	var all []string
	for instance, w := range m.entries {
		if w.row.Live && watches(m.self, w.row, live) {
			all = append(all, instance)
		}
	}
	slices.Sort(all)
	return all
}

// pollEntry reads a watched row and takes the blocks of its entry over if the
// verdict allows it.
func (m *Manager) pollEntry(ctx context.Context, instance string) error {
	found, ok, err := m.get(ctx, entryPrefix+instance)
	if err != nil || !ok {
		return err
	}
	row, err := decodeEntry(found.Value)
	if err != nil {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	w := m.entries[instance]
	w.observe(row, found.Version, now)
	m.entries[instance] = w
	m.mu.Unlock()
	switch takeoverVerdict(w, m.terms, m.omit, now) {
	case verdictTakeOver:
		m.takeOver(ctx, takeover{row: w.row, version: w.version})
	case verdictRequestRelease:
		attachments, promised := m.requestReleases(ctx, w.row)
		if promised {
			m.takeOver(ctx, takeover{row: w.row, version: w.version, attachments: attachments})
		}
	}
	return nil
}

// requestReleases requests the promise of every witness named in the row. It returns
// false if one is missing.
func (m *Manager) requestReleases(ctx context.Context, row entryRow) ([]rawMessage, bool) {
	var all []rawMessage
	for _, witness := range row.Witnesses {
		result, err := m.requestRelease(ctx, row, witness, false)
		if err != nil || !result.Promised {
			return nil, false
		}
		all = append(all, result.Attachments...)
	}
	return all, true
}

// requestRelease requests the promise of one witness of the row, which may be this
// entry itself.
func (m *Manager) requestRelease(ctx context.Context, row entryRow, witness Member, gone bool) (releaseResult, error) {
	params := releaseParams{
		Instance:    row.Instance,
		Incarnation: row.Incarnation,
		Attempt:     row.Attempt,
		Witness:     witness.Incarnation,
		Gone:        gone,
	}
	if witness.Instance == m.Options.Self.Instance {
		return m.witness.release(params, time.Now()), nil
	}
	m.mu.Lock()
	witness = m.atCurrentAddress(witness)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	var result releaseResult
	err := m.Peers.Call(ctx, witness.Address, methodRelease, params, &result)
	return result, eris.Wrapf(err, "request release from witness peer %s", witness.Instance)
}

// takeOver moves the blocks of the row's entry to this entry in one transaction.
func (m *Manager) takeOver(ctx context.Context, t takeover) {
	if err := m.scanBlocks(ctx); err != nil {
		return
	}
	m.mu.Lock()
	for _, b := range m.blocks {
		if b.Row.Owner == t.row.Instance {
			t.blocks = append(t.blocks, b)
		}
	}
	m.mu.Unlock()
	slices.SortFunc(t.blocks, func(a, b seenBlock) int { return strings.Compare(a.ID, b.ID) })
	_ = m.renew(ctx, &t)
}

// takeoverCommitted records a takeover that is known to have taken effect. Version 0
// means that the version of the rows isn't known; claim confirms each block then.
func (m *Manager) takeoverCommitted(ctx context.Context, t takeover, version uint64) {
	m.mu.Lock()
	w := m.entries[t.row.Instance]
	w.row.Live = false
	w.version = version
	m.entries[t.row.Instance] = w
	if version == 0 {
		m.scannedAt = time.Time{}
	}
	self := m.self
	m.mu.Unlock()
	m.OnTakeover(t.row.Member, t.attachments)
	if version != 0 {
		m.gained(ctx, t.blocks, self, version)
	}
}
