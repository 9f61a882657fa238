package scenario

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
)

// Names of an entry's relays. $RELAYPLATFORMn and $RELAYPEERSn are the addresses of
// their switches.
const (
	relayPlatform = "RELAYPLATFORM"
	relayPeers    = "RELAYPEERS"
)

// startRelays starts the two relays of an entry. The relay in front of its listener for
// peers gets its target when the entry has bound the listener.
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

// platformOf returns the address at which an entry reaches the platform.
func (c *cluster) platformOf(ts *testscript.TestScript, n int) string {
	if !c.relays {
		return ts.Getenv("PLATFORM")
	}
	return ts.Getenv(relayPlatform + strconv.Itoa(n) + "ADDR")
}

// advertise returns the settings that advertise the relay in front of the listener for
// peers.
func (c *cluster) advertise(ts *testscript.TestScript, n int) string {
	if !c.relays {
		return ""
	}
	return fmt.Sprintf("[advertise]\npeers = %q", ts.Getenv(relayPeers+strconv.Itoa(n)+"ADDR"))
}

// advertisedAddress returns the address at which peers reach the entry. With relays it
// also sets the relay's target to the present address of the entry's listener.
func (c *cluster) advertisedAddress(ts *testscript.TestScript, n int) string {
	bound := ts.Getenv("PEER" + strconv.Itoa(n))
	if !c.relays {
		return bound
	}
	name := relayPeers + strconv.Itoa(n)
	got, err := call(http.MethodPost, "http://"+ts.Getenv(name)+standin.PathSwitches, fmt.Sprintf(`{"target":%q}`, bound))
	ts.Check(err)
	if !got.ok() {
		ts.Fatalf("set target of relay %s to %s: %s", name, bound, got.body)
	}
	return ts.Getenv(name + "ADDR")
}
