// Package cli implements the command line for operators and callers. Each command is
// one call, or a few, to the HTTP API of an entry.
//
// Exit codes: 0 done; 1 refused, the work or change did not take effect; 2 the
// command line is invalid; 3 the outcome is unknown; 4 no entry could be reached,
// nothing was sent.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
)

// Version is the version that the command reports.
const Version = "0.1.0"

// Exit codes.
const (
	ExitDone = iota
	ExitRefused
	ExitUsage
	ExitUnknown
	ExitUnreachable
)

// app holds the streams and common flags of all commands.
type app struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	entries   string
	operators string
	key       string
	output    string
}

// Main runs the command line args and returns the exit code.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	root := a.root()
	err := root.ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	fmt.Fprintln(stderr, "kingcuplatch:", err)
	return exitCode(err)
}

// usageError reports an invalid command line.
type usageError struct{ reason string }

// Error implements error.
func (e *usageError) Error() string { return e.reason + "; see -help" }

func exitCode(err error) int {
	var refused *api.Error
	var usage *usageError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &refused) && refused.Ran == api.NotRun:
		return ExitRefused
	case errors.As(err, &refused):
		return ExitUnknown
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.Is(err, errNoneSchedules):
		return ExitRefused
	case errors.Is(err, errNoReply):
		return ExitUnknown
	case errors.Is(err, errNotFinished), errors.Is(err, errFailed):
		return ExitRefused
	default:
		return ExitUsage
	}
}

func (a *app) root() *ffcli.Command {
	set := a.flags("kingcuplatch")
	root := &ffcli.Command{
		Name:       "kingcuplatch",
		ShortUsage: "kingcuplatch [flags] <command>",
		ShortHelp:  "Operate a kingcuplatch scheduler and submit work to it.",
		LongHelp: "Flags can be set in the environment: KINGCUPLATCH_ENTRIES, KINGCUPLATCH_OPERATORS, KINGCUPLATCH_KEY.\n" +
			"Exit codes: 0 done; 1 refused, not run; 2 usage error; 3 outcome unknown; 4 no entry reached.",
		FlagSet: set,
		Options: []ff.Option{ff.WithEnvVarPrefix("KINGCUPLATCH")},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{fmt.Sprintf("there is no command %q", args[0])}
			}
			return &usageError{"a command is missing"}
		},
	}
	root.Subcommands = []*ffcli.Command{
		a.applyCommand(), a.planCommand("plan"), a.planCommand("diff"), a.getCommand(),
		a.withdrawCommand(), a.drainCommand(),
		a.requestCommand(), a.submitCommand(), a.statusCommand(), a.cancelCommand(), a.explainCommand(),
		a.reportCommand(), a.trialCommand(), a.versionCommand(),
	}
	return root
}

// flags returns a flag set with the flags that all commands accept.
func (a *app) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(a.stderr)
	set.StringVar(&a.entries, "entries", a.entries, "callers' URLs of entries, separated by commas")
	set.StringVar(&a.operators, "operators", a.operators, "operators' URLs of entries, separated by commas")
	set.StringVar(&a.key, "key", a.key, "key, or @FILE to read it from a file")
	set.StringVar(&a.output, "o", "text", "output: text or json")
	return set
}

// command returns a command with the given flag set. Only the root command reads the
// environment: subcommands are parsed after it, so reading the environment there would
// override flags given before the command's name.
func (a *app) command(name, usage, help string, set *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "kingcuplatch " + name + " " + usage, ShortHelp: help, FlagSet: set,
		Exec: func(ctx context.Context, args []string) error {
			if a.output != "text" && a.output != "json" {
				return &usageError{"-o: want text or json"}
			}
			return exec(ctx, args)
		},
	}
}

// secret returns the key, read from its file if -key is @FILE.
func (a *app) secret() (string, error) {
	file, isFile := strings.CutPrefix(a.key, "@")
	if !isFile {
		return a.key, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &usageError{"-key: " + err.Error()}
	}
	return strings.TrimSpace(string(data)), nil
}

// print writes v as JSON with -o json, and otherwise calls text.
func (a *app) print(v any, text func(w io.Writer)) error {
	if a.output == "json" {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	text(a.stdout)
	return nil
}

func (a *app) versionCommand() *ffcli.Command {
	return a.command("version", "", "Print the version of this command.", a.flags("version"), func(_ context.Context, args []string) error {
		if err := noArgs(args, "version"); err != nil {
			return err
		}
		return a.print(struct {
			Version string `json:"version"`
		}{Version}, func(w io.Writer) { fmt.Fprintln(w, Version) })
	})
}
