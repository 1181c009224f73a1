// Package machine emulates what targets and workers have in common: an address, incarnations, drain,
// reboot, crash, and connections that can fail.
package machine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/standin/socket"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Options describe a machine.
type Options struct {
	// Listing is what the platform lists; Address is the address to listen at and may have port 0.
	Listing upstream.Instance
	// Connections is the number of connections above which requests are refused as full; 0 means no
	// limit.
	Connections int
	// Restart is the time from a reboot to the return of the machine.
	Restart time.Duration
	Timer   *timer.Service
	// Reset is called at the start of each life except the first, before the machine takes calls.
	Reset func()
}

// Faults are the fault switches that all machines have.
type Faults struct {
	// Off crashes the machine: its work ends, its connections are reset and it leaves the list. It
	// returns with the next incarnation when the switch is cleared.
	Off bool `json:"off"`
	// Refuse makes the system refuse new connections.
	Refuse bool `json:"refuse"`
	// Silent selects connections that drop all bytes.
	Silent socket.Silence `json:"silent"`
}

// Machine is an emulated instance with incarnations.
type Machine struct {
	options  Options
	listener *socket.Listener

	mu sync.Mutex
	// listing.Incarnation rises by one with each life.
	listing upstream.Instance
	life    *life
	reboot  bool
	faults  Faults
	watch   func(upstream.Instance, bool)
}

// life is the time between two reboots or crashes.
type life struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running int
}

func newLife() *life {
	ctx, cancel := context.WithCancel(context.Background())
	return &life{ctx: ctx, cancel: cancel}
}

// New opens the address of a machine; calls wait until Serve. The first incarnation is the one of the
// listing, or 1.
func New(options Options) (*Machine, error) {
	address := options.Listing.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := socket.Listen(string(address), options.Connections)
	if err != nil {
		return nil, err
	}
	m := &Machine{options: options, listener: listener, listing: options.Listing, life: newLife()}
	m.listing.Address = instance.Address(listener.Addr().String())
	m.listing.State = upstream.StateLive
	m.listing.Incarnation = max(1, m.listing.Incarnation)
	return m, nil
}

// Serve starts to serve handler at the address.
func (m *Machine) Serve(handler http.Handler) { m.listener.Serve(handler) }

// Close ends all work and closes the address.
func (m *Machine) Close() error {
	m.mu.Lock()
	m.life.cancel()
	m.mu.Unlock()
	return m.listener.Close()
}

// ID returns the id of the machine.
func (m *Machine) ID() instance.ID { return m.options.Listing.ID }

// Address returns the address of the machine.
func (m *Machine) Address() instance.Address { return m.Listing().Address }

// Listing returns the present state, without the lag of the platform's list.
func (m *Machine) Listing() upstream.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listing
}

// Watch calls f with the present listing and at each change of it. The second argument of f is false
// while the machine is off. f must not call the machine.
func (m *Machine) Watch(f func(upstream.Instance, bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watch = f
	m.notifyLocked()
}

func (m *Machine) notifyLocked() {
	if m.watch != nil {
		m.watch(m.listing, !m.faults.Off)
	}
}

// Hold is a piece of work that keeps the machine from being idle.
type Hold struct {
	machine *Machine
	life    *life
	// Incarnation is the one under which the work started.
	Incarnation instance.Incarnation
	once        sync.Once
}

// Begin starts a piece of work for a caller that believes in the given incarnation. It refuses the
// work if the machine has another incarnation, drains, or runs limit pieces; 0 means no limit.
func (m *Machine) Begin(call string, incarnation instance.Incarnation, limit int) (*Hold, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation != m.listing.Incarnation {
		return nil, reply.Refuse(call, upstream.RefusedIncarnation, "another incarnation is current")
	}
	if m.reboot || m.faults.Off || m.listing.State == upstream.StateLeaving {
		return nil, reply.Refuse(call, upstream.RefusedDraining, "the instance takes no new work")
	}
	if limit > 0 && m.life.running >= limit {
		return nil, reply.Refuse(call, upstream.RefusedFull, "all slots are taken")
	}
	m.life.running++
	return &Hold{machine: m, life: m.life, Incarnation: incarnation}, nil
}

// Context ends when the machine crashes or is closed.
func (h *Hold) Context() context.Context { return h.life.ctx }

// OnCrash calls f in its own goroutine when Context ends. The returned function cancels the call.
func (h *Hold) OnCrash(f func()) (cancel func() bool) { return context.AfterFunc(h.life.ctx, f) }

// Release ends the work. Further calls have no effect.
func (h *Hold) Release() {
	h.once.Do(func() {
		h.machine.mu.Lock()
		defer h.machine.mu.Unlock()
		h.life.running--
	})
}

// Running returns the number of pieces of work.
func (m *Machine) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life.running
}

// Drain makes the machine refuse new work. A repeated drain has no further effect.
func (m *Machine) Drain(incarnation instance.Incarnation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fenceLocked("drain", incarnation); err != nil {
		return err
	}
	m.listing.State = upstream.StateLeaving
	m.notifyLocked()
	return nil
}

// Reboot restarts an idle machine under the next incarnation.
func (m *Machine) Reboot(incarnation instance.Incarnation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.fenceLocked("reboot", incarnation); err != nil {
		return err
	}
	if m.reboot {
		return nil
	}
	if m.life.running > 0 {
		return reply.Refuse("reboot", upstream.RefusedBusy, "work is running")
	}
	if err := m.listener.Off(); err != nil {
		return err
	}
	m.reboot = true
	m.listing.State = upstream.StateLeaving
	m.notifyLocked()
	go m.restart(m.life)
	return nil
}

func (m *Machine) fenceLocked(call string, incarnation instance.Incarnation) error {
	if m.faults.Off {
		return reply.Refuse(call, upstream.RefusedMissing, "the instance is off")
	}
	if incarnation != m.listing.Incarnation {
		return reply.Refuse(call, upstream.RefusedIncarnation, "another incarnation is current")
	}
	return nil
}

// restart brings the machine back after a reboot unless it crashes or closes first.
func (m *Machine) restart(l *life) {
	if m.options.Timer.Sleep(l.ctx, m.options.Restart) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != l || l.ctx.Err() != nil {
		return
	}
	// An address that cannot be opened again leaves the machine unreachable, as a failed reboot does.
	_ = m.startLifeLocked()
}

func (m *Machine) startLifeLocked() error {
	m.life.cancel()
	m.life = newLife()
	m.reboot = false
	m.listing.State = upstream.StateLive
	m.listing.Incarnation++
	if m.options.Reset != nil {
		m.options.Reset()
	}
	m.notifyLocked()
	return m.listener.On()
}

// Faults returns the present fault switches.
func (m *Machine) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the fault switches. SilenceEstablished is not kept: it applies once.
func (m *Machine) SetFaults(f Faults) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.listener.Refuse(f.Refuse); err != nil {
		return err
	}
	m.listener.Silence(context.Background(), f.Silent)
	if f.Silent == socket.SilenceEstablished {
		f.Silent = socket.SilenceNone
	}
	before := m.faults.Off
	m.faults = f
	switch {
	case f.Off && !before:
		m.life.cancel()
		m.notifyLocked()
		return m.listener.Kill()
	case !f.Off && before:
		return m.startLifeLocked()
	}
	return nil
}
