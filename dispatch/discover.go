package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// listPeriod is the time between reads of the registrations.
	listPeriod = 150 * time.Millisecond
	// readTimeout bounds a read of the store. It answers in 4 ms, and in about 0.4 s when it is slow.
	readTimeout = 1200 * time.Millisecond
	// registrations is the partition of the registrations.
	registrations = 0
)

// follow keeps the list of workers current.
func (d *Dispatcher) follow() {
	next := platform.Offset(-1)
	for {
		var err error
		if next < 0 {
			next, err = d.reload()
		} else {
			next, err = d.advance(next)
		}
		if err != nil && d.ctx.Err() == nil {
			d.log.Info(eventList, "error", err)
		}
		if d.clock.Sleep(d.ctx, listPeriod) != nil {
			return
		}
	}
}

// reload reads all registrations.
func (d *Dispatcher) reload() (platform.Offset, error) {
	call, cancel := d.clock.WithTimeout(d.ctx, readTimeout)
	defer cancel()
	records, end, err := d.store.Newest(call, platform.TopicWorkers, registrations)
	if err != nil {
		return -1, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[worker.ID]bool{}
	for _, r := range records {
		present[worker.ID(r.Key)] = true
		d.register(r)
	}
	for id := range d.listed {
		if !present[id] {
			d.register(platform.Record{Key: string(id)})
		}
	}
	d.log.Info(eventListed, "workers", len(d.listed), "offset", end)
	d.wake()
	return end, nil
}

// advance reads the registrations that changed.
func (d *Dispatcher) advance(next platform.Offset) (platform.Offset, error) {
	call, cancel := d.clock.WithTimeout(d.ctx, readTimeout)
	defer cancel()
	batch, err := d.store.Read(call, platform.TopicWorkers, registrations, next, 0)
	if _, expired := platform.FirstKeptOffset(err); expired {
		return -1, nil
	}
	if err != nil {
		return next, err
	}
	if batch.EndOffset < next {
		return -1, nil // the partition was replaced
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range batch.Records {
		d.register(r)
	}
	return batch.NextOffset, nil
}

// register takes over one registration.
func (d *Dispatcher) register(r platform.Record) {
	id := worker.ID(r.Key)
	before, known := d.listed[id]
	if len(r.Value) == 0 {
		if known {
			d.log.Info(eventUnlisted, "worker", id, "offset", r.Offset)
		}
		delete(d.listed, id)
		return
	}
	l, err := platform.ParseRegistration(r.Key, r.Value)
	if err != nil {
		if known {
			d.log.Info(eventBadListing, "worker", id, "error", err)
		}
		delete(d.listed, id)
		return
	}
	d.listed[id] = l
	s := d.stations[id]
	if s == nil {
		d.succeeded(l)
		d.upkeep.back(l.Machine, l.Incarnation)
		d.log.Info(eventWorker, "worker", id, "pool", l.Pool, "machine", l.Machine, "state", l.State, "offset", r.Offset)
		d.admit(l)
		d.wake()
		return
	}
	if known && before.State != l.State {
		d.log.Info(eventWorkerState, "worker", id, "state", l.State, "runs", len(s.runs), "offset", r.Offset)
	}
	if l.Incarnation != 0 && s.birth != 0 && l.Incarnation > s.birth {
		d.reborn(s, l.Incarnation)
		s.poke()
	}
	if l.Address != s.listing.Address {
		s.caller = &platform.Worker{ID: l.ID, Address: l.Address, LongPollHTTP: d.clients.LongPoll, OrderHTTP: d.clients.Orders}
	}
	s.listing = l
	s.rack = rackOf(l.Labels)
}
