package scenario

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

const (
	// maxInFlight bounds the concurrent calls of one load.
	maxInFlight = 128
	// maxTries bounds the tries of one call.
	maxTries = 6
	// minRetryDelay is the least delay before the same call is sent again after a
	// response saying that it was not run or that its outcome is unknown.
	minRetryDelay = time.Second
	// tryTimeout bounds one try. It exceeds the deadlines of the example records.
	tryTimeout = 15 * time.Second
)

// loadsKey is the key of the map[string]*load in a script's values.
type loadsKey struct{}

// load is a bounded stream of calls and their results.
type load struct {
	name string
	kind string
	keys []teamKey
	// entries returns the URLs of the entries to call.
	entries func() []string
	rate    float64
	count   int
	// withIDs sends each call with an id.
	withIDs bool
	// retry sends calls again at another entry until they are answered.
	retry bool
	// copies is the number of copies of each call that are sent at the same time.
	copies int
	// readyOnly skips entries that are not ready.
	readyOnly bool
	workMS    int
	// padBytes is added to each body.
	padBytes int
	// deadlineMS is sent with each call unless it is 0.
	deadlineMS int

	client *http.Client
	next   atomic.Int64
	done   chan struct{}

	mu    sync.Mutex
	calls []*loadCall
}

// teamKey is a team and the key of its callers.
type teamKey struct{ team, key string }

// loadCall is one request with all tries to send it.
type loadCall struct {
	team, key string
	// id is the caller's id of the request, empty if the entry assigns one to each try.
	id    string
	body  string
	tries []try
}

// try is one HTTP call. A status of 0 means that there was no complete response.
type try struct {
	entry string
	// id is the request's id, from the caller or from the entry's response.
	id      string
	started time.Time
	ended   time.Time
	status  int
	failure error
	refusal api.Error
	answer  workerstandin.RequestAnswer
	// invalid is set if the body was neither a worker's answer nor an error.
	invalid bool
}

func (t *try) answered() bool { return t.status == http.StatusOK && !t.invalid }

func (t *try) notRun() bool { return t.status != 0 && t.refusal.Ran == api.NotRun }

// startLoad starts a load in the background.
func startLoad(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 1, maxArgs, "load NAME [FLAGS]")
	l := parseLoad(ts, args)
	loads := ts.Value(loadsKey{}).(map[string]*load)
	if loads[l.name] != nil {
		ts.Fatalf("load %s was already started", l.name)
	}
	loads[l.name] = l
	go l.run()
}

func parseLoad(ts *testscript.TestScript, args []string) *load {
	l := &load{name: args[0], done: make(chan struct{}), client: &http.Client{
		Timeout:   tryTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight},
	}}
	var keys, entries string
	var leaveMS int
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.StringVar(&l.kind, "kind", "quote", "kind of work")
	flags.StringVar(&keys, "keys", "", "TEAM:KEY, separated by commas, used in turn")
	flags.StringVar(&entries, "entries", "", "URLs of entries, separated by commas, used in turn; default all")
	flags.Float64Var(&l.rate, "rate", 100, "calls per second; 0 for all at once")
	flags.IntVar(&l.count, "n", 100, "calls")
	flags.BoolVar(&l.withIDs, "ids", false, "send an id with each request")
	flags.BoolVar(&l.retry, "again", false, "send calls that were not answered again at another entry")
	flags.IntVar(&l.copies, "times", 1, "how often each call is sent at the same time, each to the next entry")
	flags.IntVar(&leaveMS, "leave-ms", 0, "how long callers wait before they disconnect, in milliseconds; 0 for the timeout of a try")
	flags.BoolVar(&l.readyOnly, "ready", false, "skip entries that are not ready, as a load balancer does")
	flags.IntVar(&l.workMS, "work-ms", 0, "run time of the work, in milliseconds")
	flags.IntVar(&l.deadlineMS, "deadline-ms", 0, "deadline of each call, in milliseconds; 0 for that of the kind")
	flags.IntVar(&l.padBytes, "pad", 0, "bytes added to each body")
	ts.Check(flags.Parse(args[1:]))
	if leaveMS > 0 {
		l.client.Timeout = time.Duration(leaveMS) * time.Millisecond
	}
	for _, pair := range strings.Split(keys, ",") {
		team, key, ok := strings.Cut(pair, ":")
		if !ok {
			ts.Fatalf("-keys: want TEAM:KEY, got %q", pair)
		}
		l.keys = append(l.keys, teamKey{team, key})
	}
	l.entries = processesOf(ts).entryURLs
	if entries != "" {
		l.entries = func() []string { return strings.Split(entries, ",") }
	}
	return l
}

// run makes the calls at the given rate, with at most maxInFlight at a time.
func (l *load) run() {
	defer close(l.done)
	var running sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	begin := time.Now()
	for n := range l.count {
		if l.rate > 0 {
			time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))))
		}
		call := l.newCall(n)
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			var sends sync.WaitGroup
			for range l.copies {
				sends.Go(func() { l.send(call) })
			}
			sends.Wait()
		})
	}
	running.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) newCall(n int) *loadCall {
	key := l.keys[n%len(l.keys)]
	call := &loadCall{
		team: key.team, key: key.key,
		body: fmt.Sprintf(`{"work_ms":%d,"call":"%s-%d","pad":"%s"}`, l.workMS, l.name, n, strings.Repeat("x", l.padBytes)),
	}
	if l.withIDs {
		call.id = fmt.Sprintf("%s-%d", l.name, n)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
	return call
}

// send sends a call once or, if retry is set, until it is answered, at most maxTries times.
func (l *load) send(call *loadCall) {
	for range maxTries {
		t := l.try(call, l.nextEntry())
		l.mu.Lock()
		call.tries = append(call.tries, t)
		l.mu.Unlock()
		if !l.retry || t.answered() {
			return
		}
		if t.status != 0 {
			time.Sleep(max(t.refusal.RetryAfter, minRetryDelay))
		}
	}
}

// nextEntry returns the URL of the next entry in turn.
func (l *load) nextEntry() string {
	entries := l.entries()
	for range entries {
		url := entries[int(l.next.Add(1))%len(entries)]
		if !l.readyOnly {
			return url
		}
		got, err := call(http.MethodGet, url+"/readyz", "")
		if err == nil && got.ok() {
			return url
		}
	}
	return entries[0]
}

// try makes one HTTP call.
func (l *load) try(call *loadCall, entry string) (t try) {
	t.entry, t.id = entry, call.id
	t.started = time.Now()
	defer func() { t.ended = time.Now() }()
	request, err := http.NewRequest(http.MethodPost, entry+"/v1/kinds/"+l.kind+"/requests", strings.NewReader(call.body))
	if err != nil {
		t.failure = err
		return t
	}
	request.Header.Set("Authorization", "Bearer "+call.key)
	if l.withIDs {
		request.Header.Set(api.HeaderRequestID, call.id)
	}
	if l.deadlineMS > 0 {
		request.Header.Set(api.HeaderDeadline, strconv.Itoa(l.deadlineMS))
	}
	response, err := l.client.Do(request)
	if err != nil {
		t.failure = err
		return t
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.failure = err
		return t
	}
	t.decode(response, body)
	return t
}

// decode stores a complete response in the try.
func (t *try) decode(response *http.Response, body []byte) {
	t.status = response.StatusCode
	target := any(&t.refusal)
	if t.status == http.StatusOK {
		target = &t.answer
	}
	t.invalid = json.Unmarshal(body, target) != nil
	if t.invalid {
		t.failure = errors.New("body is neither a worker's answer nor an error: " + string(body))
	}
	if t.id == "" {
		t.id = response.Header.Get(api.HeaderRequestID)
	}
}

// waitJob waits until a job is done.
func waitJob(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 3, 3, "waitjob ID KEY URL")
	deadline := time.Now().Add(2 * waitTimeout)
	var view api.JobView
	for view.State != api.JobDone {
		if time.Now().After(deadline) {
			ts.Fatalf("job %s is not done after %v: %+v", args[0], 2*waitTimeout, view)
		}
		time.Sleep(pollInterval)
		request, err := http.NewRequest(http.MethodGet, args[2]+"/v1/jobs/"+args[0], nil)
		ts.Check(err)
		request.Header.Set("Authorization", "Bearer "+args[1])
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		if json.NewDecoder(response.Body).Decode(&view) != nil {
			view = api.JobView{}
		}
		response.Body.Close()
	}
}

// waitLoad waits for the end of a load.
func waitLoad(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 1, 1, "waitload NAME")
	l := loadNamed(ts, args[0])
	select {
	case <-l.done:
	case <-time.After(2 * waitTimeout):
		ts.Fatalf("load %s is still running after %v", l.name, 2*waitTimeout)
	}
}

// loadNamed returns a load that was started, or fails the script.
func loadNamed(ts *testscript.TestScript, name string) *load {
	l := ts.Value(loadsKey{}).(map[string]*load)[name]
	if l == nil {
		ts.Fatalf("load %s was not started", name)
	}
	return l
}
