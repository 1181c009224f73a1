// Package peer carries messages between entries.
package peer
