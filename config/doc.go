// Package config merges the base file with site overlays, checks the result, and keeps the published
// configuration as a state folded from the log.
package config
