package daemon

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A SIGHUP, and a second SIGTERM during a stop, ended the process at once and cut the
// requests in progress; this test's process would end too.
func TestOnlyTheFirstStopSignalCounts(t *testing.T) {
	defer signal.Reset(syscall.SIGHUP)
	ctx, stop := NotifyStop(t.Context())
	defer stop()
	again := make(chan os.Signal, 2)
	signal.Notify(again, syscall.SIGTERM)
	defer signal.Stop(again)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		assert.NilError(t, syscall.Kill(os.Getpid(), s))
	}
	<-ctx.Done()
	<-again
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-again
}
