package carrier

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// Path is the path at which an entry accepts sessions, followed by the epoch of the owner.
	Path = "/carrier/"
	// upgradeProtocol names the protocol to which the connection of a session is switched.
	upgradeProtocol = "hibiscuslane-carrier"
	// resultSlack is how much longer than the call the owner waits for its result, so that the carrier can report that the
	// worker has not answered.
	resultSlack = 150 * time.Millisecond
	// sweepInterval is the interval at which calls without a result are checked for their timeouts.
	sweepInterval = 50 * time.Millisecond
)

// Session is the owner's connection to a carrier. Its methods are safe for concurrent use.
type Session struct {
	member Member
	conn   net.Conn
	clock  *timer.Service
	log    event.Log
	wake   chan struct{}
	closed chan struct{}

	// mu guards the fields below. It is not held while results are handled.
	mu sync.Mutex
	// stamp is the newest stamp of the carrier, and receivedAt is when the last message of it arrived.
	stamp      int64
	receivedAt time.Time
	// sentAt is when the last message was sent.
	sentAt time.Time
	// queued holds the orders to send, and payloads the payloads of the starts among them with their indexes. queuedStamp is
	// the stamp that was the newest when the first of them was queued.
	queued      []*Order
	queuedStamp int64
	payloads    []string
	indexes     map[string]int32
	// calls holds the calls without a result, by the number of their order. It is nil once the session has ended.
	calls      map[uint64]call
	lastNumber uint64
}

// call is a call that waits for its result.
type call struct {
	expiry time.Time
	// handle receives the result, or an error if there is none.
	handle func(*Result, error)
}

// Dial opens a session with a carrier for the term of the given epoch.
func Dial(ctx context.Context, member Member, epoch platform.Epoch, clock *timer.Service, log event.Log) (*Session, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", string(member.Address))
	if err != nil {
		return nil, &LostError{Carrier: member.ID, Cause: err}
	}
	reader, stamp, err := upgrade(ctx, conn, member, epoch)
	if err != nil {
		_ = conn.Close() // the session was not opened
		return nil, &LostError{Carrier: member.ID, Cause: err}
	}
	s := &Session{member: member, conn: conn, clock: clock, log: log, wake: make(chan struct{}, 1), closed: make(chan struct{}), stamp: stamp, receivedAt: clock.Now(), sentAt: clock.Now(), calls: map[uint64]call{}}
	go s.read(reader)
	go s.write()
	go s.sweep()
	return s, nil
}

// upgrade switches a connection to the protocol of a session, and returns the first stamp of the carrier.
func upgrade(ctx context.Context, conn net.Conn, member Member, epoch platform.Epoch) (reader *bufio.Reader, stamp int64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(member.Address)+Path+strconv.FormatInt(int64(epoch), 10), nil)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", upgradeProtocol)
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, 0, err
		}
	}
	if err := request.Write(conn); err != nil {
		return nil, 0, err
	}
	reader = bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, 0, err
	}
	if err := response.Body.Close(); err != nil {
		return nil, 0, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, 0, fmt.Errorf("%w: status %d", errRefused, response.StatusCode)
	}
	first := &Receipt{}
	if err := readMessage(reader, first); err != nil {
		return nil, 0, err
	}
	return reader, first.Stamp, conn.SetDeadline(time.Time{})
}

// Member returns the carrier.
func (s *Session) Member() Member { return s.member }

// IsOpen reports whether the session can take calls.
func (s *Session) IsOpen() bool {
	select {
	case <-s.closed:
		return false
	default:
		return true
	}
}

// Close ends the session. Calls without a result fail with a LostError.
func (s *Session) Close() { s.end(errClosed) }

func (s *Session) end(cause error) {
	s.mu.Lock()
	calls := s.calls
	s.calls, s.queued = nil, nil
	s.mu.Unlock()
	if calls == nil {
		return // it has ended before
	}
	close(s.closed)
	_ = s.conn.Close() // nothing more is sent, and calls without a result are reported as lost
	s.log.Info(eventSessionEnded, "carrier", s.member.ID, "calls", len(calls), "cause", cause)
	for _, c := range calls {
		c.handle(nil, &LostError{Carrier: s.member.ID, Cause: cause})
	}
}

// send queues an order. The handle function is called exactly once, in another goroutine.
func (s *Session) send(order *Order, payload string, timeout time.Duration, handle func(*Result, error)) {
	order.Timeout = timeout.Milliseconds()
	now := s.clock.Now()
	s.mu.Lock()
	if s.calls == nil {
		s.mu.Unlock()
		go handle(nil, &LostError{Carrier: s.member.ID, Cause: errClosed})
		return
	}
	s.lastNumber++
	order.Number = s.lastNumber
	if order.Kind == Kind_START {
		order.Payload = s.payloadIndex(payload)
	}
	if len(s.queued) == 0 {
		s.queuedStamp = s.stamp
	}
	s.calls[order.Number] = call{expiry: now.Add(timeout + resultSlack), handle: handle}
	s.queued = append(s.queued, order)
	s.mu.Unlock()
	s.requestWrite()
}

func (s *Session) requestWrite() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// payloadIndex returns the index of a payload in the next message.
func (s *Session) payloadIndex(payload string) int32 {
	index, ok := s.indexes[payload]
	if !ok {
		index = int32(len(s.payloads)) // a message has far fewer payloads than that
		if s.indexes == nil {
			s.indexes = map[string]int32{}
		}
		s.indexes[payload] = index
		s.payloads = append(s.payloads, payload)
	}
	return index
}

// write sends the queued orders, or an empty message if there are none.
func (s *Session) write() {
	writer := bufio.NewWriter(s.conn)
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		batch := &Batch{Stamp: s.stamp, Orders: s.queued, Payloads: s.payloads}
		if len(s.queued) > 0 {
			batch.Stamp = s.queuedStamp // a newer stamp may have been received after a pause of this process
		}
		s.queued, s.payloads, s.indexes = nil, nil, nil
		s.sentAt = s.clock.Now()
		s.mu.Unlock()
		if err := writeMessage(s.conn, writer, batch); err != nil {
			s.end(err)
			return
		}
	}
}

// read handles the results.
func (s *Session) read(reader *bufio.Reader) {
	for {
		receipt := &Receipt{}
		if err := readMessage(reader, receipt); err != nil {
			s.end(err)
			return
		}
		handlers := make([]func(*Result, error), len(receipt.Results))
		s.mu.Lock()
		s.stamp, s.receivedAt = max(s.stamp, receipt.Stamp), s.clock.Now()
		for i, r := range receipt.Results {
			handlers[i] = s.calls[r.Number].handle
			delete(s.calls, r.Number)
		}
		s.mu.Unlock()
		for i, handle := range handlers {
			if handle != nil { // nil if the call has timed out
				handle(receipt.Results[i], nil)
			}
		}
	}
}

// sweep fails the calls that have timed out, ends the session if the carrier is silent, and keeps an idle one open.
func (s *Session) sweep() {
	ticker := s.clock.Every(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C():
		}
		now := s.clock.Now()
		var expired []call
		s.mu.Lock()
		isSilent, isIdle := now.Sub(s.receivedAt) > silenceTimeout, now.Sub(s.sentAt) > pingInterval
		for number, c := range s.calls {
			if now.After(c.expiry) {
				expired = append(expired, c)
				delete(s.calls, number)
			}
		}
		s.mu.Unlock()
		for _, c := range expired {
			c.handle(nil, &LostError{Carrier: s.member.ID, Cause: errTimeout})
		}
		if isSilent {
			s.end(errSilent)
			return
		}
		if isIdle {
			s.requestWrite()
		}
	}
}

// Worker sends calls to one worker through a session.
type Worker struct {
	Session *Session
	Target  *platform.Worker
}

func (w *Worker) order(kind Kind, key task.Key, run task.RunNumber, token worker.FencingToken) *Order {
	return &Order{Kind: kind, Worker: string(w.Target.ID), Address: string(w.Target.Address), Incarnation: int64(w.Target.Incarnation), Task: key.String(), Run: int64(run), Token: int64(token)}
}

// confirm sends an order whose result is the worker's clock, if it is known, or an error.
func (w *Worker) confirm(order *Order, payload string, timeout time.Duration, handle func(worker.Clock, error)) {
	w.Session.send(order, payload, timeout, func(result *Result, err error) {
		if err == nil {
			err = errorOf(result, w.Session.member.ID, order.Kind.String()+" of "+order.Task, w.Target)
		}
		handle(worker.Clock(result.GetClock()), err)
	})
}

// StartRun orders the start of a run. It returns at once and calls handle with the worker's clock, which is zero if it is not known,
// and the result.
func (w *Worker) StartRun(start worker.StartOrder, timeout time.Duration, handle func(worker.Clock, error)) {
	order := w.order(Kind_START, start.Key, start.Run, start.FencingToken)
	order.Deadline, order.Checkpoint, order.Ticket = int64(start.Deadline), string(start.Checkpoint), start.Ticket
	w.confirm(order, start.Payload, timeout, handle)
}

// StopRun orders the end of a run. It returns at once and calls handle with the result.
func (w *Worker) StopRun(key task.Key, run task.RunNumber, token worker.FencingToken, timeout time.Duration, handle func(error)) {
	w.confirm(w.order(Kind_STOP, key, run, token), "", timeout, func(_ worker.Clock, err error) { handle(err) })
}

// SetSpeed throttles a run to a percentage of full speed. It returns at once and calls handle with the result.
func (w *Worker) SetSpeed(key task.Key, run task.RunNumber, percent int, token worker.FencingToken, timeout time.Duration, handle func(error)) {
	order := w.order(Kind_SPEED, key, run, token)
	order.Percent = int32(min(max(percent, 0), 100))
	w.confirm(order, "", timeout, func(_ worker.Clock, err error) { handle(err) })
}

// RenewLease extends the lease of the worker and returns its status report, as platform.Worker.RenewLease does.
func (w *Worker) RenewLease(ctx context.Context, r platform.Renewal, timeout time.Duration) (worker.Report, error) {
	type outcome struct {
		report worker.Report
		err    error
	}
	outcomes := make(chan outcome, 1)
	order := &Order{
		Kind: Kind_RENEWAL, Worker: string(w.Target.ID), Address: string(w.Target.Address), Incarnation: int64(w.Target.Incarnation), Token: int64(r.FencingToken), Deadline: int64(r.LeaseDeadline),
		Seen: int64(r.LastSeenEnd), Wait: r.MaxWait.Milliseconds(), Brief: r.EndsOnly,
	}
	w.Session.send(order, "", timeout, func(result *Result, err error) {
		var o outcome
		if o.err = err; err == nil {
			o.err = errorOf(result, w.Session.member.ID, "renewal at "+order.Worker, w.Target)
		}
		if o.err == nil {
			o.report, o.err = reportOf(result)
		}
		outcomes <- o
	})
	select {
	case o := <-outcomes:
		return o.report, o.err
	case <-ctx.Done():
		return worker.Report{}, &LostError{Carrier: w.Session.member.ID, Cause: ctx.Err()}
	}
}
