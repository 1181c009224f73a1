package request_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/retry"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// memoryLog is an in-memory log. It can be unavailable, or lose the response to an append that it has stored.
type memoryLog struct {
	mu      sync.Mutex
	records []json.RawMessage
	// changed, if set, is closed by the next append.
	changed chan struct{}
	down    bool
	// lostResponses is the number of further appends whose response is lost.
	lostResponses int
	// gate, if set, blocks appends until it is closed.
	gate chan struct{}
	// delay is the duration of an append.
	delay   time.Duration
	appends int
}

func (l *memoryLog) setFault(down bool, responsesToLose int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.lostResponses = down, responsesToLose
}

func (l *memoryLog) Append(ctx context.Context, _ record.Stream, records []json.RawMessage) (record.Offset, error) {
	_ = (&timer.Service{}).Sleep(ctx, l.delay)
	if l.gate != nil {
		<-l.gate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, &upstream.RefusedError{Call: "append", Refusal: upstream.RefusedDown}
	}
	first := record.Offset(len(l.records))
	l.records = append(l.records, records...)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	if l.lostResponses > 0 {
		l.lostResponses--
		return 0, &upstream.CallError{Call: "append", Cause: io.ErrUnexpectedEOF}
	}
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ record.Stream, from record.Offset, _ int, wait time.Duration) (upstream.Batch, error) {
	// A nil channel never expires. A timer of zero length is avoided, because selecting on it inside a
	// synctest bubble with the race detector can crash the Go runtime (seen with Go 1.26.8).
	var expired <-chan time.Time
	if wait > 0 {
		var service timer.Service
		expired = service.After(wait)
	}
	for {
		batch, changed := l.batch(from)
		if len(batch.Records) > 0 || wait <= 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return upstream.Batch{}, ctx.Err()
		case <-expired:
			return batch, nil
		case <-changed:
		}
	}
}

func (l *memoryLog) batch(from record.Offset) (upstream.Batch, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := upstream.Batch{NextOffset: record.Offset(len(l.records))}
	for i := from; i < batch.NextOffset; i++ {
		batch.Records = append(batch.Records, upstream.StoredRecord{Offset: i, Body: l.records[i]})
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return batch, l.changed
}

// target is a test double for the sender, the router, the allocator and the targets. It counts the executions of each
// request body.
type target struct {
	mu             sync.Mutex
	executed       map[string]int
	releaseResults map[slot.Result]int
	// send, if set, replaces the immediate response; it must call execute for each execution.
	send func(ctx context.Context, attempt *request.Attempt) (*request.TargetResponse, error)
	// acquire, if set, runs before a slot is granted.
	acquire func(ctx context.Context) error
}

func (t *target) execute(body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.executed == nil {
		t.executed = map[string]int{}
	}
	t.executed[string(body)]++
}

func (t *target) executions(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executed[body]
}

func (t *target) Send(ctx context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
	if t.send != nil {
		return t.send(ctx, attempt)
	}
	t.execute(attempt.Request.Body)
	return reply("done " + string(attempt.Request.Body)), nil
}

func reply(body string) *request.TargetResponse {
	header := http.Header{"Content-Type": {"text/plain"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}
	return &request.TargetResponse{Status: http.StatusCreated, Header: header, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
}

func (t *target) Route(_ context.Context, grant slot.Grant) (request.Target, error) {
	return request.Target{ID: grant.Target}, nil
}

func (t *target) ReportResult(request.Target, error) {}

func (t *target) Acquire(ctx context.Context, ticket slot.Ticket) (slot.Grant, error) {
	if t.acquire != nil {
		if err := t.acquire(ctx); err != nil {
			return slot.Grant{}, err
		}
	}
	return slot.Grant{Pool: ticket.Pool, Target: instance.ID(fmt.Sprint("target-", len(ticket.AvoidTargets)))}, nil
}

func (t *target) Release(_ slot.Grant, result slot.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.releaseResults == nil {
		t.releaseResults = map[slot.Result]int{}
	}
	t.releaseResults[result]++
}

func (t *target) results() map[slot.Result]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.releaseResults
}

// retryOnce implements request.RetryPolicies and permits a second attempt after a millisecond.
type retryOnce struct{ policy *retry.Policy }

func newRetryOnce(service *timer.Service) retryOnce {
	return retryOnce{&retry.Policy{
		Budget:    &retry.Budget{RetryRatio: 1, MinRetries: 1000, Timer: service},
		BaseDelay: time.Millisecond, MaxDelay: time.Millisecond, MaxAttempts: 2, Timer: service,
	}}
}

func (r retryOnce) Policy(pool.Name) *retry.Policy { return r.policy }

// entry is an entry under test.
type entry struct {
	claimer *claim.Claimer
	handler *request.Handler
	// kill stops the entry without a graceful shutdown.
	kill func()
}

func newEntry(log upstream.Log, t *target, number int, service *timer.Service) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	writer := record.Writer{Entry: instance.ID(fmt.Sprint("entry-", number)), Incarnation: 1}
	state := &claim.State{}
	follower := &stream.Follower{Log: log, Stream: record.StreamClaim, State: state}
	appender := &stream.Appender{Log: log, Stream: record.StreamClaim, Writer: writer}
	claimer := &claim.Claimer{State: state, Appender: appender, Follower: follower, Self: writer}
	var group sync.WaitGroup
	group.Go(func() { _ = follower.Run(ctx) })
	group.Go(func() { _ = appender.Run(ctx) })
	group.Go(func() { _ = claimer.Run(ctx) })
	settings := &config.Settings{
		Pools:  map[pool.Name]pool.Spec{"desk": {DefaultTimeoutMS: 20_000}},
		Teams:  map[team.Name]team.Spec{"red": {}, "slow": {Rate: 1}},
		Routes: []config.Route{{Prefix: "/", Pool: "desk"}, {Prefix: "/a", Pool: "desk", Idempotent: []string{http.MethodPut}}},
	}
	handler := request.New(request.Options{
		Settings: func() *config.Settings { return settings }, Ready: func() bool { return true },
		Claimer: claimer, Allocator: t, Router: t, Sender: t, RetryPolicies: newRetryOnce(service), Timer: service,
	})
	return &entry{claimer: claimer, handler: handler, kill: func() {
		cancel()
		group.Wait()
	}}
}

// outcome is the response as a caller receives it.
type outcome struct {
	status  int
	outcome failure.Outcome
	body    string
}

// post sends a request with the given body and, unless the key is empty, an idempotency key.
func (e *entry) post(ctx context.Context, key, body string, timeout time.Duration) outcome {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/b", strings.NewReader(body))
	r.Header.Set(request.HeaderTeam, "red")
	r.Header.Set(request.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		r.Header.Set(request.HeaderIdempotencyKey, key)
	}
	return e.serve(r)
}

func (e *entry) serve(r *http.Request) outcome {
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return outcome{w.Code, failure.Outcome(w.Header().Get(failure.HeaderOutcome)), w.Body.String()}
}
