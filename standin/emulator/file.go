// Package emulator starts a platform with its targets and workers in one process, from a description
// of a fleet, and switches their faults.
package emulator

import (
	"fmt"
	"os"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Fleet describes a fleet. All times are in milliseconds.
type Fleet struct {
	Platform Platform `json:"platform"`
	// Rack is the number of machines of one kind in a rack; 0 means 4.
	Rack int `json:"rack"`
	// Port is the port of the first target or worker; the others follow. 0 means free ports.
	Port    int     `json:"port"`
	Target  Target  `json:"target"`
	Worker  Worker  `json:"worker"`
	Sites   []Site  `json:"sites"`
	Entries []Entry `json:"entries"`
}

// Platform describes the log, the list and control.
type Platform struct {
	// Address is the address to listen at; empty means a free port on loopback.
	Address string `json:"address"`
	// Lag is the age of the list.
	Lag int64 `json:"lag"`
	// Restart is the time from a reboot to the return of a machine.
	Restart int64 `json:"restart"`
	// Records and Age bound what each stream of the log keeps; 0 means no bound.
	Records int   `json:"records"`
	Age     int64 `json:"age"`
}

// Target describes all targets; 0 means the default of package target.
type Target struct {
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// Worker describes all workers; 0 cores or memory means the default of package worker.
type Worker struct {
	Cores        int `json:"cores"`
	Memory       int `json:"memory"` // MB
	Accelerators int `json:"accelerators"`
	// Lag is the age of the reported usage.
	Lag int64 `json:"lag"`
}

// Site is one data centre.
type Site struct {
	Centre  site.DataCentre `json:"centre"`
	Targets int             `json:"targets"`
	Workers int             `json:"workers"`
}

// Entry is a process of the product, which the emulator lists and does not start.
type Entry struct {
	ID     instance.ID     `json:"id"`
	Centre site.DataCentre `json:"centre"`
	// Address is the peer address of the entry.
	Address instance.Address `json:"address"`
}

// defaultRack is the number of machines in a rack of both users' fleets.
const defaultRack = 4

// maxMachines bounds the machines of one process, so that a typing error does not exhaust its sockets.
const maxMachines = 2000

const maxPort = 65535 - maxMachines

// Load reads a fleet from a JSON file. Unknown fields are refused.
func Load(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, reply.Invalid(path, err.Error())
	}
	var fleet Fleet
	if err := reply.Strict(path, data, &fleet); err != nil {
		return Fleet{}, err
	}
	return fleet, fleet.check(path)
}

func (f Fleet) check(path string) error {
	if f.negative() {
		return reply.Invalid(path, "numbers must not be negative")
	}
	if f.Port > maxPort {
		return reply.Invalid(path, "port is out of range")
	}
	seen := map[site.DataCentre]bool{}
	machines := 0
	for i, s := range f.Sites {
		if s.Centre == "" || seen[s.Centre] {
			return reply.Invalid(path, fmt.Sprintf("sites[%d].centre is empty or used twice", i))
		}
		if s.Targets < 0 || s.Workers < 0 {
			return reply.Invalid(path, fmt.Sprintf("sites[%d] has a negative number of machines", i))
		}
		seen[s.Centre] = true
		machines += s.Targets + s.Workers
	}
	if machines > maxMachines {
		return reply.Invalid(path, fmt.Sprintf("%d machines are more than %d", machines, maxMachines))
	}
	entries := map[instance.ID]bool{}
	for i, e := range f.Entries {
		if e.ID == "" || e.Address == "" || entries[e.ID] {
			return reply.Invalid(path, fmt.Sprintf("entries[%d] lacks an id or address, or its id is used twice", i))
		}
		entries[e.ID] = true
	}
	return nil
}

// negative reports whether a number outside the sites is negative.
func (f Fleet) negative() bool {
	return min(f.Platform.Lag, f.Platform.Restart, f.Platform.Age, f.Worker.Lag) < 0 ||
		min(f.Platform.Records, f.Rack, f.Port, f.Target.Slots, f.Target.Connections) < 0 ||
		min(f.Worker.Cores, f.Worker.Memory, f.Worker.Accelerators) < 0
}

func (f Fleet) rackOf(centre site.DataCentre, kind instance.Kind, index int) site.Rack {
	size := f.Rack
	if size <= 0 {
		size = defaultRack
	}
	return site.Rack(fmt.Sprintf("%s-%s-rack-%d", centre, kind, index/size+1))
}

// listings returns the machines of one kind at one site.
func (f Fleet) listings(centre site.DataCentre, kind instance.Kind, count int) []upstream.Instance {
	list := make([]upstream.Instance, count)
	for i := range list {
		list[i] = upstream.Instance{
			ID:     instance.ID(fmt.Sprintf("%s-%s-%d", centre, kind, i+1)),
			Kind:   kind,
			Centre: centre,
			Rack:   f.rackOf(centre, kind, i),
		}
	}
	return list
}
