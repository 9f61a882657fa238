package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// A worker rejects a ticket, is asked about again and is allowed once more. The step must not
// count its capacity twice, or a gang is placed beyond it.
func TestRejectedTicketDoesNotDoubleCapacity(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	advice := &catalog.Advice{Decide: 10 * time.Millisecond, Each: time.Millisecond, Valid: 5 * time.Second}
	c := New(Settings{KeepEnded: time.Minute}, catalog.New(1, nil, nil, nil, catalog.Limits{}))
	var list []WorkerInfo
	for _, id := range []string{"w0", "w1"} {
		list = append(list, WorkerInfo{ID: id, Upstream: "desk", Capacity: resource.Amount{MilliCPU: 2000, MemoryMB: 2000}})
	}
	c.SetWorkers(now, list)
	for _, w := range list {
		c.Listed(now, w.ID, Listing{SentAt: now, Incarnation: 1})
	}
	spec := JobSpec{ID: "gang", Team: "team", Upstream: "desk", Policy: catalog.Policy{MaxAttempts: 9, Advice: advice}, Steps: []StepSpec{
		{Count: 4, Gang: true, Need: resource.Amount{MilliCPU: 1000, MemoryMB: 100}, Estimate: time.Second},
	}}
	assert.Equal(t, c.Submit(now, spec, func(Recorded) {}).Verdict, Recording)
	s := c.jobs["gang"].occurrences[0].steps[0]
	w0 := c.workers["w0"]
	for range 3 {
		s.advice.setAllowed(w0, "ticket", now.Add(5*time.Second))
		assert.Assert(t, s.advice.known(w0))
		s.advice.forget(w0)
		assert.Assert(t, !s.advice.known(w0) && !s.advice.refused(w0) && !c.hasTicket(now, s, w0))
	}
	s.advice.setAllowed(w0, "ticket", now.Add(5*time.Second))
	c.Plan(now)
	for _, task := range s.tasks {
		assert.Assert(t, task.current == nil, "only two of the four tasks fit on the only allowed worker")
	}
}

// Replies that renew tickets must not raise the estimated share of allowed workers: with too
// high a share a call for a gang names too few workers, and the gang has to ask again and
// again.
func TestRenewalsDoNotRaiseAllowedShare(t *testing.T) {
	queues, _ := fakeQueues()
	w := newSimulation(t, 1, 20, 1, queues, nil)
	w.run(100 * time.Millisecond)
	job := queues[0].Policy
	c := w.cell
	spec := JobSpec{ID: "a", Queue: "roster", Team: "team", Upstream: "desk", Policy: job, Steps: []StepSpec{
		{Count: 4, Need: resource.Amount{MilliCPU: 9000, MemoryMB: 100}, Gang: true, Estimate: time.Second},
	}}
	assert.Equal(t, c.Submit(w.now, spec, func(Recorded) {}).Verdict, Recording)
	first := AdviceRequest{Step: "a.0.0", Queue: "roster", Workers: w.order[:10], Decide: job.Advice.Decide}
	allowed := []Ticket{{Worker: w.order[0]}, {Worker: w.order[1]}}
	c.Advised(w.now, w.now, first, allowed, false)
	share := c.allowedShare("roster")
	assert.Assert(t, share < initialAllowedShare, "%.2f after 2 of 10 were allowed", share)
	renewal := AdviceRequest{Step: "a.0.0", Queue: "roster", Workers: w.order[:2], Decide: job.Advice.Decide}
	for range 10 {
		c.Advised(w.now, w.now, renewal, allowed, false)
	}
	assert.Equal(t, c.allowedShare("roster"), share)
}
