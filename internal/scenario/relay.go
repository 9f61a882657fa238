package scenario

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
)

// Names of an entry's relays: $RELAYPLATFORMn and $RELAYPEERSn are the addresses
// of their switches.
const (
	relayPlatform = "RELAYPLATFORM"
	relayPeers    = "RELAYPEERS"
)

// startRelays starts the two relays of an entry. That of its peers' listener gets
// its target when the entry has bound it.
func (c *cluster) startRelays(ts *testscript.TestScript, n int) {
	startRelay(ts, relayPlatform+strconv.Itoa(n), ts.Getenv("PLATFORM"))
	startRelay(ts, relayPeers+strconv.Itoa(n), "")
}

func startRelay(ts *testscript.TestScript, name, target string) {
	start(ts, false, []string{
		name, "relay", "-target", target,
		"-addr-file", name + ".addr", "-standin-addr-file", name + ".switches",
	})
	addr(ts, false, []string{name + "ADDR", name + ".addr"})
	addr(ts, false, []string{name, name + ".switches"})
}

// platformOf returns the address at which the entry reaches the platform.
func (c *cluster) platformOf(ts *testscript.TestScript, n int) string {
	if !c.relays {
		return ts.Getenv("PLATFORM")
	}
	return ts.Getenv(relayPlatform + strconv.Itoa(n) + "ADDR")
}

// advertise returns the settings that name the relay before the peers' listener.
func (c *cluster) advertise(ts *testscript.TestScript, n int) string {
	if !c.relays {
		return ""
	}
	return fmt.Sprintf("[advertise]\npeers = %q", ts.Getenv(relayPeers+strconv.Itoa(n)+"ADDR"))
}

// peerAddress returns the address at which others reach the entry, and points the
// relay before it to where the entry listens now.
func (c *cluster) peerAddress(ts *testscript.TestScript, n int) string {
	bound := ts.Getenv("PEER" + strconv.Itoa(n))
	if !c.relays {
		return bound
	}
	name := relayPeers + strconv.Itoa(n)
	got, err := call(http.MethodPost, "http://"+ts.Getenv(name)+standin.PathSwitches, fmt.Sprintf(`{"target":%q}`, bound))
	ts.Check(err)
	if !got.ok() {
		ts.Fatalf("point %s to %s: %s", name, bound, got.body)
	}
	return ts.Getenv(name + "ADDR")
}
