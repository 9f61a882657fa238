package workerstandin

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// settings holds the flags of Main.
type settings struct {
	config          Config
	listen          string
	addrFile        string
	standinListen   string
	standinAddrFile string
	platformURL     string
	instance        platform.Instance
}

func parse(args []string) (settings, error) {
	var s settings
	flags := flag.NewFlagSet("workerstandin", flag.ContinueOnError)
	flags.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to serve the worker on")
	flags.StringVar(&s.addrFile, "addr-file", "", "file to write the worker's bound address to")
	flags.StringVar(&s.standinListen, "standin-listen", "127.0.0.1:0", "address to serve the record of received calls and the fault switches on")
	flags.StringVar(&s.standinAddrFile, "standin-addr-file", "", "file to write the bound address of -standin-listen to")
	flags.StringVar(&s.platformURL, "platform", "", "URL of the platform stand-in to register with")
	flags.StringVar(&s.config.Name, "name", "worker", "instance name")
	flags.StringVar(&s.instance.Region, "region", "", "region")
	flags.StringVar(&s.instance.FailureDomain, "failure-domain", "", "failure domain")
	flags.StringVar(&s.instance.Rack, "rack", "", "rack")
	flags.StringVar(&s.instance.Upstream, "upstream", "", "upstream of the worker")
	flags.IntVar(&s.config.Connections, "connections", 64, "maximum number of connections")
	flags.DurationVar(&s.config.UsageLag, "usage-lag", 0, "delay after which a task's usage is reported")
	capacity := &s.config.Capacity
	flags.Int64Var(&capacity.Running, "running", 0, "tasks and requests it can run at a time; 0 is unbounded")
	flags.Int64Var(&capacity.MilliCPU, "milli-cpu", 30000, "CPU in thousandths of a core")
	flags.Int64Var(&capacity.MemoryMB, "memory-mb", 64000, "memory in units of 10^6 bytes")
	flags.Int64Var(&capacity.Accelerators, "accelerators", 0, "number of accelerators")
	flags.Int64Var(&capacity.Slots, "slots", 8, "number of request slots")
	err := flags.Parse(args)
	return s, err
}

// Main runs one worker stand-in as a process and returns its exit code. args excludes the
// name of the program.
func Main(args []string) int {
	s, err := parse(args)
	if err != nil {
		return 2
	}
	w := New(s.config)
	control, err := standin.Listen(s.standinListen, s.standinAddrFile)
	if err != nil {
		return report(err)
	}
	listener, err := standin.Listen(s.listen, s.addrFile)
	if err != nil {
		return report(err)
	}
	if err := register(s, w, listener.Addr().String()); err != nil {
		return report(err)
	}
	server := http.Server{Handler: w.StandinHandler(), ReadHeaderTimeout: headerTimeout}
	return standin.Run(
		func() error { return w.Serve(listener) },
		func() error { return server.Serve(control) },
	)
}

// register adds the worker to the platform's list of instances, if a platform is set.
func register(s settings, w *Worker, address string) error {
	if s.platformURL == "" {
		return nil
	}
	instance := s.instance
	instance.Name = s.config.Name
	instance.Role = platform.RoleWorker
	instance.Address = address
	instance.Capacity = w.Capacity()
	instance.Connections = s.config.Connections
	change := platformstandin.InstancesChange{Put: []platform.Instance{instance}}
	return platformstandin.PostInstances(context.Background(), s.platformURL, change)
}

func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}
