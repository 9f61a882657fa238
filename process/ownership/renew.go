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

// renewals is how many renewals are sent in a short term.
const renewals = 3

// renewIfDue joins, renews or reads back the own row when it is time.
func (m *Manager) renewIfDue(ctx context.Context) error {
	now := time.Now()
	m.mu.Lock()
	due := !now.Before(m.renewAt)
	if due {
		m.renewAt = now.Add(m.ShortTerm / renewals)
	}
	m.mu.Unlock()
	if !due {
		return nil
	}
	return m.renew(ctx, nil)
}

// renew sends one renewal, with a takeover in the same transaction if given.
func (m *Manager) renew(ctx context.Context, extra *takeover) error {
	m.mu.Lock()
	settled := m.term.held && len(m.term.attempts) == 0
	m.mu.Unlock()
	if !settled {
		if ok, err := m.readBack(ctx); !ok {
			return err
		}
	}
	m.mu.Lock()
	row := entryRow{Member: m.self, Live: true, Guards: m.propose()}
	a := m.term.begin(time.Now(), row.Guards, extra)
	row.Attempt = a.id
	txn := m.renewal(row, extra)
	m.publish()
	m.mu.Unlock()
	version, err := m.commit(ctx, txn)
	switch outcomeOf(err) {
	case outcomeDone:
		m.confirmed(ctx, a, row, version)
		return nil
	case outcomeNone:
		m.mu.Lock()
		m.term.drop(a.id)
		m.publish()
		m.mu.Unlock()
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Key == entryPrefix+row.Instance {
		_, err := m.readBack(ctx)
		return err
	}
	return nil
}

// renewal builds the transaction of an attempt. Call with m.mu.
func (m *Manager) renewal(row entryRow, extra *takeover) platform.Txn {
	key := entryPrefix + row.Instance
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: m.term.version}},
		Writes:     []platform.Write{{Key: key, Value: encode(row)}},
	}
	if extra != nil {
		extra.addTo(&txn, m.self)
	}
	return txn
}

// confirmed takes in an attempt that is known to have taken effect.
func (m *Manager) confirmed(ctx context.Context, a attempt, row entryRow, version uint64) {
	m.mu.Lock()
	joined := !m.announced
	m.announced = true
	m.term.confirm(a.id, version)
	m.entries[row.Instance] = watch{row: row, version: version, seen: time.Now()}
	m.publish()
	m.mu.Unlock()
	if joined {
		m.tell(ctx, changedParams{Entry: &row})
	}
	if a.takeover != nil {
		m.took(ctx, *a.takeover, version)
	}
}

// readBack reads the own row to learn what took effect. It returns false if
// nothing may be written now.
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
	joining := !m.term.held
	changed := found.Version != m.term.version
	done, kept := m.term.readBack(m.self, row, found.Version, time.Now())
	m.publish()
	m.mu.Unlock()
	if !kept {
		return false, m.lost(row)
	}
	if joining && changed {
		m.inherit(ctx, row)
	}
	if done.takeover != nil {
		m.took(ctx, *done.takeover, 0)
	}
	return true, nil
}

// propose returns the guards for the next renewal: those wanted that answer
// and keep all deltas, else the present ones that aren't known dead. Call with
// m.mu.
func (m *Manager) propose() []Member {
	var guards []Member
	recent := time.Now().Add(-m.ShortTerm / 2)
	for _, g := range m.wanted() {
		c := m.contacts[g.Instance]
		if c.refused || c.sent.Before(recent) || len(m.missing(g.Instance)) > 0 {
			continue
		}
		g.Incarnation = c.incarnation
		guards = append(guards, g)
	}
	if len(guards) > 0 {
		return guards
	}
	return slices.DeleteFunc(slices.Clone(m.term.guards), func(g Member) bool {
		w, known := m.entries[g.Instance]
		return known && !w.row.Live
	})
}

// lost gives up everything and goes on as a new incarnation, unless another
// process has the instance now.
func (m *Manager) lost(row entryRow) error {
	m.revokeAll()
	m.mu.Lock()
	m.term.lose()
	m.publish()
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
	m.scanned = time.Time{}
	m.book.restart(self.ref(), time.Now())
	m.mu.Unlock()
	m.OnRejoin(self)
	m.wake()
	return nil
}

// revokeAll takes all blocks away and tells of each.
func (m *Manager) revokeAll() {
	m.until.Store(0)
	old := m.grants.Swap(&map[string]Grant{})
	for _, id := range slices.Sorted(maps.Keys(*old)) {
		m.OnLoss(id)
	}
}

// inherit fetches what the guards of this instance's predecessor remember.
func (m *Manager) inherit(ctx context.Context, row entryRow) {
	if !row.Live || row.Incarnation == m.Self().Incarnation {
		return
	}
	var all []rawMessage
	for _, g := range row.Guards {
		result, err := m.ask(ctx, row, g, true)
		if err == nil {
			all = append(all, result.Attachments...)
		}
	}
	m.OnTakeover(row.Member, all)
}
