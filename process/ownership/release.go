package ownership

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

// Release gives everything back at once and marks the row dead, so that others
// claim the blocks without waiting. Run ends. If it fails, others take over as
// after a crash. Call it when nothing runs any more.
func (m *Manager) Release(ctx context.Context) error {
	m.once.Do(func() { close(m.stop) })
	select {
	case <-m.stopped:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "release")
	}
	m.revokeAll()
	for {
		done, err := m.releaseRows(ctx)
		if done || err != nil && ctx.Err() != nil {
			return eris.Wrap(err, "release")
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "release")
		case <-time.After(m.Heartbeat / 10):
		}
	}
}

// releaseRows makes one attempt at the rows as they are now.
func (m *Manager) releaseRows(ctx context.Context) (bool, error) {
	self := m.Self()
	key := entryPrefix + self.Instance
	found, ok, err := m.get(ctx, key)
	if err != nil {
		return false, err
	}
	if !ok {
		return true, nil
	}
	row, err := decodeEntry(found.Value)
	if err != nil {
		return false, err
	}
	if row.Incarnation != self.Incarnation || !row.Live {
		return true, nil
	}
	if err := m.scanBlocks(ctx); err != nil {
		return false, err
	}
	row.Live = false
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: found.Version}},
		Writes:     []platform.Write{{Key: key, Value: encode(row)}},
	}
	given := m.addReleases(&txn)
	version, err := m.commit(ctx, txn)
	if err != nil {
		return false, err
	}
	for i := range given {
		given[i].Version = version
	}
	m.announce(ctx, changedParams{Entry: &row, Blocks: given})
	return true, nil
}

// addReleases adds the release of all blocks that the table says are ours.
func (m *Manager) addReleases(txn *platform.Txn) []seenBlock {
	m.mu.Lock()
	defer m.mu.Unlock()
	var given []seenBlock
	for _, b := range m.blocks {
		if b.Row.Owner != m.self.Instance {
			continue
		}
		next := seenBlock{ID: b.ID, Row: blockRow{Epoch: b.Row.Epoch}}
		addBlock(txn, b, next.Row)
		given = append(given, next)
	}
	return given
}
