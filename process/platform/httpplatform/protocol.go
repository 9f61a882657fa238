// Package httpplatform speaks to a platform over HTTP/JSON. It implements
// platform.Table, platform.Objects and platform.Instances.
//
// Outcomes. A write whose request was given no connection, and a write that the
// platform answered with 503 and the code "unavailable", had no effect:
// platform.ErrUnavailable. An answer 409 is a *platform.ConflictError. Every
// other end of a write, from the moment it was given a connection, is
// platform.ErrUnknown. A read that fails is platform.ErrUnavailable.
//
// Nothing is sent twice: net/http repeats a POST or PUT only if the body can be
// read again, and the requests of this package carry bodies that can't.
package httpplatform

import "github.com/kingcuplatch/kingcuplatch/process/platform"

// Paths of the protocol. Keys and names travel in the query, so that they may
// hold any character.
const (
	// PathRow answers GET with RowAnswer; query: key.
	PathRow = "/v1/row"
	// PathRows answers GET with RowsAnswer; query: prefix, after, limit.
	PathRows = "/v1/rows"
	// PathTransactions takes a platform.Txn by POST and answers CommitAnswer.
	PathTransactions = "/v1/transactions"
	// PathObject takes and gives raw bytes by PUT and GET; query: name.
	PathObject = "/v1/object"
	// PathInstances answers GET with InstancesAnswer and an ETag, or with 304 if
	// the list still has the tag of If-None-Match.
	PathInstances = "/v1/instances"
)

// RowAnswer is the answer for one row.
type RowAnswer struct {
	Found bool         `json:"found"`
	Row   platform.Row `json:"row"`
}

// RowsAnswer is the answer for a scan.
type RowsAnswer struct {
	Rows []platform.Row `json:"rows"`
}

// CommitAnswer is the answer for a transaction that took effect.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// InstancesAnswer is the answer for the list of instances.
type InstancesAnswer struct {
	Instances []platform.Instance `json:"instances"`
}

// Codes of Problem.
const (
	CodeUnavailable = "unavailable"
	CodeConflict    = "conflict"
	CodeNotFound    = "not_found"
	CodeInvalid     = "invalid"
)

// Problem is the body of every answer that is no success.
type Problem struct {
	Code string `json:"code"`
	// Key and Version are those of a *platform.ConflictError.
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Message string `json:"message,omitempty"`
}
