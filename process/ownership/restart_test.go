package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"gotest.tools/v3/assert"
)

// replicateAll replicates bodies at the interval until the context ends, and returns those
// after which the entry would have dispatched a request.
func replicateAll(ctx context.Context, e *fakeEntry, every time.Duration) (confirmed []string) {
	for i := 0; ctx.Err() == nil; i++ {
		body := fmt.Sprintf(`"id-%d"`, i)
		if err := e.Replicate(ctx, json.RawMessage(body)); err == nil || errors.Is(err, ErrNoWitnesses) {
			confirmed = append(confirmed, body)
		}
		time.Sleep(every)
	}
	return confirmed
}

// assertImported checks that the next process of e0 got every body from the others.
func assertImported(t *testing.T, next *fakeEntry, bodies []string) {
	t.Helper()
	synctest.Wait()
	assert.Assert(t, len(bodies) > 0)
	missing := 0
	for _, body := range bodies {
		if !slices.Contains(next.events, "takeover e0 "+body) {
			missing++
		}
	}
	assert.Equal(t, missing, 0, "of %d", len(bodies))
}

// startFirstAlone starts the first entry, which joins alone, and two others after it.
func (f *fakeFleet) startFirstAlone() *fakeEntry {
	first := f.start(0, 1)
	time.Sleep(2100 * time.Millisecond)
	f.start(1, 1)
	f.start(2, 1)
	return first
}

// An entry that joined before all others names no witness in its row yet. The ids that it
// replicates must reach the others, and the next process on its instance must find them.
func TestRestartFindsIDsOfARowWithoutWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer synctest.Wait()
		defer f.cancelAll()
		first := f.startFirstAlone()
		time.Sleep(950 * time.Millisecond)
		assert.Equal(t, len(first.Members()[0].Witnesses), 0)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		confirmed := replicateAll(ctx, first, 10*time.Millisecond)
		assert.Equal(t, len(first.Members()[0].Witnesses), 0)
		first.cancel()
		next := f.start(0, 2)
		time.Sleep(3 * time.Second)
		assertImported(t, next, confirmed)
	})
}

// A witness that restarts gets another address, and then all ids from their home. The
// next process of the home must find it there, although the row names the old address.
func TestRestartFindsAWitnessAtItsNewAddress(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fakeFleet, all []*fakeEntry) {
		defer f.cancelAll()
		assert.NilError(t, all[0].Replicate(t.Context(), json.RawMessage(`"one"`)))
		// Just after a renewal, so that the row isn't renewed before the home ends.
		for version := all[0].rowVersion(); all[0].rowVersion() == version; {
			time.Sleep(10 * time.Millisecond)
		}
		for i := 1; i < 3; i++ {
			all[i].cancel()
			f.mu.Lock()
			f.members[i].Address = fmt.Sprintf("10.0.1.%d:1", i)
			f.mu.Unlock()
			all[i] = f.start(i, 2)
		}
		time.Sleep(1200 * time.Millisecond)
		all[0].cancel()
		next := f.start(0, 2)
		time.Sleep(3 * time.Second)
		assertImported(t, next, []string{`"one"`})
		all[0] = next
	})
}

// The next process must not wait for an entry that doesn't answer once a witness in the row
// has: each restart would take a heartbeat longer.
func TestRestartWaitsForNoOtherThanAWitness(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fakeFleet, all []*fakeEntry) {
		defer f.cancelAll()
		assert.NilError(t, all[0].Replicate(t.Context(), json.RawMessage(`"one"`)))
		witnesses := all[0].Members()[0].Witnesses
		assert.Equal(t, len(witnesses), 2)
		for _, e := range all[1:] {
			if self := e.Self(); !slices.Contains(witnesses, self.Instance) {
				f.handle(self.Address, withSilentRelease(e, time.Hour))
			}
		}
		all[0].cancel()
		all[0] = f.start(0, 2)
		time.Sleep(500 * time.Millisecond)
		assertImported(t, all[0], []string{`"one"`})
	})
}

// withSilentRelease returns the handlers of an entry that leaves requests for a release
// unanswered for the given time.
func withSilentRelease(e *fakeEntry, silent time.Duration) map[string]peer.Handler {
	handlers := e.Handlers()
	answer, until := handlers[methodRelease], time.Now().Add(silent)
	handlers[methodRelease] = func(ctx context.Context, params json.RawMessage) (any, error) {
		if time.Now().Before(until) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return answer(ctx, params)
	}
	return handlers
}

// The only entry that keeps the ids may answer late, for example because its machine is busy.
// The next process must not go on without them.
func TestRestartWaitsForALateWitness(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fakeFleet, all []*fakeEntry) {
		defer f.cancelAll()
		assert.NilError(t, all[0].Replicate(t.Context(), json.RawMessage(`"one"`)))
		f.handle(all[1].Self().Address, withSilentRelease(all[1], 2500*time.Millisecond))
		all[0].cancel()
		all[0] = f.start(0, 2)
		time.Sleep(5 * time.Second)
		assertImported(t, all[0], []string{`"one"`})
	})
}

func (f *fakeFleet) cancelAll() {
	f.mu.Lock()
	all := slices.Clone(f.entries)
	f.mu.Unlock()
	for _, e := range all {
		e.cancel()
	}
}

func (e *fakeEntry) rowVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.version
}

// An entry that joined without witnesses must get them while it replicates ids all the time:
// it is taken over after a crash only if its row names some.
func TestEntryUnderLoadGetsWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer synctest.Wait()
		defer f.cancelAll()
		first := f.startFirstAlone()
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		replicateAll(ctx, first, 10*time.Millisecond)
		assert.Equal(t, len(first.Members()[0].Witnesses), 2)
	})
}

// A witness that a renewal names while a delta is being replicated to the others must get the
// delta before it counts as replicated, and none that lacks such a delta may be named.
func TestWitnessNamedDuringReplicationGetsTheDelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		m := New(Options{Self: f.members[0], Members: func() []Member { return f.members }})
		seq := m.appendDelta(json.RawMessage(`"one"`))
		m.contacts["e1"] = contact{lastAckedSent: time.Now()}
		proposed := m.proposeWitnesses()
		assert.Equal(t, len(proposed), 1, "the delta isn't replicated yet")
		m.lease.begin(time.Now(), proposed, nil)
		assert.ErrorContains(t, m.markReplicated(seq), "not kept")
		m.lease.attempts = nil
		assert.NilError(t, m.markReplicated(seq))
		assert.Equal(t, len(m.proposeWitnesses()), 0, "it is replicated, and e1 lacks it")
		m.contacts["e1"] = contact{lastAckedSent: time.Now(), ackedDelta: seq}
		assert.Equal(t, len(m.proposeWitnesses()), 1)
	})
}

// The same, and the others accept connections late, as busy processes do: they are asked again. What
// they keep was taken for nothing before, as if no process were at their addresses.
func TestRestartAsksOthersThatAcceptLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer synctest.Wait()
		defer f.cancelAll()
		first := f.startFirstAlone()
		time.Sleep(950 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		confirmed := replicateAll(ctx, first, 10*time.Millisecond)
		first.cancel()
		f.mu.Lock()
		f.acceptsFrom = time.Now().Add(700 * time.Millisecond)
		f.mu.Unlock()
		next := f.start(0, 2)
		time.Sleep(4 * time.Second)
		assertImported(t, next, confirmed)
	})
}
