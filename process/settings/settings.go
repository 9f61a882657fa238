// Package settings reads the settings of one entry, a running instance of the daemon, from a
// TOML file.
//
// The file is validated strictly: unknown keys, wrong types, values out of bounds and
// settings that contradict one another are faults. Load reports all of them at once,
// each with file, key and reason. docs/SETTINGS.md lists every key; it is generated
// from the declarations that the checks use.
//
// Addresses are IP and port. A listener's port may be 0: the kernel then chooses a
// port, and the entry advertises that one.
package settings

import (
	"os"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
	"github.com/rotisserie/eris"
)

// Fault is one error in the settings.
type Fault = tomlcheck.Fault

// Faults is the error of Load and Parse. It holds every fault found.
type Faults = tomlcheck.Faults

// Block is the unit of ownership: a set of workers that one entry owns as a whole.
type Block string

// The units of ownership.
const (
	// BlockWorker makes each worker a block, which spreads few workers evenly over the
	// entries.
	BlockWorker Block = "worker"
	// BlockRack makes all workers of a rack one block, which needs few rows of blocks in
	// the platform's table for many workers.
	BlockRack Block = "rack"
)

// Settings holds the settings of one entry.
type Settings struct {
	// Instance is the name of the entry, which stays the same when the daemon restarts.
	Instance      string
	Region        string
	FailureDomain string
	Listen        Listen
	Advertise     Advertise
	Platform      Platform
	// OperatorKeySHA256 is the SHA-256 of the operators' bearer key in hex.
	OperatorKeySHA256 string
	// Block is BlockWorker or BlockRack.
	Block   string
	Timings Timings
	Limits  Limits
}

// Listen holds the listeners' addresses.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	Metrics   string
}

// Advertise holds the addresses that others connect to. Empty means the address of
// the listener.
type Advertise struct {
	Callers string
	Peers   string
}

// Platform holds the connection settings of the platform.
type Platform struct {
	URL string
	// Timeout is the timeout of one call.
	Timeout time.Duration
}

// Timings holds intervals, lease durations and timeouts.
type Timings struct {
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// QuickTerm is how long an entry's lease lasts after its renewal, or after the latest
	// heartbeat that a witness confirmed. A witness is a peer that the entry's row names for
	// this purpose.
	QuickTerm time.Duration
	// LongTerm is how long an entry's lease lasts at most after its renewal, even if
	// witnesses confirm heartbeats.
	LongTerm time.Duration
	// TaskLease is how long a task runs without renewal.
	TaskLease time.Duration
	// Poll is the time between two reads of the configuration's head, the row that names
	// the newest version.
	Poll time.Duration
	// DrainTimeout is how long a graceful stop waits for work in progress.
	DrainTimeout time.Duration
}

// Limits bounds the memory that callers can make an entry use.
type Limits struct {
	MaxBodyBytes      int64
	MaxQueue          int
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
}

// Load reads and checks the settings file. The error is Faults, or the one of reading
// the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads and checks settings. Faults name the file as given.
func Parse(file string, data []byte) (*Settings, error) {
	reader := &tomlcheck.Reader{File: file}
	root, ok := reader.Parse(data)
	if !ok {
		return nil, reader.Faults.Err()
	}
	s := spec.Read(reader, "", root)
	s.check(func(field, reason string) { reader.Faults.Add(file, "", field, "%s", reason) })
	if err := reader.Faults.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}
