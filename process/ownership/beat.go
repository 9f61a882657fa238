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

// Methods that entries call at each other.
const (
	methodHeartbeat = "guard.heartbeat"
	methodRelease   = "guard.release"
	methodChanged   = "ownership.changed"
)

// silentAfter is how many heartbeats in a row go unanswered before another
// guard is looked for.
const silentAfter = 2

// contact is what this entry knows from its heartbeats to another.
type contact struct {
	incarnation string
	// sent is when the last acked heartbeat was sent.
	sent     time.Time
	failures int
	refused  bool
	// acked is the highest delta that it keeps.
	acked uint64
}

// beatLoop sends heartbeats until ctx ends.
func (m *Manager) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(m.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.beat(ctx)
		}
	}
}

// beat sends one heartbeat to each guard, present or wanted, and waits for the
// answers or the end of the period.
func (m *Manager) beat(ctx context.Context) {
	m.mu.Lock()
	targets := m.targets()
	m.mu.Unlock()
	var calls sync.WaitGroup
	for _, to := range targets {
		calls.Go(func() { _, _ = m.beatOne(ctx, to) })
	}
	calls.Wait()
}

// targets returns who gets heartbeats: a bounded number, however many entries
// there are. Call with m.mu.
func (m *Manager) targets() []Member {
	var all []Member
	add := func(members []Member) {
		for _, g := range members {
			if !slices.ContainsFunc(all, func(t Member) bool { return t.Instance == g.Instance }) {
				all = append(all, g)
			}
		}
	}
	add(m.term.guards)
	for _, a := range m.term.attempts {
		add(a.guards)
	}
	add(chooseGuards(m.self, m.others(), nil))
	add(m.wanted())
	return all
}

// others returns all other entries that are listed or have a live row. Call
// with m.mu.
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

// wanted returns the guards that this entry should have. Call with m.mu.
func (m *Manager) wanted() []Member {
	unfit := make(map[string]bool)
	for instance, c := range m.contacts {
		unfit[instance] = c.refused || c.failures >= silentAfter
	}
	return chooseGuards(m.self, m.others(), unfit)
}

// beatOne sends one heartbeat with all deltas that the guard doesn't keep yet
// and returns the highest delta that it keeps now.
func (m *Manager) beatOne(ctx context.Context, to Member) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Heartbeat)
	defer cancel()
	attachment := m.Attachment()
	m.mu.Lock()
	params := heartbeatParams{
		Owner:      m.self,
		Confirmed:  m.term.confirmed,
		Attachment: attachment,
		Base:       m.contacts[to.Instance].acked,
		Deltas:     m.missing(to.Instance),
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
		c.sent = sent
		c.acked = result.Acked
		m.term.ack(guardRef{Instance: to.Instance, Incarnation: result.Incarnation}, sent)
		m.publish()
	}
	m.contacts[to.Instance] = c
	return c.acked, nil
}

// missing returns the deltas that the instance doesn't keep. Call with m.mu.
func (m *Manager) missing(instance string) []delta {
	acked := m.contacts[instance].acked
	i := slices.IndexFunc(m.deltas, func(d delta) bool { return d.Seq > acked })
	if i < 0 {
		return nil
	}
	return slices.Clone(m.deltas[i:])
}

// Replicate makes every guard remember body for RetainFor, after what was
// replicated before, and returns when all have acked. A guard that fails is
// replaced as soon as the table allows. Errors: ErrNoGuards, or when ctx ends
// that of the guard that failed; then some guards may remember it.
func (m *Manager) Replicate(ctx context.Context, body json.RawMessage) error {
	seq := m.keep(body)
	for {
		m.mu.Lock()
		guards := m.inForce()
		m.mu.Unlock()
		if len(guards) == 0 {
			return eris.Wrap(ErrNoGuards, "replicate")
		}
		err := m.replicateTo(ctx, guards, seq)
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

// keep adds a delta to those that guards have to remember.
func (m *Manager) keep(body json.RawMessage) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.deltaSeq++
	m.deltas = append(m.deltas, delta{Seq: m.deltaSeq, Body: body, kept: now})
	m.forgetDeltas(now.Add(-m.RetainFor))
	return m.deltaSeq
}

// replicateTo sends what each guard doesn't keep yet, up to seq at least.
func (m *Manager) replicateTo(ctx context.Context, guards []Member, seq uint64) error {
	errs := make([]error, len(guards))
	var calls sync.WaitGroup
	for i, to := range guards {
		calls.Go(func() {
			acked, err := m.beatOne(ctx, to)
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
			m.suspect(guards[i].Instance)
			failed = err
		}
	}
	return failed
}

// suspect has a guard replaced now, unless that is under way.
func (m *Manager) suspect(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contacts[instance]
	if c.failures == 0 || c.failures > silentAfter {
		return
	}
	c.failures = silentAfter + 1
	m.contacts[instance] = c
	m.renewAt = time.Time{}
	m.wake()
}

// inForce returns the guards of every row that may be in force. Call with m.mu.
func (m *Manager) inForce() []Member {
	all := slices.Clone(m.term.guards)
	for _, a := range m.term.attempts {
		for _, g := range a.guards {
			if !names(all, g.ref()) {
				all = append(all, g)
			}
		}
	}
	return all
}

func (m *Manager) forgetDeltas(before time.Time) {
	m.deltas = slices.DeleteFunc(m.deltas, func(d delta) bool { return d.kept.Before(before) })
}

// Handlers returns what other entries may call.
func (m *Manager) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		methodHeartbeat: handler(func(p heartbeatParams) heartbeatResult {
			return m.book.heartbeat(p, time.Now())
		}),
		methodRelease: handler(func(p releaseParams) releaseResult {
			return m.book.release(p, time.Now())
		}),
		methodChanged: handler(m.changed),
	}
}

// handler decodes the parameters of a method.
func handler[P, R any](answer func(P) R) peer.Handler {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, eris.Wrap(err, "decode parameters")
		}
		return answer(p), nil
	}
}

// changed takes in rows that another entry has just written.
func (m *Manager) changed(p changedParams) struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range p.Blocks {
		m.see(b)
	}
	if p.Entry != nil && p.Entry.Instance != m.self.Instance {
		m.scanned = time.Time{}
	}
	m.wake()
	return struct{}{}
}

// tell announces rows without waiting for the answers, so that an entry that
// can't be reached holds up nothing.
func (m *Manager) tell(ctx context.Context, p changedParams) {
	m.tells.Go(func() { m.announce(ctx, p) })
}

// announce tells all other entries of rows just written.
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
