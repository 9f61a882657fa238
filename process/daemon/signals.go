package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// NotifyStop returns a context that ends at the first SIGTERM or SIGINT. Further ones don't
// cut the stop short. SIGHUP is ignored, also during a stop: the settings are read at the
// start only, and the signal's default would end the process with requests in progress.
func NotifyStop(parent context.Context) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
}
