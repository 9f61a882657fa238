package scenario

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/internal/standin/platformstandin"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// OperatorKey is the operators' key of the entries that the command cluster starts, and
// operatorKeySHA256 its hash.
const (
	OperatorKey       = "example-operator-key"
	operatorKeySHA256 = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"
)

// ProgramWithout is the program that runs an entry without the mechanisms named in its
// first argument. The test binary registers it.
const ProgramWithout = "kingcuplatchd-without"

// EnvWithout is the environment variable with the mechanisms that a script's entries
// omit, separated by commas. The condition [without] holds if there are any.
const EnvWithout = "WITHOUT"

// domains is the number of failure domains of a cluster.
const domains = 3

// cluster describes the cluster that the command cluster started.
type cluster struct {
	entries int
	workers int
	// extra holds additional flags for every worker.
	extra []string
	// timings holds entries for the timings table of the settings, separated by commas.
	timings  string
	upstream string
	// relays puts a relay between each entry and the platform, and in front of its
	// listener for peers.
	relays bool
	// without lists the mechanisms that the entries omit, separated by commas.
	without string
}

// startCluster starts a platform, entries and workers as processes. It sets $PLATFORM,
// $ENTRYn, $OPSn, $METRICSn, $PEERn and $WORKERn (the address of a worker's record and
// switches), and the environment of the command line.
func startCluster(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	c := parseCluster(ts, args)
	procs := processesOf(ts)
	procs.cluster = c
	ts.Check(procs.start(ts.MkAbs("."), "platform", "platform", []string{"-listen", "127.0.0.1:0", "-addr-file", "platform.addr"}))
	addr(ts, false, []string{"PLATFORM", "platform.addr"})
	for n := 1; n <= c.entries; n++ {
		if c.relays {
			c.startRelays(ts, n)
		}
		c.writeSettings(ts, n)
		startEntry(ts, false, []string{strconv.Itoa(n)})
	}
	for n := 1; n <= c.workers; n++ {
		c.startWorker(ts, n)
	}
	ts.Setenv("KINGCUPLATCH_ENTRIES", c.urls(ts, "ENTRY"))
	ts.Setenv("KINGCUPLATCH_OPERATORS", c.urls(ts, "OPS"))
	ready(ts, false, nil)
}

func parseCluster(ts *testscript.TestScript, args []string) *cluster {
	c := &cluster{}
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	flags.IntVar(&c.entries, "entries", 3, "entries")
	flags.IntVar(&c.workers, "workers", 3, "workers")
	flags.StringVar(&c.upstream, "upstream", "bookings", "upstream of the workers")
	flags.BoolVar(&c.relays, "relays", false, "put relays between each entry and the platform and peers")
	flags.StringVar(&c.without, "without", ts.Getenv(EnvWithout), "mechanisms that the entries omit, separated by commas; "+ProgramWithout+" runs them")
	flags.StringVar(&c.timings, "timings", "", "entries of the timings table, separated by commas")
	ts.Check(flags.Parse(args))
	c.extra = flags.Args()
	return c
}

func (c *cluster) urls(ts *testscript.TestScript, prefix string) string {
	var urls []string
	for n := 1; n <= c.entries; n++ {
		urls = append(urls, "http://"+ts.Getenv(prefix+strconv.Itoa(n)))
	}
	return strings.Join(urls, ",")
}

func (c *cluster) writeSettings(ts *testscript.TestScript, n int) {
	text := fmt.Sprintf(`instance = "entry-%d"
region = "r1"
failure_domain = "d%d"
operator_key_sha256 = "%s"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
url = "http://%s"
%s
[timings]
%s
`, n, n%domains, operatorKeySHA256, c.platformOf(ts, n), c.advertise(ts, n), strings.ReplaceAll(c.timings, ",", "\n"))
	ts.Check(os.WriteFile(ts.MkAbs(fmt.Sprintf("entry-%d.toml", n)), []byte(text), 0o644))
}

// startEntry starts or restarts an entry of the cluster.
func startEntry(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 1, 1, "entry N")
	name := "entry-" + args[0]
	dir := name + ".addr"
	ts.Check(os.RemoveAll(ts.MkAbs(dir)))
	c := processesOf(ts).cluster
	program := []string{name, "kingcuplatchd"}
	if c.without != "" {
		program = []string{name, ProgramWithout, c.without}
	}
	start(ts, false, append(program, "-config", name+".toml", "-addresses", dir))
	for variable, file := range map[string]string{"ENTRY": "callers", "OPS": "operators", "PEER": "peers", "METRICS": "metrics"} {
		addr(ts, false, []string{variable + args[0], filepath.Join(dir, file)})
	}
	processesOf(ts).setCallerAddress(name, ts.Getenv("ENTRY"+args[0]))
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	putInstance(ts, platform.Instance{
		Name: name, Role: platform.RoleEntry, Address: c.advertisedAddress(ts, n),
		Region: "r1", FailureDomain: fmt.Sprintf("d%d", n%domains),
	})
}

func putInstance(ts *testscript.TestScript, instance platform.Instance) {
	change := platformstandin.InstancesChange{Put: []platform.Instance{instance}}
	ts.Check(platformstandin.PostInstances(context.Background(), "http://"+ts.Getenv("PLATFORM"), change))
}

func (c *cluster) startWorker(ts *testscript.TestScript, n int) {
	name := fmt.Sprintf("worker-%d", n)
	args := []string{
		name, "worker", "-name", name, "-platform", "http://" + ts.Getenv("PLATFORM"),
		"-region", "r1", "-failure-domain", fmt.Sprintf("d%d", n%domains), "-rack", fmt.Sprintf("rack-%d", n/8),
		"-upstream", c.upstream, "-standin-addr-file", name + ".addr",
	}
	start(ts, false, append(args, c.extra...))
	addr(ts, false, []string{"WORKER" + strconv.Itoa(n), name + ".addr"})
}

// ready waits until the running entries are connected to each other, own every block and
// have adopted every worker. With "ready E W" it expects E entries and W workers.
func ready(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 0, 2, "ready [ENTRIES WORKERS]")
	procs := processesOf(ts)
	c := procs.cluster
	entries, workers := c.entries, c.workers
	if len(args) == 2 {
		var err error
		entries, err = strconv.Atoi(args[0])
		ts.Check(err)
		workers, err = strconv.Atoi(args[1])
		ts.Check(err)
	}
	var reason string
	if !poll(func() bool {
		reason = c.notReady(ts, procs, entries, workers)
		return reason == ""
	}) {
		ts.Fatalf("not ready: %s", reason)
	}
}

// shards is the number of blocks that are key shards. The other blocks are workers.
const shards = 64

// balanced waits until every entry serves a worker. Blocks that were claimed before all
// entries had joined move later, so it waits twice as long as other commands.
func balanced(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	usage(ts, args, 0, 0, "balanced")
	c := processesOf(ts).cluster
	serving := func() bool {
		for n := 1; n <= c.entries; n++ {
			got, err := call(http.MethodGet, "http://"+ts.Getenv("METRICS"+strconv.Itoa(n))+"/metrics", "")
			if err != nil || metric(got.body, "kingcuplatch_workers_open") < 1 {
				return false
			}
		}
		return true
	}
	for range 2 {
		if poll(serving) {
			return
		}
	}
	ts.Fatalf("an entry still serves no worker after %v", 2*waitTimeout)
}

// notReady returns the reason why the cluster is not ready, and an empty string if it
// is.
func (c *cluster) notReady(ts *testscript.TestScript, procs *processes, entries, workers int) string {
	var blocks, open, running float64
	for n := 1; n <= c.entries; n++ {
		p := procs.get(fmt.Sprintf("entry-%d", n))
		if p == nil || !p.running() || p.frozen.Load() {
			continue
		}
		got, err := call(http.MethodGet, "http://"+ts.Getenv("METRICS"+strconv.Itoa(n))+"/metrics", "")
		if err != nil {
			continue
		}
		text := got.body
		running++
		blocks += metric(text, "kingcuplatch_blocks_owned")
		open += metric(text, "kingcuplatch_workers_open")
		if peers := metric(text, "kingcuplatch_peers_heard"); int(peers) < entries-1 {
			return fmt.Sprintf("entry-%d is connected to %v peers", n, peers)
		}
	}
	if int(running) != entries || int(open) != workers || int(blocks) < workers+shards {
		return fmt.Sprintf("%v entries, %v blocks, %v open workers", running, blocks, open)
	}
	return ""
}

// metric returns the value of a metric without labels, or -1.
func metric(text, name string) float64 {
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err == nil {
				return f
			}
		}
	}
	return -1
}
