package cluster

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

func startCommands(holder string, count int) []cell.StartCommand {
	var commands []cell.StartCommand
	for i := range count {
		commands = append(commands, cell.StartCommand{RunKey: cell.RunKey{Task: fmt.Sprintf("job.0.0.%d", i), Number: 1}, TextHolder: holder})
	}
	return commands
}

// The commands of a job must go where its text is, and otherwise through one entry for all
// of them. A single command gains nothing by a detour.
func TestChoiceOfRelay(t *testing.T) {
	candidates := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	relay, ok := chooseRelay(candidates, startCommands("b", 1))
	assert.Assert(t, ok)
	assert.Equal(t, relay.Name, "b")

	first, ok := chooseRelay(candidates, startCommands("gone", 3))
	assert.Assert(t, ok)
	again, _ := chooseRelay(candidates, startCommands("", 3))
	assert.Equal(t, first.Name, again.Name)

	_, ok = chooseRelay(candidates, startCommands("", 1))
	assert.Assert(t, !ok)
	_, ok = chooseRelay(nil, startCommands("b", 3))
	assert.Assert(t, !ok)
}

func TestStartsAreGroupedByJob(t *testing.T) {
	commands := startCommands("", 2)
	commands = append(commands, cell.StartCommand{RunKey: cell.RunKey{Task: "other.0.0.0", Number: 1}})
	commands = append(commands, startCommands("", 1)...)
	groups := groupByJob(commands)
	assert.Equal(t, len(groups), 2)
	assert.Equal(t, len(groups[0]), 3)
	assert.Equal(t, groups[1][0].Task, "other.0.0.0")
}

// A second submission of an ID may carry another text. The first one is the job, so an entry
// that received the second must not start tasks with its text.
func TestTextOfAnotherSubmissionIsNotUsed(t *testing.T) {
	texts := newTextCache()
	texts.put("job", "first")
	hash := hashText("first")
	text, ok := texts.get("job", hash)
	assert.Assert(t, ok)
	assert.Equal(t, text, "first")
	texts.put("job", "second")
	_, ok = texts.get("job", hash)
	assert.Assert(t, !ok)
	_, ok = texts.get("unknown", hash)
	assert.Assert(t, !ok)
}

func TestTextCacheIsBounded(t *testing.T) {
	texts := newTextCache()
	text := strings.Repeat("x", maxTextBytes/4)
	for i := range 10 {
		texts.put(fmt.Sprintf("job%d", i), text)
	}
	_, ok := texts.get("job0", hashText(text))
	assert.Assert(t, !ok, "the oldest is dropped")
	_, ok = texts.get("job9", hashText(text))
	assert.Assert(t, ok)
	assert.Assert(t, texts.bytes <= maxTextBytes)
	assert.Equal(t, len(texts.texts), len(texts.order))
}

// The entry that relays starts is killed, is cut off, replies too late, or belongs to a version
// without relays. All tasks must run, none twice at once, which the workers check.
func TestStartsOutliveTheirRelay(t *testing.T) {
	faults := map[string]func(w *simulation, leader, relay string){
		"killed":  func(w *simulation, _, relay string) { w.kill(relay) },
		"cut off": func(w *simulation, leader, relay string) { w.set(func() { w.cut[leader+">"+relay] = true }) },
		"late":    func(w *simulation, _, relay string) { w.set(func() { w.replyDelay[relay] = 2 * time.Second }) },
		"earlier version": func(w *simulation, _, relay string) {
			w.set(func() { w.without[relay] = []string{methodStart} })
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			simulate(t, 5, func(w *simulation) {
				leader := w.awaitLeader(2*time.Second, "")
				time.Sleep(2 * time.Second)
				relay := w.other(leader)
				ids := w.submitJobs(relay, "before", 2)
				fault(w, leader, relay.config.Name)
				later := relay
				if name == "killed" {
					later = w.other(leader)
				}
				ids = append(ids, w.submitJobs(later, "after", 2)...)
				w.awaitCompleted(w.node(leader), ids, 30*time.Second)
			})
		})
	}
}

// An entry is paused with start commands in hand and sends them when it resumes, after the
// scheduler has started the tasks elsewhere. No task may run twice at once, which the workers
// check.
func TestPausedRelayStartsNothingTwice(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, time.Second, 1400 * time.Millisecond, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			simulate(t, 4, func(w *simulation) {
				leader := w.awaitLeader(2*time.Second, "")
				time.Sleep(2 * time.Second)
				relay := w.other(leader)
				w.set(func() { w.pauses[relay.config.Name] = pause })
				ids := w.submitJobs(relay, "job", 5)
				w.awaitCompleted(w.node(leader), ids, 30*time.Second)
			})
		})
	}
}

// A worker that doesn't answer must not delay what is known of the other runs of a job.
func TestSilentWorkerDelaysNoOtherResult(t *testing.T) {
	simulate(t, 3, func(w *simulation) {
		leader := w.awaitLeader(2*time.Second, "")
		time.Sleep(2 * time.Second)
		relay := w.other(leader)
		w.set(func() { w.workers["w0"].unreachableFrom[relay.config.Name] = true })
		began := time.Now()
		// The tasks fill two workers.
		assert.Equal(t, relay.Do(context.Background(), testJob("job", 8)).Result, ResultOK)
		w.awaitRunning(relay, "job", began, startResultsWait+200*time.Millisecond)
		w.awaitCompleted(relay, []string{"job"}, 20*time.Second)
	})
}

// The scheduler counts a start through a relay once, whatever arrives late or twice.
func TestResultsCountOnce(t *testing.T) {
	s := newRelays(nil)
	id := s.await(Member{Name: "relay"}, startCommands("", 2))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, ok := s.take(id, 1)
	assert.Assert(t, ok)
	_, _, ok = s.take(id, 1)
	assert.Assert(t, !ok)
	_, _, ok = s.take(id, 2)
	assert.Assert(t, !ok, "beyond the batch")
	_, _, ok = s.take(id, 0)
	assert.Assert(t, ok)
	assert.Equal(t, len(s.pending), 0)
}

func TestUnknownResultIsNoReply(t *testing.T) {
	assert.Equal(t, startWord("from a later version").answer(), cell.StartNoReply)
	for answer, word := range startWords {
		assert.Equal(t, word.answer(), answer)
	}
}
