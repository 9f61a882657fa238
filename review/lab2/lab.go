package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
)

// lab is a small deployment with the platform around it.
type lab struct {
	record  *record
	trouble bool
	temp    string
	net     string
	store   *store
	cloud   *cloud
	world   *world
	entries []*entry
	client  http.Client
	version int64

	mu sync.Mutex
	// next is the number of the next request, which says to which entry it goes.
	next int
}

// route is a queue of the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Type        string  `json:"type"`
	TimeoutMS   int     `json:"timeout_ms"`
	TargetMS    int     `json:"target_duration_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	Public      bool    `json:"public"`
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name    string           `json:"name"`
	APIKeys []string         `json:"api_keys"`
	Weight  float64          `json:"weight"`
	Cap     map[string]int64 `json:"cap"`
}

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"mem_mb,omitempty"`
	EstimateMS    int    `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	PreferredRack string `json:"preferred_rack,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`
}

// newLab starts the platform.
func newLab(rec *record, trouble bool) (*lab, error) {
	temp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{record: rec, trouble: trouble, temp: temp}
	l.client.Timeout = clientDeadline
	l.client.Transport = &http.Transport{MaxIdleConnsPerHost: 16}
	for range 100 {
		l.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		if free(l.ip(1)) && free(l.ip(2)) && free(l.ip(10)) && free(l.ip(100)) {
			break
		}
	}
	if l.store, err = newStore(rec, fmt.Sprintf("%s:%d", l.ip(1), servicePort)); err != nil {
		return l, err
	}
	l.world = newWorld(rec, l.store, serviceName)
	l.cloud, err = newCloud(rec, l.world, fmt.Sprintf("%s:%d", l.ip(2), servicePort))
	return l, err
}

func (l *lab) ip(n int) string { return fmt.Sprintf("%s.%d", l.net, n) }

// addMachines adds machines, half of them of each kind, so many a rack.
func (l *lab) addMachines(n int, kinds []string, rack int) error {
	for i := range n {
		_, err := l.world.add(fmt.Sprintf("m-%03d", i), fmt.Sprintf("%s:%d", l.ip(100+i), workerPort), "fremantle", kinds[i%len(kinds)], fmt.Sprintf("r1-%d", i/rack), 32000, 65536)
		if err != nil {
			return err
		}
	}
	return nil
}

// publish writes the operator's configuration.
func (l *lab) publish(routes []route, tenants []tenant) {
	l.version += 3
	l.store.write("op", "config", map[string]any{
		"version": l.version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 64, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
	l.record.write("operator", "configuration %d", l.version)
}

// startEntries starts entries and waits until all are ready and one of them holds the lease.
func (l *lab) startEntries(n int) error {
	for i := range n {
		e, err := l.newEntry(i)
		if err != nil {
			return err
		}
		l.entries = append(l.entries, e)
	}
	limit := time.Now().Add(15 * time.Second)
	for time.Now().Before(limit) {
		ready := 0
		for _, e := range l.entries {
			if e.ready() {
				ready++
			}
		}
		if holder, _ := l.store.holder(); ready == n && holder != "" {
			// The scheduler polls all workers first.
			time.Sleep(2 * time.Second)
			l.record.write("lab", "%d entries are ready, %s holds the lease", n, holder)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the entries don't become ready")
}

// holder returns the entry that holds the lease.
func (l *lab) holder() *entry {
	name, _ := l.store.holder()
	for _, e := range l.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// close ends all processes and the platform.
func (l *lab) close() {
	for _, e := range l.entries {
		if e.process != nil {
			_ = e.process.Process.Kill()
			<-e.ended
		}
	}
	if l.world != nil {
		l.world.close()
	}
	_ = os.RemoveAll(l.temp)
}

// answer is what a client got; status is 0 if it got no answer.
type answer struct {
	status int
	body   string
}

// call sends one request of a client to an entry, the next one each time.
func (l *lab) call(method, key, path string, body any) answer {
	l.mu.Lock()
	l.next++
	e := l.entries[l.next%len(l.entries)]
	l.mu.Unlock()
	return l.callAt(e, method, key, path, body)
}

func (l *lab) callAt(e *entry, method, key, path string, body any) answer {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.address(frontPort)+path, bytes.NewReader(encoded))
	if err != nil {
		return answer{}
	}
	req.Host = hostName
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := l.client.Do(req)
	if err != nil {
		l.record.write("client", "%s %s at %s: %v", method, path, e.name, err)
		return answer{}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	a := answer{res.StatusCode, strings.TrimSpace(string(text))}
	l.record.write("client", "%s %s at %s: %d %s", method, path, e.name, a.status, a.body)
	return a
}

// newID returns an id for a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in until it is accepted, at most a number of times.
func (l *lab) submit(key, prefix, id string, w work, steps []step, tries int) answer {
	spec, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	var a answer
	for range tries {
		a = l.call(http.MethodPost, key, prefix+id, map[string]any{"spec": string(spec), "steps": steps})
		if a.status == http.StatusOK {
			break
		}
		time.Sleep(time.Second)
	}
	return a
}

// state returns the state of a job as a client sees it; empty if there is no answer.
func (l *lab) state(key, prefix, id string) string {
	a := l.call(http.MethodGet, key, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return ""
	}
	return body.State
}

// awaitState asks for a job's state until it is one of those wanted or the time is over, and
// returns the last one.
func (l *lab) awaitState(key, prefix, id string, within time.Duration, wanted ...string) string {
	limit := time.Now().Add(within)
	last := ""
	for {
		if s := l.state(key, prefix, id); s != "" {
			last = s
		}
		for _, w := range wanted {
			if last == w {
				return last
			}
		}
		if time.Now().After(limit) {
			return last
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// running returns the runs of a job that are at work now, by task.
func (w *world) running(job string) map[string]*worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := make(map[string]*worker)
	for _, m := range w.machines {
		if m.worker == nil {
			continue
		}
		for task := range m.worker.runs {
			if strings.HasPrefix(task, job+".") {
				found[task] = m.worker
			}
		}
	}
	return found
}

// awaitRunning waits until so many tasks of a job are at work.
func (w *world) awaitRunning(job string, count int, within time.Duration) (map[string]*worker, bool) {
	limit := time.Now().Add(within)
	for {
		found := w.running(job)
		if len(found) >= count {
			return found, true
		}
		if time.Now().After(limit) {
			return found, false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// countEnds counts the ends of a job's runs by how they ended.
func (w *world) countEnds(job string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range w.ends {
		if strings.HasPrefix(e.task, job+".") {
			counts[e.how]++
		}
	}
	return counts
}

// startsOf counts the starts of a job's tasks.
func (w *world) startsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			n++
		}
	}
	return n
}
