// Package config merges the base file with the overlays of sites, validates the result, and maintains the
// published configuration as a state that is built from the records of a log stream.
package config
