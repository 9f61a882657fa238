package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// A scheduler polls a small fleet itself. Of a larger one it polls none, since each end of a task
// would be a message to it: the entries get their shares one after the other, and what is beyond
// all shares goes to the least loaded.
func TestChoiceOfGroup(t *testing.T) {
	own := Member{Name: "own", Cores: 0.5}
	candidates := []Member{{Name: "a", Cores: 0.25}, {Name: "b", Cores: 0.125}}
	_, ok := chooseGroup(own, 60, candidates, nil)
	assert.Assert(t, !ok, "a small fleet")

	polled := make(map[string]int)
	for range 150 {
		entry, ok := chooseGroup(own, 150, candidates, polled)
		assert.Assert(t, ok)
		polled[entry.Name]++
	}
	assert.DeepEqual(t, polled, map[string]int{"a": 100, "b": 50})

	_, ok = chooseGroup(own, 1000, nil, nil)
	assert.Assert(t, !ok, "the scheduler polls if nobody else can")
}

// A worker's list counts only if it was requested after the worker came to its group, and
// after the lists applied before. An older list lacks runs that have started since, which would
// then run twice.
func TestOldListsAreIgnored(t *testing.T) {
	p := newPollRelays(nil)
	w := &workerLoop{target: Target{ID: "w"}}
	m := &groupMember{loop: w, fromSeq: 5, released: make(chan struct{})}
	sent := time.Now()
	g := &pollGroup{relays: p, members: map[string]*groupMember{"w": m}, sentAt: map[uint64]time.Time{4: sent, 5: sent, 6: sent}}
	accepted := func(number, seq uint64) bool {
		got, _ := g.accept(pollReport{Worker: "w", Number: number, Seq: seq})
		return got != nil
	}
	assert.Assert(t, !accepted(1, 4), "polled for an earlier group")
	assert.Assert(t, accepted(3, 5))
	assert.Assert(t, !accepted(2, 6), "overtaken by another report")
	assert.Assert(t, !accepted(4, 99), "an unknown request")
	assert.Assert(t, accepted(4, 6))
	m.fromSeq = 0
	assert.Assert(t, !accepted(5, 6), "the entry hasn't been told of the worker")
	delete(g.members, "w")
	assert.Assert(t, !accepted(6, 6), "polled by the scheduler again")
}

// A request of an earlier scheduler or of an earlier group must change nothing at the entry that
// polls.
func TestOldPollRequestsAreRefused(t *testing.T) {
	simulate(t, 1, func(w *simulation) {
		n := w.node("n0")
		n.mu.Lock()
		n.leadership = nil
		n.mu.Unlock()
		serve := func(request pollRequest) error {
			raw, err := json.Marshal(request)
			assert.NilError(t, err)
			_, err = n.servePoll(context.Background(), raw)
			return err
		}
		workers := []polledWorker{{ID: "w0", Address: "w0"}}
		assert.NilError(t, serve(pollRequest{Fence: 100, Set: 2, Seq: 7, Workers: workers}))
		assert.ErrorIs(t, serve(pollRequest{Fence: 100, Set: 1, Seq: 8, Workers: workers}), errNoPollSet)
		assert.ErrorIs(t, serve(pollRequest{Fence: 99, Set: 3, Seq: 9, Workers: workers}), errNoPollSet)
		assert.ErrorIs(t, serve(pollRequest{Fence: 101, Set: 4, Seq: 10}), errNoPollSet)
		assert.NilError(t, serve(pollRequest{Fence: 100, Set: 2, Seq: 11}))
		assert.NilError(t, serve(pollRequest{Fence: 101, Set: 1, Seq: 12, Workers: workers}))
		time.Sleep(pollSetTimeout + time.Second)
		assert.ErrorIs(t, serve(pollRequest{Fence: 101, Set: 1, Seq: 13}), errNoPollSet, "the set has expired")
	})
}

// A request that was overtaken by a later one still counts where that one said nothing: else a
// worker would never be polled, or an end never acknowledged.
func TestOvertakenRequestsCount(t *testing.T) {
	simulate(t, 1, func(w *simulation) {
		s := newPollSet(w.node("n0"), 1, 1)
		defer s.cancel()
		acked := func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.workers["w0"].acked
		}
		both := []polledWorker{{ID: "w0", Address: "w0"}, {ID: "w1", Address: "w1"}}
		s.apply(pollRequest{Seq: 2, Updates: []pollUpdate{{Worker: "w0", Acked: 7}}})
		s.apply(pollRequest{Seq: 1, Workers: both, Updates: []pollUpdate{{Worker: "w0", Acked: 5}}})
		assert.Equal(t, len(s.workers), 2)
		assert.Equal(t, acked(), int64(5))
		s.apply(pollRequest{Seq: 4, Workers: both[:1], Updates: []pollUpdate{{Worker: "w0", Acked: 9}}})
		s.apply(pollRequest{Seq: 3, Workers: both, Updates: []pollUpdate{{Worker: "w0", Acked: 8}}})
		assert.Equal(t, len(s.workers), 1)
		assert.Equal(t, acked(), int64(9))
	})
}

// A worker of which an entry reports nothing must be polled by the scheduler again, though the
// entry replies to requests.
func TestUnreportedWorkerIsTakenBack(t *testing.T) {
	w := &workerLoop{target: Target{ID: "w"}}
	p := newPollRelays(&leadership{node: NewNode(Config{Name: "a"}), relayHealth: newRelayHealth()})
	g := &pollGroup{relays: p, entry: Member{Name: "e"}, members: make(map[string]*groupMember), cancel: func() {}}
	now := time.Now()
	m := &groupMember{loop: w, heardAt: now, released: make(chan struct{})}
	g.members["w"] = m
	g.releaseSilent(now.Add(pollWait + pollTimeout))
	assert.Equal(t, len(g.members), 1)
	g.releaseSilent(now.Add(3 * time.Second))
	assert.Equal(t, len(g.members), 0)
	<-m.released
	assert.Assert(t, !p.leadership.relayHealth.pathUsable(now.Add(4*time.Second), "e", "w"))
}

func TestReportsKeepWhatWorkersReply(t *testing.T) {
	reply := PollReply{Clock: 7, Listing: cell.Listing{
		Incarnation: 3, More: true,
		Running: []cell.ListedRun{{RunKey: cell.RunKey{Task: "job.0.0.1", Number: 2}, Checkpoint: "c", Percent: 40, TailLatency: 12 * time.Millisecond}},
		Ends:    []cell.End{{Seq: 9, RunKey: cell.RunKey{Task: "job.0.0.2", Number: 1}, Kind: cell.EndFailed, Checkpoint: "d"}},
	}}
	raw, err := json.Marshal(reportOf("w", 5, reply))
	assert.NilError(t, err)
	var report pollReport
	assert.NilError(t, json.Unmarshal(raw, &report))
	assert.Equal(t, report.Seq, uint64(5))
	assert.Assert(t, report.urgent())
	assert.DeepEqual(t, report.reply(time.Time{}), reply)
}

// An entry that polls for the scheduler is killed, is cut off, replies too late, or belongs to a
// version that can't poll. All tasks must run to their end, none twice at once.
func TestPollsOutliveTheirEntry(t *testing.T) {
	faults := map[string]func(w *simulation, leader, entry string){
		"killed":          func(w *simulation, _, entry string) { w.kill(entry) },
		"cut off":         func(w *simulation, leader, entry string) { w.set(func() { w.cut[leader+">"+entry] = true }) },
		"late":            func(w *simulation, _, entry string) { w.set(func() { w.replyDelay[entry] = 2 * time.Second }) },
		"earlier version": func(w *simulation, _, entry string) { w.set(func() { w.without[entry] = []string{methodPoll} }) },
		"cut off from workers": func(w *simulation, _, entry string) {
			w.set(func() {
				for _, k := range w.workers {
					k.unreachableFrom[entry] = true
				}
			})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, 0, func(w *simulation) {
				for i := range 5 {
					// So small that each entry polls one worker.
					w.startSized(fmt.Sprintf("n%d", i), 0.004)
				}
				leader := w.awaitLeader(2*time.Second, "")
				time.Sleep(3 * time.Second)
				p := w.node(leader).leadership.polls
				p.mu.Lock()
				assert.Assert(t, len(p.groups) > 1, "%d groups", len(p.groups))
				p.mu.Unlock()
				ids := w.submitJobs(w.node(leader), "before", 3)
				for i := range 5 {
					if entry := fmt.Sprintf("n%d", i); entry != leader && w.polls(leader, entry) {
						fault(w, leader, entry)
						break
					}
				}
				ids = append(ids, w.submitJobs(w.node(leader), "after", 3)...)
				w.awaitCompleted(w.node(leader), ids, 15*time.Second)
			})
		})
	}
}

// Leases that another entry extends must last as long as those that the scheduler does: a
// takeover has no more time than what is left of them.
func TestRelayedLeasesLastAsLong(t *testing.T) {
	simulate(t, 0, func(w *simulation) {
		for i := range 5 {
			w.startSized(fmt.Sprintf("n%d", i), 0.004)
		}
		w.awaitLeader(2*time.Second, "")
		time.Sleep(4 * time.Second)
		const lease, margin = 4 * time.Second, 100 * time.Millisecond
		least := time.Hour
		for range 1000 {
			time.Sleep(5 * time.Millisecond)
			w.set(func() {
				for _, k := range w.workers {
					least = min(least, time.Duration(k.until-clock())*time.Millisecond)
				}
			})
		}
		assert.Assert(t, least >= lease-pollWait-margin, "%s were left", least)
	})
}

// polls reports whether an entry polls workers for the scheduler.
func (w *simulation) polls(leader, entry string) bool {
	p := w.node(leader).leadership.polls
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[entry] != nil
}
