// Package examples embeds an example fleet, so that the demo needs no files besides its program.
package examples

import "embed"

// Files holds the example fleet in the directory small.
//
//go:embed small
var Files embed.FS
