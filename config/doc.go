// Package config merges the base file with the overlays of sites, validates the result, and maintains the
// published configuration as a state that is built from the records of a log stream. Start with State,
// and with Settings, the configuration of one site. Only "hibiscuslane serve" and the commands that
// prepare and publish its configuration use it; the configuration of "hibiscuslane run" is defined in
// package queue and read by package operator.
package config
