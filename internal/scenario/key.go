package scenario

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

// marked returns the time that mark put into a variable.
func marked(ts *testscript.TestScript, name string) time.Time {
	at, err := time.Parse(time.RFC3339Nano, ts.Getenv(name))
	ts.Check(err)
	return at
}

// waitMark waits until a time after a mark.
func waitMark(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg)
	usage(ts, args, 2, 2, "waitmark VAR DURATION")
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	time.Sleep(time.Until(marked(ts, args[0]).Add(d)))
}

// keyCheck is what checkkey wants of a load that presents one key.
type keyCheck struct {
	// from is the end of the time that the change may take.
	from time.Time
	// works says that the key is to work from then on, else that it is not.
	works bool
	found violations
	// before and after count tries that ended before the mark or began after from.
	before, after int
}

// checkKey checks that a key that was given or withdrawn at a mark works, or
// doesn't, once -within has passed, at every entry, and that no entry goes back.
// A withdrawn key must not be answered, nor may a worker begin work under it.
func checkKey(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, maxArgs, "checkkey LOAD [FLAGS]")
	flags := flag.NewFlagSet("checkkey", flag.ContinueOnError)
	since := flags.String("mark", "", "when the change was accepted")
	within := flags.Duration("within", 3*time.Second, "how long the change may take")
	then := flags.String("then", "refused", "what the key is afterwards: refused or works")
	text := flags.String("text", "", "what a violation must contain")
	least := flags.Int("least", 10, "least tries answered as before the change, and made after it took its time")
	ts.Check(flags.Parse(args[1:]))
	at := marked(ts, *since)
	check := keyCheck{from: at.Add(*within), works: *then == "works"}
	l := loadNamed(ts, args[0])
	l.mu.Lock()
	defer l.mu.Unlock()
	begins := beginsOf(workerRecords(ts))
	for _, call := range l.calls {
		check.call(call, at, begins[call.team+"/"+call.id])
	}
	check.goneBack(l)
	fmt.Fprintf(ts.Stdout(), "load %s: tries before %d, after %d, violations %d\n", l.name, check.before, check.after, len(check.found))
	if check.before < *least || check.after < *least {
		ts.Fatalf("%d tries before and %d after the change, want at least %d", check.before, check.after, *least)
	}
	check.found.settle(ts, neg, *text)
}

// worked reports whether the entry took the key.
func (t *try) worked() bool { return t.answered() }

// keyRefused reports whether the entry said that it doesn't know the key.
func (t *try) keyRefused() bool { return t.refusal.Code == api.CodeUnauthorized }

func (c *keyCheck) call(call *loadCall, at time.Time, begins []time.Time) {
	for _, t := range call.tries {
		if t.ended.Before(at) && t.worked() != c.works {
			c.before++
		}
		if t.started.Before(c.from) {
			continue
		}
		c.after++
		if t.worked() != c.works {
			c.found.add("late: try at %s %v after the bound ended as %s %s", t.entry, t.started.Sub(c.from), t.outcome(), t.refusal.Code)
		}
	}
	for _, begin := range begins {
		if !c.works && begin.After(c.from) {
			sent := call.tries[0].started
			c.found.add("late: %s began %v after the bound, %v after it was sent to %s", call.id, begin.Sub(c.from), begin.Sub(sent), call.tries[0].entry)
		}
	}
}

// goneBack finds entries that knew the change and later acted without it.
func (c *keyCheck) goneBack(l *load) {
	knew := make(map[string]time.Time)
	var tries []try
	for _, call := range l.calls {
		tries = append(tries, call.tries...)
	}
	slices.SortFunc(tries, func(a, b try) int { return a.ended.Compare(b.ended) })
	for _, t := range tries {
		changed := t.keyRefused()
		unchanged := t.worked()
		if c.works {
			changed, unchanged = unchanged, changed
		}
		since, known := knew[t.entry]
		if changed && !known {
			knew[t.entry] = t.ended
		}
		if unchanged && known && t.started.After(since) {
			c.found.add("went back: %s knew the change %v before", t.entry, t.started.Sub(since))
		}
	}
}

// checkIdle checks that a worker began nothing, neither requests nor tasks, later
// than -within after a mark, and with -until only up to another mark.
func checkIdle(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, maxArgs, "checkidle WORKER [FLAGS]")
	flags := flag.NewFlagSet("checkidle", flag.ContinueOnError)
	since := flags.String("mark", "", "when the worker was said to leave")
	until := flags.String("until", "", "mark up to which it was leaving")
	within := flags.Duration("within", 3*time.Second, "how long work may still come")
	before := flags.Int("before", 1, "least work begun before the mark")
	after := flags.Int("after", 0, "least work begun after the mark -until")
	ts.Check(flags.Parse(args[1:]))
	from := marked(ts, *since)
	to := time.Now()
	if *until != "" {
		to = marked(ts, *until)
	}
	var found violations
	var early, late int
	for _, record := range workerRecords(ts) {
		if record.Worker != args[0] {
			continue
		}
		for _, e := range record.Events {
			if e.Kind != workerstandin.EventRequestBegin && e.Kind != workerstandin.EventTaskStart {
				continue
			}
			switch {
			case e.Time.Before(from):
				early++
			case e.Time.After(to):
				late++
			case e.Time.After(from.Add(*within)):
				found.add("late: %s%s began %v after the bound", e.ID, e.Task, e.Time.Sub(from.Add(*within)))
			}
		}
	}
	fmt.Fprintf(ts.Stdout(), "worker %s: begun before %d, after %d, violations %d\n", args[0], early, late, len(found))
	if early < *before || late < *after {
		ts.Fatalf("%d begun before and %d after, want at least %d and %d", early, late, *before, *after)
	}
	found.settle(ts, neg, "")
}
