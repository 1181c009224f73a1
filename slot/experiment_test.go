package slot

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
)

// The experiment replays recorded arrivals of one pool against ways to divide its slots. Time is
// virtual; the decisions are those of Owner.
const (
	entryCount  = 9
	targetCount = 9
	slotCount   = 8
	meanService = 100 * time.Millisecond
	burstLength = 5 * time.Second
	experiment  = pool.Name("web")
)

type arrival struct {
	at      time.Duration
	entry   int
	service time.Duration
}

// arrivals records a burst of the given multiple of the pool's capacity.
func arrivals(seed uint64, load float64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := load * targetCount * slotCount / meanService.Seconds()
	var list []arrival
	const sigma = 0.5
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= burstLength.Seconds() {
			return list
		}
		service := math.Exp(random.NormFloat64()*sigma-sigma*sigma/2) * float64(meanService)
		list = append(list, arrival{
			at: time.Duration(at * float64(time.Second)), entry: random.IntN(entryCount), service: time.Duration(service),
		})
	}
}

type timed struct {
	at   time.Duration
	seq  int
	call func()
}

type timeline struct {
	events []timed
	now    time.Duration
	seq    int
}

func (t *timeline) Len() int { return len(t.events) }
func (t *timeline) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *timeline) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }
func (t *timeline) Push(x any)    { t.events = append(t.events, x.(timed)) }
func (t *timeline) Pop() any {
	last := len(t.events) - 1
	e := t.events[last]
	t.events = t.events[:last]
	return e
}

func (t *timeline) after(d time.Duration, call func()) {
	t.seq++
	heap.Push(t, timed{at: t.now + d, seq: t.seq, call: call})
}

func (t *timeline) run() {
	for t.Len() > 0 {
		e := heap.Pop(t).(timed)
		t.now = e.at
		e.call()
	}
}

var epoch = time.Unix(1_000_000, 0)

func (t *timeline) clock() time.Time { return epoch.Add(t.now) }

// bench holds the true state of the targets and the results.
type bench struct {
	timeline
	running  map[instance.ID]int
	waits    []time.Duration
	refusals int
	refused  int
	busy     time.Duration
}

func newBench() *bench { return &bench{running: map[instance.ID]int{}} }

// send starts a request on a target; it reports false if the target refuses as full.
func (b *bench) send(target instance.ID, service time.Duration, done func()) bool {
	if b.running[target] >= slotCount {
		b.refusals++
		return false
	}
	b.running[target]++
	b.busy += service
	b.after(service, func() {
		b.running[target]--
		done()
	})
	return true
}

func targetIDs() []instance.ID {
	var ids []instance.ID
	for i := range targetCount {
		ids = append(ids, instance.ID(fmt.Sprint("target-", i)))
	}
	return ids
}

type figures struct {
	served, refused int
	p50, p99, worst time.Duration
	refusals        float64
	use             float64
}

func (b *bench) figures() figures {
	sort.Slice(b.waits, func(i, j int) bool { return b.waits[i] < b.waits[j] })
	at := func(q float64) time.Duration {
		return b.waits[min(int(q*float64(len(b.waits))), len(b.waits)-1)]
	}
	return figures{
		served: len(b.waits), refused: b.refused, p50: at(0.5), p99: at(0.99), worst: at(1),
		refusals: float64(b.refusals) / float64(len(b.waits)),
		use:      b.busy.Seconds() / (max(b.now, burstLength).Seconds() * targetCount * slotCount),
	}
}

// latency is the one-way time between entries of three data centres, three entries each.
func latency(a, b int, between time.Duration) time.Duration {
	switch {
	case a == b:
		return 0
	case a/3 == b/3:
		return between / 10
	}
	return between
}

// ownerWay sends every request through one owner. With between 0 it is the ideal shared queue.
func ownerWay(list []arrival, between time.Duration) figures {
	b := newBench()
	const home = 4
	owner := &Owner{Pool: experiment, Incarnation: 1, MaxQueued: 100_000}
	owner.SetTargets(b.clock(), targetIDs(), slotCount)
	for n, a := range list {
		hop := latency(a.entry, home, between)
		var try func()
		try = func() {
			b.after(hop, func() {
				owner.Acquire(b.clock(), AcquireRequest{
					ID:     TicketID{Entry: instance.ID(fmt.Sprint(a.entry)), Number: uint64(n)},
					Ticket: Ticket{Pool: experiment, Team: "a", Deadline: epoch.Add(a.at + time.Minute)},
					Deliver: func(g Grant, err error) {
						if err != nil {
							b.refused++
							return
						}
						b.after(hop, func() {
							release := func(r Result) { b.after(hop, func() { owner.Release(b.clock(), g.LeaseID, r) }) }
							if !b.send(g.Target, a.service, func() { release(ResultCompleted) }) {
								release(ResultTargetFull)
								try()
								return
							}
							b.waits = append(b.waits, b.now-a.at)
						})
					},
				})
			})
		}
		b.after(a.at, try)
	}
	b.run()
	return b.figures()
}

// holderWay is the way that Client implements: one owner, and entries that pass held slots on to
// their own requests. When kill is positive, the owner and its requests are gone at that time, and
// the survivors announce their slots to a new owner and queue there again.
func holderWay(list []arrival, between, kill time.Duration) figures {
	b := newBench()
	w := &holderRun{bench: b, between: between, home: 4, tickets: map[TicketID]arrival{}}
	w.owner = &Owner{Pool: experiment, Incarnation: 1, MaxQueued: 100_000}
	w.owner.SetTargets(b.clock(), targetIDs(), slotCount)
	for n, a := range list {
		b.after(a.at, func() { w.arrive(a, uint64(n)) })
	}
	if kill > 0 {
		b.after(kill, w.failover)
	}
	b.run()
	return b.figures()
}

type holderRun struct {
	*bench
	between time.Duration
	home    int
	dead    bool
	owner   *Owner
	holders [entryCount]holder
	tickets map[TicketID]arrival
}

// tell delivers a message of an entry to the present owner.
func (w *holderRun) tell(entry int, call func(*Owner)) {
	owner := w.owner
	w.after(latency(entry, w.home, w.between), func() {
		if owner == w.owner {
			call(owner)
		}
	})
}

func (w *holderRun) arrive(a arrival, n uint64) {
	if w.dead && a.entry == 4 {
		// The balancer sends it to another entry.
		a.entry = 5
	}
	id := TicketID{Entry: instance.ID(fmt.Sprint(a.entry)), Number: n}
	w.tickets[id] = a
	w.holders[a.entry].wait(&waiter{id: id, since: epoch.Add(a.at), deadline: epoch.Add(a.at + time.Minute)}, 1)
	w.ask(id)
}

func (w *holderRun) ask(id TicketID) {
	a := w.tickets[id]
	w.tell(a.entry, func(owner *Owner) {
		owner.Acquire(w.clock(), AcquireRequest{
			ID: id, Ticket: Ticket{Pool: experiment, Deadline: epoch.Add(a.at + time.Minute)},
			Deliver: func(g Grant, err error) {
				if err != nil {
					return
				}
				head, _ := owner.EarliestDeadline()
				w.after(latency(a.entry, w.home, w.between), func() { w.granted(a.entry, id, g, head) })
			},
		})
	})
}

func (w *holderRun) granted(entry int, id TicketID, g Grant, head time.Time) {
	h := &w.holders[entry]
	h.observe(w.clock(), head)
	got := h.granted(id, g.LeaseID)
	if got == nil {
		w.tell(entry, func(o *Owner) { o.Release(w.clock(), g.LeaseID, ResultUnused) })
		return
	}
	if got.id != id {
		w.tell(entry, func(o *Owner) { o.Withdraw(got.id) })
	}
	w.start(entry, got.id, g)
}

func (w *holderRun) start(entry int, id TicketID, g Grant) {
	a := w.tickets[id]
	if w.send(g.Target, a.service, func() { w.done(entry, g) }) {
		if !w.dead || entry != 4 {
			w.waits = append(w.waits, w.now-a.at)
		}
		return
	}
	w.holders[entry].drop(g.LeaseID)
	w.tell(entry, func(o *Owner) { o.Release(w.clock(), g.LeaseID, ResultTargetFull) })
	w.holders[entry].wait(&waiter{id: id, since: epoch.Add(a.at), deadline: epoch.Add(a.at + time.Minute)}, 1)
	w.ask(id)
}

func (w *holderRun) done(entry int, g Grant) {
	if w.dead && entry == 4 {
		return
	}
	next := w.holders[entry].next(w.clock(), g.LeaseID)
	if next == nil {
		w.tell(entry, func(o *Owner) { o.Release(w.clock(), g.LeaseID, ResultCompleted) })
		return
	}
	w.tell(entry, func(o *Owner) { o.TransferLease(w.clock(), g.LeaseID, next.id) })
	w.start(entry, next.id, g)
}

// failover replaces the owner. Its own waiting requests are lost with it.
func (w *holderRun) failover() {
	old := w.owner
	w.dead, w.home = true, 5
	w.holders[4] = holder{}
	w.owner = &Owner{Pool: experiment, Incarnation: 2, MaxQueued: 100_000}
	w.owner.SetTargets(w.clock(), targetIDs(), slotCount)
	for entry := range w.holders {
		holder := instance.ID(fmt.Sprint(entry))
		if holder != "4" {
			w.owner.ReconcileLeases(w.clock(), holder, w.heldBy(old, holder))
		}
		var waiting []TicketID
		for id := range w.holders[entry].waiting.ids {
			waiting = append(waiting, id)
		}
		sort.Slice(waiting, func(i, j int) bool { return waiting[i].Number < waiting[j].Number })
		for _, id := range waiting {
			w.ask(id)
		}
	}
}

func (w *holderRun) heldBy(old *Owner, holder instance.ID) []Grant {
	var list []Grant
	for id, l := range old.leases {
		if l.holder == holder {
			list = append(list, Grant{LeaseID: id, Pool: experiment, Target: l.target.id})
		}
	}
	return list
}

// shareWay gives each entry an equal part of the slots and a queue of its own.
func shareWay(list []arrival) figures {
	b := newBench()
	free := make([]int, entryCount)
	var queues [entryCount][]arrival
	held := map[instance.ID]int{}
	ids := targetIDs()
	for i := range targetCount * slotCount {
		free[i%entryCount]++
	}
	var start func(entry int)
	start = func(entry int) {
		for free[entry] > 0 && len(queues[entry]) > 0 {
			a := queues[entry][0]
			queues[entry] = queues[entry][1:]
			free[entry]--
			// The targets are told apart by entry, so that no two entries share a slot.
			target := ids[entry%targetCount]
			held[target]++
			b.send(target, a.service, func() {
				free[entry]++
				start(entry)
			})
			b.waits = append(b.waits, b.now-a.at)
		}
	}
	for _, a := range list {
		b.after(a.at, func() {
			queues[a.entry] = append(queues[a.entry], a)
			start(a.entry)
		})
	}
	b.run()
	return b.figures()
}

// localWay lets each entry choose the target with the fewest of its own requests and try another
// after a refusal; when half of the targets refused, it waits for backoff.
func localWay(list []arrival) figures {
	const backoff = 10 * time.Millisecond
	b := newBench()
	ids := targetIDs()
	var own [entryCount]map[instance.ID]int
	for i := range own {
		own[i] = map[instance.ID]int{}
	}
	random := rand.New(rand.NewPCG(7, 7))
	for _, a := range list {
		var try func()
		try = func() {
			order := random.Perm(targetCount)
			sort.SliceStable(order, func(i, j int) bool { return own[a.entry][ids[order[i]]] < own[a.entry][ids[order[j]]] })
			for _, i := range order[:targetCount/2] {
				id := ids[i]
				if b.send(id, a.service, func() { own[a.entry][id]-- }) {
					own[a.entry][id]++
					b.waits = append(b.waits, b.now-a.at)
					return
				}
			}
			b.after(backoff, try)
		}
		b.after(a.at, try)
	}
	b.run()
	return b.figures()
}

func report(t *testing.T, load float64, way string, f figures, ideal figures) {
	t.Helper()
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	t.Logf("burst %.2f %-12s p50 %7.1f ms  p99 %7.1f ms  ratio %5.2f  worst %7.1f ms  refusals %.3f  use %.3f",
		load, way, ms(f.p50), ms(f.p99), float64(f.p99)/float64(max(ideal.p99, 1)), ms(f.worst), f.refusals, f.use)
}

const waitBound = 1.25

// compareWays replays a burst in every way and holds the way of Client to the bound.
func compareWays(t *testing.T, seed uint64, load float64) {
	t.Helper()
	list := arrivals(seed, load)
	ideal := ownerWay(list, 0)
	held := holderWay(list, time.Millisecond, 0)
	killed := holderWay(list, time.Millisecond, burstLength/2)
	report(t, load, "ideal", ideal, ideal)
	report(t, load, "owner", ownerWay(list, time.Millisecond), ideal)
	report(t, load, "owner+reuse", held, ideal)
	report(t, load, "owner killed", killed, ideal)
	report(t, load, "equal shares", shareWay(list), ideal)
	report(t, load, "local choice", localWay(list), ideal)
	assert.LessOrEqual(t, float64(held.p99), waitBound*float64(ideal.p99), "burst %v seed %d", load, seed)
	assert.LessOrEqual(t, float64(killed.p99), waitBound*float64(ideal.p99), "burst %v seed %d, owner killed", load, seed)
	assert.Zero(t, held.refusals, "over-limit sends")
}

// TestWaitBound guards the wait under bursts at and over capacity: its 99th percentile is at most
// 1.25 times that of an ideal shared queue, also when the owner dies in mid-burst.
func TestWaitBound(t *testing.T) {
	for _, seed := range []uint64{11, 12, 13} {
		compareWays(t, seed, 1.0)
		compareWays(t, seed, 1.15)
	}
}

// TestWaitBoundBelowCapacity holds bursts below capacity to the same bound.
func TestWaitBoundBelowCapacity(t *testing.T) {
	for _, seed := range []uint64{11, 12, 13} {
		compareWays(t, seed, 0.8)
	}
}
