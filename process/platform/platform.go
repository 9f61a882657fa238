// Package platform is the narrow door to what the platform gives: a
// transactional table, an object store and a list of instances. Decisions see
// these interfaces only; an adapter package speaks one published protocol each.
//
// Outcomes. A write can end in three ways and the caller must tell them apart:
// it took effect (nil error), it surely did not (ErrUnavailable, *ConflictError)
// or nobody knows (ErrUnknown: the answer was lost). A caller that gets
// ErrUnknown reads back before it claims either outcome.
package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// ErrUnavailable says that the call surely had no effect: the platform refused
// it or could not be reached before it was sent.
var ErrUnavailable = errors.New("platform unavailable")

// ErrUnknown says that the call may or may not have taken effect.
var ErrUnknown = errors.New("platform outcome unknown")

// ErrNotFound says that no object has the name asked for.
var ErrNotFound = errors.New("object not found")

// Row is one row of the table. Version is set by the platform at each write and
// never repeats for a key, not even after the row was deleted.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition holds when the row Key has exactly Version; Version 0 means that
// the row is absent.
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

// Txn is applied whole if all conditions hold, else not at all.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// ConflictError names the first row whose condition did not hold. The
// transaction had no effect.
type ConflictError struct {
	Key string
	// Version is the version that the row has.
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
	// Scan returns at most limit rows whose key has the prefix and sorts after
	// `after`, in the order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the version that all rows written by it
	// now have. Errors: *ConflictError, ErrUnavailable, ErrUnknown.
	Commit(ctx context.Context, txn Txn) (version uint64, err error)
}

// Objects is the platform's object store. A name is written once: putting the
// same bytes again succeeds, putting other bytes fails.
type Objects interface {
	// Put stores body. Errors: ErrUnavailable, ErrUnknown.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Role tells what an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Instance is one line of the platform's lagging list.
type Instance struct {
	// Name is stable over restarts of the process on the instance.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is the IP and port of the worker, or of the entry's peer listener.
	Address string `json:"address"`
	// FailureDomain, Region and Rack place the instance.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	Rack          string `json:"rack,omitempty"`
	// Upstream names the service that a worker carries requests for.
	Upstream string `json:"upstream,omitempty"`
	// Leaving instances get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Capacity is what a worker can hold; zero for entries.
	Capacity resource.Amount `json:"capacity"`
	// Connections is how many connections a worker takes; zero for entries.
	Connections int `json:"connections,omitempty"`
}

// Instances is the platform's lagging list of live and leaving instances.
type Instances interface {
	// List returns all live and leaving instances, sorted by name.
	List(ctx context.Context) ([]Instance, error)
}
