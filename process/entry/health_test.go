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

// A worker that fails all its work has to be closed, opened for probes, and kept open
// once a probe succeeds.
func TestFailingWorkerIsQuarantinedAndReleased(t *testing.T) {
	tracker := capacity.NewTracker()
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		tracker.AddWorker(capacity.Worker{Instance: platform.Instance{Name: name, Capacity: resource.Amount{Slots: 8}, Connections: 64}, Epoch: 1})
		tracker.Reconcile(name, 1, nil, nil)
	}
	open := func() bool {
		_, open, _ := tracker.Worker("w0")
		return open
	}
	h := newHealthWatch(tracker, events.New(io.Discard, "e1"))
	h.probeDue(time.Now())
	for range 100 {
		for i := range 6 {
			h.record(fmt.Sprintf("w%d", i), "quote", i == 0)
		}
	}
	assert.Assert(t, !open())
	later := time.Now()
	for range 1000 {
		later = later.Add(time.Minute)
		h.probeDue(later)
		if !open() {
			continue
		}
		h.record("w0", "quote", false)
		if open() {
			return
		}
	}
	t.Fatal("the worker was never released from quarantine")
}
