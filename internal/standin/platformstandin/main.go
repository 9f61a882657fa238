package platformstandin

import (
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
)

// Main runs the platform stand-in as a process and returns its exit code. args are the
// arguments after the program's name.
func Main(args []string) int {
	flags := flag.NewFlagSet("platformstandin", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address to serve on")
	addrFile := flags.String("addr-file", "", "file to write the bound address to")
	listLag := flags.Duration("list-lag", 0, "delay after which the list of instances shows a change")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	p := New()
	p.Change(func(s *Switches) { s.ListLag = standin.Duration(*listLag) })
	listener, err := standin.Listen(*listen, *addrFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	server := http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout}
	return standin.Run(func() error { return server.Serve(listener) })
}
