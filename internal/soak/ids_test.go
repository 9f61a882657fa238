package main

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// When all entries stop at about the same time, the last ones have nobody to hand the ids of
// dispatched requests to: a request that was sent again with its id after the restart ran
// twice.
func TestIDsOutliveAllEntries(t *testing.T) {
	c, err := startReadyCluster(t.Context(), short(3))
	assert.NilError(t, err)
	defer c.stop()
	a := &callers{c: c, found: &findings{}}
	w := &wanted{id: "kept", team: "swan-brokers", kind: "quote"}
	assert.Equal(t, a.sendOnce(t, w).verdict, answered)
	for _, e := range c.all() {
		assert.NilError(t, e.command.Process.Signal(syscall.SIGTERM))
	}
	for n, e := range c.all() {
		<-e.exited
		assert.NilError(t, c.startEntry(n, nil))
	}
	assert.NilError(t, c.ready(t.Context()))
	again := a.sendOnce(t, w)
	for again.code == "unavailable" || again.code == "moved" {
		time.Sleep(pollInterval)
		again = a.sendOnce(t, w)
	}
	assert.Equal(t, again.verdict, unknown, "%+v", again)
	assert.Equal(t, len(runsOf(c.workers)[w.team+"/"+w.id]), 1)
}

// sendOnce sends a call on a new connection to the first entry.
func (a *callers) sendOnce(t *testing.T, w *wanted) try {
	open, err := dial(0, a.c.all()[0])
	assert.NilError(t, err)
	defer open.abandon()
	return a.try(rand.New(rand.NewPCG(1, 1)), open, w)
}
