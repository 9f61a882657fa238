package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Replicate stores body at every witness for RetainFor, in the order of the calls,
// and returns when all have acked. A witness that fails is replaced at the next
// successful renewal. While this entry's row names no witness, those that it should name
// store body. Errors: ErrNoWitnesses if there are none either, or, if ctx ends first, the
// error of a witness that failed; some witnesses may have stored body then.
func (m *Manager) Replicate(ctx context.Context, body json.RawMessage) error {
	seq := m.appendDelta(body)
	for {
		witnesses := m.replicationTargets(seq)
		if len(witnesses) == 0 {
			return eris.Wrap(ErrNoWitnesses, "replicate")
		}
		err := m.replicateTo(ctx, witnesses, seq)
		if err == nil {
			err = m.markReplicated(seq)
		}
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

// replicationTargets returns the entries that are to store a delta. If there are none, the
// delta counts as replicated.
func (m *Manager) replicationTargets(seq uint64) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	witnesses := m.possibleWitnesses()
	if len(witnesses) == 0 {
		witnesses = m.desiredWitnesses()
	}
	if len(witnesses) == 0 {
		m.setReplicated(seq)
	}
	return witnesses
}

// markReplicated records that a delta is replicated. It fails if a row that may be in force
// by now names a witness that has not acked the delta.
func (m *Manager) markReplicated(seq uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, witness := range m.possibleWitnesses() {
		if m.contacts[witness.Instance].ackedDelta < seq {
			return eris.Errorf("replicate to peer %s: a witness since, not kept", witness.Instance)
		}
	}
	m.setReplicated(seq)
	return nil
}

// setReplicated marks a delta as replicated. Call with m.mu.
func (m *Manager) setReplicated(seq uint64) {
	i := slices.IndexFunc(m.deltas, func(d delta) bool { return d.Seq == seq })
	if i >= 0 {
		m.deltas[i].replicated = true
	}
}

// lacksDelta reports whether the instance has not acked a delta that counts as replicated.
// Call with m.mu.
func (m *Manager) lacksDelta(instance string) bool {
	return slices.ContainsFunc(m.unackedDeltas(instance), func(d delta) bool { return d.replicated })
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

// unackedDeltas returns the deltas that the instance has not acked. Call with m.mu.
func (m *Manager) unackedDeltas(instance string) []delta {
	ackedDelta := m.contacts[instance].ackedDelta
	i := slices.IndexFunc(m.deltas, func(d delta) bool { return d.Seq > ackedDelta })
	if i < 0 {
		return nil
	}
	return slices.Clone(m.deltas[i:])
}

func (m *Manager) dropDeltas(before time.Time) {
	m.deltas = slices.DeleteFunc(m.deltas, func(d delta) bool { return d.addedAt.Before(before) })
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
	for i, witness := range all {
		all[i] = m.atCurrentAddress(witness)
	}
	return all
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
