// Command soak runs a cluster on loopback under load for a limited time. It is started by
// hand:
//
//	go run ./internal/soak -entries 9 -workers 50 -for 60s -rate 500 -faults
//
// Each entry is a separate process that runs the binary of this program. The platform and
// the workers are stand-ins in this process. Callers send requests of five teams at a
// constant rate, and also submit jobs. With -faults the platform becomes slow and then
// unavailable, one worker fails all work, connections of workers stop responding, and
// one entry is killed and restarted. At the end it prints the measurements.
//
// With -restarts the entries are restarted in series that overlap instead, while callers
// keep using their open connections until the process is gone:
//
//	go run ./internal/soak -restarts -seed 7 -entries 5 -workers 8 -for 20s
//
// The seed determines the restarts and what the callers send. The run fails if a request
// that was sent whole ends without an answer although its entry wasn't killed, if an answer
// "not run" is false, if a request runs twice, or if an accepted job doesn't end. The logs
// of a run that failed are kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/daemon"
)

// readyTimeout bounds the start of the cluster.
const readyTimeout = time.Minute

// entryRole is the first argument that makes the process an entry.
const entryRole = "entry"

// options holds the size of the cluster, the load and the length of a run.
type options struct {
	entries, workers int
	length           time.Duration
	// rate is the number of requests per second, of all teams together.
	rate int
	// workMS is the run time of a request in milliseconds.
	workMS int
	faults bool
	// drain is how long a graceful stop of an entry may take.
	drain time.Duration
	// restarts selects the restarts in series; seed determines them.
	restarts bool
	seed     int64
	// callers is the number of callers that keep connections open during the restarts.
	callers int
	// role is the first argument of the entries' processes.
	role string
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == entryRole {
		os.Exit(runEntry(os.Args[2:]))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := options{role: entryRole}
	flag.IntVar(&s.entries, "entries", 9, "number of entries, each a process")
	flag.IntVar(&s.workers, "workers", 50, "number of worker stand-ins")
	flag.DurationVar(&s.length, "for", time.Minute, "how long callers send work")
	flag.IntVar(&s.rate, "rate", 500, "requests per second")
	flag.IntVar(&s.workMS, "work-ms", 200, "run time of a request, in milliseconds")
	flag.BoolVar(&s.faults, "faults", false, "inject faults")
	flag.DurationVar(&s.drain, "drain", 5*time.Second, "how long a graceful stop may take")
	flag.BoolVar(&s.restarts, "restarts", false, "restart the entries in series that overlap")
	flag.Int64Var(&s.seed, "seed", 1, "seed of the restarts and of their callers")
	flag.IntVar(&s.callers, "callers", 40, "callers with open connections during the restarts")
	flag.Parse()
	run := soak
	if s.restarts {
		run = soakRestarts
	}
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// runEntry runs an entry until it is stopped and returns the exit code.
func runEntry(args []string) int {
	ctx, stop := daemon.NotifyStop(context.Background())
	defer stop()
	return daemon.Main(ctx, args, os.Stderr)
}

func soak(ctx context.Context, s options) error {
	c, err := startReadyCluster(ctx, s)
	if err != nil {
		return err
	}
	defer c.stop()
	before := c.metrics()
	counts := c.platform.Counts()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.length)
	defer cancel()
	if s.faults {
		go c.injectFaults(ctx)
	}
	l := newLoad(c)
	l.run(ctx)
	l.report()
	c.report(before, counts, time.Since(started))
	return nil
}

// startReadyCluster starts a cluster, waits until it is ready and applies the records.
func startReadyCluster(ctx context.Context, s options) (*cluster, error) {
	c, err := startCluster(s)
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.ready(readyCtx); err != nil {
		c.stop()
		return nil, fmt.Errorf("cluster not ready: %w", err)
	}
	if err := c.apply(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}
