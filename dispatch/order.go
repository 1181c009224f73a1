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
	// orderNoted is the value of such a record; only its presence counts.
	orderNoted = "1"
)

// record is the note in the ledger that orders are given for a machine.
type record struct {
	// stored is set once the ledger has it.
	stored bool
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
	case r == nil:
		r = &record{}
		d.upkeep.recorded[id] = r
		d.ledger.Write([]platform.Record{orderRecord(id)}, func(err error) { d.orderStored(r, err) })
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

// orderRecord returns the stored form of a note.
func orderRecord(id worker.MachineID) platform.Record {
	return platform.Record{Key: orderKey + string(id), Value: []byte(orderNoted)}
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

// restoreOrder takes over the note of an earlier owner.
func (d *Dispatcher) restoreOrder(id worker.MachineID, now time.Time) {
	if d.upkeep.recorded == nil {
		d.upkeep.recorded = map[worker.MachineID]*record{}
	}
	if d.upkeep.inherited == nil {
		d.upkeep.inherited = map[worker.MachineID]bool{}
	}
	d.upkeep.recorded[id] = &record{stored: true, used: now}
	d.upkeep.inherited[id] = true
}

// reserved reports whether a machine is left alone because an earlier owner may just have given an order for
// it. It cannot send another one: its notes are fenced since the ledger was opened.
func (d *Dispatcher) reserved(id worker.MachineID, now time.Time) bool {
	return d.upkeep.inherited[id] && now.Sub(d.opened) < d.turn
}

// forgetOrders drops the notes of machines for which no order has been given for a while.
func (d *Dispatcher) forgetOrders(now time.Time) {
	var records []platform.Record
	for id, r := range d.upkeep.recorded {
		if !r.stored || d.upkeep.busy(id) || now.Sub(r.used) < d.bounds.Turn+dutyTimeout {
			continue
		}
		delete(d.upkeep.recorded, id)
		delete(d.upkeep.inherited, id)
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
