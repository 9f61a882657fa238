// Package tomlcheck reads TOML tables and checks them against declared fields.
//
// A Spec declares every field of one kind of table once: its key, the location of its
// value, unit, default and bounds. Reading, checking, encoding, comparing and
// documenting such tables all use that declaration, so they cannot disagree. Faults
// are collected, not returned one by one: a caller reads all tables and then calls
// Faults.Err.
package tomlcheck

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// File is the file as the caller named it, empty if the record comes from no file.
	File string
	// Record names the table, such as `team "stoke"`; empty for the file itself.
	Record string
	// Field is the dotted key inside the record; empty for the whole record.
	Field  string
	Reason string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var parts []string
	for _, part := range []string{f.File, f.Record, f.Field, f.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Faults is the list of all faults found. It implements error.
type Faults []Fault

// Error implements error, with one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults, sorted by file, as an error, and nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].File < f[j].File })
	return f
}

// Add appends one fault.
func (f *Faults) Add(file, record, field, format string, args ...any) {
	*f = append(*f, Fault{File: file, Record: record, Field: field, Reason: fmt.Sprintf(format, args...)})
}
