package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// exitMargin is how long after its drain timeout a stopping entry may take to end.
	exitMargin = 2 * time.Second
	// startDelay is the longest time from the start of a process to a SIGTERM during it.
	startDelay = 300 * time.Millisecond
)

// restarter carries out the steps of a plan.
type restarter struct {
	c     *cluster
	found *findings
	// busy holds the entries that are being restarted.
	mu   sync.Mutex
	busy map[int]bool
	// running counts the steps in progress.
	running sync.WaitGroup
}

// soakRestarts restarts entries in series while callers use the cluster, and then checks
// what the callers were told against the records of the workers.
func soakRestarts(ctx context.Context, s options) error {
	c, err := startReadyCluster(ctx, s)
	if err != nil {
		return err
	}
	defer c.stop()
	found := &findings{}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	all := startCallers(sendCtx, c, found)
	r := &restarter{c: c, found: found, busy: make(map[int]bool)}
	r.run(ctx, planRestarts(s.seed, s.entries, s.length))
	cancel()
	all.wait()
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	if err := c.ready(readyCtx); err != nil {
		found.add("cluster not ready after the restarts: %v", err)
	}
	all.waitForJobs(ctx)
	all.check()
	return found.report(c, all)
}

// run carries out the steps at their times and waits until the last entry has restarted.
func (r *restarter) run(ctx context.Context, steps []step) {
	begin := time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(s.at))):
		}
		r.running.Go(func() { r.carryOut(s) })
	}
	r.running.Wait()
}

// carryOut carries out one step. An entry that is being restarted only gets the signal.
func (r *restarter) carryOut(s step) {
	p := r.c.all()[s.entry]
	r.found.note("entry-%d %d: %s", s.entry+1, p.command.Process.Pid, s.action)
	if s.action == hangUp {
		_ = p.command.Process.Signal(syscall.SIGHUP)
		return
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	if !r.begin(s.entry) {
		return
	}
	defer r.end(s.entry)
	r.secondSignal(p, s)
	r.waitForExit(p, s)
	time.Sleep(s.pause)
	if s.action == stopAtStart {
		r.stopDuringStart(s)
	}
	if err := r.c.startEntry(s.entry, nil); err != nil {
		r.found.add("entry-%d: start: %v", s.entry+1, err)
	}
}

// begin reports whether the entry wasn't being restarted, and marks it.
func (r *restarter) begin(entry int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[entry] {
		return false
	}
	r.busy[entry] = true
	return true
}

func (r *restarter) end(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy[entry] = false
}

// secondSignal sends the second signal of a step, unless the process ends before.
func (r *restarter) secondSignal(p entryProcess, s step) {
	if s.action == stop || s.action == stopAtStart {
		return
	}
	select {
	case <-p.exited:
		return
	case <-time.After(s.second):
	}
	switch s.action {
	case kill:
		p.kill()
	case stopHangUp:
		_ = p.command.Process.Signal(syscall.SIGHUP)
	default:
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
}

// waitForExit waits until a stopping process has ended, with code 0 unless it was killed.
func (r *restarter) waitForExit(p entryProcess, s step) {
	select {
	case <-p.exited:
	case <-time.After(r.c.drain + exitMargin):
		r.found.add("entry-%d %d: still running %v after its SIGTERM", s.entry+1, p.command.Process.Pid, r.c.drain+exitMargin)
		p.kill()
		<-p.exited
	}
	if !p.killed.Load() && !p.command.ProcessState.Success() {
		r.found.add("entry-%d %d: %s: %v", s.entry+1, p.command.Process.Pid, s.action, p.command.ProcessState)
	}
}

// stopDuringStart starts the entry and sends it a SIGTERM at once or soon after. A process
// that has no handler for the signal yet is ended by it.
func (r *restarter) stopDuringStart(s step) {
	err := r.c.startEntry(s.entry, func(p entryProcess) {
		go func() {
			time.Sleep(min(s.second, startDelay))
			if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
				r.found.add("entry-%d: SIGTERM during the start: %v", s.entry+1, err)
			}
		}()
	})
	if err != nil {
		r.found.add("entry-%d: start: %v", s.entry+1, err)
		return
	}
	<-r.c.all()[s.entry].exited
}

// findings collects what a run found wrong, and notes on its steps.
type findings struct {
	mu    sync.Mutex
	wrong []string
	notes []string
}

func (f *findings) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrong = append(f.wrong, time.Now().Format(time.StampMilli)+" "+fmt.Sprintf(format, args...))
}

func (f *findings) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, time.Now().Format(time.StampMilli)+" "+fmt.Sprintf(format, args...))
}

// report prints the counts of the run and, if it failed, what was wrong and its steps.
func (f *findings) report(c *cluster, all *callers) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Printf("seed %d: %s, findings %d\n", c.seed, all.summary(), len(f.wrong))
	if len(f.wrong) == 0 {
		return nil
	}
	c.keepLogs = true
	for _, text := range append(f.wrong, f.notes...) {
		fmt.Println(text)
	}
	return fmt.Errorf("seed %d: %d findings, for example: %s", c.seed, len(f.wrong), f.wrong[0])
}
