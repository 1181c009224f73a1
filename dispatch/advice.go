package dispatch

import (
	"context"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// askWorkers is the number of workers in one question: the service needs time for each, and a step that
	// fits on some of thirty usually needs no second question.
	askWorkers = 30
	// askTimeout bounds a question; the service answers one at a time.
	askTimeout = 3 * time.Second
	// askPause is the pause after a question without an answer.
	askPause = 200 * time.Millisecond
	// ticketReserve is the validity that a ticket must have left for an order.
	ticketReserve = 300 * time.Millisecond
	// maxQuestions bounds the questions that wait.
	maxQuestions = 1024
)

// advice is what the advice service has said of a step. The workers that may run it do not change.
type advice struct {
	step    string
	pool    pool.Name
	asking  bool
	tickets map[worker.ID]ticket
	// asked holds the life of each worker that the service was asked about.
	asked map[worker.ID]worker.Incarnation
}

type ticket struct {
	text  string
	birth worker.Incarnation
	until time.Time
}

// advise adds the valid tickets of a step to its demand, and asks for more if there are none.
func (d *Dispatcher) advise(demand *schedule.PendingStep, j *job, step string, now time.Time) {
	a := d.advices[step]
	if a == nil {
		a = &advice{step: step, pool: j.Pool, tickets: map[worker.ID]ticket{}, asked: map[worker.ID]worker.Incarnation{}}
		d.advices[step] = a
	}
	demand.Tickets = map[worker.ID]string{}
	room := false
	for id, t := range a.tickets {
		s := d.stations[id]
		if s == nil || s.birth != t.birth || now.Add(ticketReserve).After(t.until) || !d.usable(s) {
			continue
		}
		demand.Tickets[id] = t.text
		room = room || s.listing.Capacity.Sub(s.used).CanFit(demand.Spec.Reservation())
	}
	if room || a.asking {
		return
	}
	if ids := d.candidates(a, now); len(ids) > 0 {
		a.asking = true
		select {
		case d.questions <- question{advice: a, workers: ids}:
		default:
			a.asking = false
		}
	}
}

// candidates returns the workers to ask about: those whose ticket has expired, then unknown ones, the
// emptiest first.
func (d *Dispatcher) candidates(a *advice, now time.Time) []worker.ID {
	var list []*station
	for _, s := range d.stations {
		if s.listing.Pool != a.pool || !d.usable(s) {
			continue
		}
		t, good := a.tickets[s.id]
		if birth, asked := a.asked[s.id]; !asked || good && (birth != s.birth || now.Add(ticketReserve).After(t.until)) {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		_, a1 := a.tickets[list[i].id]
		_, a2 := a.tickets[list[j].id]
		if a1 != a2 {
			return a1
		}
		return list[i].used.CPU < list[j].used.CPU
	})
	var ids []worker.ID
	for _, s := range list[:min(len(list), askWorkers)] {
		ids = append(ids, s.id)
	}
	return ids
}

// question is a question to the advice service.
type question struct {
	advice  *advice
	workers []worker.ID
}

// consult asks the advice service, one question at a time.
func (d *Dispatcher) consult() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case q := <-d.questions:
			if !d.ask(q) && d.clock.Sleep(d.ctx, askPause) != nil {
				return
			}
		}
	}
}

func (d *Dispatcher) ask(q question) bool {
	call, cancel := context.WithTimeout(d.ctx, askTimeout)
	defer cancel()
	sent := d.clock.Now()
	tickets, valid, err := d.advisor.Advise(call, q.advice.step, q.workers)
	d.mu.Lock()
	defer d.mu.Unlock()
	q.advice.asking = false
	if err != nil {
		d.log.Info(eventAdvice, "step", q.advice.step, "workers", len(q.workers), "error", err)
		d.wake()
		return false
	}
	for _, id := range q.workers {
		s := d.stations[id]
		if s == nil {
			continue
		}
		q.advice.asked[id] = s.birth
		delete(q.advice.tickets, id)
		if text, ok := tickets[id]; ok {
			q.advice.tickets[id] = ticket{text: text, birth: s.birth, until: sent.Add(valid)}
		}
	}
	d.log.Info(eventAdvised, "step", q.advice.step, "asked", len(q.workers), "good", len(tickets), "valid", valid)
	d.wake()
	return true
}

// ticketFor returns the ticket for a start; empty if the queue needs none.
func (d *Dispatcher) ticketFor(r *run) string {
	a := d.advices[stepName(r.id.key)]
	if a == nil {
		return ""
	}
	return a.tickets[r.worker].text
}
