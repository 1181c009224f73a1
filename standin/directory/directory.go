// Package directory emulates the platform's list of instances, which shows changes with a lag, and the
// calls that drain and reboot instances.
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
	// Watch calls f with the machine as an instance of the list, at once and at each change. up is false while the
	// machine is off.
	Watch(f func(listedInstance upstream.Instance, up bool))
}

// Faults are the faults that can be injected into the directory.
type Faults struct {
	// LagMS is the delay in milliseconds after which the list shows a change.
	LagMS int64 `json:"lag"`
	// Down refuses reads of the list, drains and reboots. The list still follows the instances.
	Down bool `json:"down"`
}

// Directory lists and controls instances. It implements upstream.Directory and upstream.Controller.
type Directory struct {
	timer *timer.Service

	mu       sync.Mutex
	faults   Faults
	machines map[instance.ID]Machine
	// everListed holds the ids that were ever listed.
	everListed map[instance.ID]bool
	// visible is the list that readers see. pending holds the changes that it does not show yet, oldest first.
	visible map[instance.ID]upstream.Instance
	pending []pendingChange
}

type pendingChange struct {
	at             time.Time
	listedInstance upstream.Instance
	up             bool
}

// New returns an empty directory whose list has the given lag.
func New(lag time.Duration, service *timer.Service) *Directory {
	return &Directory{
		timer:      service,
		faults:     Faults{LagMS: lag.Milliseconds()},
		machines:   map[instance.ID]Machine{},
		everListed: map[instance.ID]bool{},
		visible:    map[instance.ID]upstream.Instance{},
	}
}

// AddMachine adds a machine. The list shows it without lag at first, because a fleet exists before the
// system that reads the list.
func (d *Directory) AddMachine(m Machine) {
	d.mu.Lock()
	d.machines[m.ID()] = m
	d.mu.Unlock()
	m.Watch(d.update)
}

// AddEntry adds an entry to the list in state live. Entries cannot be drained or rebooted, because the platform does
// not know their incarnations.
func (d *Directory) AddEntry(listedInstance upstream.Instance) {
	listedInstance.Kind = instance.KindEntry
	listedInstance.State = upstream.StateLive
	d.update(listedInstance, true)
}

// SetEntry changes an entry in the list, or removes it if up is false. The list shows the change after the lag.
func (d *Directory) SetEntry(listedInstance upstream.Instance, up bool) { d.update(listedInstance, up) }

// update records a change of an instance. The list shows it after the lag, or at once if the instance was never listed
// before.
func (d *Directory) update(listedInstance upstream.Instance, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if up && !d.everListed[listedInstance.ID] {
		d.everListed[listedInstance.ID] = true
		d.visible[listedInstance.ID] = listedInstance
		return
	}
	d.pending = append(d.pending, pendingChange{at: d.timer.Now(), listedInstance: listedInstance, up: up})
	d.applyDueLocked()
}

// applyDueLocked makes the pending changes visible that are at least as old as the lag.
func (d *Directory) applyDueLocked() {
	cutoff := d.timer.Now().Add(-time.Duration(d.faults.LagMS) * time.Millisecond)
	for len(d.pending) > 0 && !d.pending[0].at.After(cutoff) {
		c := d.pending[0]
		d.pending = d.pending[1:]
		if c.up {
			d.visible[c.listedInstance.ID] = c.listedInstance
		} else {
			delete(d.visible, c.listedInstance.ID)
		}
	}
}

// Faults returns the current faults.
func (d *Directory) Faults() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// SetFaults replaces the current faults.
func (d *Directory) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Changes that are due under the old lag become visible, also if the new lag is longer.
	d.applyDueLocked()
	d.faults = f
}

// PatchFaults sets the faults that the JSON object contains and leaves the others unchanged.
func (d *Directory) PatchFaults(data []byte) error {
	f := d.Faults()
	if err := reply.DecodeStrict("fault of the list", data, &f); err != nil {
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
	d.applyDueLocked()
	listedInstances := make([]upstream.Instance, 0, len(d.visible))
	for _, listedInstance := range d.visible {
		listedInstances = append(listedInstances, listedInstance)
	}
	slices.SortFunc(listedInstances, func(a, b upstream.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return listedInstances, nil
}

// Drain implements upstream.Controller.
func (d *Directory) Drain(_ context.Context, id instance.ID, incarnation instance.Incarnation) error {
	m, err := d.findMachine("drain of "+string(id), id)
	if err != nil {
		return err
	}
	return m.Drain(incarnation)
}

// Reboot implements upstream.Controller.
func (d *Directory) Reboot(_ context.Context, id instance.ID, incarnation instance.Incarnation) error {
	m, err := d.findMachine("reboot of "+string(id), id)
	if err != nil {
		return err
	}
	return m.Reboot(incarnation)
}

// findMachine returns the target or worker with the given id. It refuses the call if there is none or the directory
// is down.
func (d *Directory) findMachine(call string, id instance.ID) (Machine, error) {
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

type listResponse struct {
	Instances []upstream.Instance `json:"instances"`
}

type controlRequest struct {
	Incarnation instance.Incarnation `json:"incarnation"`
}

// RegisterHandlers adds the HTTP handlers of the list and of drains and reboots to mux.
func (d *Directory) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /instances", d.serveList)
	mux.HandleFunc("POST /instances/{id}/drain", serveControl(d.Drain))
	mux.HandleFunc("POST /instances/{id}/reboot", serveControl(d.Reboot))
}

func (d *Directory) serveList(w http.ResponseWriter, r *http.Request) {
	listedInstances, err := d.List(r.Context())
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, listResponse{Instances: listedInstances})
}

type controlFunc func(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error

func serveControl(call controlFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body controlRequest
		if err := reply.DecodeBody(r, &body); err != nil {
			reply.Error(w, err)
			return
		}
		if err := call(r.Context(), instance.ID(r.PathValue("id")), body.Incarnation); err != nil {
			reply.Error(w, err)
			return
		}
		reply.Accepted(w)
	}
}
