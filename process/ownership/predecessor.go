package ownership

import (
	"context"
	"slices"
	"sync"
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

// keptByOthers returns what the entries that answer within Heartbeat have kept for an
// incarnation whose process is known to have ended.
func (m *Manager) keptByOthers(ctx context.Context, row entryRow) []rawMessage {
	asked := m.possibleKeepers(row)
	answers := make([]releaseResult, len(asked))
	var calls sync.WaitGroup
	for i, witness := range asked {
		calls.Go(func() {
			result, err := m.requestRelease(ctx, row, witness, true)
			if err == nil {
				answers[i] = result
			}
		})
	}
	calls.Wait()
	var all []rawMessage
	for _, answer := range answers {
		all = append(all, answer.Attachments...)
	}
	return all
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
