// Package httpplatform implements platform.Table, platform.Objects and
// platform.Instances with a client of the platform's HTTP/JSON protocol.
//
// The results of a write are mapped to outcomes as follows. A write that obtained no
// connection, or that the platform answered with 503 and the code "unavailable",
// had no effect: platform.ErrUnavailable, and with 400 and the code "invalid"
// platform.ErrInvalid. A 409
// with the code "conflict" is a *platform.ConflictError. Any other failure after
// the write has obtained a connection is platform.ErrUnknown. A failed read is
// platform.ErrUnavailable, or platform.ErrNotFound for the code "not_found".
//
// No request is sent twice: net/http retries a POST or PUT only if it can read the
// body again, which the bodies in this package do not support.
package httpplatform

import "github.com/kingcuplatch/kingcuplatch/process/platform"

// Paths of the protocol. Keys and names are passed in the query, so that they may
// contain any character.
const (
	// PathRow serves GET with a RowAnswer; query: key.
	PathRow = "/v1/row"
	// PathRows serves GET with a RowsAnswer; query: prefix, after, limit.
	PathRows = "/v1/rows"
	// PathTransactions serves POST of a platform.Txn with a CommitAnswer.
	PathTransactions = "/v1/transactions"
	// PathObject serves PUT and GET of raw bytes; query: name.
	PathObject = "/v1/object"
	// PathInstances serves GET with an InstancesAnswer and an ETag, or with 304 if the
	// tag equals that of If-None-Match.
	PathInstances = "/v1/instances"
)

// RowAnswer is the response body for one row. Its name and those of the other types of
// this file are part of decoding errors that are sent to operators.
type RowAnswer struct {
	Found bool         `json:"found"`
	Row   platform.Row `json:"row"`
}

// RowsAnswer is the response body of a scan.
type RowsAnswer struct {
	Rows []platform.Row `json:"rows"`
}

// CommitAnswer is the response body of a transaction that took effect.
type CommitAnswer struct {
	Version uint64 `json:"version"`
}

// InstancesAnswer is the response body of the list of instances.
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

// Problem is the body of each response that reports no success.
type Problem struct {
	Code string `json:"code"`
	// Key and Version are those of a *platform.ConflictError.
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version,omitempty"`
	Message string `json:"message,omitempty"`
}
