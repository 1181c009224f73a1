// Package settings defines the settings of the process of an entry, such as its id, its listen
// addresses and the addresses of the platform: Settings, which Load reads from a file, for
// "hibiscuslane serve", and Deployment, which platform.LoadSettings reads, for "hibiscuslane run". The
// configuration that operators publish for the fleet is in packages config and queue.
package settings

import (
	"cmp"
	_ "embed" // for the schema
	"encoding/json"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
)

// Settings holds the process settings of an entry.
type Settings struct {
	// ID is the id of the entry in the platform's instance list.
	ID instance.ID `json:"id"`
	// Centre is the data centre, and thereby the site, that the entry runs in.
	Centre   site.DataCentre `json:"centre"`
	Listen   Listen          `json:"listen"`
	Platform Platform        `json:"platform"`
	Log      Log             `json:"log"`
	// StopMillis limits the duration of a graceful shutdown, in milliseconds.
	StopMillis int64 `json:"stop"`
	// MemoryMB is the memory that the process may use, in MB of 1024 KB; zero means DefaultMemoryMB.
	MemoryMB int64 `json:"memory,omitempty"`
}

// Listen holds the addresses that an entry listens on, each an IP address and a port.
type Listen struct {
	Callers instance.Address `json:"callers"`
	Peers   instance.Address `json:"peers"`
	Admin   instance.Address `json:"admin"`
}

// Platform holds the address and the log retention of the platform.
type Platform struct {
	// BaseURL is the URL of the platform's log, instance list and control API, without a trailing slash.
	BaseURL string `json:"base"`
	// RetentionMillis is how long the log keeps records, in milliseconds.
	RetentionMillis int64 `json:"retention"`
}

// Log holds the level and the format of log lines.
type Log struct {
	Level  string       `json:"level"`
	Format event.Format `json:"format"`
}

// Defaults of optional settings.
const (
	DefaultLevel                 = "info"
	DefaultFormat                = event.FormatJSON
	DefaultStopMillis      int64 = 30_000    // milliseconds
	DefaultRetentionMillis int64 = 3_600_000 // milliseconds
	DefaultMemoryMB        int64 = 256       // MB; the bodies that it allows are those that callers could always send at once
)

//go:embed schema.json
var schemaText []byte

var schema = document.MustCompile(schemaText)

// StopTimeout returns the longest duration of a graceful shutdown.
func (s Settings) StopTimeout() time.Duration { return time.Duration(s.StopMillis) * time.Millisecond }

// SnapshotPeriod returns the age of the newest snapshot of a stream at which another one is due. It is a
// third of the retention, so that the log still holds a snapshot after one was missed.
func (s Settings) SnapshotPeriod() time.Duration {
	return time.Duration(s.Platform.RetentionMillis) * time.Millisecond / 3
}

// MemoryBytes returns the memory that the process may use.
func (s Settings) MemoryBytes() int64 { return cmp.Or(s.MemoryMB, DefaultMemoryMB) << 20 }

// Load reads settings from a file. It returns a ReadError or a CheckError on failure.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &ReadError{Path: path, Cause: err}
	}
	s, err := Parse(data)
	if check := asCheckError(err); check != nil {
		check.Path = path
	}
	return s, err
}

// Parse decodes settings and fills in the defaults. On failure it returns a CheckError with all faults.
func Parse(data []byte) (Settings, error) {
	tree, faults := document.Decode(data)
	if len(faults) > 0 {
		return Settings{}, newCheckError(faults)
	}
	if faults = schema.Validate(tree); len(faults) > 0 {
		return Settings{}, newCheckError(faults)
	}
	canonical, err := json.Marshal(tree)
	if err != nil {
		return Settings{}, newCheckError([]document.Fault{{Reason: err.Error()}})
	}
	s := Settings{Log: Log{Level: DefaultLevel, Format: DefaultFormat}, Platform: Platform{RetentionMillis: DefaultRetentionMillis}, StopMillis: DefaultStopMillis}
	if err := json.Unmarshal(canonical, &s); err != nil {
		return Settings{}, newCheckError([]document.Fault{{Reason: err.Error()}})
	}
	if faults = s.validate(); len(faults) > 0 {
		return Settings{}, newCheckError(faults)
	}
	return s, nil
}

// validate returns the faults of settings that match the schema.
func (s Settings) validate() []document.Fault {
	var faults []document.Fault
	addFault := func(pointer, reason string) {
		if reason != "" {
			faults = append(faults, document.Fault{Pointer: pointer, Reason: reason})
		}
	}
	listen := []struct {
		pointer string
		address instance.Address
	}{
		{"/listen/callers", s.Listen.Callers},
		{"/listen/peers", s.Listen.Peers},
		{"/listen/admin", s.Listen.Admin},
	}
	used := map[instance.Address]string{}
	for _, l := range listen {
		addFault(l.pointer, checkAddress(l.address))
		if first, repeated := used[l.address]; repeated && !hasDynamicPort(l.address) {
			addFault(l.pointer, "is the same address as "+first)
			continue
		}
		used[l.address] = l.pointer
	}
	addFault("/platform/base", checkBaseURL(s.Platform.BaseURL))
	return faults
}

// checkAddress returns the reason why a listen address is invalid, or the empty string if it is valid.
func checkAddress(address instance.Address) string {
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		return "is " + strconv.Quote(string(address)) + ", must be an IP address and a port, such as 127.0.0.1:8080"
	}
	return ""
}

// hasDynamicPort reports whether the operating system chooses the port. Equal addresses then denote
// different ports.
func hasDynamicPort(address instance.Address) bool {
	_, port, err := net.SplitHostPort(string(address))
	return err == nil && port == "0"
}

// checkBaseURL returns the reason why the URL of the platform is invalid, or the empty string if it is valid.
func checkBaseURL(base string) string {
	address, err := url.Parse(base)
	switch {
	case err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https"):
		return "is " + strconv.Quote(base) + ", must be an http or https URL with a host"
	case address.RawQuery != "" || address.Fragment != "":
		return "must have neither query nor fragment"
	case base[len(base)-1] == '/':
		return "must not end with a slash"
	}
	return ""
}
