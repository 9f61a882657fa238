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

// markedTime returns the time that the command mark stored in a variable.
func markedTime(ts *testscript.TestScript, name string) time.Time {
	at, err := time.Parse(time.RFC3339Nano, ts.Getenv(name))
	ts.Check(err)
	return at
}

// waitMark waits until a duration has passed since a mark.
func waitMark(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 2, 2, "waitmark VAR DURATION")
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	time.Sleep(time.Until(markedTime(ts, args[0]).Add(d)))
}

// keyCheck is the state of one checkkey command. All calls of its load carry the same key.
type keyCheck struct {
	// from is the end of the period within which the change must take effect.
	from time.Time
	// works states whether the key must work or must be refused after from.
	works bool
	found violations
	// before counts the tries that ended before the mark with the outcome expected before
	// the change, after counts the tries that started after from.
	before, after int
}

// checkKey checks a key that was added or withdrawn at a mark: once -within has passed it
// must work, or be refused, at every entry, and no entry may revert to the earlier
// state. Calls with a withdrawn key must not be answered, and no worker may start work
// for it.
func checkKey(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, maxArgs, "checkkey LOAD [FLAGS]")
	flags := flag.NewFlagSet("checkkey", flag.ContinueOnError)
	markName := flags.String("mark", "", "mark at which the change was accepted")
	within := flags.Duration("within", 3*time.Second, "how long the change may take")
	then := flags.String("then", "refused", "state of the key after the change: refused or works")
	text := flags.String("text", "", "text that a violation must contain")
	minTries := flags.Int("least", 10, "minimum number of tries with the outcome before the change, and of tries after -within")
	ts.Check(flags.Parse(args[1:]))
	at := markedTime(ts, *markName)
	check := keyCheck{from: at.Add(*within), works: *then == "works"}
	l := loadNamed(ts, args[0])
	l.mu.Lock()
	defer l.mu.Unlock()
	begins := beginsOf(workerRecords(ts))
	for _, call := range l.calls {
		check.call(call, at, begins[call.team+"/"+call.id])
	}
	check.checkReverts(l)
	fmt.Fprintf(ts.Stdout(), "load %s: tries before %d, after %d, violations %d\n", l.name, check.before, check.after, len(check.found))
	if check.before < *minTries || check.after < *minTries {
		ts.Fatalf("%d tries before and %d after the change, want at least %d", check.before, check.after, *minTries)
	}
	check.found.verify(ts, neg, *text)
}

// keyAccepted reports whether the entry accepted the key.
func (t *try) keyAccepted() bool { return t.answered() }

// keyRefused reports whether the entry refused the key as unknown.
func (t *try) keyRefused() bool { return t.refusal.Code == api.CodeUnauthorized }

// call adds the violations of one call. at is the time of the change, begins the start
// times of the call's work.
func (c *keyCheck) call(call *loadCall, at time.Time, begins []time.Time) {
	for _, t := range call.tries {
		if t.ended.Before(at) && t.keyAccepted() != c.works {
			c.before++
		}
		if t.started.Before(c.from) {
			continue
		}
		c.after++
		if t.keyAccepted() != c.works {
			c.found.add("late: try at %s, %v after the bound, ended as %s %s", t.entry, t.started.Sub(c.from), t.outcome(), t.refusal.Code)
		}
	}
	for _, begin := range begins {
		if !c.works && begin.After(c.from) {
			sent := call.tries[0].started
			c.found.add("late: %s started %v after the bound, %v after it was sent to %s", call.id, begin.Sub(c.from), begin.Sub(sent), call.tries[0].entry)
		}
	}
}

// checkReverts adds a violation for each try at an entry that acted on the state before
// the change although it had applied the change earlier.
func (c *keyCheck) checkReverts(l *load) {
	appliedAt := make(map[string]time.Time)
	var tries []try
	for _, call := range l.calls {
		tries = append(tries, call.tries...)
	}
	slices.SortFunc(tries, func(a, b try) int { return a.ended.Compare(b.ended) })
	for _, t := range tries {
		changed := t.keyRefused()
		unchanged := t.keyAccepted()
		if c.works {
			changed, unchanged = unchanged, changed
		}
		since, applied := appliedAt[t.entry]
		if changed && !applied {
			appliedAt[t.entry] = t.ended
		}
		if unchanged && applied && t.started.After(since) {
			c.found.add("reverted: %s had applied the change %v before", t.entry, t.started.Sub(since))
		}
	}
}

// checkIdle checks that a worker started no requests and no tasks later than -within
// after a mark. With -until the check ends at another mark.
func checkIdle(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, maxArgs, "checkidle WORKER [FLAGS]")
	flags := flag.NewFlagSet("checkidle", flag.ContinueOnError)
	markName := flags.String("mark", "", "mark at which the worker was reported as leaving")
	until := flags.String("until", "", "mark at which the worker was no longer leaving")
	within := flags.Duration("within", 3*time.Second, "how long after the mark work may still start")
	before := flags.Int("before", 1, "minimum number of starts before the mark")
	after := flags.Int("after", 0, "minimum number of starts after the mark -until")
	ts.Check(flags.Parse(args[1:]))
	from := markedTime(ts, *markName)
	to := time.Now()
	if *until != "" {
		to = markedTime(ts, *until)
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
				found.add("late: %s%s started %v after the bound", e.ID, e.Task, e.Time.Sub(from.Add(*within)))
			}
		}
	}
	fmt.Fprintf(ts.Stdout(), "worker %s: started before %d, after %d, violations %d\n", args[0], early, late, len(found))
	if early < *before || late < *after {
		ts.Fatalf("%d started before and %d after, want at least %d and %d", early, late, *before, *after)
	}
	found.verify(ts, neg, "")
}
