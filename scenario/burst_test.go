package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
)

const (
	// callersPerEntry is the number of concurrent callers of a burst per entry. Each caller uses one entry
	// only, so that an entry that hangs delays no callers of other entries.
	callersPerEntry = 4
	// callTimeout is the request timeout of a caller. The outcome of a request that timed out is unknown.
	callTimeout = 12 * time.Second
	// failurePause is the shortest pause after a request that was not answered. It keeps the callers of an
	// entry that is down from using up the keys of the burst.
	failurePause = 200 * time.Millisecond
	headerKey    = "Idempotency-Key"
)

// httpClient is the client of callers and operators. Without keep-alive connections it never retries a request
// by itself; callers decide about retries.
var httpClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// reply is the response to one request as the caller received it.
type reply struct {
	status  int
	outcome failure.Outcome
	body    string
}

func (r reply) String() string { return fmt.Sprintf("%d %s %s", r.status, r.outcome, r.body) }

// replyLog records the replies that callers received for each key, in the order in which they arrived.
type replyLog struct {
	mu    sync.Mutex
	keys  []string
	byKey map[string][]reply
}

func newReplyLog() *replyLog { return &replyLog{byKey: map[string][]reply{}} }

func (l *replyLog) add(key string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey[key] == nil {
		l.keys = append(l.keys, key)
	}
	l.byKey[key] = append(l.byKey[key], r)
}

func (l *replyLog) keyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys)
}

// countLastOutcomes returns the number of keys for each outcome of the last reply.
func (l *replyLog) countLastOutcomes() map[failure.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[failure.Outcome]int{}
	for _, replies := range l.byKey {
		counts[replies[len(replies)-1].outcome]++
	}
	return counts
}

// sendRequest sends one request, for the team default unless the header names one. A refused connection has the
// outcome notrun, any other failure of the call the outcome unknown.
func sendRequest(ctx context.Context, method, url string, header http.Header, body string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header = header
	if header.Get("Hibiscuslane-Team") == "" {
		header.Set("Hibiscuslane-Team", "default")
	}
	response, err := httpClient.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return reply{outcome: failure.OutcomeNotRun, body: err.Error()}, nil
	}
	if err != nil {
		return reply{outcome: failure.OutcomeUnknown, body: err.Error()}, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{outcome: failure.OutcomeUnknown, body: err.Error()}, nil
	}
	return reply{response.StatusCode, failure.Outcome(response.Header.Get(failure.HeaderOutcome)), string(data)}, nil
}

// burst sends total requests with idempotency keys through several entries and records the replies.
type burst struct {
	replies *replyLog
	cancel  context.CancelFunc
	callers sync.WaitGroup
	lastKey atomic.Int64
	total   int64
	// pause is the time between two requests of a caller. It spreads the burst over the time of a fault.
	pause time.Duration
	path  string
}

// startBurst starts callers that send count requests with idempotency keys through the entries.
func (env *testEnv) startBurst(entries []*entry, count int64, pause time.Duration, path string) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &burst{replies: env.replies, cancel: cancel, total: count, pause: pause, path: path}
	env.burst = b
	for _, e := range entries {
		for range callersPerEntry {
			b.callers.Go(func() { b.sendUntilDone(ctx, e.callerURL()) })
		}
	}
}

func (b *burst) sendUntilDone(ctx context.Context, baseURL string) {
	for ctx.Err() == nil {
		i := b.lastKey.Add(1)
		if i > b.total {
			return
		}
		pause := b.pause
		if r := b.sendKeyed(ctx, baseURL, fmt.Sprint("burst-", i)); r.outcome != failure.OutcomeAnswered {
			pause = max(pause, failurePause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (b *burst) sendKeyed(ctx context.Context, baseURL, key string) reply {
	r, err := sendRequest(ctx, http.MethodPost, baseURL+b.path, http.Header{headerKey: {key}}, key)
	if err != nil {
		r = reply{outcome: failure.OutcomeUnknown, body: err.Error()}
	}
	b.replies.add(key, r)
	return r
}

// resendAll sends the request of every key of the burst once more through the entries.
func (b *burst) resendAll(entries []*entry) {
	b.replies.mu.Lock()
	keys := append([]string(nil), b.replies.keys...)
	b.replies.mu.Unlock()
	var wait sync.WaitGroup
	indexes := make(chan int)
	for range callersPerEntry * len(entries) {
		wait.Go(func() {
			for i := range indexes {
				if strings.HasPrefix(keys[i], "burst-") {
					b.sendKeyed(context.Background(), entries[i%len(entries)].callerURL(), keys[i])
				}
			}
		})
	}
	for i := range keys {
		indexes <- i
	}
	close(indexes)
	wait.Wait()
}
