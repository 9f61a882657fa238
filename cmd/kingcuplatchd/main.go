// Command kingcuplatchd is one entry of the cluster scheduler.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/kingcuplatch/kingcuplatch/process/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(daemon.Main(ctx, os.Args[1:], os.Stderr))
}
