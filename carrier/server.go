package carrier

import (
	"bufio"
	"context"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// maxOpenCalls limits the calls of one session that have no result yet. A carrier has some hundred workers with a
	// renewal and a few orders each.
	maxOpenCalls = 8192
	// maxCallTime bounds a call to a worker.
	maxCallTime = 5 * time.Second
	// unusedClientTime is how long the client of a worker that gets no calls is kept.
	unusedClientTime = time.Minute
)

// Server carries calls of owners to workers. The exported fields must be set before the first request.
type Server struct {
	Client *platform.DirectClient
	Clock  *timer.Service
	Log    event.Log
	// uptime replaces the uptime of Clock in tests.
	uptime func() time.Duration

	mu sync.Mutex
	// epoch is the highest epoch of an owner that has opened a session. The context term ends the sessions of that owner once
	// a later one opens one. Earlier owners are refused.
	epoch   int64
	term    context.Context
	endTerm context.CancelFunc
}

// Serve switches the connection of a request to the protocol of a session and serves it until the connection ends.
func (s *Server) Serve(request *fasthttp.RequestCtx) {
	epoch, err := strconv.ParseInt(strings.TrimPrefix(string(request.Path()), Path), 10, 64)
	if err != nil || string(request.Request.Header.Peek("Upgrade")) != upgradeProtocol {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	term := s.admit(epoch)
	if term == nil {
		s.Log.Info(eventEpochRefused, "epoch", epoch)
		request.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	request.SetStatusCode(fasthttp.StatusSwitchingProtocols)
	request.Response.Header.Set("Connection", "Upgrade")
	request.Response.Header.Set("Upgrade", upgradeProtocol)
	request.Hijack(func(conn net.Conn) { s.serve(term, epoch, conn) })
}

// serve serves a session until its connection or the term ends.
func (s *Server) serve(term context.Context, epoch int64, conn net.Conn) {
	ctx, cancel := context.WithCancel(term)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the reading below
	begin := s.Clock.Now()
	s.Log.Info(eventServing, "epoch", epoch, "owner", conn.RemoteAddr().String())
	session := &served{server: s, ctx: ctx, conn: conn, queues: map[string][]*permitted{}, clients: map[string]*client{}, wake: make(chan struct{}, 1)}
	go session.write()
	err := session.read(bufio.NewReader(conn))
	session.closeClients()
	s.Log.Info(eventServed, "epoch", epoch, "took", s.Clock.Since(begin), "calls", session.callCount(), "cause", err)
}

// now returns the time that stamps and permissions refer to.
func (s *Server) now() time.Duration {
	if s.uptime != nil {
		return s.uptime()
	}
	return s.Clock.Uptime()
}

// admit returns the context of the sessions of the owner with the given epoch, and ends those of earlier owners. It returns
// nil if a later owner has opened a session.
func (s *Server) admit(epoch int64) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epoch {
		return nil
	}
	if epoch > s.epoch {
		if s.endTerm != nil {
			s.endTerm()
		}
		s.epoch = epoch
		s.term, s.endTerm = context.WithCancel(context.Background())
	}
	return s.term
}

// served is a session at the carrier.
type served struct {
	server *Server
	ctx    context.Context
	conn   net.Conn
	wake   chan struct{}

	mu sync.Mutex
	// queues holds the orders of each worker that wait for their turn; there is an entry while one is sent. Renewals are
	// not queued, since a worker may delay its response to them.
	queues  map[string][]*permitted
	results []*Result
	// clients holds the clients of the workers that the session has called.
	clients map[string]*client
	// open is the number of calls without a result, total that of all calls.
	open, total int
}

// permitted is an order that may be sent until the uptime of the carrier exceeds the given one.
type permitted struct {
	order   *Order
	payload string
	until   time.Duration
}

func (s *served) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// read takes the orders until the connection ends.
func (s *served) read(reader *bufio.Reader) error {
	for {
		batch := &Batch{}
		// The deadline is one of the network poller, which uses the system clock.
		if err := s.conn.SetReadDeadline(time.Now().Add(ownerTimeout)); err != nil {
			return err
		}
		if err := readMessage(reader, batch); err != nil {
			return err
		}
		until := time.Duration(batch.Stamp)*time.Millisecond + permissionTime
		for _, order := range batch.Orders {
			p := &permitted{order: order, until: until}
			if order.Kind == Kind_START {
				if order.Payload < 0 || int(order.Payload) >= len(batch.Payloads) {
					s.finish(&Result{Number: order.Number, Failure: errInvalidMessage.Error()})
					continue
				}
				p.payload = batch.Payloads[order.Payload]
			}
			s.accept(p)
		}
	}
}

// accept sends an order, or queues it behind earlier ones for the same worker.
func (s *served) accept(p *permitted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= maxOpenCalls {
		s.results = append(s.results, &Result{Number: p.order.Number, Expired: true})
		s.requestWrite()
		return
	}
	s.open++
	s.total++
	if p.order.Kind == Kind_RENEWAL {
		go s.carry(p)
		return
	}
	queue, sending := s.queues[p.order.Worker]
	s.queues[p.order.Worker] = append(queue, p)
	if !sending {
		go s.sendQueued(p.order.Worker)
	}
}

// sendQueued sends the queued orders of a worker one after the other.
func (s *served) sendQueued(id string) {
	for {
		s.mu.Lock()
		queue := s.queues[id]
		if len(queue) == 0 {
			delete(s.queues, id)
			s.mu.Unlock()
			return
		}
		s.queues[id] = queue[1:]
		s.mu.Unlock()
		s.carry(queue[0])
	}
}

// carry sends an order while its permission lasts.
func (s *served) carry(p *permitted) {
	result := &Result{Number: p.order.Number}
	if s.ctx.Err() != nil || s.server.now() > p.until {
		s.server.Log.Info(eventOrdersExpired, "worker", p.order.Worker, "kind", p.order.Kind.String(), "task", p.order.Task)
		result.Expired = true
	} else {
		s.call(p, result)
	}
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	s.finish(result)
}

// call sends an order to its worker and sets the result.
func (s *served) call(p *permitted, result *Result) {
	o := p.order
	ctx, cancel := s.server.Clock.WithTimeout(s.ctx, min(time.Duration(o.Timeout)*time.Millisecond, maxCallTime))
	defer cancel()
	w := s.clientOf(o)
	token, run := worker.FencingToken(o.Token), task.RunNumber(o.Run)
	if o.Kind == Kind_RENEWAL {
		report, err := w.RenewLease(ctx, platform.Renewal{FencingToken: token, LastSeenEnd: worker.EndNumber(o.Seen), LeaseDeadline: worker.Clock(o.Deadline), MaxWait: time.Duration(o.Wait) * time.Millisecond, EndsOnly: o.Brief})
		if err == nil {
			result.setReport(report)
		}
		result.setError(err)
		return
	}
	key, ok := task.ParseKey(o.Task)
	if !ok {
		s.server.Log.Warn(eventOrderUnreadable, "worker", o.Worker, "task", o.Task)
		result.Failure = errInvalidMessage.Error()
		return
	}
	switch o.Kind {
	case Kind_START:
		clock, err := w.StartRun(ctx, worker.StartOrder{Key: key, Run: run, Payload: p.payload, Checkpoint: task.Checkpoint(o.Checkpoint), Deadline: worker.Clock(o.Deadline), FencingToken: token, Ticket: o.Ticket})
		result.Clock = int64(clock)
		result.setError(err)
	case Kind_STOP:
		result.setError(w.StopRun(ctx, key, run, token))
	case Kind_SPEED:
		result.setError(w.SetSpeed(ctx, key, run, int(o.Percent), token))
	default:
		result.Failure = errInvalidMessage.Error()
	}
}

// client is the client of a worker, and when it was last used.
type client struct {
	platform.Worker
	usedAt time.Time
}

// clientOf returns the client for the worker of an order, at the address and of the incarnation that the order names.
func (s *served) clientOf(o *Order) *platform.Worker {
	now := s.server.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[o.Worker]
	if c == nil || string(c.Address) != o.Address || int64(c.Incarnation) != o.Incarnation {
		maps.DeleteFunc(s.clients, func(id string, other *client) bool {
			isUnused := id == o.Worker || now.Sub(other.usedAt) > unusedClientTime
			if isUnused {
				other.Close()
			}
			return isUnused
		})
		c = &client{Worker: platform.Worker{ID: worker.ID(o.Worker), Address: instance.Address(o.Address), Incarnation: worker.Incarnation(o.Incarnation), FencingToken: worker.FencingToken(o.Token), Client: s.server.Client}}
		s.clients[o.Worker] = c
	}
	c.usedAt = now
	return &c.Worker
}

func (s *served) closeClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
}

// finish queues a result for the owner.
func (s *served) finish(result *Result) {
	s.mu.Lock()
	s.results = append(s.results, result)
	s.mu.Unlock()
	s.requestWrite()
}

func (s *served) requestWrite() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends results, collected over resultDelay, and a stamp at least every stampInterval.
func (s *served) write() {
	clock := s.server.Clock
	writer := bufio.NewWriter(s.conn)
	stamps := clock.Every(stampInterval)
	defer stamps.Stop()
	for {
		s.mu.Lock()
		receipt := &Receipt{Stamp: s.server.now().Milliseconds(), Results: s.results}
		s.results = nil
		s.mu.Unlock()
		if err := writeMessage(s.conn, writer, receipt); err != nil {
			_ = s.conn.Close() // read then ends the session
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-stamps.C():
		case <-s.wake:
			if clock.Sleep(s.ctx, resultDelay) != nil {
				return
			}
		}
	}
}
