package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	modelEntries = 4
	modelStep    = 250 * time.Millisecond
	modelSteps   = 600
)

// modelTerms has a long term short enough to pass within a run.
var modelTerms = terms{short: 5 * time.Second, long: time.Minute, margin: 100 * time.Millisecond}

// fault is something that starts at a step and lasts for some steps.
type fault struct{ step, kind, node, peer, steps int }

const (
	faultFreeze = iota
	faultCrash
	faultCutPeer
	faultCutStore
	faultSlowStore
	faultLostAnswers
	faultKinds
)

type modelNode struct {
	id      int
	life    int
	self    Member
	up      bool
	crashed time.Time
	frozen  time.Time
	term    term
	book    *guardBook
	watches map[string]watch
	acked   map[int]guardRef
	ackedAt map[int]time.Time
	owns    map[int]bool
	busy    time.Time // a renewal is outstanding until then
	renewAt time.Time
}

func (m *model) after(delay time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now.Add(delay), do})
}

// model is four entries, a table and the network in stepped virtual time. It
// runs the decisions of this package and checks that no block is usable by two.
type model struct {
	omit     omissions
	rnd      *rand.Rand
	now      time.Time
	nodes    []*modelNode
	rows     map[string]watch
	version  uint64
	owner    [modelEntries]guardRef // of each block, as the table says
	events   modelEvents
	cutPeer  map[[2]int]time.Time
	cutStore [modelEntries]time.Time
	slow     time.Time
	lossy    time.Time
	quick    int
	all      int
}

func newModel(seed uint64, omit omissions) *model {
	m := &model{omit: omit, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), rows: map[string]watch{}, cutPeer: map[[2]int]time.Time{}}
	for i := range modelEntries {
		n := &modelNode{id: i}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	return m
}

func (m *model) start(n *modelNode) {
	n.life++
	n.self = Member{Instance: fmt.Sprint(n.id), Incarnation: fmt.Sprintf("%d.%d", n.id, n.life), FailureDomain: fmt.Sprint(n.id)}
	n.up, n.crashed = true, time.Time{}
	n.term = term{terms: modelTerms, omit: m.omit}
	n.book = newGuardBook(n.self.ref(), modelTerms, time.Minute, m.now)
	n.book.omit = m.omit
	n.watches, n.acked, n.ackedAt = map[string]watch{}, map[int]guardRef{}, map[int]time.Time{}
	n.owns = map[int]bool{}
	n.busy, n.renewAt = time.Time{}, m.now.Add(modelStep)
}

// at runs do on the node after a delay, once it isn't frozen, if the same life
// of it is still up. Requests to an instance pass life 0.
func (m *model) at(delay time.Duration, n *modelNode, life int, do func()) {
	m.after(delay, func() {
		if !n.up || life != 0 && n.life != life {
			return
		}
		if m.now.Before(n.frozen) {
			m.at(n.frozen.Sub(m.now), n, life, do)
			return
		}
		do()
	})
}

func (m *model) delay(most time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(most)))
}

// call sends a request to another node and its answer back.
func (m *model) call(from, to *modelNode, serve func() func()) {
	cut := func() bool { return m.now.Before(m.cutPeer[[2]int{min(from.id, to.id), max(from.id, to.id)}]) }
	life := from.life
	if cut() {
		return
	}
	m.at(m.delay(time.Second/2), to, 0, func() {
		answer := serve()
		if !cut() {
			m.at(m.delay(time.Second/2), from, life, answer)
		}
	})
}

// store sends a request to the table; the answer may be slow or lost.
func (m *model) store(from *modelNode, serve func() func()) {
	most := time.Second / 4
	if m.now.Before(m.slow) {
		most = 8 * time.Second
	}
	if m.now.Before(m.cutStore[from.id]) {
		return
	}
	life := from.life
	m.after(m.delay(most), func() {
		answer := serve()
		if m.now.Before(m.lossy) && m.rnd.IntN(2) == 0 || m.now.Before(m.cutStore[from.id]) {
			return
		}
		m.at(m.delay(most), from, life, answer)
	})
}

func (m *model) tick(n *modelNode) {
	if !n.up || m.now.Before(n.frozen) {
		return
	}
	n.book.expire(m.now)
	m.beats(n)
	if !m.now.Before(n.renewAt) && m.now.After(n.busy) {
		n.renewAt = m.now.Add(modelTerms.short / renewals)
		m.renew(n, nil)
	}
	for _, other := range m.nodes {
		if other != n {
			m.look(n, other.self.Instance)
		}
	}
}

func (m *model) beats(n *modelNode) {
	for _, g := range m.nodes {
		if g == n || m.rnd.IntN(2) == 0 {
			continue
		}
		sent, p := m.now, heartbeatParams{Owner: n.self, Confirmed: n.term.confirmed}
		m.call(n, g, func() func() {
			r := g.book.heartbeat(p, m.now)
			return func() {
				if r.Refused {
					delete(n.acked, g.id)
					return
				}
				ref := guardRef{Instance: fmt.Sprint(g.id), Incarnation: r.Incarnation}
				n.acked[g.id], n.ackedAt[g.id] = ref, sent
				n.term.ack(ref, sent)
			}
		})
	}
}

func (m *model) propose(n *modelNode) []Member {
	var warm []Member
	for id, ref := range n.acked {
		if m.now.Sub(n.ackedAt[id]) < modelTerms.short/2 {
			warm = append(warm, Member{Instance: ref.Instance, Incarnation: ref.Incarnation, FailureDomain: ref.Instance})
		}
	}
	if guards := chooseGuards(n.self, warm, nil); len(guards) > 0 {
		return guards
	}
	return n.term.guards
}

func (m *model) renew(n *modelNode, dead *watch) {
	n.busy = m.now.Add(modelTerms.short / 2)
	if n.term.held && len(n.term.attempts) == 0 {
		m.attempt(n, dead)
		return
	}
	m.store(n, func() func() {
		w := m.rows[n.self.Instance]
		return func() {
			n.readBack(w, m.now, m)
			m.attempt(n, dead)
		}
	})
}

func (n *modelNode) readBack(w watch, now time.Time, m *model) {
	done, kept := n.term.readBack(n.self, w.row, w.version, now)
	if !kept {
		m.start(n)
		return
	}
	n.took(done)
}

func (n *modelNode) took(a attempt) {
	if a.takeover == nil {
		return
	}
	for _, b := range a.takeover.blocks {
		n.owns[int(b.Version)] = true
	}
}

func (m *model) attempt(n *modelNode, dead *watch) {
	row := entryRow{Member: n.self, Live: true, Guards: m.propose(n)}
	extra := &takeover{}
	for i, owner := range m.owner {
		// A new life takes its instance's blocks; Version stands for the index.
		if !n.term.held && owner.Instance == row.Instance || owner.Instance == "" && i == n.id {
			extra.blocks = append(extra.blocks, seenBlock{Version: uint64(i)})
		}
		if dead != nil && owner.Instance == dead.row.Instance {
			extra.blocks = append(extra.blocks, seenBlock{Version: uint64(i)})
		}
	}
	a := n.term.begin(m.now, row.Guards, extra)
	row.Attempt = a.id
	condition, owner := n.term.version, m.owner
	m.store(n, func() func() {
		key := row.Instance
		ok := m.rows[key].version == condition
		ok = ok && (dead == nil || m.rows[dead.row.Instance].version == dead.version)
		for _, b := range extra.blocks {
			ok = ok && m.owner[b.Version] == owner[b.Version]
		}
		if ok {
			m.write(row, extra, dead)
		}
		version, conflict := m.version, m.rows[key]
		return func() {
			if ok {
				if done, known := n.term.confirm(a.id, version); known {
					n.took(done)
				}
				return
			}
			n.term.drop(a.id)
			if conflict.version != condition {
				n.readBack(conflict, m.now, m)
			}
		}
	})
}

func (m *model) write(row entryRow, extra *takeover, dead *watch) {
	m.version++
	m.rows[row.Instance] = watch{row: row, version: m.version}
	for _, b := range extra.blocks {
		m.owner[b.Version] = row.ref()
	}
	if dead == nil {
		return
	}
	gone := dead.row
	gone.Live = false
	m.rows[gone.Instance] = watch{row: gone, version: m.version}
	var id int
	_, _ = fmt.Sscan(gone.Instance, &id)
	if n := m.nodes[id]; !n.crashed.IsZero() {
		m.all++
		if m.now.Sub(n.crashed) < modelTerms.long {
			m.quick++
		}
	}
}

func (m *model) look(n *modelNode, instance string) {
	if m.rnd.IntN(4) != 0 {
		return
	}
	m.store(n, func() func() {
		read := m.rows[instance]
		return func() {
			w := n.watches[instance]
			w.observe(read.row, read.version, m.now)
			n.watches[instance] = w
			switch takeoverVerdict(w, modelTerms, m.omit, m.now) {
			case verdictTake:
				m.takeOver(n, w)
			case verdictAsk:
				m.ask(n, w)
			}
		}
	})
}

func (m *model) ask(n *modelNode, w watch) {
	promised := map[string]bool{}
	for _, g := range w.row.Guards {
		var id int
		_, _ = fmt.Sscan(g.Instance, &id)
		p := releaseParams{Instance: w.row.Instance, Incarnation: w.row.Incarnation, Attempt: w.row.Attempt, Guard: g.Incarnation}
		answer := func(r releaseResult) {
			promised[g.Instance] = r.Promised
			if !slices.ContainsFunc(w.row.Guards, func(g Member) bool { return !promised[g.Instance] }) {
				m.takeOver(n, w)
			}
		}
		if id == n.id {
			answer(n.book.release(p, m.now))
			continue
		}
		m.call(n, m.nodes[id], func() func() {
			r := m.nodes[id].book.release(p, m.now)
			return func() { answer(r) }
		})
	}
}

func (m *model) takeOver(n *modelNode, w watch) {
	if n.term.held && !m.now.Before(n.busy) {
		m.renew(n, &w)
	}
}

func (m *model) strike(f fault) {
	n, end := m.nodes[f.node], m.now.Add(time.Duration(f.steps)*modelStep)
	switch f.kind {
	case faultFreeze:
		n.frozen = end
	case faultCrash:
		if !n.up {
			return
		}
		n.up, n.crashed = false, m.now
		m.after(3*end.Sub(m.now), func() { m.start(n) })
	case faultCutPeer:
		m.cutPeer[[2]int{min(f.node, f.peer), max(f.node, f.peer)}] = end
	case faultCutStore:
		m.cutStore[f.node] = end
	case faultSlowStore:
		m.slow = end
	case faultLostAnswers:
		m.lossy = end
	}
}

// run returns the first violation.
func (m *model) run(faults []fault) error {
	for step := range modelSteps {
		for _, f := range faults {
			if f.step == step {
				m.strike(f)
			}
		}
		for _, i := range m.rnd.Perm(len(m.nodes)) {
			m.tick(m.nodes[i])
		}
		end := m.now.Add(modelStep)
		for len(m.events) > 0 && m.events[0].at.Before(end) {
			e := heap.Pop(&m.events).(modelEvent)
			m.now = e.at
			e.do()
			if err := m.check(); err != nil {
				return err
			}
		}
		m.now = end
	}
	return nil
}

func (m *model) check() error {
	var users [modelEntries]*modelNode
	for _, n := range m.nodes {
		if !n.up || len(n.owns) == 0 || !m.now.Before(n.term.until()) {
			continue
		}
		for b := range n.owns {
			if other := users[b]; other != nil {
				return fmt.Errorf("at %s block %d is usable by %s and %s", m.now.Sub(time.Unix(0, 0)), b, other.self.Incarnation, n.self.Incarnation)
			}
			users[b] = n
		}
	}
	return nil
}
