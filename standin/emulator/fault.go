package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/standin/directory"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/standin/socket"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Change switches faults. Absent parts and absent switches stay as they are.
type Change struct {
	Log       json.RawMessage `json:"log,omitempty"`
	List      json.RawMessage `json:"list,omitempty"`
	Platform  json.RawMessage `json:"platform,omitempty"`
	Instances []Selection     `json:"instances,omitempty"`
}

// Selection sets switches of all instances that match.
type Selection struct {
	Match Match           `json:"match"`
	Set   json.RawMessage `json:"set"`
}

// Match selects the instances that agree with all fields that are set.
type Match struct {
	ID     instance.ID     `json:"id,omitempty"`
	Kind   instance.Kind   `json:"kind,omitempty"`
	Centre site.DataCentre `json:"centre,omitempty"`
	Rack   site.Rack       `json:"rack,omitempty"`
}

func (m Match) holds(l upstream.Instance) bool {
	return (m.ID == "" || m.ID == l.ID) &&
		(m.Kind == "" || m.Kind == l.Kind) &&
		(m.Centre == "" || m.Centre == l.Centre) &&
		(m.Rack == "" || m.Rack == l.Rack)
}

// subject is an instance with fault switches.
type subject interface {
	Listing() upstream.Instance
	Fault(data []byte) error
}

func (e *Emulator) instances() []subject {
	all := make([]subject, 0, len(e.Targets)+len(e.Workers)+len(e.entries))
	for _, t := range e.Targets {
		all = append(all, t)
	}
	for _, w := range e.Workers {
		all = append(all, w)
	}
	for _, entry := range e.entries {
		all = append(all, entry)
	}
	return all
}

// Apply switches faults in the order log, list, platform, instances and returns the number of
// instances changed. It stops at the first refusal.
func (e *Emulator) Apply(ctx context.Context, c Change) (int, error) {
	parts := []struct {
		data json.RawMessage
		set  func([]byte) error
	}{
		{c.Log, e.Platform.Log.Fault},
		{c.List, e.Platform.Directory.Fault},
		{c.Platform, func(data []byte) error { return e.Platform.Fault(ctx, data) }},
	}
	for _, part := range parts {
		if len(part.data) == 0 {
			continue
		}
		if err := part.set(part.data); err != nil {
			return 0, err
		}
	}
	changed := 0
	for _, s := range c.Instances {
		n, err := e.applySelection(s)
		changed += n
		if err != nil {
			return changed, err
		}
	}
	return changed, nil
}

func (e *Emulator) applySelection(s Selection) (int, error) {
	changed := 0
	for _, one := range e.instances() {
		if !s.Match.holds(one.Listing()) {
			continue
		}
		if err := one.Fault(s.Set); err != nil {
			return changed, err
		}
		changed++
	}
	if changed == 0 {
		return 0, reply.Refuse("fault", upstream.RefusedMissing, "no instance matches")
	}
	return changed, nil
}

type faultAnswer struct {
	Instances int `json:"instances"` // number of instances changed
}

func (e *Emulator) serveFault(w http.ResponseWriter, r *http.Request) {
	// The connection is exempt from silence, so no later call may use it.
	w.Header().Set("Connection", "close")
	var c Change
	err := reply.Decode(r, &c)
	changed := 0
	if err == nil {
		changed, err = e.Apply(r.Context(), c)
	}
	if socket.IsListenError(err) {
		failure.Write(w, "", err)
		return
	}
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, faultAnswer{Instances: changed})
}

type faultsAnswer struct {
	Log       appendlog.Faults    `json:"log"`
	List      directory.Faults    `json:"list"`
	Instances map[instance.ID]any `json:"instances"`
}

func (e *Emulator) serveFaults(w http.ResponseWriter, _ *http.Request) {
	answer := faultsAnswer{
		Log:       e.Platform.Log.Faults(),
		List:      e.Platform.Directory.Faults(),
		Instances: map[instance.ID]any{},
	}
	for _, t := range e.Targets {
		answer.Instances[t.ID()] = t.Faults()
	}
	for _, one := range e.Workers {
		answer.Instances[one.ID()] = one.Faults()
	}
	for _, entry := range e.entries {
		answer.Instances[entry.listing.ID] = entry.Faults()
	}
	reply.JSON(w, http.StatusOK, answer)
}

// entryFaults are the fault switches of an entry's listing. They do not touch its process.
type entryFaults struct {
	// Off removes the entry from the list.
	Off bool `json:"off"`
	// Leaving lists the entry as leaving.
	Leaving bool `json:"leaving"`
}

// listed is an entry in the list.
type listed struct {
	directory *directory.Directory

	mu      sync.Mutex
	listing upstream.Instance
	faults  entryFaults
}

func list(d *directory.Directory, entry Entry) *listed {
	l := &listed{directory: d, listing: upstream.Instance{
		ID: entry.ID, Kind: instance.KindEntry, Address: entry.Address, Centre: entry.Centre, State: upstream.StateLive,
	}}
	d.AddEntry(l.listing)
	return l
}

// Listing returns the entry as it is listed after the lag.
func (l *listed) Listing() upstream.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listing
}

// Faults returns the present fault switches.
func (l *listed) Faults() entryFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Fault changes the switches that the JSON object names and leaves the others as they are.
func (l *listed) Fault(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := reply.Strict("fault of "+string(l.listing.ID), data, &l.faults); err != nil {
		return err
	}
	l.listing.State = upstream.StateLive
	if l.faults.Leaving {
		l.listing.State = upstream.StateLeaving
	}
	l.directory.Set(l.listing, !l.faults.Off)
	return nil
}
