package dispatch

import (
	"context"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// orderKeyPrefix is the prefix of the ledger keys that name machines for which orders are given. The
	// record is stored before the order is sent, so that a later owner has to leave only these machines
	// alone for a HolderChangeInterval and can use all others at once to serve a burst.
	orderKeyPrefix = "order/"
	// maintenanceSuffix follows the holder in the record of a machine whose maintenance may be ordered.
	maintenanceSuffix = " maintenance"
)

// orderRecord tells later owners that orders were given for a machine.
type orderRecord struct {
	// stored is set once the ledger has confirmed the record.
	stored bool
	// holder is the process that gave the orders (see platform.Fleet.LeaseHolder).
	holder string
	// forMaintenance is set if maintenance may be among the orders. A record without it allows only moves.
	forMaintenance bool
	// lastOrderAt is when an order for the machine was last sent or, if none was sent in this term, when the
	// record was stored or loaded.
	lastOrderAt time.Time
	// callbacks are called once the record is stored.
	callbacks []func()
}

// recordOrder writes to the ledger that this process gives orders for a machine, unless it has done so
// already for orders of this kind, and calls onStored, which may be nil, once the record is stored.
func (d *Dispatcher) recordOrder(id worker.MachineID, forMaintenance bool, onStored func()) {
	if d.maintenance.orderRecords == nil {
		d.maintenance.orderRecords = map[worker.MachineID]*orderRecord{}
	}
	r := d.maintenance.orderRecords[id]
	switch {
	case r == nil || r.holder != d.fleet.LeaseHolder || forMaintenance && !r.forMaintenance:
		r = &orderRecord{holder: d.fleet.LeaseHolder, forMaintenance: forMaintenance}
		d.maintenance.orderRecords[id] = r
		d.ledger.Write([]platform.Record{r.encode(id)}, func(err error) { d.handleOrderRecordStored(r, err) })
	case r.stored:
		if onStored != nil {
			onStored()
		}
		return
	}
	if onStored != nil {
		r.callbacks = append(r.callbacks, onStored)
	}
}

// encode returns the ledger record. It names the holder, because the same holder may give orders again in a
// later term without waiting.
func (r *orderRecord) encode(id worker.MachineID) platform.Record {
	value := r.holder
	if r.forMaintenance {
		value += maintenanceSuffix
	}
	return platform.Record{Key: orderKeyPrefix + string(id), Value: []byte(value)}
}

// handleOrderRecordStored processes the result of the write of an order record: once it is stored, its
// callbacks are called.
func (d *Dispatcher) handleOrderRecordStored(r *orderRecord, err error) {
	if err != nil {
		return // the term has ended
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.stored = true
	r.lastOrderAt = d.clock.Now()
	for _, callback := range r.callbacks {
		callback()
	}
	r.callbacks = nil
}

// restoreOrderRecord restores the record that an earlier term has stored for a machine.
func (d *Dispatcher) restoreOrderRecord(id worker.MachineID, value string, now time.Time) {
	if d.maintenance.orderRecords == nil {
		d.maintenance.orderRecords = map[worker.MachineID]*orderRecord{}
	}
	holder, forMaintenance := strings.CutSuffix(value, maintenanceSuffix)
	d.maintenance.orderRecords[id] = &orderRecord{stored: true, holder: holder, forMaintenance: forMaintenance, lastOrderAt: now}
}

// isReservedByEarlierOwner reports whether a machine must be left alone because an earlier owner may have
// given an order for it a moment ago. That owner cannot send further orders: it must store a record first,
// and the ledger has rejected its writes since this owner opened it.
func (d *Dispatcher) isReservedByEarlierOwner(id worker.MachineID, now time.Time) bool {
	r := d.maintenance.orderRecords[id]
	return r != nil && r.holder != d.fleet.LeaseHolder && now.Sub(d.ledgerOpenedAt) < d.timing.HolderChangeInterval
}

// mayBeMaintainedByEarlierOwner reports whether an earlier owner that only fell silent may still order the maintenance of a machine: it
// may have been paused after the record of the order was stored, and goes on within election.ConfirmTimeout.
func (d *Dispatcher) mayBeMaintainedByEarlierOwner(id worker.MachineID, now time.Time) bool {
	return d.ownerFellSilent && d.isReservedByEarlierOwner(id, now) && d.maintenance.orderRecords[id].forMaintenance
}

// dropOldOrderRecords deletes the records of machines for which no order is pending and none was sent recently.
// An order may reach the platform up to machineCallTimeout after lastOrderAt.
func (d *Dispatcher) dropOldOrderRecords(now time.Time) {
	var records []platform.Record
	for id, r := range d.maintenance.orderRecords {
		if !r.stored || d.maintenance.hasPendingOrder(id) || now.Sub(r.lastOrderAt) < d.timing.HolderChangeInterval+machineCallTimeout {
			continue
		}
		delete(d.maintenance.orderRecords, id)
		records = append(records, platform.Record{Key: orderKeyPrefix + string(id)})
	}
	if len(records) > 0 {
		d.ledger.Write(records, nil)
	}
}

// sendMachineOrder gives an order for a machine: it stores an order record and then repeats the call until
// it is answered. The platform answers a repeated order as it answered the first one.
func (d *Dispatcher) sendMachineOrder(id worker.MachineID, order machineOrder, send func(context.Context) error, onConfirmed func()) {
	if d.maintenance.pendingOrders == nil {
		d.maintenance.pendingOrders = map[worker.MachineID]machineOrder{}
	}
	if s := d.currentWorkerOf(id); s != nil {
		order.incarnation = s.incarnation
	}
	d.maintenance.pendingOrders[id] = order
	d.maintenance.pace.Take(d.clock.Now())
	d.recordOrder(id, order.toPool == "", func() { go d.deliverMachineOrder(id, order, send, onConfirmed) })
}

// deliverMachineOrder repeats an order until the platform has confirmed or refused it. After an attempt without a
// response, a refusal because of an outage or overload does not settle the order: that attempt may still take effect.
func (d *Dispatcher) deliverMachineOrder(id worker.MachineID, order machineOrder, send func(context.Context) error, onConfirmed func()) {
	unanswered := false
	for {
		d.mu.Lock()
		if r := d.maintenance.orderRecords[id]; r != nil {
			r.lastOrderAt = d.clock.Now()
		}
		d.mu.Unlock()
		if !d.mayOrder() {
			if d.clock.Sleep(d.ctx, machinePollInterval) != nil {
				return
			}
			continue
		}
		callCtx, cancel := d.clock.WithTimeout(d.ctx, machineCallTimeout)
		err := send(callCtx)
		cancel()
		unanswered = unanswered || err != nil && !platform.IsRefused(err)
		mayTakeEffect := unanswered && (!platform.IsRefused(err) || platform.IsUnavailable(err))
		if d.ctx.Err() != nil || d.handleMachineOrderResult(id, order, err, mayTakeEffect, onConfirmed) || !d.awaitRepeat() {
			return
		}
	}
}

// awaitRepeat waits until an order may be repeated. It returns false if the term has ended.
func (d *Dispatcher) awaitRepeat() bool {
	for d.clock.Sleep(d.ctx, machinePollInterval) == nil {
		if d.maintenance.pace.TakeRepeat(d.clock.Now()) {
			return true
		}
	}
	return false
}

// handleMachineOrderResult processes the result of a machine order, which may take effect despite an error if
// mayTakeEffect is set. It reports whether the order is settled and need not be repeated.
func (d *Dispatcher) handleMachineOrderResult(id worker.MachineID, order machineOrder, err error, mayTakeEffect bool, onConfirmed func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Info(eventMachineOrderFailed, "machine", id, "to", order.toPool, "error", err)
		if mayTakeEffect {
			return false
		}
		delete(d.maintenance.pendingOrders, id)
		if platform.IsInvalid(err) {
			d.maintenance.refusedPools[id] = order.toPool
		}
		return true
	}
	order.since, order.confirmed = d.clock.Now(), true
	d.maintenance.pendingOrders[id] = order
	onConfirmed()
	return true
}

// isReturnExpected reports whether a confirmed order for a machine ends incarnations before the given one.
func (m *maintenance) isReturnExpected(id worker.MachineID, incarnation worker.Incarnation) bool {
	order, ok := m.pendingOrders[id]
	return ok && order.confirmed && incarnation > order.incarnation
}
