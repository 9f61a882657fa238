package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Workers lost capacity while the table was silent. Once it was back, runs were started by the entries
// from before, up to the former capacity (LIMIT), until the feed of the entries noticed the outage.
func TestOutageHidesShrunkWorkers(t *testing.T) {
	simulate(t, 2, func(w *simulation) {
		n := w.node(w.awaitLeader(20*time.Second, ""))
		time.Sleep(2 * time.Second)
		ids := w.submitJobs(n, "job", 12)
		w.set(func() {
			for name := range w.nodes {
				w.hang[name] = true
			}
			w.renewedAfter, w.shrunkCPU = time.Second, 1000
		})
		time.Sleep(4500 * time.Millisecond)
		w.set(func() { clear(w.hang) })
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			w.mu.Lock()
			for id, k := range w.workers {
				assert.Check(t, len(k.running) <= 1, "%s runs %d tasks on one core", id, len(k.running))
			}
			w.mu.Unlock()
		}
		w.awaitCompleted(w.node(w.awaitLeader(time.Second, "")), ids, time.Minute)
	})
}
