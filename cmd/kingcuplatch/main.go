// Command kingcuplatch is the command-line client for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/kingcuplatch/kingcuplatch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
