package cell

import (
	"cmp"
	"slices"
	"time"
)

const (
	// typicalAsk is how many workers a call for advice is about on the whole.
	typicalAsk = 12
	// maxAsk bounds the workers in one call.
	maxAsk = 40
	// askSurplus is how much more room than needed is asked about.
	askSurplus = 1.4
	// firstShare is taken for the part of workers allowed until it is known.
	firstShare = 0.5
	// shareWeight is the weight of a new answer in the learned part.
	shareWeight = 0.2
	// askPause is kept after a call that failed.
	askPause = 150 * time.Millisecond
)

// adviceState is what is known of the workers that may run a step.
type adviceState struct {
	asking bool
	// judged holds the answer on each worker asked about.
	judged map[string]judgement
	again  time.Time
}

// judgement is the advisory service's answer on one life of a worker.
type judgement struct {
	good   bool
	born   int64
	ticket string
	until  time.Time
}

// Ticket is the permission to run a step on a worker.
type Ticket struct {
	Worker string
	Text   string
}

// hasTicket reports whether the step may be started on w now.
func (c *Cell) hasTicket(now time.Time, s *step, w *Worker) bool {
	if s.occ.job.Policy.Advice == nil {
		return true
	}
	v, ok := s.advice.judged[w.ID]
	return ok && v.good && v.born == w.life && v.until.After(now.Add(2*ticketMargin))
}

// mayRun reports whether the step isn't known to be kept from w.
func (a *adviceState) mayRun(s *step, w *Worker) bool {
	if s.occ.job.Policy.Advice == nil {
		return true
	}
	v, ok := a.judged[w.ID]
	return ok && v.good && v.born == w.life
}

// knownBad reports whether the service refused w for the step.
func (a *adviceState) knownBad(w *Worker) bool {
	v, ok := a.judged[w.ID]
	return ok && !v.good && v.born == w.life
}

// askForTasks asks about workers with room for the step's waiting tasks.
func (c *Cell) askForTasks(now time.Time, s *step, short int) {
	if s.occ.job.Policy.Advice == nil || s.advice.asking || s.advice.again.After(now) {
		return
	}
	var candidates []workerSlots
	for _, w := range c.workerOrder {
		if !c.allowed(now, s, w) || s.advice.knownBad(w) || c.hasTicket(now, s, w) {
			continue
		}
		if n := min(s.slotsIn(w.free()), s.perWorkerBound()-s.onWorker(w)); n > 0 {
			candidates = append(candidates, workerSlots{w, n})
		}
	}
	need := s.spec.Need
	slices.SortStableFunc(candidates, func(a, b workerSlots) int {
		return cmp.Or(s.knownFirst(a.worker, b.worker), cmp.Compare(leftover(a.worker, need), leftover(b.worker, need)))
	})
	c.ask(s, candidates, short)
}

// askForGang asks about workers ahead of their having room: the answer on a worker
// doesn't change, only its ticket ages.
func (c *Cell) askForGang(now time.Time, s *step) {
	advice := s.occ.job.Policy.Advice
	if advice == nil || s.advice.asking || s.advice.again.After(now) {
		return
	}
	renewal := now.Add(advice.CallTime(maxAsk/4) + 2*ticketMargin)
	var known, unknown []workerSlots
	fresh, good := 0, 0
	for _, w := range c.workerOrder {
		if !c.allowed(now, s, w) || s.advice.knownBad(w) {
			continue
		}
		slot := workerSlots{w, s.slotsIn(w.Capacity)}
		if slot.tasks == 0 {
			continue
		}
		v, ok := s.advice.judged[w.ID]
		switch {
		case !ok || v.born != w.life:
			unknown = append(unknown, slot)
		case v.until.After(renewal):
			fresh += slot.tasks
			good += slot.tasks
		default:
			known = append(known, slot)
			good += slot.tasks
		}
	}
	byRoom := func(a, b workerSlots) int {
		return cmp.Or(cmp.Compare(s.slotsIn(b.worker.free()), s.slotsIn(a.worker.free())), cmp.Compare(b.worker.free().MilliCPU, a.worker.free().MilliCPU))
	}
	slices.SortStableFunc(known, byRoom)
	slices.SortStableFunc(unknown, byRoom)
	// Enough must be good for the whole step to choose from.
	wanted := int(askSurplus * float64(len(s.tasks)))
	if good < wanted {
		c.ask(s, append(known, unknown...), wanted-fresh)
		return
	}
	if fresh < good {
		c.ask(s, known, wanted)
	}
}

// knownFirst sorts workers whose answer is known to be good before others.
func (s *step) knownFirst(a, b *Worker) int {
	ka, kb := s.advice.mayRun(s, a), s.advice.mayRun(s, b)
	switch {
	case ka == kb:
		return 0
	case ka:
		return -1
	}
	return 1
}

// ask puts a question about as many of the candidates as are expected to yield
// room for want tasks.
func (c *Cell) ask(s *step, candidates []workerSlots, want int) {
	if len(candidates) == 0 {
		return
	}
	job := s.occ.job
	share := c.goodShare(job.Queue)
	expected := 0.0
	var ids []string
	for _, slot := range candidates {
		if len(ids) >= maxAsk || expected >= askSurplus*float64(want)+1 {
			break
		}
		ids = append(ids, slot.worker.ID)
		if s.advice.mayRun(s, slot.worker) {
			expected += float64(slot.tasks)
		} else {
			expected += share * float64(slot.tasks)
		}
	}
	s.advice.asking = true
	c.actions.Asks = append(c.actions.Asks, Ask{
		Step: s.name(), Queue: job.Queue, Workers: ids, Takes: job.Policy.Advice.CallTime(len(ids)),
	})
}

// goodShare is the learned part of workers that may run a queue's steps.
func (c *Cell) goodShare(queue string) float64 {
	if share, ok := c.shares[queue]; ok {
		return max(share, 0.05)
	}
	return firstShare
}

// Advised takes in the answer to an Ask; failed says that there was none. answered
// is when the service answered at the earliest.
func (c *Cell) Advised(now, answered time.Time, ask Ask, good []Ticket, failed bool) {
	ref, err := parseTask(ask.Step + ".0")
	if err != nil {
		c.note(Note{Kind: NoteStray, Task: ask.Step, Error: err})
		return
	}
	job := c.jobs[ref.job]
	if job == nil {
		return
	}
	t := job.find(ref)
	if t == nil {
		return
	}
	s := t.step
	s.advice.asking = false
	if failed {
		s.advice.again = now.Add(askPause)
		return
	}
	c.learnShare(ask.Queue, len(good), len(ask.Workers))
	if s.advice.judged == nil {
		s.advice.judged = make(map[string]judgement)
	}
	for _, id := range ask.Workers {
		if w := c.workers[id]; w != nil {
			s.advice.judged[id] = judgement{born: w.life}
		}
	}
	until := answered.Add(job.Policy.Advice.Valid)
	for _, ticket := range good {
		if w := c.workers[ticket.Worker]; w != nil {
			s.advice.judged[ticket.Worker] = judgement{good: true, born: w.life, ticket: ticket.Text, until: until}
		}
	}
}

func (c *Cell) learnShare(queue string, good, asked int) {
	if asked == 0 {
		return
	}
	now := float64(good) / float64(asked)
	old, ok := c.shares[queue]
	if !ok {
		old = firstShare
	}
	c.shares[queue] = old + shareWeight*(now-old)
}
