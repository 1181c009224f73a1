// Package job keeps the jobs of all teams as a state folded from the log, decides where they run, and
// runs them on workers under leases.
package job
