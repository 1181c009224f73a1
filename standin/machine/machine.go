// Package machine emulates the parts that targets and workers share: an address, incarnations, drains,
// reboots, crashes and faulty connections.
package machine

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/port"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/standin/socket"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Options describe a machine.
type Options struct {
	// ListedInstance describes the machine at its start. Its Address is the address to listen on and may have port 0.
	// If it is empty, the machine listens on a loopback port that is reserved until Close, since it closes its listener in between.
	ListedInstance upstream.Instance
	// MaxConnections is the number of connections above which socket.IsOverLimit is true for requests; 0
	// means no limit.
	MaxConnections int
	// RestartDelay is the time that a reboot takes.
	RestartDelay time.Duration
	Timer        *timer.Service
	// OnRestart is called at the start of each incarnation but the first, before the machine takes calls. It
	// must not call the machine, whose lock is held.
	OnRestart func()
}

// Faults are the faults that can be injected into every machine.
type Faults struct {
	// Off crashes the machine: its work ends, its connections except silent ones are reset and it leaves the
	// list. When Off is cleared, the machine starts again with the next incarnation.
	Off bool `json:"off"`
	// RefuseConnections makes the operating system refuse new connections.
	RefuseConnections bool `json:"refuse"`
	// Silent selects the connections that drop all bytes.
	Silent socket.Silence `json:"silent"`
}

// Machine is an emulated instance that can be drained, rebooted and crashed.
type Machine struct {
	options     Options
	listener    *socket.Listener
	reservation *port.Reservation // of the port, if the machine has chosen it; else nil

	mu sync.Mutex
	// listedInstance.Incarnation increases by one with each reboot and with each start after a crash.
	listedInstance upstream.Instance
	current        *incarnationState
	rebooting      bool
	faults         Faults
	watcher        func(upstream.Instance, bool) // the function passed to Watch
}

// incarnationState holds the work of one incarnation. ctx ends when the machine crashes or closes, or when
// the next incarnation starts.
type incarnationState struct {
	ctx         context.Context
	cancel      context.CancelFunc
	runningWork int
}

func newIncarnationState() *incarnationState {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnationState{ctx: ctx, cancel: cancel}
}

// New starts to listen on the address of a machine; calls wait until Serve. The first incarnation is that
// of Options.ListedInstance, or 1.
func New(options Options) (*Machine, error) {
	m := &Machine{options: options, listedInstance: options.ListedInstance, current: newIncarnationState()}
	address := options.ListedInstance.Address
	if address == "" {
		var err error
		if m.reservation, err = port.Reserve("127.0.0.1:0"); err != nil {
			return nil, err
		}
		address = m.reservation.Address()
	}
	listener, err := socket.Listen(string(address), options.MaxConnections)
	if err != nil {
		return nil, errors.Join(err, m.release())
	}
	m.listener = listener
	m.listedInstance.Address = instance.Address(listener.Addr().String())
	m.listedInstance.State = upstream.StateLive
	m.listedInstance.Incarnation = max(1, m.listedInstance.Incarnation)
	return m, nil
}

// Serve starts to serve requests with handler.
func (m *Machine) Serve(handler http.Handler) { m.listener.Serve(handler) }

// Close aborts all work and closes the listener.
func (m *Machine) Close() error {
	m.mu.Lock()
	m.current.cancel()
	m.mu.Unlock()
	return errors.Join(m.listener.Close(), m.release())
}

// release ends the reservation of the port.
func (m *Machine) release() error {
	if m.reservation == nil {
		return nil
	}
	return m.reservation.Close()
}

// ID returns the id of the machine.
func (m *Machine) ID() instance.ID { return m.options.ListedInstance.ID }

// Address returns the address of the machine.
func (m *Machine) Address() instance.Address { return m.ListedInstance().Address }

// ListedInstance describes the machine as the platform's list would if it had no lag.
func (m *Machine) ListedInstance() upstream.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedInstance
}

// Watch calls f with the machine as an instance of the list, at once and at each change. The second argument
// of f is false while the machine is off. f must not call the machine, whose lock is held. A later call of Watch
// replaces f.
func (m *Machine) Watch(f func(upstream.Instance, bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watcher = f
	m.notifyLocked()
}

func (m *Machine) notifyLocked() {
	if m.watcher != nil {
		m.watcher(m.listedInstance, !m.faults.Off)
	}
}

// Work is a request or task that the machine executes. A machine with unfinished work refuses to reboot.
type Work struct {
	machine *Machine
	state   *incarnationState
	// Incarnation is the incarnation in which the work began.
	Incarnation instance.Incarnation
	once        sync.Once
}

// BeginWork registers new work from a caller that expects the given incarnation. It refuses the work if
// the machine has another incarnation, is draining, rebooting or off, or already executes limit requests or
// tasks; 0 means no limit. call names the call in the refusal.
func (m *Machine) BeginWork(call string, incarnation instance.Incarnation, limit int) (*Work, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation != m.listedInstance.Incarnation {
		return nil, reply.Refuse(call, upstream.RefusedIncarnation, "another incarnation is current")
	}
	if m.rebooting || m.faults.Off || m.listedInstance.State == upstream.StateLeaving {
		return nil, reply.Refuse(call, upstream.RefusedDraining, "the instance takes no new work")
	}
	if limit > 0 && m.current.runningWork >= limit {
		return nil, reply.Refuse(call, upstream.RefusedFull, "all slots are taken")
	}
	m.current.runningWork++
	return &Work{machine: m, state: m.current, Incarnation: incarnation}, nil
}

// Context returns a context that ends when the machine crashes or closes.
func (w *Work) Context() context.Context { return w.state.ctx }

// OnCrash calls f in its own goroutine when Context ends, unless the returned function is called before.
func (w *Work) OnCrash(f func()) (cancel func() bool) { return context.AfterFunc(w.state.ctx, f) }

// End marks the work as finished. Further calls have no effect.
func (w *Work) End() {
	w.once.Do(func() {
		w.machine.mu.Lock()
		defer w.machine.mu.Unlock()
		w.state.runningWork--
	})
}

// RunningWork returns the number of requests or tasks that have not ended.
func (m *Machine) RunningWork() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.runningWork
}

// Drain makes the machine refuse new work until its next incarnation starts. A repeated drain has no further effect.
func (m *Machine) Drain(incarnation instance.Incarnation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkIncarnationLocked("drain", incarnation); err != nil {
		return err
	}
	m.listedInstance.State = upstream.StateLeaving
	m.notifyLocked()
	return nil
}

// Reboot begins to restart a machine under the next incarnation, which starts after RestartDelay. It is refused while
// work is unfinished. A repeated reboot has no further effect.
func (m *Machine) Reboot(incarnation instance.Incarnation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkIncarnationLocked("reboot", incarnation); err != nil {
		return err
	}
	if m.rebooting {
		return nil
	}
	if m.current.runningWork > 0 {
		return reply.Refuse("reboot", upstream.RefusedBusy, "work is running")
	}
	if err := m.listener.Suspend(); err != nil {
		return err
	}
	m.rebooting = true
	m.listedInstance.State = upstream.StateLeaving
	m.notifyLocked()
	go m.restart(m.current)
	return nil
}

// checkIncarnationLocked refuses a call for a machine that is off or has another incarnation.
func (m *Machine) checkIncarnationLocked(call string, incarnation instance.Incarnation) error {
	if m.faults.Off {
		return reply.Refuse(call, upstream.RefusedMissing, "the instance is off")
	}
	if incarnation != m.listedInstance.Incarnation {
		return reply.Refuse(call, upstream.RefusedIncarnation, "another incarnation is current")
	}
	return nil
}

// restart completes a reboot after RestartDelay, unless the machine crashes or closes first.
func (m *Machine) restart(rebooted *incarnationState) {
	if m.options.Timer.Sleep(rebooted.ctx, m.options.RestartDelay) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != rebooted || rebooted.ctx.Err() != nil {
		return
	}
	// If the address cannot be opened again, the machine stays unreachable, as after a failed reboot.
	_ = m.startIncarnationLocked()
}

// startIncarnationLocked starts the next incarnation after a reboot or crash.
func (m *Machine) startIncarnationLocked() error {
	m.current.cancel()
	m.current = newIncarnationState()
	m.rebooting = false
	m.listedInstance.State = upstream.StateLive
	m.listedInstance.Incarnation++
	if m.options.OnRestart != nil {
		m.options.OnRestart()
	}
	m.notifyLocked()
	return m.listener.Resume()
}

// Faults returns the current faults.
func (m *Machine) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the current faults. SilenceEstablished is applied once and not stored.
func (m *Machine) SetFaults(f Faults) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.listener.SetRefuse(f.RefuseConnections); err != nil {
		return err
	}
	m.listener.Silence(context.Background(), f.Silent)
	if f.Silent == socket.SilenceEstablished {
		f.Silent = socket.SilenceNone
	}
	wasOff := m.faults.Off
	m.faults = f
	switch {
	case f.Off && !wasOff:
		m.current.cancel()
		m.notifyLocked()
		return m.listener.Abort()
	case !f.Off && wasOff:
		return m.startIncarnationLocked()
	}
	return nil
}
