package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Names of the one service, queue, tenant and key of a case.
const (
	serviceName = "desk"
	hostName    = "desk.example"
	prefix      = "/jobs/"
	apiKey      = "key-1"
	// Ports of an entry, on an address of its own.
	clientPort = 8183
	readyPort  = 8184
	peerPort   = 7420
	lastPort   = 7435
	metricPort = 7434
)

// site is a small deployment: the stand-ins, and entries as processes.
type site struct {
	log    *recorder
	binary string
	dir    string
	// network is the first three numbers of the addresses of the case.
	network string
	store   *store
	storeAt string
	servers []*http.Server
	workers []*worker
	entries []*entry
	client  *http.Client

	// onStart, onEnd and onNoted are called with the lock of the worker held.
	onStart func(w *worker, r *taskRun)
	onEnd   func(w *worker, r *taskRun, how string)
	onNoted func(w *worker, e finished)
	// machinesAt is the address of the machine service; empty if there is none.
	machinesAt string
}

func newSite(binary, record string) (*site, error) {
	log, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{log: log, binary: binary, dir: dir, store: newStore(), client: &http.Client{Timeout: 5 * time.Second}}
	pid := os.Getpid()
	s.network = fmt.Sprintf("127.%d.%d", 16+pid/250%200, 1+pid%250)
	s.storeAt, err = s.serve(s.network+".2:0", s.store.handler())
	return s, err
}

// serve starts a server of the stand-ins and returns its address.
func (s *site) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close ends all processes and servers of the case.
func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.log.close()
	_ = os.RemoveAll(s.dir)
}

// queue is the one queue of a case.
type queue struct {
	maxAttempts int
	stretch     float64
	targetMS    int
}

// configure publishes the configuration.
func (s *site) configure(q queue) {
	s.store.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "q1", "host": hostName, "prefix": prefix, "service": serviceName, "priority": 1,
			"max_attempts": q.maxAttempts, "stretch": q.stretch, "target_duration_ms": q.targetMS,
		}},
		"services": []any{map[string]any{"name": serviceName, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{apiKey}, "weight": 1000, "cap": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
}

// addWorkers starts workers with the given capacity each, in racks of eight.
func (s *site) addWorkers(n int, capacity int64) error {
	for i := range n {
		w := newWorker(s, fmt.Sprintf("i-%02d", len(s.workers)+1), fmt.Sprintf("%s.%d:8000", s.network, 100+len(s.workers)), capacity, []string{"a", fmt.Sprintf("r%d", i/8)})
		if err := w.start(); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

// entry is a process of the system.
type entry struct {
	site     *site
	name, ip string
	settings string
	log      *os.File
	process  *exec.Cmd
	done     chan struct{}
}

// addEntries starts entries and waits until one of them is ready.
func (s *site) addEntries(ctx context.Context, n int) error {
	for i := range n {
		e := &entry{site: s, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", s.network, 10+i)}
		e.settings = filepath.Join(s.dir, e.name+".toml")
		if err := os.WriteFile(e.settings, []byte(s.settingsOf(e)), 0o600); err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	return s.await(ctx, 20*time.Second, "all entries are ready and one schedules", func() bool {
		for _, e := range s.entries {
			if !e.ready() {
				return false
			}
		}
		return s.leader() != nil
	})
}

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	if e.log == nil {
		file, err := os.Create(filepath.Join(e.site.dir, e.name+".log"))
		if err != nil {
			return err
		}
		e.log = file
	}
	e.process = exec.Command(e.site.binary, "platform", "-metrics-port", fmt.Sprint(metricPort))
	e.process.Env = []string{"KINGCUPLATCH_NODE_FILE=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + e.site.dir}
	e.process.Stdout, e.process.Stderr = e.log, e.log
	if err := e.process.Start(); err != nil {
		return err
	}
	e.site.log.printf("%s starts", e.name)
	done := make(chan struct{})
	e.done = done
	process := e.process
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(what syscall.Signal) {
	e.site.log.printf("%s gets %v", e.name, what)
	_ = e.process.Process.Signal(what)
}

// kill ends the process at once and waits for its end.
func (e *entry) kill() {
	_ = e.process.Process.Signal(syscall.SIGCONT)
	_ = e.process.Process.Signal(syscall.SIGKILL)
	<-e.done
}

func (e *entry) ready() bool {
	resp, err := e.site.client.Get(fmt.Sprintf("http://%s:%d/kingcuplatch/readiness", e.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leader returns the entry that the lease row names: the one that last wrote to the store under a
// condition; nil if there is none.
func (s *site) leader() *entry {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for name, one := range s.store.rows {
		if name.table != "kingcuplatch" || name.key != "lease" {
			continue
		}
		for _, e := range s.entries {
			if strings.Contains(string(one.Value), `"`+e.name+`"`) {
				return e
			}
		}
	}
	return nil
}

func (s *site) settingsOf(e *entry) string {
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = "z1"
region = "r1"
port_range = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "call"
advice = ""
[listen_addrs]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
strict_revocation = false
revoke_ms = 5000
hold_max_ms = 10000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
fencing_required = false
lease_ms = 3000
pace_ms = 100
harm_ms = 4000
[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
[cloud_api]
address = %q
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`, e.name, e.ip, peerPort, lastPort, e.ip, clientPort, e.ip, readyPort, s.storeAt, s.machinesAt)
}

// await waits until a condition holds.
func (s *site) await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not within %v: %s", limit, what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// pause waits, and returns an error if the case has taken too long.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// step is a step of a submitted job, as clients write it.
type step struct {
	Count       int     `json:"count"`
	CPU         int64   `json:"cpu"`
	MemMB       int64   `json:"mem_mb,omitempty"`
	EstimateMS  int64   `json:"estimate_ms,omitempty"`
	LongRunning bool    `json:"long_running,omitempty"`
	MayMiss     int     `json:"may_miss,omitempty"`
	MaxPerWork  int     `json:"max_per_server,omitempty"`
	TargetMS    float64 `json:"target_ms,omitempty"`
	Fills       bool    `json:"fills,omitempty"`
	Image       string  `json:"image,omitempty"`
}

// submit hands a job in at an entry and returns the status; 0 if there was no answer. The text
// tells the stand-ins of workers what a task does.
func (s *site) submit(e *entry, id string, one step, ms int64) int {
	text, err := json.Marshal(work{MS: ms, CPU: one.CPU})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{"spec": string(text), "steps": []step{one}})
	if err != nil {
		panic(err)
	}
	status, _ := s.call(e, http.MethodPost, id, body)
	return status
}

// state asks an entry for the state of a job.
func (s *site) state(e *entry, id string) (int, string) {
	status, body := s.call(e, http.MethodGet, id, nil)
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &reply)
	return status, reply.State
}

// call makes a client's call about a job.
func (s *site) call(e *entry, method, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", e.ip, clientPort, prefix, id), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	s.log.printf("client: %s %s to %s", method, id, e.name)
	resp, err := s.client.Do(req)
	if err != nil {
		s.log.printf("client: %s %s got no answer", method, id)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	if err != nil {
		s.log.printf("client: %s %s got no whole answer", method, id)
		return 0, nil
	}
	s.log.printf("client: %s %s answered %d %s", method, id, resp.StatusCode, strings.TrimSpace(string(read)))
	return resp.StatusCode, read
}

func (s *site) started(w *worker, r *taskRun, _ string) {
	s.log.printf("worker %s starts %s run %d", w.id, r.task, r.number)
	if s.onStart != nil {
		s.onStart(w, r)
	}
}

func (s *site) ended(w *worker, r *taskRun, how string) {
	s.log.printf("worker %s ends %s run %d: %s", w.id, r.task, r.number, how)
	if s.onEnd != nil {
		s.onEnd(w, r, how)
	}
}

func (s *site) noted(w *worker, e finished) {
	if s.onNoted != nil {
		s.onNoted(w, e)
	}
}

// jobID returns the id of the n-th job of a case.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }
