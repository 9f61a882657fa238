package scenario

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

// mark sets a variable to the present time, for commands that refer to a mark.
func mark(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 1, 1, "mark VAR")
	ts.Setenv(args[0], time.Now().Format(time.RFC3339Nano))
}

// checkTeams checks in the workers' records how many requests and tasks of a team ran at
// the same time on all workers together.
func checkTeams(ts *testscript.TestScript, neg bool, args []string) {
	flags := flag.NewFlagSet("checkteams", flag.ContinueOnError)
	team := flags.String("team", "", "the team")
	limit := flags.Int("limit", 0, "maximum that may run at a time")
	least := flags.Int("least", 1, "minimum peak, so that the check does not pass without work")
	since := flags.String("since", "", "count only what runs after this mark")
	until := flags.String("until", "", "count only what runs up to this mark")
	ts.Check(flags.Parse(args))
	peak := peakOf(workerRecords(ts), *team, parseMark(ts, *since), parseMark(ts, *until))
	fmt.Fprintf(ts.Stdout(), "team %s: peak %d, limit %d\n", *team, peak, *limit)
	if peak < *least {
		ts.Fatalf("team %s: peak %d is below %d", *team, peak, *least)
	}
	var found violations
	if peak > *limit {
		found.add("team limit: %s had %d running, limit %d", *team, peak, *limit)
	}
	found.verify(ts, neg, "team limit")
}

// waitStarted waits until the workers' records have a number of started attempts.
func waitStarted(ts *testscript.TestScript, neg bool, args []string) {
	waitEvents(ts, neg, args, "waitstarted", workerstandin.EventTaskStart)
}

// waitBegun waits until the workers' records have a number of started requests.
func waitBegun(ts *testscript.TestScript, neg bool, args []string) {
	waitEvents(ts, neg, args, "waitbegun", workerstandin.EventRequestBegin)
}

// waitEvents waits until the workers' records have a number of events of a kind.
func waitEvents(ts *testscript.TestScript, neg bool, args []string, name string, kind workerstandin.EventKind) {
	rejectNegation(ts, neg)
	usage(ts, args, 1, 1, name+" N")
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	seen := func() (n int) {
		for _, r := range workerRecords(ts) {
			for _, e := range r.Events {
				if e.Kind == kind {
					n++
				}
			}
		}
		return n
	}
	if !poll(func() bool { return seen() >= want }) {
		ts.Fatalf("%s: %d, want %d", name, seen(), want)
	}
}

// parseMark parses the time of a mark. An empty text is the zero time.
func parseMark(ts *testscript.TestScript, text string) time.Time {
	if text == "" {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	ts.Check(err)
	return at
}

// peakOf returns the largest number of requests and tasks of a team that ran at a time
// between since and until.
func peakOf(records []workerstandin.Record, team string, since, until time.Time) int {
	var events []workerstandin.Event
	for _, r := range records {
		for _, e := range r.Events {
			if e.Team == team && delta(e.Kind) != 0 {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b workerstandin.Event) int { return a.Time.Compare(b.Time) })
	running, peak := 0, 0
	for i, e := range events {
		if !until.IsZero() && e.Time.After(until) {
			break
		}
		running += delta(e.Kind)
		runsAfterSince := i+1 == len(events) || events[i+1].Time.After(since)
		if runsAfterSince {
			peak = max(peak, running)
		}
	}
	return peak
}

// delta returns the change of the number of running requests and tasks by an event.
func delta(kind workerstandin.EventKind) int {
	switch kind {
	case workerstandin.EventRequestBegin, workerstandin.EventTaskStart:
		return 1
	case workerstandin.EventRequestEnd, workerstandin.EventTaskEnd:
		return -1
	default:
		return 0
	}
}
