package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
	"github.com/kingcuplatch/kingcuplatch/internal/trial"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

const (
	domains      = 3
	rackSize     = 8
	connections  = 64
	upstream     = "bookings"
	pollInterval = 50 * time.Millisecond
)

var capacity = resource.Amount{MilliCPU: 30_000, MemoryMB: 64_000, Slots: 8}

// cluster holds the stand-ins and the processes of the entries.
type cluster struct {
	options
	dir         string
	keepLogs    bool
	platform    *platformstandin.Platform
	platformURL string
	workers     []*workerstandin.Worker

	mu      sync.Mutex
	entries []entryProcess
}

// entryProcess is one entry and the addresses of its listeners by name.
type entryProcess struct {
	command   *exec.Cmd
	addresses map[string]string
	restarted bool
	// exited is closed once the process has ended.
	exited chan struct{}
	// killed is set before the process is sent a SIGKILL.
	killed *atomic.Bool
}

// kill ends the process without a graceful stop.
func (p entryProcess) kill() {
	p.killed.Store(true)
	_ = p.command.Process.Kill()
}

func startCluster(s options) (*cluster, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	c := &cluster{options: s, dir: dir, platform: platformstandin.New(), entries: make([]entryProcess, s.entries)}
	fmt.Println("logs of the entries:", dir)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.platformURL = "http://" + listener.Addr().String()
	go func() { _ = http.Serve(listener, c.platform.Handler()) }()
	for n := range s.workers {
		if err := c.addWorker(n); err != nil {
			return nil, err
		}
	}
	for n := range c.entries {
		if err := c.startEntry(n, nil); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

func domain(n int) string { return fmt.Sprintf("domain-%d", n%domains) }

func (c *cluster) addWorker(n int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("worker-%d", n+1)
	w := workerstandin.New(workerstandin.Config{Name: name, Capacity: capacity, Connections: connections})
	go func() { _ = w.Serve(listener) }()
	c.workers = append(c.workers, w)
	c.addInstance(platform.Instance{
		Name: name, Role: platform.RoleWorker, Address: listener.Addr().String(), Upstream: upstream, Region: "region-1",
		FailureDomain: domain(n), Rack: fmt.Sprintf("rack-%d", n/rackSize), Capacity: capacity, Connections: connections,
	})
	return nil
}

func (c *cluster) addInstance(instance platform.Instance) {
	c.platform.ChangeInstances(platformstandin.InstancesChange{Put: []platform.Instance{instance}})
}

// startEntry starts or restarts an entry. started, unless it is nil, is called with the
// process before that has bound its listeners.
func (c *cluster) startEntry(n int, started func(entryProcess)) error {
	name := fmt.Sprintf("entry-%d", n+1)
	settings := fmt.Sprintf("instance = %q\nregion = \"region-1\"\nfailure_domain = %q\noperator_key_sha256 = %q\n"+
		"[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"+
		"[platform]\nurl = %q\n[timings]\ndrain_timeout = %q\n",
		name, domain(n), records.HashKey(trial.OperatorKey), c.platformURL, c.drain.String())
	path, addresses := filepath.Join(c.dir, name+".toml"), filepath.Join(c.dir, name)
	if err := errors.Join(os.RemoveAll(addresses), os.WriteFile(path, []byte(settings), 0o600)); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	p := entryProcess{
		command:   exec.Command(program, c.role, "-config", path, "-addresses", addresses),
		addresses: make(map[string]string), exited: make(chan struct{}), killed: new(atomic.Bool),
	}
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	if started != nil {
		started(p)
	}
	for _, listener := range []string{"callers", "operators", "peers", "metrics"} {
		p.addresses[listener] = waitForFile(filepath.Join(addresses, listener), p.exited)
	}
	c.mu.Lock()
	p.restarted = c.entries[n].command != nil
	c.entries[n] = p
	c.mu.Unlock()
	c.addInstance(platform.Instance{
		Name: name, Role: platform.RoleEntry, Address: p.addresses["peers"], Region: "region-1", FailureDomain: domain(n),
	})
	return nil
}

// waitForFile waits until a file exists and returns its text. It returns "" once exited is
// closed or readyTimeout has passed.
func waitForFile(path string, exited <-chan struct{}) string {
	timeout := time.After(readyTimeout)
	for {
		if text, err := os.ReadFile(path); err == nil {
			return string(text)
		}
		select {
		case <-exited:
			return ""
		case <-timeout:
			return ""
		case <-time.After(pollInterval):
		}
	}
}

func (c *cluster) stop() {
	for _, e := range c.all() {
		if e.command != nil {
			e.kill()
			<-e.exited
		}
	}
	if !c.keepLogs {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *cluster) all() []entryProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]entryProcess(nil), c.entries...)
}

// ready waits until all workers are served and all entries are connected to each other.
// Without restarts it also waits until every entry serves a worker.
func (c *cluster) ready(ctx context.Context) error {
	for {
		served, peers, idle := 0.0, 0.0, 0
		for _, values := range c.metrics() {
			served += values["kingcuplatch_workers_open"]
			peers += values["kingcuplatch_peers_heard"]
			if values["kingcuplatch_workers_open"] == 0 {
				idle++
			}
		}
		if (idle == 0 || c.restarts) && int(served) == c.options.workers && int(peers) == c.options.entries*(c.options.entries-1) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%v of %d workers are served, %d entries serve none: %w", served, c.options.workers, idle, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// apply applies the example records.
func (c *cluster) apply(ctx context.Context) error {
	request, err := trial.ExampleRecords()
	if err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	_, _, refusal := call(ctx, http.MethodPost, "http://"+c.all()[0].addresses["operators"]+"/v1/apply", trial.OperatorKey, body)
	if refusal != "" {
		return fmt.Errorf("apply: %s", refusal)
	}
	return nil
}

// injectFaults injects the faults one by one, spread over the length of the soak.
func (c *cluster) injectFaults(ctx context.Context) {
	part := c.length / 20
	c.workers[0].Change(func(s *workerstandin.Switches) { s.Broken = true })
	for _, fault := range []struct {
		name string
		act  func()
	}{
		{"platform calls take 300 ms", func() {
			c.platform.Change(func(s *platformstandin.Switches) { s.Delay = standin.Duration(300 * time.Millisecond) })
		}},
		{"open connections of 5 workers stop responding", c.silenceWorkers},
		{"platform unavailable", func() { c.platform.Change(func(s *platformstandin.Switches) { s.Delay, s.Down = 0, true }) }},
		{"last entry killed", func() { c.all()[c.options.entries-1].kill() }},
		{"platform available again", func() { c.platform.Change(func(s *platformstandin.Switches) { s.Down = false }) }},
		{"last entry restarted", func() { _ = c.startEntry(c.options.entries-1, nil) }},
		{"open connections of 5 workers stop responding", c.silenceWorkers},
	} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * part):
		}
		fmt.Println("fault:", fault.name)
		fault.act()
	}
}

// silenceWorkers makes the open connections of workers 2 to 6 stop responding.
func (c *cluster) silenceWorkers() {
	for _, w := range c.workers[1:min(6, len(c.workers))] {
		w.Change(func(s *workerstandin.Switches) { s.Silence = true })
	}
}
