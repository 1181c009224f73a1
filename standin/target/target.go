// Package target emulates a target, which executes a bounded number of requests at once and records every
// execution in a journal.
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

// Options describe a target. The zero value has the default limits and listens on a free port.
type Options struct {
	// ID replaces the id of ListedInstance, unless it is empty.
	ID             instance.ID
	ListedInstance upstream.Instance
	// Slots is the maximum number of requests executed at once; 0 means DefaultSlots.
	Slots int
	// MaxConnections is the number of connections above which the requests of further connections are refused as
	// full; 0 means DefaultConnections.
	MaxConnections int
	// RestartDelay is the time that a reboot takes.
	RestartDelay time.Duration
	Timer        *timer.Service
}

// Faults are the faults that can be injected into a target.
type Faults struct {
	machine.Faults
	// DroppedResponses is the number of upcoming requests that are executed but whose connection is closed before
	// the response; -1 means all.
	DroppedResponses int `json:"close"`
	// TruncatedResponses is the number of upcoming requests whose response is cut off halfway; -1 means all.
	TruncatedResponses int `json:"truncate"`
	// DelayMS is the additional service time of each request, in milliseconds.
	DelayMS int64 `json:"slow"`
	// OverrideStatus replaces the status of all responses; 0 means no replacement.
	OverrideStatus int `json:"status"`
}

// Target is an emulated target with its journal.
type Target struct {
	*machine.Machine
	slots int
	timer *timer.Service

	mu      sync.Mutex
	faults  Faults
	journal journal
}

// Start starts a target.
func Start(options Options) (*Target, error) {
	t := &Target{slots: options.Slots, timer: options.Timer}
	if t.slots == 0 {
		t.slots = DefaultSlots
	}
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultConnections
	}
	listedInstance := options.ListedInstance
	listedInstance.Kind = instance.KindTarget
	if options.ID != "" {
		listedInstance.ID = options.ID
	}
	m, err := machine.New(machine.Options{
		ListedInstance: listedInstance,
		MaxConnections: options.MaxConnections,
		RestartDelay:   options.RestartDelay,
		Timer:          options.Timer,
	})
	if err != nil {
		return nil, err
	}
	t.Machine = m
	m.Serve(http.HandlerFunc(t.serve))
	return t, nil
}

// Faults returns the current faults.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	f.Faults = t.Machine.Faults()
	return f
}

// SetFaults replaces the current faults.
func (t *Target) SetFaults(f Faults) error {
	t.mu.Lock()
	t.faults = f
	t.mu.Unlock()
	return t.Machine.SetFaults(f.Faults)
}

// PatchFaults sets the faults that the JSON object contains and leaves the others unchanged.
func (t *Target) PatchFaults(data []byte) error {
	f := t.Faults()
	if err := reply.DecodeStrict("fault of "+string(t.ID()), data, &f); err != nil {
		return err
	}
	return t.SetFaults(f)
}

// takeFaults returns the faults that apply to the next request and decrements their positive counts.
func (t *Target) takeFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	if f.DroppedResponses > 0 {
		t.faults.DroppedResponses--
	}
	if f.TruncatedResponses > 0 {
		t.faults.TruncatedResponses--
	}
	return f
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/-/journal" {
		t.serveJournal(w, r)
		return
	}
	w.Header().Set(upstream.HeaderRequest, r.Header.Get(upstream.HeaderRequest))
	work, err := t.admit(r)
	if err != nil {
		if socket.IsOverLimit(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		reply.Error(w, err)
		return
	}
	defer work.End()
	t.execute(w, r, work)
}

// admit begins the work of a request. It refuses a request that comes over a connection above the limit, expects
// another incarnation or finds no free slot, and any request while the target takes no new work.
func (t *Target) admit(r *http.Request) (*machine.Work, error) {
	if socket.IsOverLimit(r.Context()) {
		return nil, reply.Refuse(r.URL.Path, upstream.RefusedFull, "all connections are taken")
	}
	text := r.Header.Get(upstream.HeaderIncarnation)
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, reply.Refuse(r.URL.Path, upstream.RefusedIncarnation, "header "+upstream.HeaderIncarnation+" is missing or malformed")
	}
	return t.BeginWork(r.URL.Path, instance.Incarnation(incarnation), t.slots)
}

// execute executes a request. The journal lists it as soon as its headers have arrived, because a target
// may act on a partly received body.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, work *machine.Work) {
	index := t.recordStart(Execution{
		Request:     r.Header.Get(upstream.HeaderRequest),
		Method:      r.Method,
		Path:        r.URL.Path,
		Key:         r.Header.Get("Idempotency-Key"),
		Incarnation: work.Incarnation,
		Start:       t.timer.Now(),
	})
	received, err := discardBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f := t.takeFaults()
	p := parseParameters(r)
	// A request continues when its client disconnects; only a crash of the target aborts it.
	if t.timer.Sleep(work.Context(), time.Duration(p.serviceTimeMS+f.DelayMS)*time.Millisecond) != nil {
		panic(http.ErrAbortHandler)
	}
	t.recordEnd(index)
	if f.DroppedResponses != 0 {
		work.End()
		panic(http.ErrAbortHandler)
	}
	if f.OverrideStatus != 0 {
		p.status = f.OverrideStatus
	}
	resp := response{parameters: p, body: p.responseBody(r, received, t.ID(), work.Incarnation)}
	resp.send(w, f.TruncatedResponses != 0, work.End)
}
