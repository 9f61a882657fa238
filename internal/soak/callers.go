package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

const (
	// maxThink is the longest pause of a caller between two requests, maxWork the longest
	// run time of a request.
	maxThink = 300 * time.Millisecond
	maxWork  = 800 * time.Millisecond
	// maxTries bounds the tries of one call with the same id.
	maxTries = 3
	// jobEvery is the number of calls of a caller for each job among them.
	jobEvery = 12
	// repeatEvery is the number of answered calls for each that is sent again.
	repeatEvery = 4
	// jobsTimeout bounds the wait for the end of accepted jobs after the restarts.
	jobsTimeout = time.Minute
	redialPause = 20 * time.Millisecond
	// maxUnaccepted is the number of new connections of a run that may be reset. The moment
	// between a last accept and a close can't be avoided; a queue that isn't accepted gives more.
	maxUnaccepted = 1
)

// verdict is what a caller knows after a try.
type verdict string

const (
	answered verdict = "answered"
	notRun   verdict = "not run"
	unknown  verdict = "unknown"
	// cut is a request that was sent whole and got no answer from an entry that was killed.
	cut verdict = "cut by a kill"
	// unsent is a request that wasn't sent whole.
	unsent verdict = "not sent whole"
	// unaccepted is the first request on a connection that was reset. It may have arrived
	// between the process's last accept and the close of its listener, unread.
	unaccepted verdict = "reset unread"
	// lost is a request that was sent whole and got no answer around planned work.
	lost verdict = "no answer"
)

// try is one attempt to get a call answered.
type try struct {
	entry        int
	sent, ended  time.Time
	verdict      verdict
	reused       bool
	code, detail string
}

// wanted is one request or job of a caller.
type wanted struct {
	id, team, kind string
	job            bool
	// work is the run time of a request.
	work  time.Duration
	tries []try
	// done is set for a job that was seen as done.
	done bool
}

// callers are the callers of a run and what they sent.
type callers struct {
	c       *cluster
	found   *findings
	running sync.WaitGroup

	mu   sync.Mutex
	sent []*wanted
}

// startCallers starts callers that send until ctx ends.
func startCallers(ctx context.Context, c *cluster, found *findings) *callers {
	all := &callers{c: c, found: found}
	for n := range c.callers {
		all.running.Go(func() { all.call(ctx, n) })
	}
	return all
}

func (a *callers) wait() { a.running.Wait() }

// call is one caller: it opens a connection and uses it until the entry ends it.
func (a *callers) call(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(uint64(a.c.seed), uint64(caller)))
	var open *connection
	for n := 0; ctx.Err() == nil; n++ {
		w := newWanted(random, caller, n)
		open = a.sendRepeatedly(ctx, random, open, w)
		a.mu.Lock()
		a.sent = append(a.sent, w)
		a.mu.Unlock()
		time.Sleep(randomBelow(random, maxThink))
	}
	if open != nil {
		open.abandon()
	}
}

// sendRepeatedly sends a call at most maxTries times. The caller gives up after half of the
// tries without success, and repeats some calls that were answered. It returns the connection
// that is open afterwards.
func (a *callers) sendRepeatedly(ctx context.Context, random *rand.Rand, open *connection, w *wanted) *connection {
	for len(w.tries) < maxTries {
		open = a.connect(ctx, random, open)
		if open == nil {
			return nil
		}
		t := a.try(random, open, w)
		if open.ended {
			open = open.abandon()
		}
		if t.verdict == "" {
			continue
		}
		w.tries = append(w.tries, t)
		if t.verdict != answered && random.IntN(2) == 0 || t.verdict == answered && random.IntN(repeatEvery) > 0 {
			return open
		}
		time.Sleep(randomBelow(random, maxThink))
	}
	return open
}

func newWanted(random *rand.Rand, caller, n int) *wanted {
	w := &wanted{id: fmt.Sprintf("c%d-%d", caller, n), team: teams[caller%len(teams)].name, kind: "quote", work: randomBelow(random, maxWork)}
	switch {
	case n%jobEvery == jobEvery-1:
		w.team, w.kind, w.job = "skippers", "crew-roster", true
	case random.IntN(2) == 0:
		w.kind = "berth-lookup"
	}
	return w
}

// connect returns the open connection, or a new one to any entry that accepts it.
func (a *callers) connect(ctx context.Context, random *rand.Rand, open *connection) *connection {
	for open == nil && ctx.Err() == nil {
		entries := a.c.all()
		n := random.IntN(len(entries))
		made, err := dial(n, entries[n])
		if err == nil {
			return made
		}
		time.Sleep(redialPause)
	}
	return open
}

// abandon closes the connection and returns nil.
func (c *connection) abandon() *connection {
	_ = c.conn.Close()
	return nil
}

// try sends the call once. The verdict is empty if the connection was closed before.
func (a *callers) try(random *rand.Rand, open *connection, w *wanted) try {
	pause := time.Duration(0)
	if random.IntN(8) == 0 {
		pause = randomBelow(random, maxThink)
	}
	request := w.request()
	t := try{entry: open.entry, sent: time.Now(), reused: open.used > 0}
	got, whole, err := open.send(request, pause)
	t.ended = time.Now()
	open.ended = err != nil
	switch {
	case errors.Is(err, errClosedBefore):
		return t
	case err != nil && !whole:
		t.verdict = unsent
	case err != nil && open.to.killed.Load():
		t.verdict = cut
	case err != nil && !t.reused && errors.Is(err, syscall.ECONNRESET):
		t.verdict, t.detail = unaccepted, err.Error()
		a.found.note("reset: %s on a new connection to entry-%d %d", w.id, open.entry+1, open.to.command.Process.Pid)
	case err != nil:
		t.verdict, t.detail = lost, err.Error()
		a.found.add("no answer: %s to entry-%d %d, sent %s, connection used %d times, pause %v: %v", w.id, open.entry+1,
			open.to.command.Process.Pid, t.sent.Format(time.StampMilli), open.used, pause, err)
	default:
		t.decode(got)
		open.ended = got.last
	}
	return t
}

func (t *try) decode(got answer) {
	if got.status < http.StatusMultipleChoices {
		t.verdict = answered
		return
	}
	if got.status == http.StatusRequestTimeout {
		// The request crossed the end of an idle connection.
		t.verdict = notRun
		return
	}
	var refusal api.Error
	if err := json.Unmarshal(got.body, &refusal); err != nil {
		t.verdict, t.detail = unknown, fmt.Sprintf("status %d: %s", got.status, got.body)
		return
	}
	t.verdict, t.code, t.detail = unknown, refusal.Code, refusal.Message
	if refusal.Ran == api.NotRun {
		t.verdict = notRun
	}
}

// request returns the HTTP request of the call.
func (w *wanted) request() *http.Request {
	path := "/v1/kinds/" + w.kind + "/requests"
	body := fmt.Appendf(nil, `{"work_ms":%d,"call":%q}`, w.work.Milliseconds(), w.id)
	if w.job {
		path = "/v1/jobs"
		body, _ = json.Marshal(api.JobSpec{ID: w.id, Kind: w.kind, Tasks: 2, Payload: []byte(`{"run_ms":300}`)})
	}
	request, _ := http.NewRequest(http.MethodPost, "http://entry"+path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer example-key-"+w.team)
	if !w.job {
		request.Header.Set(api.HeaderRequestID, w.id)
	}
	return request
}

// accepted reports whether the caller was told that the job is accepted.
func (w *wanted) accepted() bool {
	for _, t := range w.tries {
		if w.job && t.verdict == answered {
			return true
		}
	}
	return false
}

// waitForJobs asks for the accepted jobs until all are done or jobsTimeout has passed.
func (a *callers) waitForJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	for _, w := range a.sent {
		if w.accepted() {
			a.waitForJob(ctx, w)
		}
	}
}

func (a *callers) waitForJob(ctx context.Context, w *wanted) {
	last := "no answer"
	for n := 0; ; n++ {
		entries := a.c.all()
		url := "http://" + entries[n%len(entries)].addresses["callers"] + "/v1/jobs/" + w.id
		_, body, refusal := call(ctx, http.MethodGet, url, "example-key-"+w.team, nil)
		var view api.JobView
		if refusal == "" && json.Unmarshal(body, &view) == nil {
			last = string(view.State)
		} else {
			last = refusal
		}
		if view.State == api.JobDone {
			w.done = true
			return
		}
		select {
		case <-ctx.Done():
			a.found.add("accepted job %s isn't done: %s", w.id, last)
			return
		case <-time.After(pollInterval):
		}
	}
}
