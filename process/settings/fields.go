package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
)

// Bounds of the numeric settings; times are in seconds.
const (
	minHeartbeat     = 0.1
	maxHeartbeat     = 1
	minQuickTerm     = 1
	maxQuickTerm     = 60
	minLongTerm      = 60
	maxLongTerm      = 7 * 86_400
	minTaskLease     = 5
	maxTaskLease     = 600
	minPoll          = 0.1
	maxPoll          = 1
	maxDrain         = 3600
	minCallTimeout   = 0.1
	maxCallTimeout   = 60
	maxBodyBytes     = 64 << 20
	minHeaderBytes   = 4 << 10
	maxHeaderBytes   = 1 << 20
	maxQueue         = 1_000_000
	minHeaderTimeout = 0.1
	maxHeaderTimeout = 60
)

// minHeartbeatsPerTerm is the minimum number of heartbeats in a quick term, so that a
// single lost heartbeat doesn't end the term.
const minHeartbeatsPerTerm = 3

func checkBlock(block string) error {
	if b := Block(block); b != BlockWorker && b != BlockRack {
		return errors.New("must be worker or rack")
	}
	return nil
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.New("must be IP:port, such as 10.0.0.7:7400")
	}
	return nil
}

// checkAdvertised reports an error unless others can connect to the address.
func checkAdvertised(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsUnspecified() || parsed.Port() == 0 {
		return errors.New("must be IP:port with a specific IP and port, such as 10.0.0.7:7400")
	}
	return nil
}

func checkURL(text string) error {
	wrong := errors.New("must be http or https with an IP, such as http://10.0.0.2:7000")
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return wrong
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return wrong
	}
	return nil
}

var spec = &tomlcheck.Spec[Settings]{
	Defaults: Settings{
		Block:    string(BlockWorker),
		Platform: Platform{Timeout: 2 * time.Second},
		Timings: Timings{
			Heartbeat:    time.Second,
			QuickTerm:    5 * time.Second,
			LongTerm:     6 * time.Hour,
			TaskLease:    30 * time.Second,
			Poll:         500 * time.Millisecond,
			DrainTimeout: time.Minute,
		},
		Limits: Limits{
			MaxBodyBytes:      1 << 20,
			MaxQueue:          10_000,
			MaxHeaderBytes:    64 << 10,
			ReadHeaderTimeout: 5 * time.Second,
		},
	},
	Fields: []tomlcheck.Field[Settings]{
		name("instance", "Name of the instance, stable over restarts.", func(s *Settings) any { return &s.Instance }),
		name("region", "Region of the instance.", func(s *Settings) any { return &s.Region }),
		name("failure_domain", "Failure domain of the instance.", func(s *Settings) any { return &s.FailureDomain }),
		listener("callers", "Listener for callers' requests and jobs.", func(s *Settings) any { return &s.Listen.Callers }),
		listener("operators", "Listener for operators.", func(s *Settings) any { return &s.Listen.Operators }),
		listener("peers", "Listener for other entries.", func(s *Settings) any { return &s.Listen.Peers }),
		listener("metrics", "Listener for metrics.", func(s *Settings) any { return &s.Listen.Metrics }),
		{
			Key: "advertise.callers", At: func(s *Settings) any { return &s.Advertise.Callers }, Check: checkAdvertised,
			Unit: "IP:port", DefaultText: "`listen.callers`", Doc: "Address that callers use.",
		},
		{
			Key: "advertise.peers", At: func(s *Settings) any { return &s.Advertise.Peers }, Check: checkAdvertised,
			Unit: "IP:port", DefaultText: "`listen.peers`", Doc: "Address that other entries use.",
		},
		{
			Key: "platform.url", At: func(s *Settings) any { return &s.Platform.URL }, Required: true, Check: checkURL,
			Unit: "URL", Doc: "Where the platform's table, object store and instance list are.",
		},
		{
			Key: "platform.timeout", At: func(s *Settings) any { return &s.Platform.Timeout }, Min: minCallTimeout,
			Max: maxCallTimeout, Doc: "Bound on one call to the platform.",
		},
		{
			Key: "operator_key_sha256", At: func(s *Settings) any { return &s.OperatorKeySHA256 }, Required: true,
			Check: tomlcheck.CheckSHA256, Unit: "hex", Doc: "SHA-256 of the bearer key that the operators' listener asks for.",
		},
		{
			Key: "block", At: func(s *Settings) any { return &s.Block }, Check: checkBlock,
			Doc: "Unit of ownership: `worker` or `rack`. The same on all entries.",
		},
		timing("heartbeat", "Time between two heartbeats to a peer.", minHeartbeat, maxHeartbeat,
			func(t *Timings) *time.Duration { return &t.Heartbeat }),
		timing("quick_term", "How long an entry acts after contact with a guard, or after its renewal. The same on all entries.",
			minQuickTerm, maxQuickTerm, func(t *Timings) *time.Duration { return &t.QuickTerm }),
		timing("long_term", "How long an entry acts after its renewal at most. The same on all entries.",
			minLongTerm, maxLongTerm, func(t *Timings) *time.Duration { return &t.LongTerm }),
		timing("task_lease", "How long a task runs without renewal.", minTaskLease, maxTaskLease,
			func(t *Timings) *time.Duration { return &t.TaskLease }),
		timing("poll", "Time between two reads of the configuration's head.", minPoll, maxPoll,
			func(t *Timings) *time.Duration { return &t.Poll }),
		timing("drain_timeout", "How long a graceful stop waits for what still runs.", 0, maxDrain,
			func(t *Timings) *time.Duration { return &t.DrainTimeout }),
		{
			Key: "limits.max_body_bytes", At: func(s *Settings) any { return &s.Limits.MaxBodyBytes }, Min: 1,
			Max: maxBodyBytes, Unit: "bytes", Doc: "Largest body of a request.",
		},
		{
			Key: "limits.max_queue", At: func(s *Settings) any { return &s.Limits.MaxQueue }, Min: 1, Max: maxQueue,
			Unit: "requests", Doc: "Most requests that the entry keeps waiting, of all teams.",
		},
		{
			Key: "limits.max_header_bytes", At: func(s *Settings) any { return &s.Limits.MaxHeaderBytes },
			Min: minHeaderBytes, Max: maxHeaderBytes, Unit: "bytes", Doc: "Largest header of a request.",
		},
		{
			Key: "limits.read_header_timeout", At: func(s *Settings) any { return &s.Limits.ReadHeaderTimeout },
			Min: minHeaderTimeout, Max: maxHeaderTimeout, Doc: "Bound on reading the header of a request.",
		},
	},
}

func name(key, doc string, at func(*Settings) any) tomlcheck.Field[Settings] {
	return tomlcheck.Field[Settings]{Key: key, At: at, Required: true, Check: tomlcheck.CheckName, Doc: doc}
}

func listener(key, doc string, at func(*Settings) any) tomlcheck.Field[Settings] {
	return tomlcheck.Field[Settings]{
		Key: "listen." + key, At: at, Required: true, Check: checkAddress, Unit: "IP:port", Doc: doc,
	}
}

func timing(key, doc string, least, most float64, at func(*Timings) *time.Duration) tomlcheck.Field[Settings] {
	return tomlcheck.Field[Settings]{
		Key: "timings." + key, At: func(s *Settings) any { return at(&s.Timings) }, Min: least, Max: most, Doc: doc,
	}
}

// check reports settings that contradict one another. Settings that are invalid by
// themselves are skipped; the field checks report them.
func (s *Settings) check(report func(field, reason string)) {
	if s.Timings.QuickTerm < minHeartbeatsPerTerm*s.Timings.Heartbeat {
		report("timings.quick_term", "must be at least 3 times timings.heartbeat")
	}
	if s.Timings.LongTerm <= s.Timings.QuickTerm {
		report("timings.long_term", "must be above timings.quick_term")
	}
	if s.Timings.TaskLease <= s.Timings.QuickTerm {
		report("timings.task_lease", "must be above timings.quick_term")
	}
	if s.Advertise.Callers == "" && unspecified(s.Listen.Callers) {
		report("advertise.callers", "must be given, as listen.callers has no specific IP")
	}
	if s.Advertise.Peers == "" && unspecified(s.Listen.Peers) {
		report("advertise.peers", "must be given, as listen.peers has no specific IP")
	}
	s.checkListeners(report)
}

// checkListeners reports listeners with the same address.
func (s *Settings) checkListeners(report func(field, reason string)) {
	listeners := []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
	}
	first := map[netip.AddrPort]string{}
	for _, l := range listeners {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if key, taken := first[address]; taken {
			report(l.key, "must differ from "+key)
			continue
		}
		first[address] = l.key
	}
}

func unspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}
