package relaystandin

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
)

const headerTimeout = 10 * time.Second

// Main runs one relay as a process and returns its exit code. args excludes the name of
// the program.
func Main(args []string) int {
	flags := flag.NewFlagSet("relaystandin", flag.ContinueOnError)
	target := flags.String("target", "", "address to forward to")
	addrFile := flags.String("addr-file", "", "file to write the bound address to")
	standinAddrFile := flags.String("standin-addr-file", "", "file to write the bound address of the switches for mode and target to")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	r := New(*target)
	control, err := standin.Listen("127.0.0.1:0", *standinAddrFile)
	if err != nil {
		return report(err)
	}
	listener, err := standin.Listen("127.0.0.1:0", *addrFile)
	if err != nil {
		return report(err)
	}
	mux := http.NewServeMux()
	standin.HandleSwitches(mux, r.Change)
	server := http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return standin.Run(
		func() error { return r.Serve(listener) },
		func() error { return server.Serve(control) },
	)
}

func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}
