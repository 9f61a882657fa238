package main

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// requiredLabel: the answer to the write that records a run is lost, and meanwhile the run's worker
// starts again under its id, as another kind. This is no case of the review, but found beside them.
func requiredLabel(l *lab) (verdict, error) {
	id := newID()
	var lost atomic.Bool
	recorded := make(chan string, 1)
	l.store.loseAnswer = func(t transaction) bool {
		for _, put := range t.Puts {
			if put.Key == "t/"+id && l.trouble && lost.CompareAndSwap(false, true) {
				recorded <- string(put.Value)
				return true
			}
		}
		return false
	}
	if err := l.begin(smallWeight); err != nil {
		return "", err
	}
	steps := []step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 500, RequiredLabel: "b"}}
	go l.submit(keyA, batchPrefix, id, work{MS: 500}, steps, 5)
	if l.trouble {
		select {
		case row := <-recorded:
			if err := l.restartAsOther(row); err != nil {
				return "", err
			}
		case <-time.After(5 * time.Second):
			return "", errors.New("no run is recorded")
		}
	}
	l.awaitState(keyA, batchPrefix, id, 20*time.Second, "completed", "failed")
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	for _, s := range l.world.starts {
		if strings.HasPrefix(s.task, id+".") && s.worker.kind != "b" {
			return verdict(fmt.Sprintf("ROUTE: %s run %d starts on worker %s of kind %s, and its step requires the label b", s.task, s.run, s.worker.id, s.worker.kind)), nil
		}
	}
	return "", nil
}

// restartAsOther starts the worker that a row names again, under its id and as another kind.
func (l *lab) restartAsOther(row string) error {
	l.world.mu.Lock()
	var found *machine
	for _, m := range l.world.machines {
		if m.worker != nil && strings.Contains(row, m.worker.id) {
			found = m
		}
	}
	l.world.mu.Unlock()
	if found == nil {
		return fmt.Errorf("no worker is named in the row %q", row)
	}
	former := found.crash()
	time.Sleep(300 * time.Millisecond)
	found.kind = "a"
	return found.startAs(former.id)
}
