package emulator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	emulated "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/standin/target"
	"hibiscuslane.example/hibiscuslane/standin/worker"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Emulator is a running emulated fleet.
type Emulator struct {
	Platform *emulated.Server
	Targets  []*target.Target
	Workers  []*worker.Worker
	entries  []*listedEntry
}

// Start starts a fleet. If service is nil, the fleet uses the system clock.
func Start(fleet Fleet, service *timer.Service) (*Emulator, error) {
	server, err := emulated.Start(emulated.Options{
		Address:   fleet.Platform.Address,
		Retention: appendlog.Retention{MaxRecords: fleet.Platform.MaxRecords, MaxAge: milliseconds(fleet.Platform.MaxAge)},
		Lag:       milliseconds(fleet.Platform.ListLag),
		Timer:     service,
	})
	if err != nil {
		return nil, err
	}
	e := &Emulator{Platform: server}
	if err := e.startMachines(fleet, service); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	for _, entry := range fleet.Entries {
		e.entries = append(e.entries, listEntry(server.Directory, entry))
	}
	server.Handle("POST /fault", e.serveSetFaults)
	server.Handle("GET /fault", e.serveGetFaults)
	return e, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (e *Emulator) startMachines(fleet Fleet, service *timer.Service) error {
	port := fleet.FirstPort
	checkpoints := &worker.Checkpoints{}
	for _, s := range fleet.Sites {
		for _, listedInstance := range fleet.listedInstances(s.Centre, instance.KindTarget, s.Targets) {
			listedInstance.Address, port = address(port)
			if err := e.startTarget(fleet, listedInstance, service); err != nil {
				return err
			}
		}
		for _, listedInstance := range fleet.listedInstances(s.Centre, instance.KindWorker, s.Workers) {
			listedInstance.Address, port = address(port)
			if err := e.startWorker(fleet, listedInstance, checkpoints, service); err != nil {
				return err
			}
		}
	}
	return nil
}

// address returns the loopback address with the given port, and the port of the next machine. For port 0 it returns
// an empty address, with which a machine listens on a free port, and 0.
func address(port int) (instance.Address, int) {
	if port == 0 {
		return "", 0
	}
	return instance.Address(fmt.Sprintf("127.0.0.1:%d", port)), port + 1
}

func (e *Emulator) startTarget(fleet Fleet, listedInstance upstream.Instance, service *timer.Service) error {
	t, err := target.Start(target.Options{
		ListedInstance: listedInstance,
		Slots:          fleet.Target.Slots,
		MaxConnections: fleet.Target.MaxConnections,
		RestartDelay:   milliseconds(fleet.Platform.RestartDelay),
		Timer:          service,
	})
	if err != nil {
		return err
	}
	e.Targets = append(e.Targets, t)
	e.Platform.Directory.AddMachine(t)
	return nil
}

func (e *Emulator) startWorker(fleet Fleet, listedInstance upstream.Instance, checkpoints *worker.Checkpoints, service *timer.Service) error {
	listedInstance.Cores = fleet.Worker.Cores
	listedInstance.Memory = fleet.Worker.Memory
	listedInstance.Accelerators = fleet.Worker.Accelerators
	w, err := worker.Start(worker.Options{
		ListedInstance: listedInstance,
		RestartDelay:   milliseconds(fleet.Platform.RestartDelay),
		UsageLag:       milliseconds(fleet.Worker.UsageLag),
		Checkpoints:    checkpoints,
		Timer:          service,
	})
	if err != nil {
		return err
	}
	e.Workers = append(e.Workers, w)
	e.Platform.Directory.AddMachine(w)
	return nil
}

// ListedInstances describes all machines and entries as the list would if it had no lag.
func (e *Emulator) ListedInstances() []upstream.Instance {
	all := e.emulatedInstances()
	listedInstances := make([]upstream.Instance, len(all))
	for i, inst := range all {
		listedInstances[i] = inst.ListedInstance()
	}
	return listedInstances
}

// Target returns the target with the given id, or nil.
func (e *Emulator) Target(id instance.ID) *target.Target {
	i := slices.IndexFunc(e.Targets, func(t *target.Target) bool { return t.ID() == id })
	if i < 0 {
		return nil
	}
	return e.Targets[i]
}

// Worker returns the worker with the given id, or nil.
func (e *Emulator) Worker(id instance.ID) *worker.Worker {
	i := slices.IndexFunc(e.Workers, func(w *worker.Worker) bool { return w.ID() == id })
	if i < 0 {
		return nil
	}
	return e.Workers[i]
}

// Close stops all machines, then the platform.
func (e *Emulator) Close() error {
	var errs []error
	for _, t := range e.Targets {
		errs = append(errs, t.Close())
	}
	for _, w := range e.Workers {
		errs = append(errs, w.Close())
	}
	return errors.Join(append(errs, e.Platform.Close())...)
}
