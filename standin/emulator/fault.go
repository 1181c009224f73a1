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

// FaultChange sets faults. Absent parts and absent faults stay unchanged.
type FaultChange struct {
	Log       json.RawMessage  `json:"log,omitempty"`
	List      json.RawMessage  `json:"list,omitempty"`
	Platform  json.RawMessage  `json:"platform,omitempty"`
	Instances []FaultSelection `json:"instances,omitempty"`
}

// FaultSelection sets faults of all matching instances.
type FaultSelection struct {
	Match Match           `json:"match"`
	Set   json.RawMessage `json:"set"`
}

// Match selects the instances that equal it in all fields that are not empty.
type Match struct {
	ID     instance.ID     `json:"id,omitempty"`
	Kind   instance.Kind   `json:"kind,omitempty"`
	Centre site.DataCentre `json:"centre,omitempty"`
	Rack   site.Rack       `json:"rack,omitempty"`
}

func (m Match) matches(l upstream.Instance) bool {
	return (m.ID == "" || m.ID == l.ID) &&
		(m.Kind == "" || m.Kind == l.Kind) &&
		(m.Centre == "" || m.Centre == l.Centre) &&
		(m.Rack == "" || m.Rack == l.Rack)
}

// emulatedInstance is an instance into which faults can be injected.
type emulatedInstance interface {
	ListedInstance() upstream.Instance
	PatchFaults(data []byte) error
}

func (e *Emulator) emulatedInstances() []emulatedInstance {
	all := make([]emulatedInstance, 0, len(e.Targets)+len(e.Workers)+len(e.entries))
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

// ApplyFaults sets the faults of the log, the list, the platform and the instances, in this order, and
// returns the number of instances changed. It stops at the first error; faults set until then stay.
func (e *Emulator) ApplyFaults(ctx context.Context, c FaultChange) (int, error) {
	parts := []struct {
		data json.RawMessage
		set  func([]byte) error
	}{
		{c.Log, e.Platform.Log.PatchFaults},
		{c.List, e.Platform.Directory.PatchFaults},
		{c.Platform, func(data []byte) error { return e.Platform.PatchFaults(ctx, data) }},
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

// applySelection sets the faults of all matching instances and returns their number. It refuses a selection that
// matches none.
func (e *Emulator) applySelection(s FaultSelection) (int, error) {
	changed := 0
	for _, inst := range e.emulatedInstances() {
		if !s.Match.matches(inst.ListedInstance()) {
			continue
		}
		if err := inst.PatchFaults(s.Set); err != nil {
			return changed, err
		}
		changed++
	}
	if changed == 0 {
		return 0, reply.Refuse("fault", upstream.RefusedMissing, "no instance matches")
	}
	return changed, nil
}

type setFaultsResponse struct {
	Instances int `json:"instances"` // number of instances changed
}

func (e *Emulator) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	// This connection is exempt from SilenceEstablished, so it must not carry later calls.
	w.Header().Set("Connection", "close")
	var c FaultChange
	err := reply.DecodeBody(r, &c)
	changed := 0
	if err == nil {
		changed, err = e.ApplyFaults(r.Context(), c)
	}
	if socket.IsListenError(err) {
		failure.Write(w, "", err)
		return
	}
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, setFaultsResponse{Instances: changed})
}

type getFaultsResponse struct {
	Log       appendlog.Faults    `json:"log"`
	List      directory.Faults    `json:"list"`
	Instances map[instance.ID]any `json:"instances"`
}

func (e *Emulator) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	response := getFaultsResponse{
		Log:       e.Platform.Log.Faults(),
		List:      e.Platform.Directory.Faults(),
		Instances: map[instance.ID]any{},
	}
	for _, t := range e.Targets {
		response.Instances[t.ID()] = t.Faults()
	}
	for _, worker := range e.Workers {
		response.Instances[worker.ID()] = worker.Faults()
	}
	for _, entry := range e.entries {
		response.Instances[entry.listedInstance.ID] = entry.Faults()
	}
	reply.JSON(w, http.StatusOK, response)
}

// entryFaults are the faults of an entry in the list of instances. They do not affect the process of the entry.
type entryFaults struct {
	// Off removes the entry from the list.
	Off bool `json:"off"`
	// Leaving lists the entry as leaving.
	Leaving bool `json:"leaving"`
}

// listedEntry is an entry in the list of instances.
type listedEntry struct {
	directory *directory.Directory

	mu             sync.Mutex
	listedInstance upstream.Instance
	faults         entryFaults
}

func listEntry(d *directory.Directory, entry Entry) *listedEntry {
	l := &listedEntry{directory: d, listedInstance: upstream.Instance{
		ID: entry.ID, Kind: instance.KindEntry, Address: entry.Address, Centre: entry.Centre, State: upstream.StateLive,
	}}
	d.AddEntry(l.listedInstance)
	return l
}

// ListedInstance describes the entry as the list would if it had no lag.
func (l *listedEntry) ListedInstance() upstream.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listedInstance
}

// Faults returns the current faults.
func (l *listedEntry) Faults() entryFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// PatchFaults sets the faults that the JSON object contains and leaves the others unchanged.
func (l *listedEntry) PatchFaults(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := reply.DecodeStrict("fault of "+string(l.listedInstance.ID), data, &l.faults); err != nil {
		return err
	}
	l.listedInstance.State = upstream.StateLive
	if l.faults.Leaving {
		l.listedInstance.State = upstream.StateLeaving
	}
	l.directory.SetEntry(l.listedInstance, !l.faults.Off)
	return nil
}
