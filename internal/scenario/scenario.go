// Package scenario adds commands to testscript with which scripts run a cluster of
// separate processes: they start, freeze and kill processes, send calls to them and check
// the results.
//
//	start NAME PROGRAM [ARG...]   run a program in the background; its output
//	                              goes to NAME.log in the work directory
//	signal NAME TERM|KILL|STOP|CONT
//	waitexit NAME                 wait until it exits with code 0, with ! another code
//	addr VAR FILE                 wait for a file and set $VAR to its text
//	subst FILE...                 replace ${VAR} in files by their values
//	waithttp URL [TEXT]           wait for status 200 and TEXT in the body, with
//	                              ! for a body without TEXT
//	get URL, post URL BODY        print the response body; fail unless the status is
//	                              2xx, with ! if it is
//	cluster [FLAGS]               start a platform, entries and workers
//	entry N                       restart an entry of the cluster
//	ready [ENTRIES WORKERS]       wait until that many entries serve all blocks
//	balanced                      wait until every entry serves a worker
//	load NAME [FLAGS]             call the entries in the background
//	waitload NAME                 wait until a load has ended
//	waitjob ID KEY URL            wait until a job is done
//	checkload NAME [FLAGS]        check a load's responses against the workers' records
//	findworker VAR TEXT           wait for TEXT in a worker's record, set $VAR to its address
//	checkworkers [FLAGS]          check the workers' records
//	settled PROGRAM [ARG...]      run a command until its outcome is known; it must succeed
//	mark VAR                      set $VAR to the present time
//	checkteams [FLAGS]            check how much work of a team ran at a time
//	waitstarted N                 wait until N attempts of tasks were started
//	waitbegun N                   wait until N requests were started
//	waitmark VAR DURATION         wait until DURATION after a mark
//	checkkey LOAD [FLAGS]         check when the load's key started or stopped working
//	checkidle WORKER [FLAGS]      check that a worker started no work after a mark
//
// The check commands depend only on public messages of the product and on the workers'
// records. With ! they expect a violation. Their flags set bounds on the results.
//
// A wait fails after 30 seconds; balanced, waitload and waitjob fail after 60. All
// processes are killed at the end of the script. Use it as
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
	// waitTimeout is how long a command waits for its condition.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
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

// Setup prepares one script. Every script that uses Commands needs it.
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

// failer is the part of testing.T that reports whether a script has failed.
type failer interface{ Failed() bool }

// usage fails the script unless there are at least low and at most high args.
func usage(ts *testscript.TestScript, args []string, low, high int, text string) {
	if len(args) < low || len(args) > high {
		ts.Fatalf("usage: %s", text)
	}
}

// rejectNegation fails the script if the command was negated with !.
func rejectNegation(ts *testscript.TestScript, neg bool) {
	if neg {
		ts.Fatalf("! is not supported by this command")
	}
}

// poll calls condition until it returns true, and reports whether it did within
// waitTimeout.
func poll(condition func() bool) bool {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

func addr(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 2, 2, "addr VAR FILE")
	var text []byte
	read := func() (err error) {
		text, err = os.ReadFile(ts.MkAbs(args[1]))
		return err
	}
	if !poll(func() bool { return read() == nil }) {
		ts.Fatalf("file %s does not exist after %v", args[1], waitTimeout)
	}
	ts.Setenv(args[0], strings.TrimSpace(string(text)))
}

func subst(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	for _, name := range args {
		path := ts.MkAbs(name)
		text, err := os.ReadFile(path)
		ts.Check(err)
		ts.Check(os.WriteFile(path, []byte(os.Expand(string(text), ts.Getenv)), 0o644))
	}
}
