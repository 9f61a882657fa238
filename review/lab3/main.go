// Command lab3 plays the scripts of the third review: a small deployment of the project's own programs
// against stand-ins for the platform, the workers and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld = iota
	ruleBroken
	notRun
)

// errNotRun means that a case couldn't be played.
var errNotRun = errors.New("the case couldn't run")

// cases are the scripts. Each returns what broke the rule, or "" if it held. The last two have no folder of
// their own.
var cases = map[string]func(l *lab, trouble bool) (broken string, err error){
	"start":    playStart,
	"schedule": playSchedule,
	"entry":    playEntry,
	"backlog":  playBacklog,
	"label":    playLabel,
	"crash":    playCrash,
	"wide":     playWide,
}

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// outcome is that of a case.
type outcome struct {
	broken string
	err    error
}

// play plays a case and returns the exit code. All processes have ended when it returns.
func play(name, record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer l.halt()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	played := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](l, os.Getenv("TROUBLE") != "0")
		played <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-played:
	case s := <-stop:
		o.err = fmt.Errorf("%w: %v", errNotRun, s)
	case <-time.After(timeLimit):
		o.err = fmt.Errorf("%w: it took too long", errNotRun)
	}
	switch {
	case o.err != nil:
		l.record("not run: %v", o.err)
		fmt.Fprintln(os.Stderr, o.err)
		return notRun
	case o.broken != "":
		l.record("BROKEN: %s", o.broken)
		fmt.Println("broken:", o.broken)
		return ruleBroken
	}
	l.record("held")
	fmt.Println("held")
	return ruleHeld
}

// deploy starts the entries beside the workers, and waits until the entries are ready and have had time to poll the
// workers.
func (l *lab) deploy(entries, maxAttempts int) error {
	l.putConfig(maxAttempts)
	for range entries {
		if err := l.addEntry(); err != nil {
			return err
		}
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms"`
	RequiredLabel string `json:"required_label,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int64  `json:"repeat_count,omitempty"`
	StartAtMS   int64  `json:"start_at_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
}

// submitTries is how often a job is handed in.
const submitTries = 5

// submit hands a job in until it is accepted, and returns its id.
func (c *client) submit(j job) (string, error) {
	id := randomHex(8)
	body, err := json.Marshal(j)
	if err != nil {
		return "", err
	}
	for i := range submitTries {
		status, text := c.call(c.lab.entries[i%len(c.lab.entries)], http.MethodPost, c.prefix+id, bytes.NewReader(body))
		c.lab.record("client: POST %s -> %d %s", id, status, strings.TrimSpace(text))
		if status == http.StatusOK {
			return id, nil
		}
		time.Sleep(time.Second)
	}
	return "", fmt.Errorf("%w: the job was not accepted", errNotRun)
}

// state asks for the state of a job, at one entry after the other until there is an answer.
func (c *client) state(id string) (status int, state string) {
	for _, e := range c.lab.entries {
		var text string
		status, text = c.call(e, http.MethodGet, c.prefix+id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return status, answer.State
		}
		state = strings.TrimSpace(text)
		if status == http.StatusGone {
			break
		}
	}
	return status, state
}

// awaitRun waits until a run of the task goes on, other than those that have ended, and returns it.
func (l *lab) awaitRun(task string, within time.Duration) (runRecord, bool) {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		for _, r := range l.runs.of(task) {
			if r.ended.IsZero() {
				return r, true
			}
		}
	}
	return runRecord{}, false
}

// workerOf returns the worker with this id.
func (l *lab) workerOf(id string) *worker {
	for _, w := range l.workers {
		if w.current().id == id {
			return w
		}
	}
	return nil
}
