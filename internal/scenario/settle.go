package scenario

import (
	"errors"
	"os/exec"

	"github.com/rogpeppe/go-internal/testscript"
)

// exitUnknown is the exit code of a command whose outcome isn't known.
const exitUnknown = 3

// settled runs a command again, as callers do with the same id, until its outcome is
// known; then it must have succeeded.
func settled(ts *testscript.TestScript, neg bool, args []string) {
	positive(ts, neg)
	usage(ts, args, 1, maxArgs, "settled PROGRAM [ARG...]")
	var err error
	known := poll(func() bool {
		err = ts.Exec(args[0], args[1:]...)
		var exit *exec.ExitError
		return !errors.As(err, &exit) || exit.ExitCode() != exitUnknown
	})
	if !known {
		ts.Fatalf("the outcome isn't known after %v", waitBound)
	}
	ts.Check(err)
}
