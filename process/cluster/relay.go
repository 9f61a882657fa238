package cluster

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// relays sends start commands through other entries, the runs of a job in one message. Each
// command carries the text of its job, so a scheduler that sent them all itself would need
// a link and a processor for the whole cell. The entry that received the job has its text.
//
// What is decided, recorded and fenced doesn't change: to the cell, a relay that fails is a
// worker that doesn't reply.
type relays struct {
	leadership *leadership

	mu sync.Mutex
	// pending holds the batches with results that haven't arrived, by ID.
	pending map[uint64]*pendingStarts
	lastID  uint64
}

// pendingStarts are the commands of a batch; those that have a result are marked.
type pendingStarts struct {
	relay    string
	commands []cell.StartCommand
	answered []bool
	left     int
}

func newRelays(r *leadership) *relays {
	return &relays{leadership: r, pending: make(map[uint64]*pendingStarts)}
}

// start sends start commands.
func (s *relays) start(commands []cell.StartCommand) {
	if len(commands) == 0 {
		return
	}
	candidates := s.candidates()
	for _, group := range groupByJob(commands) {
		relay, ok := chooseRelay(candidates, group)
		if !ok {
			s.startDirectly(group)
			continue
		}
		go s.startThrough(relay, group)
	}
}

func (s *relays) startDirectly(commands []cell.StartCommand) {
	for _, command := range commands {
		go s.leadership.sendStart(command)
	}
}

// candidates returns the entries that may get commands now.
func (s *relays) candidates() []Member {
	now := time.Now()
	return slices.DeleteFunc(s.leadership.node.relayCandidates(), func(m Member) bool {
		return !s.leadership.relayHealth.entryUsable(now, m.Name)
	})
}

// jobOfTask returns the job's ID, with which the name of a task begins.
func jobOfTask(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// groupByJob returns the commands of each job, in their order.
func groupByJob(commands []cell.StartCommand) [][]cell.StartCommand {
	var groups [][]cell.StartCommand
	index := make(map[string]int)
	for _, command := range commands {
		job := jobOfTask(command.Task)
		i, ok := index[job]
		if !ok {
			i = len(groups)
			index[job] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], command)
	}
	return groups
}

// chooseRelay returns the entry to send the start commands of a job: the one that has its
// text, else one by the job's ID, so that the jobs spread over all. A single command whose
// text nobody else has is sent directly, since it needs no fewer bytes otherwise.
func chooseRelay(candidates []Member, commands []cell.StartCommand) (Member, bool) {
	holder := commands[0].TextHolder
	for _, m := range candidates {
		if m.Name == holder {
			return m, true
		}
	}
	if len(candidates) == 0 || len(commands) == 1 {
		return Member{}, false
	}
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(jobOfTask(commands[0].Task)))
	return candidates[int(h.Sum32())%len(candidates)], true
}

// startThrough sends the start commands of a job through another entry, or directly if that
// entry certainly sent none.
func (s *relays) startThrough(relay Member, commands []cell.StartCommand) {
	r := s.leadership
	began, timeout := time.Now(), r.startTimeout()
	batch, sent := s.newBatch(relay, commands, timeout)
	if len(sent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	var reply startResults
	err := r.node.config.Peers.Call(ctx, relay.Address, methodStart, batch, &reply)
	r.node.metrics.startTime.UpdateDuration(began)
	switch {
	case err == nil:
		s.resolve(batch.ID, reply.Results)
		time.AfterFunc(timeout-time.Since(began), func() { s.expire(batch.ID) })
	case r.over():
		s.forget(batch.ID)
	case notHandled(err):
		r.node.log.Log(events.StartsNotRelayed, batch.Job, relay.Name, len(sent), false, err)
		s.avoidUnlessUsable(relay, err)
		s.forget(batch.ID)
		s.startDirectly(sent)
	default:
		r.node.log.Log(events.StartsNotRelayed, batch.Job, relay.Name, len(sent), true, err)
		r.relayHealth.entryFailed(time.Now(), relay.Name)
		s.expire(batch.ID)
	}
}

// notHandled reports whether a failed call has certainly had no effect.
func notHandled(err error) bool {
	var remote *peer.RemoteError
	return errors.Is(err, peer.ErrNotSent) || errors.As(err, &remote)
}

// avoidUnlessUsable avoids an entry for a while, unless the error says that other batches may succeed.
func (s *relays) avoidUnlessUsable(m Member, err error) {
	var remote *peer.RemoteError
	if errors.As(err, &remote) && (remote.Code == codeNoText || remote.Code == codeStartsLate) {
		return
	}
	s.leadership.relayHealth.entryFailed(time.Now(), m.Name)
}

// newBatch returns the message with the commands whose worker's clock is known, and these
// commands. The others are sent directly, which fails as it should. After timeout the commands count as
// unanswered.
func (s *relays) newBatch(relay Member, commands []cell.StartCommand, timeout time.Duration) (startBatch, []cell.StartCommand) {
	r := s.leadership
	batch := startBatch{Fence: r.fence, Scheduler: r.node.config.Address, Job: jobOfTask(commands[0].Task), Stamp: r.node.clockMS(), TimeoutMS: timeout.Milliseconds()}
	text := commands[0].Text
	if relay.Name == commands[0].TextHolder {
		batch.TextHash = hashText(text)
	} else {
		batch.Text = &text
	}
	var sent []cell.StartCommand
	for _, command := range commands {
		call, target, ok := r.startCall(command)
		if !ok || !r.relayHealth.pathUsable(time.Now(), relay.Name, command.Worker) {
			go r.sendStart(command)
			continue
		}
		sent = append(sent, command)
		batch.Runs = append(batch.Runs, startRun{
			Worker: target.ID, Address: target.Address, Task: command.Task, Run: command.Number, NotAfter: call.NotAfter,
			Checkpoint: command.Checkpoint, Ticket: command.Ticket,
		})
	}
	if len(sent) > 0 {
		batch.ID = s.await(relay, sent)
	}
	return batch, sent
}

// await registers commands whose results are expected, and returns the ID of their batch.
func (s *relays) await(relay Member, commands []cell.StartCommand) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.pending[s.lastID] = &pendingStarts{relay: relay.Name, commands: commands, answered: make([]bool, len(commands)), left: len(commands)}
	return s.lastID
}

func (s *relays) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// resolve applies results of a batch to the cell, the first one of each run.
func (s *relays) resolve(id uint64, results []startResult) {
	var commands []cell.StartCommand
	var answers []cell.StartAnswer
	fenced := false
	s.mu.Lock()
	for _, result := range results {
		relay, command, ok := s.take(id, result.Index)
		if !ok {
			continue
		}
		if result.Answer == wordNoReply || result.Answer == wordNotSent {
			s.leadership.relayHealth.pathFailed(time.Now(), relay, command.Worker)
		}
		fenced = fenced || result.Answer == wordFenced
		commands = append(commands, command)
		answers = append(answers, result.Answer.answer())
	}
	s.mu.Unlock()
	if fenced {
		s.leadership.stepDown(fencedReason)
		return
	}
	if len(commands) > 0 {
		s.leadership.applyStartAnswers(commands, answers)
	}
}

// take marks the command at index of a batch as answered and returns it with the name of its
// relay. ok is false if it was answered before. s.mu must be held.
func (s *relays) take(id uint64, index int) (relay string, command cell.StartCommand, ok bool) {
	p := s.pending[id]
	if p == nil || index < 0 || index >= len(p.commands) || p.answered[index] {
		return "", cell.StartCommand{}, false
	}
	p.answered[index] = true
	p.left--
	if p.left == 0 {
		delete(s.pending, id)
	}
	return p.relay, p.commands[index], true
}

// expire counts the commands of a batch that have no result as unanswered.
func (s *relays) expire(id uint64) {
	s.mu.Lock()
	p := s.pending[id]
	var missing []startResult
	if p != nil {
		for i, answered := range p.answered {
			if !answered {
				missing = append(missing, startResult{Index: i, Answer: wordNoReply})
			}
		}
	}
	s.mu.Unlock()
	s.resolve(id, missing)
}

// startTimeout returns how long after it was sent a start command counts as unanswered.
func (r *leadership) startTimeout() time.Duration { return commandTimeout + r.node.lag.allowance() }

// applyStartAnswers applies the results of start commands to the cell.
func (r *leadership) applyStartAnswers(commands []cell.StartCommand, answers []cell.StartAnswer) {
	r.change(func(now time.Time, c *cell.Cell) {
		for i, command := range commands {
			c.StartAnswered(now, command.Worker, command.RunKey, answers[i])
		}
	})
}
