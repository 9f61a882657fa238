package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// A worker that fails everything is closed, opened for a probe, and stays open
// once probes succeed.
func TestFailingWorkerIsSetAsideAndReturns(t *testing.T) {
	book := capacity.NewBook()
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		book.Open(capacity.Worker{Instance: platform.Instance{Name: name, Capacity: resource.Amount{Slots: 8}, Connections: 64}, Epoch: 1})
		book.Reconcile(name, 1, nil, nil)
	}
	open := func() bool {
		_, open, _ := book.Worker("w0")
		return open
	}
	h := newHealthWatch(book, events.New(io.Discard, "e1"))
	h.step(time.Now())
	for range 100 {
		for i := range 6 {
			h.observe(fmt.Sprintf("w%d", i), "quote", i == 0)
		}
	}
	assert.Assert(t, !open())
	later := time.Now()
	for range 1000 {
		later = later.Add(time.Minute)
		h.step(later)
		if !open() {
			continue
		}
		h.observe("w0", "quote", false)
		if open() {
			return
		}
	}
	t.Fatal("the worker never returned")
}
