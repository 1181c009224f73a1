// Package request processes the requests of callers: a chain of endpoint middlewares accepts,
// identifies, admits, claims, queues, routes, sends and answers each one. docs/callers.md describes
// the interface to callers.
package request
