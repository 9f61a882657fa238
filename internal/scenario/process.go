package scenario

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// logTailBytes is the number of bytes of a process's log that a failure prints.
const logTailBytes = 4 << 10

// maxArgs bounds the arguments of a command with optional arguments.
const maxArgs = 100

var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// processesKey is the key of the *processes in a script's values.
type processesKey struct{}

// processes holds the processes that one script has started.
type processes struct {
	dir string
	env []string
	// cluster is set by the command cluster.
	cluster *cluster

	mu     sync.Mutex
	byName map[string]*process
	// callerAddresses holds the address of each entry's listener for callers, by entry.
	callerAddresses map[string]string
}

// process is one program that runs in the background.
type process struct {
	cmd *exec.Cmd
	// exited is closed after the program has exited and err is set.
	exited chan struct{}
	err    error
	// frozen reports whether the last signal was STOP.
	frozen atomic.Bool
}

func newProcesses(dir string, env []string) *processes {
	return &processes{dir: dir, env: env, byName: make(map[string]*process), callerAddresses: make(map[string]string)}
}

func (p *processes) logPath(name string) string {
	return filepath.Join(p.dir, name+".log")
}

// start runs a program in the background and appends its output to the log NAME.log.
func (p *processes) start(dir, name, program string, args []string) error {
	log, err := os.OpenFile(p.logPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Dir = dir
	cmd.Env = p.env
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	started := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		started.err = cmd.Wait()
		close(started.exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[name] = started
	return nil
}

func (p *processes) get(name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// entryURLs returns the URLs for callers of all entries, each as it was last started.
func (p *processes) entryURLs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var urls []string
	for _, name := range slices.Sorted(maps.Keys(p.callerAddresses)) {
		urls = append(urls, "http://"+p.callerAddresses[name])
	}
	return urls
}

func (p *processes) setCallerAddress(entry, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerAddresses[entry] = address
}

// killAll kills all processes and waits until they have exited.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.byName {
		_ = started.cmd.Process.Kill()
	}
	for _, started := range p.byName {
		<-started.exited
	}
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func processesOf(ts *testscript.TestScript) *processes {
	procs, ok := ts.Value(processesKey{}).(*processes)
	if !ok {
		ts.Fatalf("scenario.Setup was not called")
	}
	return procs
}

// processNamed returns a process that was started, or fails the script.
func processNamed(ts *testscript.TestScript, name string) *process {
	found := processesOf(ts).get(name)
	if found == nil {
		ts.Fatalf("process %s was not started", name)
	}
	return found
}

func start(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 2, maxArgs, "start NAME PROGRAM [ARG...]")
	procs := processesOf(ts)
	earlier := procs.get(args[0])
	if earlier != nil && earlier.running() {
		ts.Fatalf("process %s is still running", args[0])
	}
	ts.Check(procs.start(ts.MkAbs("."), args[0], args[1], args[2:]))
}

func signal(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 2, 2, "signal NAME TERM|KILL|STOP|CONT")
	sig, known := signals[args[1]]
	if !known {
		ts.Fatalf("unknown signal %s", args[1])
	}
	target := processNamed(ts, args[0])
	ts.Check(target.cmd.Process.Signal(sig))
	target.frozen.Store(args[1] == "STOP")
}

func waitExit(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, args, 1, 1, "waitexit NAME")
	ended := processNamed(ts, args[0])
	select {
	case <-ended.exited:
	case <-time.After(waitTimeout):
		logTail(ts, args[0])
		ts.Fatalf("process %s is still running after %v", args[0], waitTimeout)
	}
	if failed := ended.err != nil; failed != neg {
		logTail(ts, args[0])
		ts.Fatalf("process %s ended unexpectedly: %v", args[0], ended.cmd.ProcessState)
	}
}

// logTail logs the end of a process's log.
func logTail(ts *testscript.TestScript, name string) {
	ts.Logf("%s", processesOf(ts).tail(name))
}

// tail returns the end of a process's log.
func (p *processes) tail(name string) string {
	text, err := os.ReadFile(p.logPath(name))
	if err != nil {
		return fmt.Sprintf("log of %s: %v\n", name, err)
	}
	return fmt.Sprintf("log of %s:\n%s\n", name, text[max(0, len(text)-logTailBytes):])
}

// tails returns the end of the log of every process.
func (p *processes) tails() string {
	p.mu.Lock()
	names := slices.Sorted(maps.Keys(p.byName))
	p.mu.Unlock()
	var all strings.Builder
	for _, name := range names {
		all.WriteString(p.tail(name))
	}
	return all.String()
}
