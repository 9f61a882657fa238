package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/rotisserie/eris"
)

// Methods of the calls between entries; guard stands for witness in their names.
const (
	methodHeartbeat = "guard.heartbeat"
	methodRelease   = "guard.release"
	methodChanged   = "ownership.changed"
)

// maxMissedHeartbeats is the number of consecutive failed heartbeats after which a
// witness is replaced.
const maxMissedHeartbeats = 2

// contact is the outcome of this entry's heartbeats to another entry.
type contact struct {
	incarnation string
	// lastAckedSent is when the last acked heartbeat was sent.
	lastAckedSent time.Time
	// failures is the number of consecutive failed heartbeats; replaceWitness raises
	// it above maxMissedHeartbeats.
	failures int
	refused  bool
	// ackedDelta is the highest delta that the witness keeps.
	ackedDelta uint64
}

// heartbeatLoop sends heartbeats until ctx ends.
func (m *Manager) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(m.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.sendHeartbeats(ctx)
		}
	}
}

// sendHeartbeats sends one heartbeat to each current and desired witness and waits
// for the answers or the end of the period.
func (m *Manager) sendHeartbeats(ctx context.Context) {
	m.mu.Lock()
	targets := m.targets()
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, to := range targets {
		calls.Go(func() { _, _ = m.sendHeartbeat(ctx, to) })
	}
	calls.Wait()
}

// targets returns the entries to send heartbeats to. Their number is bounded,
// regardless of the number of entries. Call with m.mu.
func (m *Manager) targets() []Member {
	var all []Member
	add := func(members []Member) {
		for _, member := range members {
			if !slices.ContainsFunc(all, func(t Member) bool { return t.Instance == member.Instance }) {
				all = append(all, member)
			}
		}
	}
	add(m.lease.witnesses)
	for _, a := range m.lease.attempts {
		add(a.witnesses)
	}
	add(chooseWitnesses(m.self, m.others(), nil))
	add(m.desiredWitnesses())
	return all
}

// others returns all other entries that the platform lists or that have a live
// row. Call with m.mu.
func (m *Manager) others() []Member {
	all := m.live()
	for _, member := range m.Options.Members() {
		w, known := m.entries[member.Instance]
		if known && w.row.Live || slices.ContainsFunc(all, func(o Member) bool { return o.Instance == member.Instance }) {
			continue
		}
		all = append(all, member)
	}
	return slices.DeleteFunc(all, func(o Member) bool { return o.Instance == m.self.Instance })
}

// desiredWitnesses returns the witnesses that this entry should have, without those
// that refuse or miss heartbeats. Call with m.mu.
func (m *Manager) desiredWitnesses() []Member {
	excluded := make(map[string]bool)
	for instance, c := range m.contacts {
		excluded[instance] = c.refused || c.failures >= maxMissedHeartbeats
	}
	return chooseWitnesses(m.self, m.others(), excluded)
}

// sendHeartbeat sends one heartbeat with all deltas that the witness has not acked
// and returns the highest delta that it keeps now.
func (m *Manager) sendHeartbeat(ctx context.Context, to Member) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	attachment := m.Attachment()
	m.mu.Lock()
	params := heartbeatParams{
		Owner:      m.self,
		Confirmed:  m.lease.confirmed,
		Attachment: attachment,
		Base:       m.contacts[to.Instance].ackedDelta,
		Deltas:     m.unackedDeltas(to.Instance),
	}
	m.mu.Unlock()
	sent := time.Now()
	var result heartbeatResult
	err := m.Peers.Call(ctx, to.Address, methodHeartbeat, params, &result)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contacts[to.Instance]
	if err != nil {
		c.failures++
		m.contacts[to.Instance] = c
		return 0, eris.Wrapf(err, "heartbeat peer %s", to.Instance)
	}
	if params.Owner.Incarnation != m.self.Incarnation {
		return 0, eris.Errorf("heartbeat peer %s: rejoined meanwhile", to.Instance)
	}
	c.failures = 0
	c.refused = result.Refused
	c.incarnation = result.Incarnation
	if !result.Refused {
		c.lastAckedSent = sent
		c.ackedDelta = result.Acked
		m.lease.ack(memberRef{Instance: to.Instance, Incarnation: result.Incarnation}, sent)
		m.publishExpiry()
	}
	m.contacts[to.Instance] = c
	return c.ackedDelta, nil
}

// unackedDeltas returns the deltas that the instance has not acked. Call with m.mu.
func (m *Manager) unackedDeltas(instance string) []delta {
	ackedDelta := m.contacts[instance].ackedDelta
	i := slices.IndexFunc(m.deltas, func(d delta) bool { return d.Seq > ackedDelta })
	if i < 0 {
		return nil
	}
	return slices.Clone(m.deltas[i:])
}

// Replicate stores body at every witness for RetainFor, in the order of the calls,
// and returns when all have acked. A witness that fails is replaced at the next
// successful renewal. Errors: ErrNoWitnesses, or, if ctx ends first, the error of a
// witness that failed; some witnesses may have stored body then.
func (m *Manager) Replicate(ctx context.Context, body json.RawMessage) error {
	seq := m.appendDelta(body)
	for {
		m.mu.Lock()
		witnesses := m.possibleWitnesses()
		m.mu.Unlock()
		if len(witnesses) == 0 {
			return eris.Wrap(ErrNoWitnesses, "replicate")
		}
		err := m.replicateTo(ctx, witnesses, seq)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(m.Heartbeat / 10):
		}
	}
}

// appendDelta adds a delta to those to be replicated and returns its number.
func (m *Manager) appendDelta(body json.RawMessage) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.deltaSeq++
	m.deltas = append(m.deltas, delta{Seq: m.deltaSeq, Body: body, addedAt: now})
	m.dropDeltas(now.Add(-m.RetainFor))
	return m.deltaSeq
}

// replicateTo sends to each witness the deltas that it has not acked, up to seq at
// least.
func (m *Manager) replicateTo(ctx context.Context, witnesses []Member, seq uint64) error {
	errs := make([]error, len(witnesses))
	var calls sync.WaitGroup
	for i, to := range witnesses {
		calls.Go(func() {
			acked, err := m.sendHeartbeat(ctx, to)
			if err == nil && acked < seq {
				err = eris.Errorf("replicate to peer %s: not kept", to.Instance)
			}
			errs[i] = err
		})
	}
	calls.Wait()
	var failed error
	for i, err := range errs {
		if err != nil {
			m.replaceWitness(witnesses[i].Instance)
			failed = err
		}
	}
	return failed
}

// replaceWitness starts the replacement of a witness, unless that is under way.
func (m *Manager) replaceWitness(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contacts[instance]
	if c.failures == 0 || c.failures > maxMissedHeartbeats {
		return
	}
	c.failures = maxMissedHeartbeats + 1
	m.contacts[instance] = c
	m.renewAt = time.Time{}
	m.wake()
}

// possibleWitnesses returns the witnesses of every row that may be in force. Call
// with m.mu.
func (m *Manager) possibleWitnesses() []Member {
	all := slices.Clone(m.lease.witnesses)
	for _, a := range m.lease.attempts {
		for _, witness := range a.witnesses {
			if !includes(all, witness.ref()) {
				all = append(all, witness)
			}
		}
	}
	return all
}

func (m *Manager) dropDeltas(before time.Time) {
	m.deltas = slices.DeleteFunc(m.deltas, func(d delta) bool { return d.addedAt.Before(before) })
}

// Handlers returns the handlers of calls from other entries.
func (m *Manager) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodHeartbeat: handler(func(p heartbeatParams) heartbeatResult {
			return m.witness.heartbeat(p, time.Now())
		}),
		methodRelease: handler(func(p releaseParams) releaseResult {
			return m.witness.release(p, time.Now())
		}),
		methodChanged: handler(m.changed),
	}
}

// handler returns a peer.Handler that decodes the parameters of a method.
func handler[P, R any](answer func(P) R) peer.Handler {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, eris.Wrap(err, "decode parameters")
		}
		return answer(p), nil
	}
}

// changed applies rows that another entry has just written.
func (m *Manager) changed(p changedParams) struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range p.Blocks {
		m.observeBlock(b)
	}
	if p.Entry != nil && p.Entry.Instance != m.self.Instance {
		m.scannedAt = time.Time{}
	}
	m.wake()
	return struct{}{}
}

// notify announces rows without waiting for the answers, so that an unreachable
// entry delays nothing.
func (m *Manager) notify(ctx context.Context, p changedParams) {
	m.notifications.Go(func() { m.announce(ctx, p) })
}

// announce notifies all other entries of rows just written.
func (m *Manager) announce(ctx context.Context, p changedParams) {
	m.mu.Lock()
	others := m.others()
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, to := range others {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
			defer cancel()
			var none struct{}
			_ = m.Peers.Call(ctx, to.Address, methodChanged, p, &none)
		})
	}
	calls.Wait()
}
