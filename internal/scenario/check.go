package scenario

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

// maxPrinted bounds the number of violations that a check logs.
const maxPrinted = 10

// violations are the findings of a check, each as text.
type violations []string

func (v *violations) add(format string, args ...any) { *v = append(*v, fmt.Sprintf(format, args...)) }

// verify ends a check. Without ! the script fails if there is a violation; with ! it
// fails unless at least one violation contains text.
func (v violations) verify(ts *testscript.TestScript, neg bool, text string) {
	for _, violation := range v[:min(len(v), maxPrinted)] {
		ts.Logf("violation: %s", violation)
	}
	found := slices.ContainsFunc(v, func(violation string) bool { return strings.Contains(violation, text) })
	if neg && !found {
		ts.Fatalf("no violation contains %q", text)
	}
	if !neg && len(v) > 0 {
		ts.Fatalf("%d violations", len(v))
	}
}

// workerRecords fetches the record of every worker.
func workerRecords(ts *testscript.TestScript) []workerstandin.Record {
	var records []workerstandin.Record
	for n := 1; n <= processesOf(ts).cluster.workers; n++ {
		var record workerstandin.Record
		got, err := call(http.MethodGet, "http://"+ts.Getenv("WORKER"+strconv.Itoa(n))+workerstandin.PathRecord, "")
		ts.Check(err)
		ts.Check(json.Unmarshal([]byte(got.body), &record))
		records = append(records, record)
	}
	return records
}

// findWorker waits until a worker's record contains a text and sets a variable to the
// worker's address, as in $WORKERn.
func findWorker(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 2, 2, "findworker VAR TEXT")
	found := poll(func() bool {
		for n := 1; n <= processesOf(ts).cluster.workers; n++ {
			address := ts.Getenv("WORKER" + strconv.Itoa(n))
			got, err := call(http.MethodGet, "http://"+address+workerstandin.PathRecord, "")
			if err == nil && strings.Contains(got.body, args[1]) {
				ts.Setenv(args[0], address)
				return true
			}
		}
		return false
	})
	if !found {
		ts.Fatalf("no worker's record contains %q after %v", args[1], waitTimeout)
	}
}

// checkWorkers checks the records of the workers: none exceeded its capacity or its
// connections, no task ran on two workers at once, and no request of a kind outside
// -idempotent was started twice.
func checkWorkers(ts *testscript.TestScript, neg bool, args []string) {
	var idempotent, text string
	flags := flag.NewFlagSet("checkworkers", flag.ContinueOnError)
	flags.StringVar(&idempotent, "idempotent", "berth-lookup", "kinds whose requests may run more than once, separated by commas")
	flags.StringVar(&text, "text", "", "text that a violation must contain")
	minBegun := flags.Int("begun", 0, "minimum number of requests started")
	minStarted := flags.Int("started", 0, "minimum number of attempts of tasks started")
	ts.Check(flags.Parse(args))
	records := workerRecords(ts)
	var found violations
	for _, record := range records {
		checkCapacity(&found, record)
	}
	requests := checkRequests(&found, records, strings.Split(idempotent, ","))
	attempts := checkTasks(&found, records)
	fmt.Fprintf(ts.Stdout(), "workers %d, requests begun %d, attempts started %d, violations %d\n", len(records), requests, attempts, len(found))
	if requests < *minBegun || attempts < *minStarted {
		ts.Fatalf("%d requests and %d attempts started, want at least %d and %d", requests, attempts, *minBegun, *minStarted)
	}
	found.verify(ts, neg, text)
}

// checkCapacity adds a violation for each excess of capacity or connections in a record.
func checkCapacity(found *violations, r workerstandin.Record) {
	if !r.Peak.Fits(r.Capacity) {
		found.add("capacity: %s held %+v of %+v", r.Worker, r.Peak, r.Capacity)
	}
	if r.ConnectionLimit > 0 && r.PeakConnections > r.ConnectionLimit {
		found.add("connections: %s had %d of %d", r.Worker, r.PeakConnections, r.ConnectionLimit)
	}
	for _, e := range r.Events {
		if e.Kind == workerstandin.EventOverCapacity || e.Kind == workerstandin.EventOverConnections {
			found.add("%s: %s received %s%s at %v", e.Kind, r.Worker, e.ID, e.Task, e.Time)
		}
	}
}

// requestKey returns TEAM/ID of a worker's request id TEAM/ID#N.
func requestKey(id string) string {
	if i := strings.LastIndexByte(id, '#'); i >= 0 {
		return id[:i]
	}
	return id
}

// checkRequests adds a violation for each request that started twice and returns the
// number of requests started.
func checkRequests(found *violations, records []workerstandin.Record, idempotent []string) int {
	total := 0
	first := make(map[string]string)
	for _, r := range records {
		for _, e := range r.Events {
			if e.Kind != workerstandin.EventRequestBegin {
				continue
			}
			total++
			key := requestKey(e.ID)
			where := fmt.Sprintf("%s as %s at %v", r.Worker, e.ID, e.Time)
			if earlier, repeated := first[key]; repeated && !slices.Contains(idempotent, e.Work) {
				found.add("begun twice: %s on %s and on %s", key, earlier, where)
			}
			first[key] = where
		}
	}
	return total
}

// span is the time of one attempt on one worker. end is in the future while it runs.
type span struct {
	worker     string
	attempt    int
	begin, end time.Time
}

// checkTasks adds a violation for each task that ran on two workers at once, or with the
// same attempt twice, and returns the number of attempts started.
func checkTasks(found *violations, records []workerstandin.Record) int {
	total := 0
	spans := make(map[string][]span)
	for _, r := range records {
		for _, e := range r.Events {
			switch e.Kind {
			case workerstandin.EventTaskStart:
				total++
				spans[e.Task] = append(spans[e.Task], span{r.Worker, e.Attempt, e.Time, time.Now().Add(time.Hour)})
			case workerstandin.EventTaskEnd:
				endSpan(spans[e.Task], r.Worker, e)
			}
		}
	}
	for task, all := range spans {
		slices.SortFunc(all, func(a, b span) int { return a.begin.Compare(b.begin) })
		for i := 1; i < len(all); i++ {
			if all[i].begin.Before(all[i-1].end) {
				found.add("two places: task %s attempt %d on %s and attempt %d on %s", task, all[i-1].attempt, all[i-1].worker, all[i].attempt, all[i].worker)
			}
			if all[i].attempt == all[i-1].attempt {
				found.add("attempt twice: task %s attempt %d on %s and on %s", task, all[i].attempt, all[i-1].worker, all[i].worker)
			}
		}
	}
	return total
}

func endSpan(spans []span, worker string, e workerstandin.Event) {
	for i := range spans {
		if spans[i].worker == worker && spans[i].attempt == e.Attempt {
			spans[i].end = e.Time
		}
	}
}

// tally counts the tries of a load by outcome.
type tally struct{ answered, notRun, unknown, cut int }

// checkLoad checks the responses to a load against the records of the workers: every
// answer is complete and belongs to its request, and a request refused with "not_run"
// was not started.
func checkLoad(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, maxArgs, "checkload NAME [FLAGS]")
	flags := flag.NewFlagSet("checkload", flag.ContinueOnError)
	text := flags.String("text", "", "text that a violation must contain")
	answered := flags.Int("answered", 0, "minimum number of tries answered")
	cut := flags.Int("cut", -1, "maximum number of tries without a response; -1 for any number")
	unknown := flags.Int("unknown", -1, "maximum number of tries with unknown outcome; -1 for any number")
	notRun := flags.Int("not-run", -1, "maximum number of tries refused as not run; -1 for any number")
	ts.Check(flags.Parse(args[1:]))
	l := loadNamed(ts, args[0])
	l.mu.Lock()
	defer l.mu.Unlock()
	begins := beginsOf(workerRecords(ts))
	var found violations
	var count tally
	for _, call := range l.calls {
		count.add(call)
		checkCall(&found, call, begins)
	}
	fmt.Fprintf(ts.Stdout(), "load %s: calls %d, answered %d, not run %d, unknown %d, cut %d, violations %d\n",
		l.name, len(l.calls), count.answered, count.notRun, count.unknown, count.cut, len(found))
	if count.answered < *answered {
		found.add("answered: %d, want at least %d", count.answered, *answered)
	}
	for _, bound := range []struct {
		name      string
		got, most int
	}{{"cut", count.cut, *cut}, {"unknown", count.unknown, *unknown}, {"not run", count.notRun, *notRun}} {
		if bound.most >= 0 && bound.got > bound.most {
			found.add("%s: %d, want at most %d; for example %s", bound.name, bound.got, bound.most, l.example(bound.name))
		}
	}
	found.verify(ts, neg, *text)
}

// outcome returns the outcome of a try: answered, not run, unknown, or cut for one
// without a response.
func (t *try) outcome() string {
	switch {
	case t.answered():
		return "answered"
	case t.notRun():
		return "not run"
	case t.status != 0:
		return "unknown"
	default:
		return "cut"
	}
}

func (c *tally) add(call *loadCall) {
	for i := range call.tries {
		switch call.tries[i].outcome() {
		case "answered":
			c.answered++
		case "not run":
			c.notRun++
		case "unknown":
			c.unknown++
		default:
			c.cut++
		}
	}
}

// example describes one try with the outcome, or returns an empty string.
func (l *load) example(outcome string) string {
	for _, call := range l.calls {
		for _, t := range call.tries {
			if t.outcome() == outcome {
				return fmt.Sprintf("%s at %s %v: %s %v", t.id, t.entry, t.started, cmp.Or(t.refusal.Message, t.refusal.Code), t.failure)
			}
		}
	}
	return ""
}

// beginsOf returns the times at which each request was started, by TEAM/ID.
func beginsOf(records []workerstandin.Record) map[string][]time.Time {
	begins := make(map[string][]time.Time)
	for _, r := range records {
		for _, e := range r.Events {
			if e.Kind == workerstandin.EventRequestBegin {
				begins[requestKey(e.ID)] = append(begins[requestKey(e.ID)], e.Time)
			}
		}
	}
	return begins
}

// checkCall checks one call. A refusal as not run applies to the work: it must not have
// started before, and must not start later unless it is sent again with the same id.
// Without an id from the caller each try has its own id.
func checkCall(found *violations, call *loadCall, begins map[string][]time.Time) {
	for i, t := range call.tries {
		key := call.team + "/" + t.id
		if t.answered() && (t.answer.Echo != call.body || t.answer.Team != call.team || requestKey(t.answer.ID) != key) {
			found.add("incomplete answer or answer of another request: %s got %+v", t.id, t.answer)
		}
		if t.invalid {
			found.add("no whole answer: %s got status %d: %v", t.id, t.status, t.failure)
		}
		if t.answered() && len(begins[key]) == 0 {
			found.add("answered but never begun: %s", t.id)
		}
		if !t.notRun() || t.id == "" {
			continue
		}
		until := time.Now().Add(time.Hour)
		if i+1 < len(call.tries) && call.id != "" {
			until = call.tries[i+1].started
		}
		for _, begin := range begins[key] {
			if begin.Before(until) {
				found.add("not run but begun: %s began at %v, refused at %v with %s: %s", t.id, begin, t.ended, t.refusal.Code, t.refusal.Message)
			}
		}
	}
}
