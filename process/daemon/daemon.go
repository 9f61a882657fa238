// Package daemon is the main program of an entry: it reads the settings, binds the
// listeners, creates the clients of the platform and the workers, and runs the entry
// until its context ends.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/conn/traffic"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
	"github.com/kingcuplatch/kingcuplatch/process/entry"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/platform/httpplatform"
	"github.com/kingcuplatch/kingcuplatch/process/settings"
)

// Exit codes.
const (
	exitDone = iota
	exitFailed
	exitUsage
)

// Periods and bounds that can't be configured.
const (
	// listPoll is the period of reading the instance list.
	listPoll = 500 * time.Millisecond
	// configBound is how long an entry admits without confirmation of its
	// configuration. The sum of this bound and the time of an exchange stays below
	// three seconds.
	configBound = 2500 * time.Millisecond
	// readBody bounds the reading of a whole request.
	readBody = 30 * time.Second
	// freshWithin is how recently a kept-alive connection must have received data to be
	// used for a non-idempotent request.
	freshWithin = time.Second
)

// Main runs the program until ctx ends and returns its exit code.
func Main(ctx context.Context, args []string, stderr io.Writer) int {
	return MainWith(ctx, args, stderr, func(*entry.Config) {})
}

// MainWith is Main with a final change to the entry's configuration, for tests that
// disable one of the entry's mechanisms.
func MainWith(ctx context.Context, args []string, stderr io.Writer, change func(*entry.Config)) int {
	flags := flag.NewFlagSet("kingcuplatchd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings file (TOML)")
	addresses := flags.String("addresses", "", "directory to write the bound addresses to, one file per listener")
	check := flags.Bool("check", false, "check the settings and stop")
	if flags.Parse(args) != nil {
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(stderr, "kingcuplatchd: unexpected argument %q\n", flags.Arg(0))
		return exitUsage
	}
	if *path == "" {
		fmt.Fprintln(stderr, "kingcuplatchd: -config FILE.toml is missing")
		return exitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, "kingcuplatchd:", err)
		return exitUsage
	}
	if *check {
		return exitDone
	}
	if err := run(ctx, s, *addresses, stderr, change); err != nil {
		fmt.Fprintln(stderr, "kingcuplatchd:", err)
		return exitFailed
	}
	return exitDone
}

// run binds the listeners and runs an entry on them until ctx ends.
func run(ctx context.Context, s *settings.Settings, addresses string, logs io.Writer, change func(*entry.Config)) error {
	listeners, err := listen(s.Listen)
	if err != nil {
		return err
	}
	if err := writeAddresses(addresses, listeners); err != nil {
		return err
	}
	meter := &traffic.Meter{}
	client := httpplatform.NewCounted(s.Platform.URL, &meter.Platform)
	defer client.Close()
	c := config(s, listeners, client, meter, logs)
	client.OnUnusable = func(name string, err error) { c.Log.Log(events.RowIgnored, "instances", name, err) }
	change(&c)
	return entry.New(c).Run(ctx)
}

func config(s *settings.Settings, listeners entry.Listeners, client *httpplatform.Client, meter *traffic.Meter, logs io.Writer) entry.Config {
	peers := s.Advertise.Peers
	if peers == "" {
		peers = listeners.Peers.Addr().String()
	}
	return entry.Config{
		Instance: s.Instance, Incarnation: entry.NewIncarnation(s.Instance), FailureDomain: s.FailureDomain, Region: s.Region,
		PeerAddress: peers, PerRack: settings.Block(s.Block) == settings.BlockRack,
		OperatorKeySHA256: s.OperatorKeySHA256,
		MaxBodyBytes:      s.Limits.MaxBodyBytes, MaxQueue: s.Limits.MaxQueue, MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		Timings: entry.Timings{
			Heartbeat: s.Timings.Heartbeat, QuickTerm: s.Timings.QuickTerm, LongTerm: s.Timings.LongTerm,
			TaskLease: s.Timings.TaskLease, ConfigPoll: s.Timings.Poll, ConfigBound: configBound,
			ListPoll: listPoll, Drain: s.Timings.DrainTimeout,
			ReadHeader: s.Limits.ReadHeaderTimeout, ReadBody: readBody,
		},
		Listeners: listeners,
		Table:     client, Objects: client.Objects(), Instances: client,
		Traffic: meter, Dial: dialWorker(meter), Log: events.New(logs, s.Instance),
	}
}

func dialWorker(meter *traffic.Meter) func(platform.Instance) worker.Client {
	return func(w platform.Instance) worker.Client {
		return httpworker.New(httpworker.Options{
			Address: w.Address, MaxConnections: w.Connections, FreshWithin: freshWithin, Bytes: &meter.Workers,
		})
	}
}

// listen binds the four listeners of an entry.
func listen(l settings.Listen) (entry.Listeners, error) {
	var bound entry.Listeners
	for _, one := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", l.Callers, &bound.Callers},
		{"operators", l.Operators, &bound.Operators},
		{"peers", l.Peers, &bound.Peers},
		{"metrics", l.Metrics, &bound.Metrics},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return bound, eris.Wrapf(err, "bind listen.%s", one.name)
		}
		*one.to = listener
	}
	return bound, nil
}

// writeAddresses writes one file per listener. Each is renamed into place, so that
// readers never see a partial file.
func writeAddresses(dir string, l entry.Listeners) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "write addresses")
	}
	for name, listener := range map[string]net.Listener{
		"callers": l.Callers, "operators": l.Operators, "peers": l.Peers, "metrics": l.Metrics,
	} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path+".new", []byte(listener.Addr().String()), 0o644); err != nil {
			return eris.Wrap(err, "write addresses")
		}
		if err := os.Rename(path+".new", path); err != nil {
			return eris.Wrap(err, "write addresses")
		}
	}
	return nil
}
