// Package claim provides at-most-once execution of non-idempotent requests that carry an idempotency
// key. An entry claims the key by appending a record to the shared log before it sends the request.
// State is the replicated state that results from the records; Claimer decides for each request whether
// this entry may execute it. Only "hibiscuslane serve" uses it, as "hibiscuslane run" sends no requests
// to targets. docs/atmostonce.md explains the design.
package claim
