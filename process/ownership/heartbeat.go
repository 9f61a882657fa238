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
				all = append(all, m.atCurrentAddress(member))
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
// and returns the highest delta that it keeps now. A witness that has lost deltas that it
// acked gets all of them in a second heartbeat.
func (m *Manager) sendHeartbeat(ctx context.Context, to Member) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	params := m.heartbeatFor(to)
	acked, err := m.callHeartbeat(ctx, to, params)
	if err != nil || acked >= params.Base {
		return acked, err
	}
	return m.callHeartbeat(ctx, to, m.heartbeatFor(to))
}

// callHeartbeat sends one heartbeat and records its answer. It returns the highest delta
// that the witness keeps now.
func (m *Manager) callHeartbeat(ctx context.Context, to Member, params heartbeatParams) (uint64, error) {
	sent := time.Now()
	var result heartbeatResult
	err := m.Peers.Call(ctx, to.Address, methodHeartbeat, params, &result)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		c := m.contacts[to.Instance]
		c.failures++
		m.contacts[to.Instance] = c
		return 0, eris.Wrapf(err, "heartbeat peer %s", to.Instance)
	}
	if params.Owner.Incarnation != m.self.Incarnation {
		return 0, eris.Errorf("heartbeat peer %s: rejoined meanwhile", to.Instance)
	}
	return m.heartbeatAnswered(to, result, sent), nil
}

// heartbeatFor returns the heartbeat for a witness.
func (m *Manager) heartbeatFor(to Member) heartbeatParams {
	attachment := m.Attachment()
	m.mu.Lock()
	defer m.mu.Unlock()
	return heartbeatParams{
		Owner:      m.self,
		Confirmed:  m.lease.confirmed,
		Attachment: attachment,
		Base:       m.contacts[to.Instance].ackedDelta,
		Deltas:     m.unackedDeltas(to.Instance),
	}
}

// heartbeatAnswered records the answer to a heartbeat and returns the highest delta that
// the witness keeps. Call with m.mu.
func (m *Manager) heartbeatAnswered(to Member, result heartbeatResult, sent time.Time) uint64 {
	c := m.contacts[to.Instance]
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
	return c.ackedDelta
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
