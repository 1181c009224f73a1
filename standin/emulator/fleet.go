// Package emulator starts the platform of "hibiscuslane serve" with its targets and workers in one
// process, as a fleet file describes them, and injects faults into them. Start with Emulator and Fleet.
// Package fabric emulates the platform of "hibiscuslane run".
package emulator

import (
	"fmt"
	"os"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Fleet describes an emulated fleet. All times are in milliseconds.
type Fleet struct {
	Platform Platform `json:"platform"`
	// RackSize is the number of machines of the same kind in a rack; 0 means 4.
	RackSize int `json:"rack"`
	// FirstPort is the port of the first target or worker; the others get the following ports. 0 means free
	// ports.
	FirstPort int     `json:"port"`
	Target    Target  `json:"target"`
	Worker    Worker  `json:"worker"`
	Sites     []Site  `json:"sites"`
	Entries   []Entry `json:"entries"`
}

// Platform describes the log and the directory of instances.
type Platform struct {
	// Address is the address to listen on; empty means a free port of the loopback interface.
	Address string `json:"address"`
	// ListLag is the delay after which the list of instances shows a change.
	ListLag int64 `json:"lag"`
	// RestartDelay is the time that a reboot of a machine takes.
	RestartDelay int64 `json:"restart"`
	// MaxRecords and MaxAge bound the records that each stream of the log keeps; 0 means no bound.
	MaxRecords int   `json:"records"`
	MaxAge     int64 `json:"age"`
}

// Target describes all targets; 0 means the default of package target.
type Target struct {
	Slots          int `json:"slots"`
	MaxConnections int `json:"connections"`
}

// Worker describes all workers; 0 cores or memory means the default of package worker.
type Worker struct {
	Cores        int `json:"cores"`
	Memory       int `json:"memory"` // MB
	Accelerators int `json:"accelerators"`
	// UsageLag is the delay after which a change of the resource usage is reported.
	UsageLag int64 `json:"lag"`
}

// Site describes the machines of a data centre.
type Site struct {
	Centre  site.DataCentre `json:"centre"`
	Targets int             `json:"targets"`
	Workers int             `json:"workers"`
}

// Entry describes a process of this program, which the emulator lists but does not start.
type Entry struct {
	ID     instance.ID     `json:"id"`
	Centre site.DataCentre `json:"centre"`
	// Address is the peer address of the entry.
	Address instance.Address `json:"address"`
}

// defaultRackSize is the rack size of both users' fleets.
const defaultRackSize = 4

// maxMachines bounds the number of machines, so that a typing error does not exhaust the sockets of the process.
const maxMachines = 2000

// maxFirstPort leaves enough ports above it for all machines.
const maxFirstPort = 65535 - maxMachines

// LoadFleet reads the description of a fleet from a JSON file. It refuses unknown fields and invalid values.
func LoadFleet(path string) (Fleet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, reply.Invalid(path, err.Error())
	}
	var fleet Fleet
	if err := reply.DecodeStrict(path, data, &fleet); err != nil {
		return Fleet{}, err
	}
	return fleet, fleet.validate(path)
}

func (f Fleet) validate(path string) error {
	if f.hasNegative() {
		return reply.Invalid(path, "numbers must not be negative")
	}
	if f.FirstPort > maxFirstPort {
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

// hasNegative reports whether any number outside Sites is negative.
func (f Fleet) hasNegative() bool {
	return min(f.Platform.ListLag, f.Platform.RestartDelay, f.Platform.MaxAge, f.Worker.UsageLag) < 0 ||
		min(f.Platform.MaxRecords, f.RackSize, f.FirstPort, f.Target.Slots, f.Target.MaxConnections) < 0 ||
		min(f.Worker.Cores, f.Worker.Memory, f.Worker.Accelerators) < 0
}

// rackName returns the rack of the machine with the given index among those of its kind in the data centre.
func (f Fleet) rackName(centre site.DataCentre, kind instance.Kind, index int) site.Rack {
	size := f.RackSize
	if size <= 0 {
		size = defaultRackSize
	}
	return site.Rack(fmt.Sprintf("%s-%s-rack-%d", centre, kind, index/size+1))
}

// listedInstances returns the machines of one kind in a data centre, as the list of instances describes them.
func (f Fleet) listedInstances(centre site.DataCentre, kind instance.Kind, count int) []upstream.Instance {
	list := make([]upstream.Instance, count)
	for i := range list {
		list[i] = upstream.Instance{
			ID:     instance.ID(fmt.Sprintf("%s-%s-%d", centre, kind, i+1)),
			Kind:   kind,
			Centre: centre,
			Rack:   f.rackName(centre, kind, i),
		}
	}
	return list
}
