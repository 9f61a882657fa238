package scenario_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/internal/scenario"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/workerstandin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"platformstandin": func() { os.Exit(platformstandin.Main(os.Args[1:])) },
		"workerstandin":   func() { os.Exit(workerstandin.Main(os.Args[1:])) },
	})
}

// Runs the scripts in testdata, which check the commands of this package on the stand-ins.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Cmds:  scenario.Commands(),
		Setup: scenario.Setup,
	})
}
