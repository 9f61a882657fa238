package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// largeSteps is the number of steps of the large job, each after up to largeAfter others. Its
	// body is below max_body_bytes of the configuration, 262144.
	largeSteps = 2500
	largeAfter = 8
	// largeTries is how often its client sends it.
	largeTries = 5
	// smallSteps replaces largeSteps without the disruption.
	smallSteps = 10
	// ordinaryBefore and ordinaryAfter are the numbers of jobs before and after the large one, each
	// with two steps of ordinaryTasks tasks.
	ordinaryBefore = 40
	ordinaryAfter  = 20
	ordinaryTasks  = 20
	ordinaryPause  = 50 * time.Millisecond
)

// workflow returns the steps of a job that depend on each other.
func workflow(count int) []step {
	rng := rand.New(rand.NewPCG(1, 2))
	steps := make([]step, count)
	for i := range steps {
		s := &steps[i]
		*s = step{Count: 1, CPU: 100 + rng.IntN(3900), MemMB: 64 + rng.IntN(4000), EstimateMS: 200 + rng.IntN(5000)}
		for range min(largeAfter, i) {
			if before := rng.IntN(i); !slices.Contains(s.After, before) {
				s.After = append(s.After, before)
			}
		}
	}
	return steps
}

// largeJob: a job with many steps, allowed by the limit of a body, comes while others are at work.
func largeJob(l *lab) (verdict, error) {
	if err := l.begin(largeWeight); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var ids []string
	var clients sync.WaitGroup
	ordinary := func() {
		clients.Go(func() {
			id := newID()
			one := step{Count: ordinaryTasks, CPU: 100, MemMB: 20, EstimateMS: 1200}
			two := one
			two.After = []int{0}
			if l.submit(keyA, quotePrefix, id, work{MS: 800, SpreadMS: 800}, []step{one, two}, 1).status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		})
		time.Sleep(ordinaryPause)
	}
	for range ordinaryBefore {
		ordinary()
	}
	count := smallSteps
	if l.trouble {
		count = largeSteps
	}
	steps := workflow(count)
	large := newID()
	body, err := json.Marshal(steps)
	if err != nil {
		return "", err
	}
	l.record.write("client", "the steps of job %s, %d of them, have %d bytes", large, len(steps), len(body))
	// The client tries four times more, as the site says.
	clients.Go(func() { l.submit(keyB, batchPrefix, large, work{MS: 100}, steps, largeTries) })
	for range ordinaryAfter {
		ordinary()
	}
	clients.Wait()
	l.record.write("lab", "the traffic ends; %d ordinary jobs are accepted", len(ids))
	if len(ids) < ordinaryBefore/2 {
		return "", errors.New("too few jobs were accepted")
	}
	time.Sleep(finishTime)
	var stuck []string
	for _, id := range ids {
		if s := l.state(keyA, quotePrefix, id); s != "completed" {
			stuck = append(stuck, fmt.Sprintf("%s: %q, ends %v", id, s, l.world.countEnds(id)))
		}
	}
	late := l.submit(keyA, quotePrefix, newID(), work{MS: 100}, []step{{Count: 1, CPU: 300, MemMB: 100, EstimateMS: 100}}, 3)
	l.record.write("lab", "%d accepted jobs aren't completed; a new job gets %d", len(stuck), late.status)
	if len(stuck) > 0 {
		return verdict(fmt.Sprintf("LOST: %d of %d accepted jobs of tenant-a aren't completed %v after the traffic, on an idle fleet (a new job gets %d %s): %v",
			len(stuck), len(ids), finishTime, late.status, late.body, stuck)), nil
	}
	return "", nil
}
