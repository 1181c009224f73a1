// Package directory emulates the platform's list of instances, which lags, and its control of
// instances.
package directory

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Machine is a target or worker that the platform controls.
type Machine interface {
	ID() instance.ID
	Drain(incarnation instance.Incarnation) error
	Reboot(incarnation instance.Incarnation) error
	// Watch calls f with the present listing and at each change; up is false while the machine is off.
	Watch(f func(listing upstream.Instance, up bool))
}

// Faults are the fault switches of the list.
type Faults struct {
	// Lag is the age of the list in milliseconds.
	Lag int64 `json:"lag"`
	// Down refuses reads of the list and control calls.
	Down bool `json:"down"`
}

// Directory is the list of instances. It implements upstream.Directory and upstream.Controller.
type Directory struct {
	timer *timer.Service

	mu       sync.Mutex
	faults   Faults
	machines map[instance.ID]Machine
	// known holds the ids that were ever listed.
	known map[instance.ID]bool
	// visible is the list as of the lag; changes holds what happened since, oldest first.
	visible map[instance.ID]upstream.Instance
	changes []change
}

type change struct {
	at      time.Time
	listing upstream.Instance
	up      bool
}

// New returns an empty list with the given lag.
func New(lag time.Duration, service *timer.Service) *Directory {
	return &Directory{
		timer:    service,
		faults:   Faults{Lag: lag.Milliseconds()},
		machines: map[instance.ID]Machine{},
		known:    map[instance.ID]bool{},
		visible:  map[instance.ID]upstream.Instance{},
	}
}

// Add registers a machine. It appears in the list without lag, because a fleet exists before the
// system that reads the list.
func (d *Directory) Add(m Machine) {
	d.mu.Lock()
	d.machines[m.ID()] = m
	d.mu.Unlock()
	m.Watch(d.update)
}

// AddEntry lists an entry. The platform does not know the incarnations of entries.
func (d *Directory) AddEntry(listing upstream.Instance) {
	listing.Kind = instance.KindEntry
	listing.State = upstream.StateLive
	d.update(listing, true)
}

// Set changes the listing of an entry after the lag; up is false to remove it.
func (d *Directory) Set(listing upstream.Instance, up bool) { d.update(listing, up) }

func (d *Directory) update(listing upstream.Instance, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if up && !d.known[listing.ID] {
		d.known[listing.ID] = true
		d.visible[listing.ID] = listing
		return
	}
	d.changes = append(d.changes, change{at: d.timer.Now(), listing: listing, up: up})
	d.foldLocked()
}

// foldLocked applies the changes that are older than the lag. The list never goes back when the lag
// is raised.
func (d *Directory) foldLocked() {
	horizon := d.timer.Now().Add(-time.Duration(d.faults.Lag) * time.Millisecond)
	for len(d.changes) > 0 && !d.changes[0].at.After(horizon) {
		c := d.changes[0]
		d.changes = d.changes[1:]
		if c.up {
			d.visible[c.listing.ID] = c.listing
		} else {
			delete(d.visible, c.listing.ID)
		}
	}
}

// Faults returns the present fault switches.
func (d *Directory) Faults() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// SetFaults replaces the fault switches.
func (d *Directory) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.foldLocked()
	d.faults = f
}

// Fault changes the switches that the JSON object names and leaves the others as they are.
func (d *Directory) Fault(data []byte) error {
	f := d.Faults()
	if err := reply.Strict("fault of the list", data, &f); err != nil {
		return err
	}
	d.SetFaults(f)
	return nil
}

// List implements upstream.Directory.
func (d *Directory) List(_ context.Context) ([]upstream.Instance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.Down {
		return nil, reply.Refuse("list of instances", upstream.RefusedDown, "the list is down")
	}
	d.foldLocked()
	listings := make([]upstream.Instance, 0, len(d.visible))
	for _, listing := range d.visible {
		listings = append(listings, listing)
	}
	slices.SortFunc(listings, func(a, b upstream.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return listings, nil
}

// Drain implements upstream.Controller.
func (d *Directory) Drain(_ context.Context, id instance.ID, incarnation instance.Incarnation) error {
	m, err := d.machine("drain of "+string(id), id)
	if err != nil {
		return err
	}
	return m.Drain(incarnation)
}

// Reboot implements upstream.Controller.
func (d *Directory) Reboot(_ context.Context, id instance.ID, incarnation instance.Incarnation) error {
	m, err := d.machine("reboot of "+string(id), id)
	if err != nil {
		return err
	}
	return m.Reboot(incarnation)
}

func (d *Directory) machine(call string, id instance.ID) (Machine, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.Down {
		return nil, reply.Refuse(call, upstream.RefusedDown, "control is down")
	}
	m, ok := d.machines[id]
	if !ok {
		return nil, reply.Refuse(call, upstream.RefusedMissing, "no target or worker has this id")
	}
	return m, nil
}

type listAnswer struct {
	Instances []upstream.Instance `json:"instances"`
}

type controlBody struct {
	Incarnation instance.Incarnation `json:"incarnation"`
}

// Register adds the calls of the list and of control to mux.
func (d *Directory) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /instances", d.serveList)
	mux.HandleFunc("POST /instances/{id}/drain", serveControl(d.Drain))
	mux.HandleFunc("POST /instances/{id}/reboot", serveControl(d.Reboot))
}

func (d *Directory) serveList(w http.ResponseWriter, r *http.Request) {
	listings, err := d.List(r.Context())
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, listAnswer{Instances: listings})
}

type control func(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error

func serveControl(do control) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body controlBody
		if err := reply.Decode(r, &body); err != nil {
			reply.Error(w, err)
			return
		}
		if err := do(r.Context(), instance.ID(r.PathValue("id")), body.Incarnation); err != nil {
			reply.Error(w, err)
			return
		}
		reply.Accepted(w)
	}
}
