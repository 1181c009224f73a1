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
	// callersPerEntry are the concurrent callers of a burst at each entry, so that an entry that hangs
	// holds up only its own.
	callersPerEntry = 4
	// callTimeout is when a caller gives up. What became of the request is unknown to it then.
	callTimeout = 12 * time.Second
	// refusedPause keeps a caller whose entry is down from using up the burst.
	refusedPause = 200 * time.Millisecond
	headerKey    = "Idempotency-Key"
)

// httpClient is the client of callers and operators. Nothing is sent twice: a caller decides itself.
var httpClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// reply is what a caller was told about one request.
type reply struct {
	status  int
	outcome failure.Outcome
	body    string
}

func (r reply) String() string { return fmt.Sprintf("%d %s %s", r.status, r.outcome, r.body) }

// ledger keeps what callers were told per key, in the order of the answers.
type ledger struct {
	mu   sync.Mutex
	keys []string
	told map[string][]reply
}

func newLedger() *ledger { return &ledger{told: map[string][]reply{}} }

func (l *ledger) add(key string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told[key] == nil {
		l.keys = append(l.keys, key)
	}
	l.told[key] = append(l.told[key], r)
}

func (l *ledger) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys)
}

// counts returns how many keys have each outcome last.
func (l *ledger) counts() map[failure.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[failure.Outcome]int{}
	for _, replies := range l.told {
		counts[replies[len(replies)-1].outcome]++
	}
	return counts
}

// call sends one request. A refused connection is the outcome notrun, any other failure of the
// connection unknown.
func call(ctx context.Context, method, url string, header http.Header, body string) (reply, error) {
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

// burst is a bounded number of keyed requests.
type burst struct {
	ledger *ledger
	cancel context.CancelFunc
	wait   sync.WaitGroup
	next   atomic.Int64
	count  int64
	// pause is the time between two requests of a caller. It spreads the burst over a fault.
	pause time.Duration
	path  string
}

// startBurst sends count keyed requests through the entries.
func (w *world) startBurst(nodes []*node, count int64, pause time.Duration, path string) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &burst{ledger: w.told, cancel: cancel, count: count, pause: pause, path: path}
	w.burst = b
	for _, n := range nodes {
		for range callersPerEntry {
			b.wait.Go(func() { b.run(ctx, n.callers()) })
		}
	}
}

func (b *burst) run(ctx context.Context, callers string) {
	for ctx.Err() == nil {
		i := b.next.Add(1)
		if i > b.count {
			return
		}
		pause := b.pause
		if r := b.send(ctx, callers, fmt.Sprint("burst-", i)); r.outcome != failure.OutcomeAnswered {
			pause = max(pause, refusedPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (b *burst) send(ctx context.Context, callers, key string) reply {
	r, err := call(ctx, http.MethodPost, callers+b.path, http.Header{headerKey: {key}}, key)
	if err != nil {
		r = reply{outcome: failure.OutcomeUnknown, body: err.Error()}
	}
	b.ledger.add(key, r)
	return r
}

// repeat sends every key of the burst once more through the entries.
func (b *burst) repeat(nodes []*node) {
	b.ledger.mu.Lock()
	keys := append([]string(nil), b.ledger.keys...)
	b.ledger.mu.Unlock()
	var wait sync.WaitGroup
	work := make(chan int)
	for range callersPerEntry * len(nodes) {
		wait.Go(func() {
			for i := range work {
				if strings.HasPrefix(keys[i], "burst-") {
					b.send(context.Background(), nodes[i%len(nodes)].callers(), keys[i])
				}
			}
		})
	}
	for i := range keys {
		work <- i
	}
	close(work)
	wait.Wait()
}
