// Package settings reads the settings of one entry from a TOML file.
//
// The file is read strictly: unknown keys, wrong types, values out of bounds and
// settings that contradict one another are faults, and Load reports all of them
// at once, each with file, key and reason. docs/SETTINGS.md lists every key; it
// comes from the same declarations as the checks.
//
// Addresses are IP and port. A listener's port may be 0: the kernel chooses one,
// and the entry advertises the one it got.
package settings

import (
	"os"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
	"github.com/rotisserie/eris"
)

// Fault is one thing that is wrong with the settings.
type Fault = tomlcheck.Fault

// Faults is the error of Load and Parse: every fault found.
type Faults = tomlcheck.Faults

// Block is the unit of ownership.
type Block string

// The units of ownership.
const (
	// BlockWorker makes each worker a block of its own: even for few workers.
	BlockWorker Block = "worker"
	// BlockRack makes all workers of a rack one block: few rows for many workers.
	BlockRack Block = "rack"
)

// Settings are the settings of one entry.
type Settings struct {
	// Instance is the name of the entry's instance, stable over restarts.
	Instance      string
	Region        string
	FailureDomain string
	Listen        Listen
	Advertise     Advertise
	Platform      Platform
	// OperatorKeySHA256 is the hex SHA-256 of the bearer key of operators.
	OperatorKeySHA256 string
	// Block is a Block as text.
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

// Advertise holds the addresses that others use; empty for the listener's own.
type Advertise struct {
	Callers string
	Peers   string
}

// Platform tells how the platform is reached.
type Platform struct {
	URL string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Timings holds periods and terms.
type Timings struct {
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// QuickTerm is how long an entry may act after contact with a guard, or after
	// its renewal.
	QuickTerm time.Duration
	// LongTerm is how long an entry may act after its renewal in any case.
	LongTerm time.Duration
	// TaskLease is how long a task runs without renewal.
	TaskLease time.Duration
	// Poll is the time between two reads of the configuration's head.
	Poll time.Duration
	// DrainTimeout is how long a graceful stop waits for what still runs.
	DrainTimeout time.Duration
}

// Limits bounds what callers can make an entry hold.
type Limits struct {
	MaxBodyBytes      int64
	MaxQueue          int
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
}

// Load reads and checks the settings file. The error is Faults, or that of
// reading the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads and checks settings; file is the name used in faults.
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
