package request_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	shortTimeout  = time.Second
	normalTimeout = 5 * time.Second
)

// fixture consists of two entries that share a log and a target.
type fixture struct {
	*testing.T
	log    *memoryLog
	target *target
	first  *entry
	second *entry
}

// runFixture calls test with a new fixture in a synctest bubble.
func runFixture(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{T: t, log: &memoryLog{}, target: &target{}}
		f.first = newEntry(f.log, f.target, 1, nil)
		f.second = newEntry(f.log, f.target, 2, nil)
		defer func() {
			f.first.kill()
			f.second.kill()
		}()
		test(f)
	})
}

// breakConnections makes the target execute each request and close the connection without a response.
func (f *fixture) breakConnections() {
	f.target.send = func(_ context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
		f.target.execute(attempt.Request.Body)
		return nil, &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
	}
}

// postAsync posts a request with the key k through an entry and returns a channel that receives its outcome.
func (f *fixture) postAsync(ctx context.Context, e *entry, timeout time.Duration) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- e.post(ctx, "k", "k", timeout) }()
	synctest.Wait()
	return done
}

// TestRepeatAfterBrokenConnection guards against a second execution when the response is lost and the caller repeats
// the request through another entry.
func TestRepeatAfterBrokenConnection(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.breakConnections()
		assert.Equal(f, failure.OutcomeUnknown, f.first.post(f.Context(), "k", "k", normalTimeout).outcome)
		require.NoError(f, f.first.claimer.Drain(f.Context()))
		got := f.second.post(f.Context(), "k", "k", normalTimeout)
		assert.Equal(f, failure.OutcomeUnknown, got.outcome)
		assert.Equal(f, http.StatusBadGateway, got.status)
		assert.Equal(f, 1, f.target.executions("k"))
		assert.Equal(f, map[slot.Result]int{slot.ResultUnknown: 1}, f.target.results())
	})
}

// TestReplay guards against executing a repeated request that was already answered, also if the response is too
// large for the log and only the first entry keeps it.
func TestReplay(t *testing.T) {
	runFixture(t, func(f *fixture) {
		large := strings.Repeat("x", 8<<10)
		for key, body := range map[string]string{"a": "small", "b": large} {
			first := f.first.post(f.Context(), key, body, normalTimeout)
			require.Equal(f, failure.OutcomeAnswered, first.outcome, first.body)
			require.NoError(f, f.first.claimer.Drain(f.Context()))
			assert.Equal(f, first, f.first.post(f.Context(), key, body, normalTimeout))
			f.second.claimer.Fetcher = peer{f.first.claimer}
			assert.Equal(f, first, f.second.post(f.Context(), key, body, normalTimeout))
			assert.Equal(f, 1, f.target.executions(body))
		}
		f.second.claimer.Fetcher = nil
		got := f.second.post(f.Context(), "b", large, normalTimeout)
		assert.Equal(f, outcome{http.StatusGone, failure.OutcomeUnknown, ""}, outcome{got.status, got.outcome, ""})
		assert.Equal(f, 1, f.target.executions(large))
	})
}

// peer returns answers from the claimer of another entry.
type peer struct{ holder *claim.Claimer }

func (p peer) FetchAnswer(_ context.Context, _ record.Writer, key claim.Key, id record.ID) (*claim.Answer, error) {
	return p.holder.LocalAnswer(key, id.String()), nil
}

// TestHolderDiesBeforeSend guards against a second claim for a key whose holder has crashed before sending.
func TestHolderDiesBeforeSend(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.target.acquire = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		ctx, cancel := context.WithCancel(f.Context())
		done := f.postAsync(ctx, f.first, normalTimeout)
		sleep(f, 100*time.Millisecond)
		f.first.kill()
		f.target.acquire = nil
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", shortTimeout).outcome)
		cancel()
		<-done
		assert.Zero(f, f.target.executions("k"))
	})
}

// TestHolderDiesAfterSend guards against a second execution when the holder of the claim crashed after sending and
// recorded no outcome.
func TestHolderDiesAfterSend(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.target.send = func(_ context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
			f.target.execute(attempt.Request.Body)
			f.first.kill()
			return nil, &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
		}
		f.first.post(f.Context(), "k", "k", normalTimeout)
		f.target.send = nil
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", shortTimeout).outcome)
		f.second.claimer.IsHolderGone = func(writer record.Writer) bool { return writer.Entry == "entry-1" }
		start := now()
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, start, now(), "a repeated request does not wait for a crashed holder")
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestFrozenHolder guards against an entry that sends a request after its deadline because its process was paused
// for a minute.
func TestFrozenHolder(t *testing.T) {
	runFixture(t, func(f *fixture) {
		manual := timer.NewManual(now())
		pausedEntry := newEntry(f.log, f.target, 3, &manual.Service)
		defer pausedEntry.kill()
		resume := make(chan struct{})
		f.target.acquire = func(context.Context) error {
			<-resume
			return nil
		}
		done := f.postAsync(f.Context(), pausedEntry, normalTimeout)
		sleep(f, 100*time.Millisecond)
		f.target.acquire = nil
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", shortTimeout).outcome)
		manual.Advance(time.Minute)
		close(resume)
		assert.Equal(f, failure.OutcomeNotRun, (<-done).outcome)
		assert.Zero(f, f.target.executions("k"))
		require.NoError(f, pausedEntry.claimer.Drain(f.Context()))
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestLogDown guards against executing a request without a claim while the log is unavailable. It also guards against
// a key that stays unusable because its claim is stored after the request was rejected.
func TestLogDown(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.log.setFault(true, 0)
		got := f.first.post(f.Context(), "k", "k", normalTimeout)
		assert.Equal(f, outcome{status: http.StatusServiceUnavailable, outcome: failure.OutcomeNotRun}, outcome{got.status, got.outcome, ""})
		assert.Equal(f, failure.OutcomeAnswered, f.first.post(f.Context(), "", "free", normalTimeout).outcome, "a request without a key does not need the log")
		f.log.setFault(false, 0)
		sleep(f, 10*time.Second)
		batch, _ := f.log.batch(0)
		require.Empty(f, batch.Records, "the log refused the claim, so it must never contain it")
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestAppendResponsesLost guards against executing a request although the responses of the log are lost and its claim
// is not confirmed. It also guards against a key that stays unusable because the claim of the rejected request is
// stored.
func TestAppendResponsesLost(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.log.setFault(false, 1_000_000)
		got := f.first.post(f.Context(), "k", "k", normalTimeout)
		assert.Equal(f, outcome{status: http.StatusServiceUnavailable, outcome: failure.OutcomeNotRun}, outcome{got.status, got.outcome, ""})
		assert.Zero(f, f.target.executions("k"))
		f.log.setFault(false, 0)
		sleep(f, 10*time.Second)
		batch, _ := f.log.batch(0)
		require.NotEmpty(f, batch.Records, "the claim of the rejected request is in the log")
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestAppendRepeated guards against treating a duplicate as another claim: if the response to an append is lost, the
// claim is appended a second time.
func TestAppendRepeated(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.log.setFault(false, 1)
		assert.Equal(f, failure.OutcomeAnswered, f.first.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestRace guards against a second execution when the same request arrives at two entries at the same time.
func TestRace(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.log.gate = make(chan struct{})
		one := f.postAsync(f.Context(), f.first, normalTimeout)
		two := f.postAsync(f.Context(), f.second, normalTimeout)
		close(f.log.gate)
		first, second := <-one, <-two
		assert.Equal(f, failure.OutcomeAnswered, first.outcome)
		assert.Equal(f, first, second)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestKeyReused guards against returning the response to another request when a key is reused with another body.
func TestKeyReused(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.first.post(f.Context(), "k", "one", normalTimeout)
		got := f.second.post(f.Context(), "k", "two", normalTimeout)
		assert.Equal(f, http.StatusUnprocessableEntity, got.status)
		assert.Equal(f, failure.OutcomeNotRun, got.outcome)
		assert.Zero(f, f.target.executions("two"))
	})
}

// TestCallerGone guards against losing the response to a claimed request whose caller disconnects while the target
// executes it, and against executing a request whose caller disconnected before it was sent.
func TestCallerGone(t *testing.T) {
	runFixture(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.Context())
		f.target.send = func(ctx context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
			f.target.execute(attempt.Request.Body)
			cancel()
			synctest.Wait()
			return reply("late"), ctx.Err()
		}
		f.first.post(ctx, "k", "k", normalTimeout)
		assert.Equal(f, "late", f.second.post(f.Context(), "k", "k", normalTimeout).body)
		assert.Equal(f, 1, f.target.executions("k"))
		assert.Equal(f, failure.OutcomeNotRun, f.first.post(ctx, "gone", "gone", normalTimeout).outcome)
		assert.Zero(f, f.target.executions("gone"))
	})
}

// TestRefusedAttempt guards against a key that stays unusable after the target refused the request, and against not
// retrying a refused attempt.
func TestRefusedAttempt(t *testing.T) {
	runFixture(t, func(f *fixture) {
		refusals := 2
		f.target.send = func(_ context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
			if refusals--; refusals >= 0 {
				return nil, &upstream.RefusedError{Call: "send", Refusal: upstream.RefusedFull}
			}
			f.target.execute(attempt.Request.Body)
			return reply("ok"), nil
		}
		assert.Equal(f, failure.OutcomeNotRun, f.first.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Equal(f, "ok", f.second.post(f.Context(), "k", "k", normalTimeout).body)
		assert.Equal(f, map[slot.Result]int{slot.ResultTargetFull: 2, slot.ResultCompleted: 1}, f.target.results())
	})
}

func now() time.Time { return (&timer.Service{}).Now() }

func sleep(f *fixture, d time.Duration) { _ = (&timer.Service{}).Sleep(f.Context(), d) }

// TestClaimLimit guards against executing a request without a claim, or discarding a stored claim, when the number of
// claims has reached its limit.
func TestClaimLimit(t *testing.T) {
	runFixture(t, func(f *fixture) {
		for _, e := range []*entry{f.first, f.second} {
			e.claimer.State.Limits = claim.Limits{MaxClaims: 1}
		}
		assert.Equal(f, failure.OutcomeAnswered, f.first.post(f.Context(), "k", "k", normalTimeout).outcome)
		got := f.second.post(f.Context(), "l", "l", normalTimeout)
		assert.Equal(f, http.StatusTooManyRequests, got.status)
		assert.Equal(f, failure.OutcomeNotRun, got.outcome)
		assert.Zero(f, f.target.executions("l"))
	})
}
