// Package peer defines the RPC service that entries of "hibiscuslane serve" offer to each other, with its
// client and HTTP server. Package relay defines the service between the entries of "hibiscuslane run".
package peer
