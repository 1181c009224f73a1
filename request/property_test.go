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

// span is a time span from the start of a history, in milliseconds.
type span struct{ From, To int }

func (s span) contains(ms int) bool { return ms >= s.From && ms < s.To }

// post is a request of a history.
type post struct {
	Entry, Key, At, Timeout int
	// Leave is the time in milliseconds after which the caller leaves.
	Leave int
}

// history is a random course of requests and faults.
type history struct {
	Posts []post
	// Down is the outage of the log, Cut the time in which each entry does not reach it.
	Down span
	Cut  [3]span
	// Lose is the number of append answers lost at a time.
	Lose, LoseAt int
	// Kill is the time at which each entry dies; 0 for never.
	Kill [3]int
	// Tries are the fates of the tries in their order.
	Tries []string
	// Wait is the time in milliseconds for a slot.
	Wait int
}

var fates = []string{"ok", "refused", "broken", "lost", "slow", "frozen"}

func drawSpan(t *rapid.T, name string) span {
	from := rapid.IntRange(0, 4000).Draw(t, name+" from")
	return span{from, from + rapid.SampledFrom([]int{0, 0, 50, 1000, 6000}).Draw(t, name+" length")}
}

func drawHistory(t *rapid.T) history {
	h := history{
		Down: drawSpan(t, "down"), Lose: rapid.IntRange(0, 2).Draw(t, "lose"), LoseAt: rapid.IntRange(0, 3000).Draw(t, "lose at"),
		Tries: rapid.SliceOfN(rapid.SampledFrom(fates), 12, 12).Draw(t, "tries"),
		Wait:  rapid.SampledFrom([]int{0, 10, 300}).Draw(t, "wait"),
	}
	for i := range h.Cut {
		h.Cut[i] = drawSpan(t, fmt.Sprint("cut ", i))
		h.Kill[i] = rapid.SampledFrom([]int{0, 0, 0, 40, 200, 2000}).Draw(t, fmt.Sprint("kill ", i))
	}
	for range rapid.IntRange(1, 12).Draw(t, "posts") {
		h.Posts = append(h.Posts, post{
			Entry: rapid.IntRange(0, 2).Draw(t, "entry"), Key: rapid.IntRange(0, 2).Draw(t, "key"),
			At: rapid.IntRange(0, 3000).Draw(t, "at"), Timeout: rapid.SampledFrom([]int{20, 500, 4000}).Draw(t, "timeout"),
			Leave: rapid.SampledFrom([]int{1, 60, 9000, 9000}).Draw(t, "leave"),
		})
	}
	return h
}

// view is the log as one entry reaches it.
type view struct {
	*memoryLog
	cut   span
	clock *clock
}

func (v view) Append(ctx context.Context, s record.Stream, records []json.RawMessage) (record.Offset, error) {
	if v.cut.contains(v.clock.ms()) {
		return 0, &upstream.CallError{Call: "append", Cause: io.EOF}
	}
	return v.memoryLog.Append(ctx, s, records)
}

func (v view) Read(ctx context.Context, s record.Stream, from record.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	batch, err := v.memoryLog.Read(ctx, s, from, limit, wait)
	if v.cut.contains(v.clock.ms()) {
		return upstream.Batch{}, &upstream.CallError{Call: "read", Cause: io.EOF}
	}
	return batch, err
}

// clock counts from the start of a history.
type clock struct{ start time.Time }

func (c *clock) ms() int { return int(now().Sub(c.start).Milliseconds()) }

// world runs a history.
type world struct {
	history
	clock   *clock
	log     *memoryLog
	target  *target
	entries [3]*entry
	mu      sync.Mutex
	tries   int
	// runs counts the executions of each request.
	runs map[request.ID]int
	// notrun lists the requests reported as notrun.
	notrun []request.ID
}

func (w *world) fate() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries++
	if w.tries > len(w.Tries) {
		return "ok"
	}
	return w.Tries[w.tries-1]
}

func (w *world) send(ctx context.Context, try *request.Attempt) (*request.TargetResponse, error) {
	fate := w.fate()
	if fate == "refused" {
		return nil, &upstream.RefusedError{Refusal: upstream.RefusedFull}
	}
	if fate != "lost" {
		w.target.execute(try.Request.Body)
		w.mu.Lock()
		w.runs[try.Request.ID]++
		w.mu.Unlock()
	}
	switch fate {
	case "broken", "lost":
		return nil, &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
	case "slow":
		_ = pause(ctx, 200)
	case "frozen":
		_ = pause(context.WithoutCancel(ctx), 60_000)
	}
	return reply("ok"), ctx.Err()
}

func (w *world) post(p post) {
	_ = pause(context.Background(), p.At)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.Leave)*time.Millisecond)
	defer cancel()
	key := fmt.Sprint("key-", p.Key)
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/b", strings.NewReader(key))
	r.Header = http.Header{request.HeaderTeam: {"red"}, request.HeaderIdempotencyKey: {key}, request.HeaderTimeout: {fmt.Sprint(p.Timeout)}}
	rec := httptest.NewRecorder()
	w.entries[p.Entry].handler.ServeHTTP(rec, r)
	if rec.Header().Get(failure.HeaderOutcome) == string(failure.OutcomeNotRun) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.notrun = append(w.notrun, request.ID(rec.Header().Get(failure.HeaderRequest)))
	}
}

// pause waits for a number of milliseconds or until ctx ends.
func pause(ctx context.Context, ms int) error {
	return (&timer.Service{}).Sleep(ctx, time.Duration(ms)*time.Millisecond)
}

// faults drives the log and the deaths of entries.
func (w *world) faults(ctx context.Context, group *sync.WaitGroup) {
	at := func(ms int, action func()) {
		group.Go(func() {
			if pause(ctx, ms) == nil {
				action()
			}
		})
	}
	at(w.Down.From, func() { w.log.set(w.Down.To > w.Down.From, 0) })
	at(w.Down.To, func() { w.log.set(false, 0) })
	at(w.LoseAt, func() { w.log.set(w.Down.contains(w.clock.ms()), w.Lose) })
	for i, ms := range w.Kill {
		if ms > 0 {
			at(ms, w.entries[i].kill)
		}
	}
}

func (w *world) run() {
	ctx, cancel := context.WithCancel(context.Background())
	w.clock = &clock{start: now()}
	w.log, w.runs, w.target = &memoryLog{}, map[request.ID]int{}, &target{}
	w.target.send = w.send
	w.target.acquire = func(ctx context.Context) error { return pause(ctx, w.Wait) }
	for i := range w.entries {
		w.entries[i] = newEntry(view{w.log, w.Cut[i], w.clock}, w.target, i, nil)
	}
	var group sync.WaitGroup
	w.faults(ctx, &group)
	for _, p := range w.Posts {
		group.Go(func() { w.post(p) })
	}
	group.Wait()
	// The longest outage is over by now, so the log takes what is pending.
	_ = pause(ctx, 120_000)
	synctest.Wait()
	cancel()
}

func (w *world) stop() {
	for _, e := range w.entries {
		e.kill()
	}
}

// usable posts every key once more and returns those that never ran and still do not.
func (w *world) usable() []int {
	var stuck []int
	for key := range 3 {
		body := fmt.Sprint("key-", key)
		if w.target.executions(body) > 0 || w.settledUnknown(key) {
			continue
		}
		w.post(post{Entry: 0, Key: key, Timeout: 4000, Leave: 9000})
		if w.target.executions(body) != 1 {
			stuck = append(stuck, key)
		}
	}
	return stuck
}

// settledUnknown reports whether a lost try used the key.
func (w *world) settledUnknown(key int) bool {
	c, ok := w.entries[0].claimer.State.Lookup(claim.Key{Team: "red", Value: fmt.Sprint("key-", key)})
	return ok && c.Result != ""
}

// TestHistories guards against a second execution of a key, a request reported as notrun that ran, a
// key that stays unusable though nothing ran, and replicas that differ, in random histories.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{history: drawHistory(rt)}
		digests := map[uint64]bool{}
		var stuck []int
		synctest.Test(t, func(*testing.T) {
			w.run()
			defer w.stop()
			if w.Kill == [3]int{} {
				w.Tries = nil
				stuck = w.usable()
				_ = pause(context.Background(), 10_000)
				for _, e := range w.entries {
					digests[e.claimer.State.Digest()] = true
				}
			}
		})
		for key := range 3 {
			require.LessOrEqual(rt, w.target.executions(fmt.Sprint("key-", key)), 1, "executions of key %d", key)
		}
		for _, id := range w.notrun {
			require.Zero(rt, w.runs[id], "a request reported as notrun ran")
		}
		require.Empty(rt, stuck, "unusable keys")
		require.LessOrEqual(rt, len(digests), 1, "replicas differ")
	})
}
