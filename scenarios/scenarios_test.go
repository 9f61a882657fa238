// Package scenarios runs scripts against clusters of entries, a platform stand-in and worker
// stand-ins, each a separate process.
package scenarios

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/internal/cli"
	"github.com/kingcuplatch/kingcuplatch/internal/scenario"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/relaystandin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
	"github.com/kingcuplatch/kingcuplatch/process/daemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kingcuplatchd": func() {
			ctx, stop := daemon.NotifyStop(context.Background())
			defer stop()
			os.Exit(daemon.Main(ctx, os.Args[1:], os.Stderr))
		},
		scenario.ProgramWithout: func() {
			ctx, stop := daemon.NotifyStop(context.Background())
			defer stop()
			os.Exit(daemon.MainWith(ctx, os.Args[2:], os.Stderr, without(os.Args[1])))
		},
		"kingcuplatch": func() {
			os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
		"relay":    func() { os.Exit(relaystandin.Main(os.Args[1:])) },
		"platform": func() { os.Exit(platformstandin.Main(os.Args[1:])) },
		"worker":   func() { os.Exit(workerstandin.Main(os.Args[1:])) },
	})
}

// Runs every script in testdata. Each states in its head the failure that it guards against.
func TestScenarios(t *testing.T) {
	p := params(t, "")
	p.Dir = "testdata"
	testscript.Run(t, p)
}

// params returns the parameters of scripts whose entries omit the named mechanisms, none if
// without is empty.
func params(t *testing.T, without string) testscript.Params {
	t.Helper()
	examples, err := filepath.Abs("../examples")
	assert.NilError(t, err)
	return testscript.Params{
		Cmds: scenario.Commands(),
		Condition: func(name string) (bool, error) {
			if name != "without" {
				return false, errors.New("unknown condition " + name)
			}
			return without != "", nil
		},
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("OPERATOR_KEY", scenario.OperatorKey)
			env.Setenv(scenario.EnvWithout, without)
			return scenario.Setup(env)
		},
	}
}
