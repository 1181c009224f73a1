// Package job keeps the jobs of all teams as a state built from the job stream, decides on which workers
// they run, and runs them there under leases. State holds the jobs, Plan decides, Runner runs them, and
// Handler serves the job API. Only "hibiscuslane serve" uses it; "hibiscuslane run" defines its jobs in
// package task, places their tasks with package schedule and runs them with package dispatch.
package job
