package dispatch

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/worker"
)

// addToMachine adds a worker to those of its machine. Decisions about one machine visit only these: at a takeover and when many
// machines move, such decisions are made for all machines at once.
func (d *Dispatcher) addToMachine(s *workerState) {
	if d.workersByMachine == nil {
		d.workersByMachine = map[worker.MachineID][]*workerState{}
	}
	id := s.registration.Machine
	d.workersByMachine[id] = append(d.workersByMachine[id], s)
}

// removeFromMachine removes a worker from those of its machine.
func (d *Dispatcher) removeFromMachine(s *workerState) {
	id := s.registration.Machine
	d.workersByMachine[id] = slices.DeleteFunc(d.workersByMachine[id], func(other *workerState) bool { return other == s })
	if len(d.workersByMachine[id]) == 0 {
		delete(d.workersByMachine, id)
	}
}

// setRegistration replaces the registration of a worker.
func (d *Dispatcher) setRegistration(s *workerState, registration worker.Registration) {
	if registration.Machine != s.registration.Machine {
		d.removeFromMachine(s)
		defer d.addToMachine(s)
	}
	s.registration = registration
}

// currentWorkerOf returns the registered worker with the latest incarnation on a machine, leaving out workers that a machine order has
// ended; nil if there is none.
func (d *Dispatcher) currentWorkerOf(id worker.MachineID) *workerState {
	var current *workerState
	for _, s := range d.workersByMachine[id] {
		if _, listed := d.registrations[s.id]; listed && !s.endedByOrder && (current == nil || s.isLaterThan(current)) {
			current = s
		}
	}
	return current
}

// currentWorkers returns currentWorkerOf all machines that have one.
func (d *Dispatcher) currentWorkers() map[worker.MachineID]*workerState {
	workers := make(map[worker.MachineID]*workerState, len(d.workersByMachine))
	for id := range d.workersByMachine {
		if s := d.currentWorkerOf(id); s != nil {
			workers[id] = s
		}
	}
	return workers
}
