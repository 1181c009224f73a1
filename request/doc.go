// Package request processes the requests of callers of "hibiscuslane serve" in a chain of endpoint middlewares:
// it decodes and identifies a request, applies rate limits, obtains a claim and a slot, selects the target,
// sends the request and encodes the response. Start with Handler. Package ingress serves the callers of
// "hibiscuslane run", whose requests all concern jobs. docs/callers.md describes the interface for callers.
package request
