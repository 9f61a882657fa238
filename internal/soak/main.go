// Command soak is a bounded trial on loopback, run by hand:
//
//	go run ./internal/soak -entries 9 -workers 50 -for 60s -rate 500 -faults
//
// Entries are processes of their own, started from this program's own binary; the
// platform and the workers are stand-ins in this process. Callers send requests of
// five teams at an even rate, and jobs beside them. With -faults the platform gets
// slow and goes down, one worker fails everything, connections go silent, and one
// entry is killed and started again. At the end it prints the measures.
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

// readyFor bounds the start of the cluster.
const readyFor = time.Minute

// entryRole as first argument makes the process an entry.
const entryRole = "entry"

// shape is the size of a soak.
type shape struct {
	entries, workers int
	length           time.Duration
	// rate is in requests a second, of all teams together.
	rate int
	// workMS is how long a request runs, in milliseconds.
	workMS int
	faults bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(os.Args) > 1 && os.Args[1] == entryRole {
		os.Exit(daemon.Main(ctx, os.Args[2:], os.Stderr))
	}
	var s shape
	flag.IntVar(&s.entries, "entries", 9, "entries, each a process")
	flag.IntVar(&s.workers, "workers", 50, "worker stand-ins")
	flag.DurationVar(&s.length, "for", time.Minute, "how long callers send")
	flag.IntVar(&s.rate, "rate", 500, "requests a second")
	flag.IntVar(&s.workMS, "work-ms", 200, "how long a request runs, in milliseconds")
	flag.BoolVar(&s.faults, "faults", false, "provoke faults")
	flag.Parse()
	if err := soak(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func soak(ctx context.Context, s shape) error {
	c, err := startCluster(s)
	if err != nil {
		return err
	}
	defer c.stop()
	readyCtx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	if err := c.ready(readyCtx); err != nil {
		return fmt.Errorf("the entries did not get ready: %w", err)
	}
	if err := c.apply(ctx); err != nil {
		return err
	}
	before := c.costs()
	counts := c.platform.Counts()
	began := time.Now()
	ctx, cancel = context.WithTimeout(ctx, s.length)
	defer cancel()
	if s.faults {
		go c.provoke(ctx)
	}
	l := newLoad(c)
	l.run(ctx)
	l.report()
	c.report(before, counts, time.Since(began))
	return nil
}
