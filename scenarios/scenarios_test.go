// Package scenarios runs the scripted scenarios: entries, a platform stand-in and
// worker stand-ins as separate processes.
package scenarios

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/internal/cli"
	"github.com/kingcuplatch/kingcuplatch/internal/scenario"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
	"github.com/kingcuplatch/kingcuplatch/process/daemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kingcuplatchd": func() {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer stop()
			os.Exit(daemon.Main(ctx, os.Args[1:], os.Stderr))
		},
		scenario.ProgramWithout: func() {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer stop()
			os.Exit(daemon.MainWith(ctx, os.Args[2:], os.Stderr, without(os.Args[1])))
		},
		"kingcuplatch": func() {
			os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
		"platform": func() { os.Exit(platformstandin.Main(os.Args[1:])) },
		"worker":   func() { os.Exit(workerstandin.Main(os.Args[1:])) },
	})
}

func TestScenarios(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: scenario.Commands(),
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("OPERATOR_KEY", scenario.OperatorKey)
			return scenario.Setup(env)
		},
	})
}
