package store

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const replicas = 3

// machine runs random calls on several Stores with a common platform, and checks them
// against the history that the platform recorded.
type machine struct {
	platform *fakePlatform
	links    [replicas]*link
	stores   [replicas]*Store
	seen     [replicas]uint64
	ids      []string
	bases    map[string]uint64
	calls    map[string]int
	accepted map[string]uint64
	refused  map[string]bool
	// violation is the first violated invariant.
	violation string
}

func newMachine(disable func(*Store)) *machine {
	m := &machine{platform: newFakePlatform(), bases: map[string]uint64{}, calls: map[string]int{}, accepted: map[string]uint64{}, refused: map[string]bool{}}
	for i := range m.stores {
		m.links[i] = &link{fakePlatform: m.platform, stale: -1}
		m.stores[i] = New(Options{
			Table: m.links[i], Objects: objects{m.links[i]}, Self: fmt.Sprint(i),
			OnVersion: func(next *version.Snapshot) { m.observeVersion(i, next.Number) },
		})
		disable(m.stores[i])
	}
	return m
}

// violate records a violation.
func (m *machine) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// observeVersion checks that the version of a replica does not decrease.
func (m *machine) observeVersion(replica int, number uint64) {
	if number < m.seen[replica] {
		m.violate("the version of replica %d decreased from %d to %d", replica, m.seen[replica], number)
	}
	m.seen[replica] = number
}

// apply makes the change id, which adds a team of that name, and records the outcome. If
// there were several calls with the ID, it records only outcomes that are final for all of
// them.
func (m *machine) apply(replica int, id string, base uint64) {
	m.calls[id]++
	m.bases[id] = base
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	result, err := m.stores[replica].Apply(ctx, id, base, func(r *records.Records) (*records.Records, error) {
		r.Teams = append(r.Teams, records.Team{Name: id, Share: 1, QueueLimit: 1})
		return r, nil
	})
	var baseErr *BaseError
	switch {
	case err == nil && !result.AlreadyApplied && base != 0 && result.Number != base+1:
		m.violate("change %s for version %d made version %d", id, base, result.Number)
	case err == nil:
		if before, ok := m.accepted[id]; ok && before != result.Number {
			m.violate("change %s has versions %d and %d", id, before, result.Number)
		}
		m.accepted[id] = result.Number
		delete(m.refused, id)
	case errors.Is(err, ErrOutcomeUnknown):
		delete(m.refused, id)
	case m.calls[id] == 1 || errors.As(err, &baseErr):
		m.refused[id] = true
	}
}

func (m *machine) newID() string {
	id := fmt.Sprintf("change-%d", len(m.ids))
	m.ids = append(m.ids, id)
	return id
}

// drawApply makes a new change, or repeats an earlier one, with random faults of its
// commits. In some cases another change is committed between its read and its commit.
func (m *machine) drawApply(t *rapid.T) {
	replica := rapid.IntRange(0, replicas-1).Draw(t, "replica")
	m.platform.downAfter = time.Duration(rapid.SampledFrom([]int{0, 0, 300, 6000}).Draw(t, "down ms")) * time.Millisecond
	m.platform.faults = nil
	for _, kind := range rapid.SliceOfN(rapid.IntRange(0, int(faultKinds)-1), 0, 3).Draw(t, "faults") {
		m.platform.faults = append(m.platform.faults, fault(kind))
	}
	if rapid.Bool().Draw(t, "race") {
		rival, rivalID := rapid.IntRange(0, replicas-1).Draw(t, "rival"), m.newID()
		m.platform.beforeCommit = func() { m.apply(rival, rivalID, 0) }
	}
	base := rapid.SampledFrom([]uint64{0, 0, m.stores[replica].Current().Number}).Draw(t, "base")
	id := ""
	if len(m.ids) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		id = rapid.SampledFrom(m.ids).Draw(t, "id")
		base = m.bases[id]
	} else {
		id = m.newID()
	}
	m.apply(replica, id, base)
	m.platform.beforeCommit = nil
	m.platform.downAfter = 0
}

// drawPoll polls one replica. In some cases the read returns an old head, as a delayed
// reply does.
func (m *machine) drawPoll(t *rapid.T) {
	replica := rapid.IntRange(0, replicas-1).Draw(t, "replica")
	if n := len(m.platform.heads); n > 0 && rapid.Bool().Draw(t, "late") {
		m.links[replica].stale = rapid.IntRange(0, n-1).Draw(t, "head")
	}
	_ = m.stores[replica].Poll(context.Background())
	m.links[replica].stale = -1
}

// finish ends all faults and checks the complete history.
func (m *machine) finish() {
	m.platform.downUntil = time.Time{}
	m.platform.applyDelayed()
	counts := m.platform.changeCounts()
	for id, n := range counts {
		if n > 1 {
			m.violate("change %s is in the history %d times", id, n)
		}
		if m.refused[id] {
			m.violate("refused change %s is in the history", id)
		}
	}
	for id, number := range m.accepted {
		if counts[id] != 1 || m.platform.history[number-1].Change != id {
			m.violate("accepted change %s is not version %d", id, number)
		}
	}
	for i, store := range m.stores {
		_ = store.Poll(context.Background())
		m.checkTeams(i, counts)
	}
}

// checkTeams checks that exactly the changes in the history are in force on a replica.
func (m *machine) checkTeams(replica int, counts map[string]int) {
	var want, got []string
	for id := range counts {
		want = append(want, id)
	}
	for name := range m.stores[replica].Current().Teams {
		got = append(got, name)
	}
	sort.Strings(want)
	sort.Strings(got)
	if fmt.Sprint(want) != fmt.Sprint(got) {
		m.violate("replica %d has the changes %v, not %v", replica, got, want)
	}
}

// bubble hides the deadline of a test, which is in real time and meaningless in virtual time.
type bubble struct{ testing.TB }

// violations runs the machine with a safety mechanism disabled and returns the violations.
func violations(t *testing.T, disable func(*Store)) map[string]bool {
	found := map[string]bool{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			m := newMachine(disable)
			t.Repeat(map[string]func(*rapid.T){
				"apply": m.drawApply,
				"poll":  m.drawPoll,
				"wait":  func(*rapid.T) { time.Sleep(7 * time.Second) },
				"land":  func(*rapid.T) { m.platform.applyDelayed() },
			})
			m.finish()
			if m.violation != "" {
				found[m.violation] = true
			}
		})
	})
	return found
}

// TestHistoryUnderRacesAndLostReplies checks the history and the outcomes of Apply under
// concurrent changes, lost requests and replies, delayed commits and outages.
func TestHistoryUnderRacesAndLostReplies(t *testing.T) {
	assert.DeepEqual(t, violations(t, func(*Store) {}), map[string]bool{})
}

// TestCheckerDetectsDisabledMechanisms checks that the machine detects violations if a safety
// mechanism of the Store is disabled.
func TestCheckerDetectsDisabledMechanisms(t *testing.T) {
	mechanisms := map[string]func(*Store){
		"numbers only rise": func(s *Store) { s.acceptLower = true },
		"read back":         func(s *Store) { s.skipReadBack = true },
	}
	for name, disable := range mechanisms {
		t.Run(name, func(t *testing.T) {
			found := violations(t, disable)
			assert.Assert(t, len(found) > 0)
			for violation := range found {
				t.Log(violation)
				break
			}
		})
	}
}

// TestLostCommitIsRetried loses the request of the first commit while another change
// updates the head. The pending attempt can no longer take effect, so the change must be
// attempted again on the new head.
func TestLostCommitIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(func(*Store) {})
		m.platform.faults = []fault{noFault, requestLost}
		m.platform.beforeCommit = func() { m.apply(1, "rival", 0) }
		m.apply(0, "change", 0)
		assert.DeepEqual(t, m.accepted, map[string]uint64{"rival": 1, "change": 2})
	})
}
