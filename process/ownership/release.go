package ownership

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/rotisserie/eris"
)

// Release ends Run, releases all blocks and marks the row dead, so that other
// entries claim the blocks without waiting. If it fails, they take over as after a
// crash. Call it when nothing runs any more. Errors: that of ctx, or the last one of
// the table.
func (m *Manager) Release(ctx context.Context) error {
	m.stopOnce.Do(func() { close(m.stop) })
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

// releaseRows makes one attempt to release the rows in their current versions. It
// returns true if this incarnation holds none afterwards.
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
	released := m.addReleases(&txn)
	version, err := m.commit(ctx, txn)
	if err != nil {
		return false, err
	}
	for i := range released {
		released[i].Version = version
	}
	m.announce(ctx, changedParams{Entry: &row, Blocks: released})
	return true, nil
}

// addReleases adds to txn the release of all blocks that this entry owns according to
// their rows.
func (m *Manager) addReleases(txn *platform.Txn) []seenBlock {
	m.mu.Lock()
	defer m.mu.Unlock()
	var released []seenBlock
	for _, b := range m.blocks {
		if b.Row.Owner != m.self.Instance {
			continue
		}
		next := seenBlock{ID: b.ID, Row: blockRow{Epoch: b.Row.Epoch}}
		addBlock(txn, b, next.Row)
		released = append(released, next)
	}
	return released
}
