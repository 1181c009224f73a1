// Package examples embeds the example fleet in the directory small, so that the demo runs from the program alone.
package examples

import "embed"

// Files holds the example fleet in the directory small.
//
//go:embed small
var Files embed.FS
