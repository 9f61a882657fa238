// Package examples embeds the records of two example users, leeuwin and trentvale, and the
// example settings of an entry.
package examples

import "embed"

// Files contains leeuwin/*.toml, trentvale/*.toml and entry.toml.
//
//go:embed leeuwin/*.toml trentvale/*.toml entry.toml
var Files embed.FS
