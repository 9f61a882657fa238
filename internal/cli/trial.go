package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/internal/trial"
)

const (
	// trialReadyTimeout bounds the start of the trial's cluster.
	trialReadyTimeout = 30 * time.Second
	trialEntries      = 3
	// trialWorkers is the number of workers of each upstream.
	trialWorkers = 4
)

// trialSteps are the command lines that the trial runs, each with the key that it uses.
var trialSteps = []struct{ key, line string }{
	{"example-key-swan-brokers", `request -o json -id quote-1 -body {"berth":9} quote`},
	{"example-key-swan-brokers", `request -o json -id quote-1 -body {"berth":9} quote`},
	{"example-key-nottingham", `request -o json -body {"governor":17} induction-check`},
	{"example-key-nottingham", `submit -id pack-17 -tasks 4 -payload {"run_ms":300} -wait 30s certificate-pack`},
	{"example-key-skippers", `submit -id roster-tonight -tasks 12 -payload {"run_ms":200} -wait 30s crew-roster`},
	{"wrong-key", `request -body {} quote`},
}

func (a *app) trialCommand() *ffcli.Command {
	set := a.flags("trial")
	logs := set.Bool("logs", false, "print the entries' events to standard error")
	return a.command("trial", "[-logs]", "Run a small scheduler in this process and send work to it.", set,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args, "trial"); err != nil {
				return err
			}
			out := io.Discard
			if *logs {
				out = a.stderr
			}
			return a.trial(ctx, out)
		})
}

// trial starts a small cluster, applies the records of both example users and runs
// trialSteps.
func (a *app) trial(ctx context.Context, logs io.Writer) error {
	fmt.Fprintf(a.stdout, "Starting %d entries and %d workers in this process, with the platform in memory.\n",
		trialEntries, 2*trialWorkers)
	cluster, err := trial.Start(trial.Shape{
		Entries: trialEntries, Workers: trialWorkers,
		Upstreams: []string{"bookings", "training-records"}, Logs: logs,
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	readyCtx, cancel := context.WithTimeout(ctx, trialReadyTimeout)
	defer cancel()
	if err := cluster.Ready(readyCtx); err != nil {
		return fmt.Errorf("trial cluster not ready: %w", err)
	}
	a.entries, a.operators = cluster.CallerURLs(), cluster.OperatorURLs()
	if err := a.trialApply(ctx); err != nil {
		return err
	}
	for _, step := range trialSteps {
		a.trialStep(ctx, step.key, step.line)
	}
	a.trialStep(ctx, trial.OperatorKey, "get entries")
	fmt.Fprintln(a.stdout, "\nStopping.")
	return nil
}

// trialApply applies the records of both example users.
func (a *app) trialApply(ctx context.Context) error {
	request, err := trial.ExampleRecords()
	if err != nil {
		return err
	}
	a.key = trial.OperatorKey
	var result api.ApplyResult
	if err := a.exchange(ctx, a.toOperators(), http.MethodPost, "/v1/apply", request, &result); err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "\nApplied %d files: %d changes, version %d in force on %s.\n",
		len(request.Files), len(result.Changes), result.Version, strings.Join(result.Confirmed, ", "))
	return nil
}

// trialStep prints a command line and runs it.
func (a *app) trialStep(ctx context.Context, key, line string) {
	fmt.Fprintf(a.stdout, "\n$ kingcuplatch -key %s %s\n", key, line)
	args := append([]string{"-entries", a.entries, "-operators", a.operators, "-key", key}, strings.Fields(line)...)
	started := time.Now()
	code := Main(ctx, args, strings.NewReader(""), a.stdout, a.stdout)
	fmt.Fprintf(a.stdout, "exit code %d after %s\n", code, time.Since(started).Round(time.Millisecond))
}
