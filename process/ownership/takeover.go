package ownership

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

// takeover is a transaction that moves a dead entry's blocks.
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

// ownedBy returns the row's next value with the owner m.
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

// look reads a watched row and takes its blocks over if that is due.
func (m *Manager) look(ctx context.Context, instance string) error {
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
	case verdictTake:
		m.takeOver(ctx, takeover{row: w.row, version: w.version})
	case verdictAsk:
		attachments, promised := m.askAll(ctx, w.row)
		if promised {
			m.takeOver(ctx, takeover{row: w.row, version: w.version, attachments: attachments})
		}
	}
	return nil
}

// askAll asks every guard named in the row for its promise.
func (m *Manager) askAll(ctx context.Context, row entryRow) ([]rawMessage, bool) {
	var all []rawMessage
	for _, g := range row.Guards {
		result, err := m.ask(ctx, row, g, false)
		if err != nil || !result.Promised {
			return nil, false
		}
		all = append(all, result.Attachments...)
	}
	return all, true
}

// ask asks one guard of the row, which may be this entry itself.
func (m *Manager) ask(ctx context.Context, row entryRow, guard Member, gone bool) (releaseResult, error) {
	params := releaseParams{
		Instance:    row.Instance,
		Incarnation: row.Incarnation,
		Attempt:     row.Attempt,
		Guard:       guard.Incarnation,
		Gone:        gone,
	}
	if guard.Instance == m.Options.Self.Instance {
		return m.book.release(params, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	var result releaseResult
	err := m.Peers.Call(ctx, guard.Address, methodRelease, params, &result)
	return result, eris.Wrapf(err, "ask guard peer %s", guard.Instance)
}

// takeOver moves the row's blocks to this entry in one transaction.
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

// took takes in a takeover that is known to have taken effect. Version 0 means
// that the rows' version isn't known; claim then confirms each block.
func (m *Manager) took(ctx context.Context, t takeover, version uint64) {
	m.mu.Lock()
	w := m.entries[t.row.Instance]
	w.row.Live = false
	w.version = version
	m.entries[t.row.Instance] = w
	if version == 0 {
		m.scanned = time.Time{}
	}
	self := m.self
	m.mu.Unlock()
	m.OnTakeover(t.row.Member, t.attachments)
	if version != 0 {
		m.gained(ctx, t.blocks, self, version)
	}
}
