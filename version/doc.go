// Package version defines the snapshot of a version of the configuration: the teams, kinds
// of work, upstreams and keys that operators declare. Package records parses and checks the
// declarations and compiles them into a snapshot, and package store distributes the versions.
package version
