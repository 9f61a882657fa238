package scenario

import (
	"errors"
	"os/exec"

	"github.com/rogpeppe/go-internal/testscript"
)

// exitUnknown is the exit code of a command whose outcome is unknown.
const exitUnknown = 3

// settled repeats a command until its outcome is known, as a caller repeats a call with the
// same id.
// It fails the script if the command fails or the outcome stays unknown.
func settled(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 1, maxArgs, "settled PROGRAM [ARG...]")
	var err error
	known := poll(func() bool {
		err = ts.Exec(args[0], args[1:]...)
		var exit *exec.ExitError
		return !errors.As(err, &exit) || exit.ExitCode() != exitUnknown
	})
	if !known {
		ts.Fatalf("outcome still unknown after %v", waitTimeout)
	}
	ts.Check(err)
}
