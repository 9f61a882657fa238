// Package platform defines the interfaces through which the scheduler uses the
// platform: a transactional table, an object store and a list of instances. An adapter
// package for each published protocol implements them.
//
// A write has one of three outcomes. It took effect (nil error), it had no effect
// (ErrUnavailable, ErrInvalid, *ConflictError), or its outcome is unknown (ErrUnknown), for
// instance because no response arrived. After ErrUnknown the caller must read the
// row back before it reports either outcome.
package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// ErrUnavailable means that the call had no effect: the platform refused it, or
// could not be reached to send it.
var ErrUnavailable = errors.New("platform unavailable")

// ErrInvalid means that the call had no effect, and never will, since the platform takes no such
// request: a value is too large, for instance. It is ErrUnavailable, too.
var ErrInvalid = fmt.Errorf("%w: it takes no such request", ErrUnavailable)

// ErrUnknown means that the call may or may not have taken effect.
var ErrUnknown = errors.New("platform outcome unknown")

// ErrNotFound means that there is no object with the requested name.
var ErrNotFound = errors.New("object not found")

// Row is a row of the table. The platform sets Version at each write. A version
// never repeats for a key, even after the row has been deleted.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition requires that the row Key has exactly Version. Version 0 requires that
// the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces the value of a row, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. It is applied as a whole if all conditions hold, and not at
// all otherwise.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// ConflictError reports the first row whose condition did not hold. The transaction
// had no effect.
type ConflictError struct {
	Key string
	// Version is the current version of the row; 0 if it does not exist.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d", e.Key, e.Version)
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns at most limit rows whose keys have the prefix and sort after
	// `after`, in the order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the version of the rows that it wrote, which is
	// the same for all. Errors: *ConflictError, ErrUnavailable, ErrInvalid, ErrUnknown.
	Commit(ctx context.Context, txn Txn) (version uint64, err error)
}

// Objects is the platform's object store. An object cannot be changed: Put succeeds
// if the object already has the same bytes, and fails if it has other bytes.
type Objects interface {
	// Put stores body under name. Errors: *ConflictError, ErrUnavailable, ErrUnknown.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Role is the kind of process that an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Instance is an entry or worker in the platform's list of instances.
type Instance struct {
	// Name stays the same when the process on the instance restarts.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is the IP address and port of the worker, or of the entry's listener for
	// other entries.
	Address string `json:"address"`
	// FailureDomain, Region and Rack are the location of the instance.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	Rack          string `json:"rack,omitempty"`
	// Upstream is the name of the service that a worker belongs to.
	Upstream string `json:"upstream,omitempty"`
	// Leaving instances get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Capacity is the total capacity of a worker; zero for entries.
	Capacity resource.Amount `json:"capacity"`
	// Connections is how many connections a worker accepts; zero for entries.
	Connections int `json:"connections,omitempty"`
}

// maxConnections bounds the connections that an instance states.
const maxConnections = 1 << 20

// Check returns an error that names the field because of which the instance can't be used.
func (i Instance) Check() error {
	if i.Name == "" {
		return errors.New("name: missing")
	}
	if i.Role != RoleEntry && i.Role != RoleWorker {
		return fmt.Errorf("role: %.100q is unknown", i.Role)
	}
	if i.Connections < 0 || i.Connections > maxConnections {
		return fmt.Errorf("connections: %d is out of range", i.Connections)
	}
	for d, amount := range i.Capacity.Vector() {
		if amount < 0 || amount > resource.MaxStated {
			return fmt.Errorf("capacity.%s: %d is out of range", resource.Dimension(d), amount)
		}
	}
	return nil
}

// Instances is the platform's list of live and leaving instances. Changes appear in it
// with a delay.
type Instances interface {
	// List returns all live and leaving instances, sorted by name.
	List(ctx context.Context) ([]Instance, error)
}
