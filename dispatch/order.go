package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// orderKey begins the keys of the ledger that name machines for which orders are given. They are stored
	// before the order is sent, so that a later owner leaves just these machines alone for a turn and serves
	// a burst with all others at once.
	orderKey = "order/"
)

// record is the note in the ledger that orders are given for a machine.
type record struct {
	// stored is set once the ledger has it.
	stored bool
	// holder is the entry that gave the orders.
	holder string
	// used is when an order was last sent on its strength.
	used time.Time
	// after is called once it is stored.
	after []func()
}

// recordOrder notes in the ledger that orders are given for a machine, and calls then once that is stored.
func (d *Dispatcher) recordOrder(id worker.MachineID, then func()) {
	if d.upkeep.recorded == nil {
		d.upkeep.recorded = map[worker.MachineID]*record{}
	}
	r := d.upkeep.recorded[id]
	switch {
	case r == nil || r.holder != d.fleet.LeaseHolder:
		r = &record{holder: d.fleet.LeaseHolder}
		d.upkeep.recorded[id] = r
		d.ledger.Write([]platform.Record{r.encode(id)}, func(err error) { d.orderStored(r, err) })
	case r.stored:
		if then != nil {
			then()
		}
		return
	}
	if then != nil {
		r.after = append(r.after, then)
	}
}

// encode returns the stored form of a note. It names the holder, which may go on at once in another tenure.
func (r *record) encode(id worker.MachineID) platform.Record {
	return platform.Record{Key: orderKey + string(id), Value: []byte(r.holder)}
}

func (d *Dispatcher) orderStored(r *record, err error) {
	if err != nil {
		return // the tenure is over
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.stored = true
	r.used = d.clock.Now()
	for _, then := range r.after {
		then()
	}
	r.after = nil
}

// restoreOrder takes over the note of an earlier tenure.
func (d *Dispatcher) restoreOrder(id worker.MachineID, holder string, now time.Time) {
	if d.upkeep.recorded == nil {
		d.upkeep.recorded = map[worker.MachineID]*record{}
	}
	d.upkeep.recorded[id] = &record{stored: true, holder: holder, used: now}
}

// reserved reports whether a machine is left alone because an earlier owner may just have given an order for
// it. It cannot send another one: its notes are fenced since the ledger was opened.
func (d *Dispatcher) reserved(id worker.MachineID, now time.Time) bool {
	r := d.upkeep.recorded[id]
	return r != nil && r.holder != d.fleet.LeaseHolder && now.Sub(d.opened) < d.bounds.HolderChangeInterval
}

// forgetOrders drops the notes of machines for which no order has been given for a while.
func (d *Dispatcher) forgetOrders(now time.Time) {
	var records []platform.Record
	for id, r := range d.upkeep.recorded {
		if !r.stored || d.upkeep.busy(id) || now.Sub(r.used) < d.bounds.HolderChangeInterval+dutyTimeout {
			continue
		}
		delete(d.upkeep.recorded, id)
		records = append(records, platform.Record{Key: orderKey + string(id)})
	}
	if len(records) > 0 {
		d.ledger.Write(records, nil)
	}
}

// send gives an order for a machine until it has an answer. The platform answers a repeated order as it
// answered the first one.
func (d *Dispatcher) send(id worker.MachineID, e errand, call func(context.Context) error, confirmed func()) {
	if d.upkeep.ordered == nil {
		d.upkeep.ordered = map[worker.MachineID]errand{}
	}
	if s := d.living()[id]; s != nil {
		e.birth = s.birth
	}
	d.upkeep.ordered[id] = e
	d.recordOrder(id, func() { go d.deliver(id, e, call, confirmed) })
}

// deliver repeats an order until it has an answer.
func (d *Dispatcher) deliver(id worker.MachineID, e errand, call func(context.Context) error, confirmed func()) {
	for {
		d.mu.Lock()
		if r := d.upkeep.recorded[id]; r != nil {
			r.used = d.clock.Now()
		}
		d.mu.Unlock()
		bound, cancel := d.clock.WithTimeout(d.ctx, dutyTimeout)
		err := call(bound)
		cancel()
		if d.ctx.Err() != nil || d.answeredFor(id, e, err, confirmed) {
			return
		}
		if d.clock.Sleep(d.ctx, machinePeriod) != nil {
			return
		}
	}
}

// answeredFor takes over the answer to an order for a machine. It reports whether the order need not be repeated.
func (d *Dispatcher) answeredFor(id worker.MachineID, e errand, err error, confirmed func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Info(eventDuty, "machine", id, "to", e.to, "error", err)
		if !platform.IsRefused(err) {
			return false
		}
		delete(d.upkeep.ordered, id)
		if platform.IsInvalid(err) {
			d.upkeep.unfit[id] = e.to
		}
		return true
	}
	now := d.clock.Now()
	e.since = now
	if _, away := d.upkeep.ordered[id]; away {
		d.upkeep.ordered[id] = e
	}
	confirmed()
	return true
}
