// Package examples embeds the example records of both users and the example settings of an
// entry.
package examples

import "embed"

// Files contains leeuwin/*.toml, trentvale/*.toml and entry.toml.
//
//go:embed leeuwin/*.toml trentvale/*.toml entry.toml
var Files embed.FS
