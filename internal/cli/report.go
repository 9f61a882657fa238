package cli

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) reportCommand() *ffcli.Command {
	return a.command("report", "burn", "Report on service levels.", a.flags("report"), func(context.Context, []string) error {
		return &usageError{"reports aren't available in this version"}
	})
}

func (a *app) trialCommand() *ffcli.Command {
	return a.command("trial", "", "Run a small scheduler in this process and send work to it.", a.flags("trial"),
		func(context.Context, []string) error {
			return &usageError{"the trial isn't available in this version"}
		})
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}
