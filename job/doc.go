// Package job keeps the jobs of all teams as a state built from the job stream, decides on which workers
// they run, and runs them there under leases.
package job
