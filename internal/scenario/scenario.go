// Package scenario adds commands for separate processes to testscript, so that
// scripts can start, freeze, kill and ask the parts of a cluster.
//
//	start NAME PROGRAM [ARG...]   run a program in the background; its output
//	                              goes to NAME.log in the work directory
//	signal NAME TERM|KILL|STOP|CONT
//	waitexit NAME                 wait for its end with code 0, with ! another
//	addr VAR FILE                 wait for a file, put its text into $VAR
//	subst FILE...                 replace ${VAR} in files by their values
//	waithttp URL [TEXT]           wait for status 200 and TEXT in the body, with
//	                              ! for a body without TEXT
//	get URL, post URL BODY        print the answer's body; fails on a status that
//	                              is not 2xx, with ! on one that is
//	cluster [FLAGS]               start a platform, entries and workers
//	entry N                       start an entry of the cluster again
//	ready [ENTRIES WORKERS]       wait until that many serve all blocks
//	balanced                      wait until every entry serves a worker
//	load NAME [FLAGS]             call the entries in the background
//	waitload NAME                 wait for the end of a load
//	waitjob ID KEY URL            wait until a job is done
//	checkload NAME [FLAGS]        check a load's answers against the workers' records
//	findworker VAR TEXT           wait for TEXT in a worker's record, put its address into $VAR
//	checkworkers [FLAGS]          check the workers' own records
//	settled PROGRAM [ARG...]      run a command until its outcome is known; it must succeed
//	mark VAR                      put the present time into $VAR
//	checkteams [FLAGS]            check how much of a team ran at a time
//	waitstarted N                 wait until N attempts of tasks were started
//	waitbegun N                   wait until N requests were begun
//	waitmark VAR DURATION         wait until that long after the mark
//	checkkey LOAD [FLAGS]         check when the load's key began or ceased to work
//	checkidle WORKER [FLAGS]      check that a worker began nothing after a mark
//
// The two checks know nothing of the product but its public messages; with ! they
// want a violation. Their flags bound what has to be seen.
//
// Every wait ends with a failure after 30 seconds. All processes are killed at
// the end of the script. Use it as
//
//	testscript.Params{Cmds: scenario.Commands(), Setup: scenario.Setup}
package scenario

import (
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// waitBound is how long any command waits for what it is to see.
	waitBound = 30 * time.Second
	// pollInterval is the pause between two looks.
	pollInterval = 20 * time.Millisecond
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands returns the commands by name.
func Commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]command{
		"start":       start,
		"signal":      signal,
		"waitexit":    waitExit,
		"addr":        addr,
		"subst":       subst,
		"waithttp":    waitHTTP,
		"get":         get,
		"post":        post,
		"settled":     settled,
		"mark":        mark,
		"checkteams":  checkTeams,
		"waitstarted": waitStarted,
		"waitbegun":   waitBegun,
		"cluster":     startCluster,
		"entry":       startEntry,
		"ready":       ready,
		"balanced":    balanced,

		"waitmark":  waitMark,
		"checkkey":  checkKey,
		"checkidle": checkIdle,

		"load":         startLoad,
		"waitload":     waitLoad,
		"waitjob":      waitJob,
		"checkload":    checkLoad,
		"findworker":   findWorker,
		"checkworkers": checkWorkers,
	}
}

// Setup prepares one script; every script that uses Commands needs it.
func Setup(env *testscript.Env) error {
	procs := newProcesses(env.WorkDir, env.Vars)
	env.Values[processesKey{}] = procs
	env.Values[loadsKey{}] = make(map[string]*load)
	env.Defer(func() {
		procs.killAll()
		if t, ok := env.T().(failer); ok && t.Failed() {
			env.T().Log(procs.tails())
		}
	})
	return nil
}

// failer is the part of testing.T that tells whether a script has failed.
type failer interface{ Failed() bool }

// usage fails the script unless there are at least low and at most high args.
func usage(ts *testscript.TestScript, args []string, low, high int, text string) {
	if len(args) < low || len(args) > high {
		ts.Fatalf("usage: %s", text)
	}
}

// positive fails the script if the command was negated.
func positive(ts *testscript.TestScript, neg bool) {
	if neg {
		ts.Fatalf("! is not supported by this command")
	}
}

// poll looks until look is true and reports whether it became so in time.
func poll(look func() bool) bool {
	deadline := time.Now().Add(waitBound)
	for !look() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

func addr(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg)
	usage(ts, args, 2, 2, "addr VAR FILE")
	var text []byte
	read := func() (err error) {
		text, err = os.ReadFile(ts.MkAbs(args[1]))
		return err
	}
	if !poll(func() bool { return read() == nil }) {
		ts.Fatalf("no file %s after %v", args[1], waitBound)
	}
	ts.Setenv(args[0], strings.TrimSpace(string(text)))
}

func subst(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg)
	for _, name := range args {
		path := ts.MkAbs(name)
		text, err := os.ReadFile(path)
		ts.Check(err)
		ts.Check(os.WriteFile(path, []byte(os.Expand(string(text), ts.Getenv)), 0o644))
	}
}
