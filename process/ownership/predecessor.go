package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// fetchPredecessorState fetches the attachments of this instance's previous incarnation,
// whose row is given, from all entries and passes them to OnTakeover. The row may name no
// witness, or others than those that keep the attachments: it is older than they are.
func (m *Manager) fetchPredecessorState(ctx context.Context, row entryRow) {
	if !row.Live || row.Incarnation == m.Self().Incarnation {
		return
	}
	m.OnTakeover(row.Member, m.keptByOthers(ctx, row))
}

// keptByOthers returns what other entries have kept for an incarnation whose process is known
// to have ended. It waits until a witness in the row has answered, which keeps all, or
// otherwise until all entries have answered, for ShortTerm at most.
func (m *Manager) keptByOthers(ctx context.Context, row entryRow) []rawMessage {
	ctx, cancel := context.WithTimeout(ctx, m.ShortTerm)
	defer cancel()
	asked := m.possibleKeepers(row)
	answers := make(chan releaseResult, len(asked))
	for _, witness := range asked {
		go func() {
			answers <- m.requestKept(ctx, row, witness)
		}()
	}
	var all []rawMessage
	for range asked {
		answer := <-answers
		all = append(all, answer.Attachments...)
		if row.namesWitness(answer.Incarnation) {
			break
		}
	}
	return all
}

// requestKept asks one entry for what it keeps, again if it doesn't answer in time. The answer
// is empty if no process is at its address or ctx ends first.
func (m *Manager) requestKept(ctx context.Context, row entryRow, witness Member) releaseResult {
	for {
		result, err := m.requestRelease(ctx, row, witness, true)
		if err == nil {
			return result
		}
		if peer.NoListener(err) {
			return releaseResult{}
		}
		select {
		case <-ctx.Done():
			return releaseResult{}
		case <-time.After(m.Heartbeat / 10):
		}
	}
}

// namesWitness reports whether the incarnation is a witness in the row.
func (r entryRow) namesWitness(incarnation string) bool {
	return incarnation != "" &&
		slices.ContainsFunc(r.Witnesses, func(w Member) bool { return w.Incarnation == incarnation })
}

// possibleKeepers returns the other entries that are live or listed, and the witnesses in
// the row that are neither.
func (m *Manager) possibleKeepers(row entryRow) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.others()
	for _, witness := range row.Witnesses {
		if !slices.ContainsFunc(all, func(o Member) bool { return o.Instance == witness.Instance }) {
			all = append(all, witness)
		}
	}
	return all
}
