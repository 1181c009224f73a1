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
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// interval is a time interval in milliseconds since the start of a history.
type interval struct{ From, To int }

func (i interval) contains(ms int) bool { return ms >= i.From && ms < i.To }

// post is a request of a history. At and Timeout are in milliseconds.
type post struct {
	Entry, Key, At, Timeout int
	// LeaveAfter is the time in milliseconds after which the caller disconnects.
	LeaveAfter int
}

// history is a random sequence of requests and faults. Its times are in milliseconds since the start.
type history struct {
	Posts []post
	// Down is the outage of the log. Disconnected is the interval in which each entry cannot reach the log.
	Down         interval
	Disconnected [3]interval
	// LostResponses is the number of append responses that are lost from the time LoseAt on.
	LostResponses, LoseAt int
	// KillAt is the time at which each entry is killed; 0 means never.
	KillAt [3]int
	// AttemptResults lists the results of the attempts in the order in which they are sent.
	AttemptResults []string
	// SlotWait is the time in milliseconds that it takes to acquire a slot.
	SlotWait int
}

// attemptResults are the possible results of an attempt. After refused and lost, the request has not been executed, but
// only refused tells the sender so. After broken, it has been executed and the response is lost. After slow and frozen,
// the response arrives 200 ms or a minute after the execution.
var attemptResults = []string{"ok", "refused", "broken", "lost", "slow", "frozen"}

func drawInterval(t *rapid.T, name string) interval {
	from := rapid.IntRange(0, 4000).Draw(t, name+" from")
	return interval{from, from + rapid.SampledFrom([]int{0, 0, 50, 1000, 6000}).Draw(t, name+" length")}
}

func drawHistory(t *rapid.T) history {
	h := history{
		Down: drawInterval(t, "down"), LostResponses: rapid.IntRange(0, 2).Draw(t, "lost responses"), LoseAt: rapid.IntRange(0, 3000).Draw(t, "lose at"),
		AttemptResults: rapid.SliceOfN(rapid.SampledFrom(attemptResults), 12, 12).Draw(t, "attempt results"),
		SlotWait:       rapid.SampledFrom([]int{0, 10, 300}).Draw(t, "slot wait"),
	}
	for i := range h.Disconnected {
		h.Disconnected[i] = drawInterval(t, fmt.Sprint("disconnected ", i))
		h.KillAt[i] = rapid.SampledFrom([]int{0, 0, 0, 40, 200, 2000}).Draw(t, fmt.Sprint("kill ", i))
	}
	for range rapid.IntRange(1, 12).Draw(t, "posts") {
		h.Posts = append(h.Posts, post{
			Entry: rapid.IntRange(0, 2).Draw(t, "entry"), Key: rapid.IntRange(0, 2).Draw(t, "key"),
			At: rapid.IntRange(0, 3000).Draw(t, "at"), Timeout: rapid.SampledFrom([]int{20, 500, 4000}).Draw(t, "timeout"),
			LeaveAfter: rapid.SampledFrom([]int{1, 60, 9000, 9000}).Draw(t, "leave after"),
		})
	}
	return h
}

// entryLog is the connection of one entry to the log. It fails while the entry is disconnected.
type entryLog struct {
	*memoryLog
	disconnected interval
	clock        *clock
}

func (l entryLog) Append(ctx context.Context, s record.Stream, records []json.RawMessage) (record.Offset, error) {
	if l.disconnected.contains(l.clock.ms()) {
		return 0, &upstream.CallError{Call: "append", Cause: io.EOF}
	}
	return l.memoryLog.Append(ctx, s, records)
}

func (l entryLog) Read(ctx context.Context, s record.Stream, from record.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	batch, err := l.memoryLog.Read(ctx, s, from, limit, wait)
	if l.disconnected.contains(l.clock.ms()) {
		return upstream.Batch{}, &upstream.CallError{Call: "read", Cause: io.EOF}
	}
	return batch, err
}

// clock returns the time since the start of a history.
type clock struct{ start time.Time }

func (c *clock) ms() int { return int(now().Sub(c.start).Milliseconds()) }

// simulation executes a history.
type simulation struct {
	history
	clock    *clock
	log      *memoryLog
	target   *target
	entries  [3]*entry
	mu       sync.Mutex
	attempts int
	// executions counts the executions of each request.
	executions map[request.ID]int
	// notrun lists the requests whose callers received the outcome notrun.
	notrun []request.ID
}

func (s *simulation) nextResult() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if s.attempts > len(s.AttemptResults) {
		return "ok"
	}
	return s.AttemptResults[s.attempts-1]
}

func (s *simulation) send(ctx context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
	result := s.nextResult()
	if result == "refused" {
		return nil, &upstream.RefusedError{Refusal: upstream.RefusedFull}
	}
	if result != "lost" {
		s.target.execute(attempt.Request.Body)
		s.mu.Lock()
		s.executions[attempt.Request.ID]++
		s.mu.Unlock()
	}
	switch result {
	case "broken", "lost":
		return nil, &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
	case "slow":
		_ = sleepMS(ctx, 200)
	case "frozen":
		_ = sleepMS(context.WithoutCancel(ctx), 60_000)
	}
	return reply("ok"), ctx.Err()
}

func (s *simulation) post(p post) {
	_ = sleepMS(context.Background(), p.At)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.LeaveAfter)*time.Millisecond)
	defer cancel()
	key := fmt.Sprint("key-", p.Key)
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/b", strings.NewReader(key))
	r.Header = http.Header{request.HeaderTeam: {"red"}, request.HeaderIdempotencyKey: {key}, request.HeaderTimeout: {fmt.Sprint(p.Timeout)}}
	rec := httptest.NewRecorder()
	s.entries[p.Entry].handler.ServeHTTP(rec, r)
	if rec.Header().Get(failure.HeaderOutcome) == string(failure.OutcomeNotRun) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notrun = append(s.notrun, request.ID(rec.Header().Get(failure.HeaderRequest)))
	}
}

// sleepMS waits for a number of milliseconds or until ctx ends.
func sleepMS(ctx context.Context, ms int) error {
	return (&timer.Service{}).Sleep(ctx, time.Duration(ms)*time.Millisecond)
}

// injectFaults schedules the faults of the log and the crashes of entries.
func (s *simulation) injectFaults(ctx context.Context, group *sync.WaitGroup) {
	at := func(ms int, action func()) {
		group.Go(func() {
			if sleepMS(ctx, ms) == nil {
				action()
			}
		})
	}
	at(s.Down.From, func() { s.log.setFault(s.Down.To > s.Down.From, 0) })
	at(s.Down.To, func() { s.log.setFault(false, 0) })
	at(s.LoseAt, func() { s.log.setFault(s.Down.contains(s.clock.ms()), s.LostResponses) })
	for i, ms := range s.KillAt {
		if ms > 0 {
			at(ms, s.entries[i].kill)
		}
	}
}

func (s *simulation) run() {
	ctx, cancel := context.WithCancel(context.Background())
	s.clock = &clock{start: now()}
	s.log, s.executions, s.target = &memoryLog{}, map[request.ID]int{}, &target{}
	s.target.send = s.send
	s.target.acquire = func(ctx context.Context) error { return sleepMS(ctx, s.SlotWait) }
	for i := range s.entries {
		s.entries[i] = newEntry(entryLog{s.log, s.Disconnected[i], s.clock}, s.target, i, nil)
	}
	var group sync.WaitGroup
	s.injectFaults(ctx, &group)
	for _, p := range s.Posts {
		group.Go(func() { s.post(p) })
	}
	group.Wait()
	// All outages end within this time, so all pending records are stored.
	_ = sleepMS(ctx, 120_000)
	synctest.Wait()
	cancel()
}

func (s *simulation) stop() {
	for _, e := range s.entries {
		e.kill()
	}
}

// unusableKeys sends a request for each key that was never executed and has no recorded outcome. It returns the keys
// that are still not executed.
func (s *simulation) unusableKeys() []int {
	var unusable []int
	for key := range 3 {
		body := fmt.Sprint("key-", key)
		if s.target.executions(body) > 0 || s.hasOutcome(key) {
			continue
		}
		s.post(post{Entry: 0, Key: key, Timeout: 4000, LeaveAfter: 9000})
		if s.target.executions(body) != 1 {
			unusable = append(unusable, key)
		}
	}
	return unusable
}

// hasOutcome reports whether an outcome is recorded for the claim of the key, such as that of a lost attempt.
func (s *simulation) hasOutcome(key int) bool {
	c, ok := s.entries[0].claimer.State.Lookup(claim.Key{Team: "red", Value: fmt.Sprint("key-", key)})
	return ok && c.Result != ""
}

// TestHistories guards against four failures in random histories: a second execution for a key, an executed request
// that is reported as notrun, an unusable key for which nothing was executed, and replicas with different states.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{history: drawHistory(rt)}
		digests := map[uint64]bool{}
		var unusable []int
		synctest.Test(t, func(*testing.T) {
			s.run()
			defer s.stop()
			if s.KillAt == [3]int{} {
				s.AttemptResults = nil
				unusable = s.unusableKeys()
				_ = sleepMS(context.Background(), 10_000)
				for _, e := range s.entries {
					digests[e.claimer.State.Digest()] = true
				}
			}
		})
		for key := range 3 {
			require.LessOrEqual(rt, s.target.executions(fmt.Sprint("key-", key)), 1, "executions of key %d", key)
		}
		for _, id := range s.notrun {
			require.Zero(rt, s.executions[id], "a request reported as notrun was executed")
		}
		require.Empty(rt, unusable, "unusable keys")
		require.LessOrEqual(rt, len(digests), 1, "the replicas have different states")
	})
}
