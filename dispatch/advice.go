package dispatch

import (
	"sort"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// maxWorkersPerRequest limits the number of workers in one request. The service needs time for each worker,
	// and a step that can run on some of thirty workers usually needs no second request.
	maxWorkersPerRequest = 30
	// adviceTimeout limits a request; the service handles one at a time.
	adviceTimeout = 3 * time.Second
	// adviceRetryDelay is the pause after a request that failed.
	adviceRetryDelay = 200 * time.Millisecond
	// minTicketValidity is the remaining validity that a ticket needs in order to be used for a start
	// order.
	minTicketValidity = 300 * time.Millisecond
	// maxAdviceRequests limits the number of queued requests.
	maxAdviceRequests = 1024
)

// stepName returns the name of a step in requests to the advice service, given the key of any of its tasks.
func stepName(key task.Key) string {
	name := key.String()
	return name[:strings.LastIndexByte(name, '.')]
}

// stepKey returns the key of the first task of the step to which a task belongs.
func stepKey(key task.Key) task.Key {
	key.Task = 0
	return key
}

// advice holds the responses of the advice service for one step. The set of workers that may run a step does
// not change, so the service is not asked again about a worker for which it issued no ticket. The pool of the step may
// change, and its tickets for workers of other pools are not used then.
type advice struct {
	// step is the key of the first task.
	step task.Key
	// requested is set while a request is queued or not answered yet.
	requested bool
	tickets   map[worker.ID]ticket
	// askedIncarnations holds the incarnation of each worker that the service was asked about.
	askedIncarnations map[worker.ID]worker.Incarnation
}

// ticket is the permission of the advice service to run the tasks of a step on a worker.
type ticket struct {
	text        string
	incarnation worker.Incarnation
	expiresAt   time.Time
}

// addTickets adds the valid tickets of a step to its pending tasks. It requests more if no worker with a
// ticket has free capacity. If the queue of requests is full, a later cycle tries again.
func (d *Dispatcher) addTickets(pending *schedule.PendingStep, j *job, now time.Time) {
	step := task.Key{Job: pending.Job, Occurrence: pending.Occurrence, Step: pending.Step}
	a := d.adviceByStep[step]
	if a == nil {
		a = &advice{step: step, tickets: map[worker.ID]ticket{}, askedIncarnations: map[worker.ID]worker.Incarnation{}}
		d.adviceByStep[step] = a
	}
	pending.Tickets = map[worker.ID]string{}
	hasCapacity := false
	for id, t := range a.tickets {
		s := d.workers[id]
		if s == nil || s.registration.Pool != j.Pool || s.incarnation != t.incarnation || now.Add(minTicketValidity).After(t.expiresAt) || !d.canTakeTasks(s) {
			continue
		}
		pending.Tickets[id] = t.text
		hasCapacity = hasCapacity || s.registration.Capacity.Sub(s.reserved).CanFit(pending.Spec.Reservation())
	}
	if hasCapacity || a.requested {
		return
	}
	if ids := d.workersToAsk(a, j.Pool, now); len(ids) > 0 {
		a.requested = true
		select {
		case d.adviceRequests <- adviceRequest{advice: a, workers: ids}:
		default:
			a.requested = false
		}
	}
}

// workersToAsk returns the workers of a pool to ask about: first those whose ticket is no longer valid, then those
// not asked about yet, each group by increasing CPU reservation.
func (d *Dispatcher) workersToAsk(a *advice, name pool.Name, now time.Time) []worker.ID {
	var list []*workerState
	for _, s := range d.workers {
		if s.registration.Pool != name || !d.canTakeTasks(s) {
			continue
		}
		t, hasTicket := a.tickets[s.id]
		if incarnation, asked := a.askedIncarnations[s.id]; !asked || hasTicket && (incarnation != s.incarnation || now.Add(minTicketValidity).After(t.expiresAt)) {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		_, firstHasTicket := a.tickets[list[i].id]
		_, secondHasTicket := a.tickets[list[j].id]
		if firstHasTicket != secondHasTicket {
			return firstHasTicket
		}
		return list[i].reserved.CPU < list[j].reserved.CPU
	})
	var ids []worker.ID
	for _, s := range list[:min(len(list), maxWorkersPerRequest)] {
		ids = append(ids, s.id)
	}
	return ids
}

// adviceRequest is a request to the advice service.
type adviceRequest struct {
	advice  *advice
	workers []worker.ID
}

// runAdviceRequests sends the queued requests to the advice service one at a time.
func (d *Dispatcher) runAdviceRequests() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case request := <-d.adviceRequests:
			if !d.requestAdvice(request) && d.clock.Sleep(d.ctx, adviceRetryDelay) != nil {
				return
			}
		}
	}
}

// requestAdvice sends one request and stores the tickets from the response. It reports whether the request
// succeeded.
func (d *Dispatcher) requestAdvice(request adviceRequest) bool {
	callCtx, cancel := d.clock.WithTimeout(d.ctx, adviceTimeout)
	defer cancel()
	sent := d.clock.Now()
	asked := d.incarnationsOf(request.workers)
	step := stepName(request.advice.step)
	tickets, validity, err := d.advisor.Advise(callCtx, step, request.workers)
	d.mu.Lock()
	defer d.mu.Unlock()
	request.advice.requested = false
	if err != nil {
		d.log.Info(eventAdviceFailed, "step", step, "workers", len(request.workers), "error", err)
		d.requestCycle()
		return false
	}
	for id, incarnation := range asked {
		request.advice.askedIncarnations[id] = incarnation
		delete(request.advice.tickets, id)
		if text, ok := tickets[id]; ok {
			request.advice.tickets[id] = ticket{text: text, incarnation: incarnation, expiresAt: sent.Add(validity)}
		}
	}
	d.log.Info(eventAdviceReceived, "step", step, "asked", len(request.workers), "good", len(tickets), "valid", validity)
	d.requestCycle()
	return true
}

// incarnationsOf returns the present incarnations of those of the given workers that are known. A worker may restart while the
// service handles a request.
func (d *Dispatcher) incarnationsOf(ids []worker.ID) map[worker.ID]worker.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnations := map[worker.ID]worker.Incarnation{}
	for _, id := range ids {
		if s := d.workers[id]; s != nil {
			incarnations[id] = s.incarnation
		}
	}
	return incarnations
}

// ticketForStart returns the ticket for the start order of a run. It is empty if the queue needs none, or if the
// service issued none for the worker when it was last asked.
func (d *Dispatcher) ticketForStart(r *run) string {
	a := d.adviceByStep[stepKey(r.id.key)]
	if a == nil {
		return ""
	}
	return a.tickets[r.workerID].text
}

// rejectTicket makes the owner ask the service again, because the worker of a run has rejected its ticket.
func (d *Dispatcher) rejectTicket(r *run) {
	a := d.adviceByStep[stepKey(r.id.key)]
	if a == nil {
		return
	}
	if t, ok := a.tickets[r.workerID]; ok {
		t.expiresAt = time.Time{}
		a.tickets[r.workerID] = t
	}
}

// dropUnneededAdvice drops the advice of steps of which no task is started any more.
func (d *Dispatcher) dropUnneededAdvice() {
	for step := range d.adviceByStep {
		if !d.isStepOpen(step) {
			delete(d.adviceByStep, step)
		}
	}
}

// isStepOpen reports whether the job of a step has not ended and a task of the step is not done.
func (d *Dispatcher) isStepOpen(step task.Key) bool {
	j := d.jobs[step.Job]
	if j == nil || j.Outcome != "" || j.Task(step) == nil {
		return false
	}
	return j.Occurrence(step.Occurrence).Steps[step.Step].DoneCount < j.Spec.Steps[step.Step].Count
}
