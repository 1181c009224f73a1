// Package peer defines the RPC service that entries offer to each other, with its client and HTTP server.
package peer
