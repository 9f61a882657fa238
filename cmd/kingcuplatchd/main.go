// Command kingcuplatchd runs one entry of the cluster scheduler.
package main

import (
	"context"
	"os"

	"github.com/kingcuplatch/kingcuplatch/platform"
	"github.com/kingcuplatch/kingcuplatch/process/daemon"
)

// platformCommand as the first argument runs the entry on the users' platform, through
// package platform. Without it, the entry uses the project's own protocols.
const platformCommand = "platform"

func main() {
	if len(os.Args) > 1 && os.Args[1] == platformCommand {
		os.Exit(platform.Main(os.Args[2:], os.Stdout, os.Stderr))
	}
	ctx, stop := daemon.NotifyStop(context.Background())
	defer stop()
	os.Exit(daemon.Main(ctx, os.Args[1:], os.Stderr))
}
