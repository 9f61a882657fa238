package ownership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// renewalsPerTerm is how many renewals are sent per ShortTerm.
const renewalsPerTerm = 3

// renewIfDue calls renew at intervals of ShortTerm divided by renewalsPerTerm.
func (m *Manager) renewIfDue(ctx context.Context) error {
	now := time.Now()
	m.mu.Lock()
	due := !now.Before(m.renewAt)
	if due {
		m.renewAt = now.Add(m.ShortTerm / renewalsPerTerm)
	}
	m.mu.Unlock()
	if !due {
		return nil
	}
	return m.renew(ctx, nil)
}

// renew sends one renewal of this entry's row, together with the takeover in extra if it
// isn't nil. The first renewal joins. While the lease isn't held, or the outcome of an
// earlier attempt is unknown, renew reads the row back first.
func (m *Manager) renew(ctx context.Context, extra *takeover) error {
	m.mu.Lock()
	confirmed := m.lease.held && len(m.lease.attempts) == 0
	m.mu.Unlock()
	if !confirmed {
		if ok, err := m.readBack(ctx); !ok {
			return err
		}
	}
	m.mu.Lock()
	row := entryRow{Member: m.self, Live: true, Witnesses: m.proposeWitnesses()}
	a := m.lease.begin(time.Now(), row.Witnesses, extra)
	row.Attempt = a.id
	txn := m.renewalTxn(row, extra)
	m.publishExpiry()
	m.mu.Unlock()
	version, err := m.commit(ctx, txn)
	switch outcomeOf(err) {
	case outcomeCommitted:
		m.renewalCommitted(ctx, a, row, version)
		return nil
	case outcomeNotApplied:
		m.mu.Lock()
		m.lease.drop(a.id)
		m.publishExpiry()
		m.mu.Unlock()
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Key == entryPrefix+row.Instance {
		_, err := m.readBack(ctx)
		return err
	}
	return nil
}

// renewalTxn builds the transaction of an attempt. Call with m.mu.
func (m *Manager) renewalTxn(row entryRow, extra *takeover) platform.Txn {
	key := entryPrefix + row.Instance
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: m.lease.version}},
		Writes:     []platform.Write{{Key: key, Value: encode(row)}},
	}
	if extra != nil {
		extra.addTo(&txn, m.self)
	}
	return txn
}

// renewalCommitted records an attempt that is known to have taken effect.
func (m *Manager) renewalCommitted(ctx context.Context, a attempt, row entryRow, version uint64) {
	m.mu.Lock()
	joined := !m.announced
	m.announced = true
	m.lease.confirm(a.id, version)
	m.entries[row.Instance] = observedEntry{row: row, version: version, firstSeen: time.Now()}
	m.publishExpiry()
	m.mu.Unlock()
	if joined {
		m.notify(ctx, changedParams{Entry: &row})
	}
	if a.takeover != nil {
		m.takeoverCommitted(ctx, *a.takeover, version)
	}
}

// readBack reads this entry's row to find which attempt took effect. It returns false
// if nothing may be written now.
func (m *Manager) readBack(ctx context.Context) (bool, error) {
	found, ok, err := m.get(ctx, entryPrefix+m.Options.Self.Instance)
	if err != nil {
		return false, nil
	}
	var row entryRow
	if ok {
		if row, err = decodeEntry(found.Value); err != nil {
			return false, err
		}
	}
	m.mu.Lock()
	joining := !m.lease.held
	m.mu.Unlock()
	// The witnesses of the previous incarnation are asked at the addresses in these rows.
	if joining && m.scanEntries(ctx) != nil {
		return false, nil
	}
	m.mu.Lock()
	changed := found.Version != m.lease.version
	applied, stillHeld := m.lease.readBack(m.self, row, found.Version, time.Now())
	m.publishExpiry()
	m.mu.Unlock()
	if !stillHeld {
		return false, m.handleLeaseLoss(row)
	}
	if joining && changed {
		m.fetchPredecessorState(ctx, row)
	}
	if applied.takeover != nil {
		m.takeoverCommitted(ctx, *applied.takeover, 0)
	}
	return true, nil
}

// proposeWitnesses returns the witnesses for the next renewal: the desired ones that
// respond and have acked all replicated deltas, or if there are none, the current ones
// that aren't known to be dead. Call with m.mu.
func (m *Manager) proposeWitnesses() []Member {
	var witnesses []Member
	recent := time.Now().Add(-m.ShortTerm / 2)
	for _, witness := range m.desiredWitnesses() {
		c := m.contacts[witness.Instance]
		if c.refused || c.lastAckedSent.Before(recent) || m.lacksDelta(witness.Instance) {
			continue
		}
		witness.Incarnation = c.incarnation
		witnesses = append(witnesses, witness)
	}
	if len(witnesses) > 0 {
		return witnesses
	}
	return slices.DeleteFunc(slices.Clone(m.lease.witnesses), func(witness Member) bool {
		e, known := m.entries[witness.Instance]
		return known && !e.row.Live
	})
}

// handleLeaseLoss revokes all grants and continues as a new incarnation, unless another
// process now runs as this instance. Errors: ErrReplaced.
func (m *Manager) handleLeaseLoss(row entryRow) error {
	m.revokeAll()
	m.mu.Lock()
	m.lease.lose()
	m.publishExpiry()
	own := row.Incarnation == m.self.Incarnation || row.Incarnation == ""
	if !own && row.Live {
		m.mu.Unlock()
		return fmt.Errorf("instance %s, incarnation %s: %w", row.Instance, row.Incarnation, ErrReplaced)
	}
	m.rejoins++
	m.announced = false
	m.self.Incarnation = fmt.Sprintf("%s+%d", m.Options.Self.Incarnation, m.rejoins)
	self := m.self
	m.contacts = make(map[string]contact)
	m.deltas = nil
	m.renewAt = time.Time{}
	m.scannedAt = time.Time{}
	m.witness.restart(self.ref(), time.Now())
	m.mu.Unlock()
	m.OnRejoin(self)
	m.wake()
	return nil
}

// revokeAll revokes all grants and calls OnLoss for each.
func (m *Manager) revokeAll() {
	m.expiry.Store(0)
	old := m.grants.Swap(&map[string]Grant{})
	for _, id := range slices.Sorted(maps.Keys(*old)) {
		m.OnLoss(id)
	}
}
