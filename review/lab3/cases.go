package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// smallFleet is the number of workers of most cases, workerCPU the processors of each, in thousandths.
const (
	smallFleet = 8
	workerCPU  = 32000
	// labelFleet is the number of workers of playLabel. One of them is within the share of a fleet that the site
	// file lets fail at once, 0.085.
	labelFleet = 12
)

// addWorkers starts workers of one kind.
func (l *lab) addWorkers(n int) error {
	for range n {
		if _, err := l.addWorker("a", workerCPU); err != nil {
			return err
		}
	}
	return nil
}

// Clients of playStart: the number of schedules that they hand in, and how often they send each.
const (
	schedules = 3
	sends     = 5
)

// playStart hands in schedules whose start is given in microseconds, as a client that mixes up the units does.
// Each is sent again, at any entry, while it has no answer or is turned away for now.
func playStart(l *lab, trouble bool) (string, error) {
	if err := l.addWorkers(smallFleet); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	start := time.Now().Add(time.Hour).UnixMilli()
	if trouble {
		start = time.Now().Add(time.Hour).UnixMicro()
	}
	body, err := json.Marshal(job{
		Spec: work{MS: 500}.text(), Steps: []step{{Count: 1, CPU: 100, MemMB: 64, EstimateMS: 500}},
		RepeatCount: 4, IntervalMS: 60000, StartAtMS: start,
	})
	if err != nil {
		return "", err
	}
	c := l.client()
	for n := range schedules {
		id := randomHex(8)
		for i := range sends {
			e := l.entries[(n+i)%len(l.entries)]
			status, text := c.call(e, http.MethodPost, prefix+id, bytes.NewReader(body))
			l.record("client: POST %s at %s -> %d %s", id, e.name, status, strings.TrimSpace(text))
			if status == http.StatusOK {
				break
			}
			time.Sleep(4 * time.Second)
		}
	}
	return l.fault(), nil
}

// playSchedule hands in a schedule that began two days ago, one occurrence each second.
func playSchedule(l *lab, trouble bool) (string, error) {
	l.quietRuns = true
	if err := l.addWorkers(smallFleet); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	start := time.Now()
	if trouble {
		start = start.Add(-48 * time.Hour)
	}
	c := l.client()
	ordinary, err := c.submit(job{Spec: work{MS: 3000}.text(), Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 3000}}})
	if err != nil {
		return "", err
	}
	if _, err := c.submit(job{
		Spec: work{MS: 500}.text(), Steps: []step{{Count: 10, CPU: 100, MemMB: 16, EstimateMS: 500}},
		RepeatCount: 150000, StartAtMS: start.UnixMilli(), IntervalMS: 1000,
	}); err != nil {
		return "", err
	}
	for range 32 {
		time.Sleep(2 * time.Second)
		status, state := c.state(ordinary)
		l.record("client: GET %s -> %d %s", ordinary, status, state)
	}
	return l.fault(), nil
}

// playEntry has another writer write an entry of a service that isn't named in the configuration under
// the id of a worker at work.
func playEntry(l *lab, trouble bool) (string, error) {
	if err := l.addWorkers(smallFleet); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	id, err := l.client().submit(job{Spec: work{MS: 9000}.text(), Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 9000}}})
	if err != nil {
		return "", err
	}
	first, ok := l.awaitRun(id+".0.0.0", 5*time.Second)
	if !ok {
		return "", errNotRun
	}
	at := l.workerOf(first.worker)
	time.Sleep(2 * time.Second)
	at.awaitBeat()
	other := l.workers[0]
	if other == at {
		other = l.workers[1]
	}
	if trouble {
		l.record("another writer: writes servers/%s, service svc-other, address of %s", first.worker, other.name)
		l.store.put("servers", first.worker, map[string]any{
			"service": "svc-other", "address": other.address, "zone": "z1", "version": "v0", "slots": 1, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]any{"cpu": 1000, "mem_mb": 1024, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clock_ms": 1, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(15 * time.Second)
	if a, b, found := l.runs.twice(); found {
		return fmt.Sprintf("TWICE: %s: run %d on %s and run %d on %s went on at the same time", a.task, a.number, a.worker, b.number, b.worker), nil
	}
	return "", nil
}

// playBacklog hands in jobs that only one worker may run, far more than it has room for, and then a job
// of another queue that any worker may run. Nothing else happens.
func playBacklog(l *lab, trouble bool) (string, error) {
	l.quietRuns = true
	if err := l.addWorkers(smallFleet - 1); err != nil {
		return "", err
	}
	if _, err := l.addWorker("b", workerCPU); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	jobs := 40
	if trouble {
		jobs = 200
	}
	c := l.client()
	for range jobs {
		if _, err := c.submit(job{Spec: work{MS: 60000}.text(), Steps: []step{{Count: 1, CPU: 100, MemMB: 8192, EstimateMS: 60000, RequiredLabel: "b"}}}); err != nil {
			return "", err
		}
	}
	ordinary := l.client()
	ordinary.prefix = prefix2
	id, err := ordinary.submit(job{Spec: work{MS: 2000}.text(), Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 2000}}})
	if err != nil {
		return "", err
	}
	for range 20 {
		time.Sleep(time.Second)
		status, state := ordinary.state(id)
		_, now := l.runs.started()
		l.record("client: GET %s -> %d %s; %d runs of it, %d tasks run", id, status, state, len(l.runs.of(id+".0.0.0")), now)
	}
	if len(l.runs.of(id+".0.0.0")) == 0 {
		return "LOST: a job that any worker may run has not been started in 20 s, and seven of eight workers are idle", nil
	}
	return "", nil
}

// serviceTasks is the number of tasks of the service in playLabel.
const serviceTasks = 4

// playLabel hands in a service whose tasks only the workers of one kind may run, and of which the first run of each
// task fails soon after its start. Nothing else happens.
func playLabel(l *lab, trouble bool) (string, error) {
	if err := l.addWorkers(labelFleet - 1); err != nil {
		return "", err
	}
	if _, err := l.addWorker("b", workerCPU); err != nil {
		return "", err
	}
	if err := l.deploy(3, 4); err != nil {
		return "", err
	}
	w := work{}
	if trouble {
		w.Fails, w.FailsAfterMS = 1, 600
	}
	id, err := l.client().submit(job{Spec: w.text(), Steps: []step{{Count: serviceTasks, CPU: 1000, MemMB: 512, EstimateMS: 1000, RequiredLabel: "b", LongRunning: true}}})
	if err != nil {
		return "", err
	}
	time.Sleep(60 * time.Second)
	var broken []string
	for i := range serviceTasks {
		if gap := l.lastingGap(fmt.Sprintf("%s.0.0.%d", id, i)); gap != "" {
			broken = append(broken, gap)
		}
	}
	return strings.Join(broken, "; "), nil
}

// restartBound is how long a lasting task may be without a run: 6 s after its last run, and then for 3 s.
const restartBound = 9 * time.Second

// lastingGap returns what breaks the rule if a lasting task had no run for longer than restartBound.
func (l *lab) lastingGap(task string) string {
	runs := l.runs.of(task)
	if len(runs) == 0 {
		return "the task never ran"
	}
	for i, r := range runs {
		next := time.Now()
		if i+1 < len(runs) {
			next = runs[i+1].began
		}
		if !r.ended.IsZero() && next.Sub(r.ended) > restartBound {
			return fmt.Sprintf("LOST: %s had no run for %.1f s after run %d", task, next.Sub(r.ended).Seconds(), r.number)
		}
	}
	return ""
}
