// Package target emulates a back end that executes requests in a bounded number of slots and keeps a
// journal of what it executed.
package target

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/standin/socket"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Defaults of a target.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Options describe a target. The zero value has the default limits and listens at a free port.
type Options struct {
	ID      instance.ID
	Listing upstream.Instance
	// Slots is the number of requests executed at once.
	Slots int
	// Connections is the number of connections above which requests are refused as full.
	Connections int
	// Restart is the time from a reboot to the return of the target.
	Restart time.Duration
	Timer   *timer.Service
}

// Faults are the fault switches of a target.
type Faults struct {
	machine.Faults
	// Close is the number of next requests that are executed and whose connection is closed before
	// the answer; -1 means all.
	Close int `json:"close"`
	// Truncate is the number of next requests whose answer breaks off halfway; -1 means all.
	Truncate int `json:"truncate"`
	// Slow is added to the service time of each request, in milliseconds.
	Slow int64 `json:"slow"`
	// Status replaces the status of all answers; 0 means no replacement.
	Status int `json:"status"`
}

// Target is an emulated target.
type Target struct {
	*machine.Machine
	slots int
	timer *timer.Service

	mu      sync.Mutex
	faults  Faults
	journal journal
}

// Start opens the address of a target.
func Start(options Options) (*Target, error) {
	t := &Target{slots: options.Slots, timer: options.Timer}
	if t.slots == 0 {
		t.slots = DefaultSlots
	}
	if options.Connections == 0 {
		options.Connections = DefaultConnections
	}
	listing := options.Listing
	listing.Kind = instance.KindTarget
	if options.ID != "" {
		listing.ID = options.ID
	}
	m, err := machine.New(machine.Options{
		Listing:     listing,
		Connections: options.Connections,
		Restart:     options.Restart,
		Timer:       options.Timer,
	})
	if err != nil {
		return nil, err
	}
	t.Machine = m
	m.Serve(http.HandlerFunc(t.serve))
	return t, nil
}

// Faults returns the present fault switches.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	f.Faults = t.Machine.Faults()
	return f
}

// SetFaults replaces the fault switches.
func (t *Target) SetFaults(f Faults) error {
	t.mu.Lock()
	t.faults = f
	t.mu.Unlock()
	return t.Machine.SetFaults(f.Faults)
}

// Fault changes the switches that the JSON object names and leaves the others as they are.
func (t *Target) Fault(data []byte) error {
	f := t.Faults()
	if err := reply.Strict("fault of "+string(t.ID()), data, &f); err != nil {
		return err
	}
	return t.SetFaults(f)
}

// take returns the faults for one request and counts it.
func (t *Target) take() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	if f.Close > 0 {
		t.faults.Close--
	}
	if f.Truncate > 0 {
		t.faults.Truncate--
	}
	return f
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/-/journal" {
		t.serveJournal(w, r)
		return
	}
	w.Header().Set(upstream.HeaderRequest, r.Header.Get(upstream.HeaderRequest))
	hold, err := t.begin(r)
	if err != nil {
		if socket.Excess(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		reply.Error(w, err)
		return
	}
	defer hold.Release()
	t.execute(w, r, hold)
}

func (t *Target) begin(r *http.Request) (*machine.Hold, error) {
	if socket.Excess(r.Context()) {
		return nil, reply.Refuse(r.URL.Path, upstream.RefusedFull, "all connections are taken")
	}
	text := r.Header.Get(upstream.HeaderIncarnation)
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, reply.Refuse(r.URL.Path, upstream.RefusedIncarnation, "header "+upstream.HeaderIncarnation+" is missing or malformed")
	}
	return t.Begin(r.URL.Path, instance.Incarnation(incarnation), t.slots)
}

// execute runs a request. It counts as executed from its headers on, because a target may act on a
// body that it has received in part.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, hold *machine.Hold) {
	index := t.record(Execution{
		Request:     r.Header.Get(upstream.HeaderRequest),
		Method:      r.Method,
		Path:        r.URL.Path,
		Key:         r.Header.Get("Idempotency-Key"),
		Incarnation: hold.Incarnation,
		Start:       t.timer.Now(),
	})
	body, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f := t.take()
	p := parseParameters(r)
	// A request goes on when its client disconnects; only a crash of the target ends it.
	if t.timer.Sleep(hold.Context(), time.Duration(p.time+f.Slow)*time.Millisecond) != nil {
		panic(http.ErrAbortHandler)
	}
	t.finish(index)
	if f.Close != 0 {
		hold.Release()
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		p.status = f.Status
	}
	a := answer{parameters: p, body: p.answerBody(r, body, t.ID(), hold.Incarnation)}
	a.write(w, f.Truncate != 0, hold.Release)
}
