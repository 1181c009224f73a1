// Package claim provides at-most-once execution of non-idempotent requests that carry an idempotency
// key. State folds the stream of claims; Claimer decides for each request whether this entry may
// execute it. docs/atmostonce.md explains the design.
package claim
