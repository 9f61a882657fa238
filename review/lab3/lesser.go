package main

import (
	"fmt"
	"net/http"
	"time"
)

// The scripts in this file show faults for which the review had no place among its five cases.

// playCrash crashes, four times, the worker that runs a task, 2.5 s into its run. The worker is back 1.5 s
// later.
func playCrash(l *lab, trouble bool) (string, error) {
	if err := l.addWorkers(smallFleet); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	c := l.client()
	id, err := c.submit(job{Spec: work{MS: 6000}.text(), Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 6000}}})
	if err != nil {
		return "", err
	}
	for i := 0; trouble && i < 4; i++ {
		r, ok := l.awaitRun(id+".0.0.0", 12*time.Second)
		if !ok {
			break
		}
		time.Sleep(time.Until(r.began.Add(2500 * time.Millisecond)))
		w := l.workerOf(r.worker)
		w.crash()
		time.Sleep(1500 * time.Millisecond)
		if err := w.start(); err != nil {
			return "", err
		}
	}
	for range 40 {
		status, state := c.state(id)
		l.record("client: GET %s -> %d %s", id, status, state)
		switch {
		case status == http.StatusOK && state == "completed":
			return "", nil
		case status == http.StatusOK && (state == "failed" || state == "cancelled"):
			return fmt.Sprintf("LOST: the job is shown as %s, and no run of it has ended failed", state), nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return "LOST: the job is not done", nil
}

// Sizes of the wide service: the tasks fit twice over.
const (
	wideTasks = 4800
	wideCPU   = 10
)

// playWide hands in a service of many small tasks that last. Nothing else happens.
func playWide(l *lab, trouble bool) (string, error) {
	l.quietRuns = true
	if err := l.addWorkers(smallFleet); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	tasks := 480
	if trouble {
		tasks = wideTasks
	}
	if _, err := l.client().submit(job{Spec: work{}.text(), Steps: []step{{Count: tasks, CPU: wideCPU, MemMB: 4, EstimateMS: 1000, LongRunning: true}}}); err != nil {
		return "", err
	}
	for range 50 {
		time.Sleep(time.Second)
		ever, now := l.runs.started()
		l.record("%d tasks were started so far, %d run", ever, now)
	}
	if ever, now := l.runs.started(); ever < tasks {
		return fmt.Sprintf("LOST: of %d lasting tasks %d were never started, %d run", tasks, tasks-ever, now), nil
	}
	return "", nil
}
