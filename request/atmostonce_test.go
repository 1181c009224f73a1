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
	short  = time.Second
	normal = 5 * time.Second
)

// fixture is two entries with one log and one target.
type fixture struct {
	*testing.T
	log    *memoryLog
	target *target
	first  *entry
	second *entry
}

// run calls test with a fixture in a bubble of virtual time.
func run(t *testing.T, test func(f *fixture)) {
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

// breakOff makes the target execute the request and break the connection.
func (f *fixture) breakOff() {
	f.target.send = func(_ context.Context, try *request.Attempt) (*request.TargetResponse, error) {
		f.target.execute(try.Request.Body)
		return nil, &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
	}
}

// background posts k through an entry and returns the channel of its outcome.
func (f *fixture) background(ctx context.Context, e *entry, timeout time.Duration) <-chan outcome {
	done := make(chan outcome, 1)
	go func() { done <- e.post(ctx, "k", "k", timeout) }()
	synctest.Wait()
	return done
}

// TestRepeatAfterBrokenConnection guards against a second execution through another entry when the
// first response was lost.
func TestRepeatAfterBrokenConnection(t *testing.T) {
	run(t, func(f *fixture) {
		f.breakOff()
		assert.Equal(f, failure.OutcomeUnknown, f.first.post(f.Context(), "k", "k", normal).outcome)
		require.NoError(f, f.first.claimer.Drain(f.Context()))
		got := f.second.post(f.Context(), "k", "k", normal)
		assert.Equal(f, failure.OutcomeUnknown, got.outcome)
		assert.Equal(f, http.StatusBadGateway, got.status)
		assert.Equal(f, 1, f.target.executions("k"))
		assert.Equal(f, map[slot.Result]int{slot.ResultUnknown: 1}, f.target.results())
	})
}

// TestReplay guards against executing a repeat of an answered request, also for an answer that is too
// large for the log.
func TestReplay(t *testing.T) {
	run(t, func(f *fixture) {
		large := strings.Repeat("x", 8<<10)
		for key, body := range map[string]string{"a": "small", "b": large} {
			first := f.first.post(f.Context(), key, body, normal)
			require.Equal(f, failure.OutcomeAnswered, first.outcome, first.body)
			require.NoError(f, f.first.claimer.Drain(f.Context()))
			assert.Equal(f, first, f.first.post(f.Context(), key, body, normal))
			f.second.claimer.Fetcher = peer{f.first.claimer}
			assert.Equal(f, first, f.second.post(f.Context(), key, body, normal))
			assert.Equal(f, 1, f.target.executions(body))
		}
		f.second.claimer.Fetcher = nil
		got := f.second.post(f.Context(), "b", large, normal)
		assert.Equal(f, outcome{http.StatusGone, failure.OutcomeUnknown, ""}, outcome{got.status, got.outcome, ""})
		assert.Equal(f, 1, f.target.executions(large))
	})
}

// peer fetches answers from the claimer of another entry.
type peer struct{ holder *claim.Claimer }

func (p peer) FetchAnswer(_ context.Context, _ record.Writer, key claim.Key, id record.ID) (*claim.Answer, error) {
	return p.holder.LocalAnswer(key, id.String()), nil
}

// TestHolderDiesBeforeSend guards against a second claim on a key whose holder is gone.
func TestHolderDiesBeforeSend(t *testing.T) {
	run(t, func(f *fixture) {
		f.target.acquire = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		ctx, cancel := context.WithCancel(f.Context())
		done := f.background(ctx, f.first, normal)
		wait(f, 100*time.Millisecond)
		f.first.kill()
		f.target.acquire = nil
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", short).outcome)
		cancel()
		<-done
		assert.Zero(f, f.target.executions("k"))
	})
}

// TestHolderDiesAfterSend guards against a second execution when the holder died without an outcome.
func TestHolderDiesAfterSend(t *testing.T) {
	run(t, func(f *fixture) {
		f.target.send = func(_ context.Context, try *request.Attempt) (*request.TargetResponse, error) {
			f.target.execute(try.Request.Body)
			f.first.kill()
			return nil, &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
		}
		f.first.post(f.Context(), "k", "k", normal)
		f.target.send = nil
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", short).outcome)
		f.second.claimer.IsHolderGone = func(writer record.Writer) bool { return writer.Entry == "entry-1" }
		start := now()
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, start, now(), "a repeat does not wait for a holder that is gone")
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestFrozenHolder guards against a send after the deadline by an entry that was frozen for a minute.
func TestFrozenHolder(t *testing.T) {
	run(t, func(f *fixture) {
		manual := timer.NewManual(now())
		frozen := newEntry(f.log, f.target, 3, &manual.Service)
		defer frozen.kill()
		thaw := make(chan struct{})
		f.target.acquire = func(context.Context) error {
			<-thaw
			return nil
		}
		done := f.background(f.Context(), frozen, normal)
		wait(f, 100*time.Millisecond)
		f.target.acquire = nil
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", short).outcome)
		manual.Advance(time.Minute)
		close(thaw)
		assert.Equal(f, failure.OutcomeNotRun, (<-done).outcome)
		assert.Zero(f, f.target.executions("k"))
		require.NoError(f, frozen.claimer.Drain(f.Context()))
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestLogDown guards against executing without a claim, and against a key that stays unusable because
// its claim turned up after the caller was refused.
func TestLogDown(t *testing.T) {
	run(t, func(f *fixture) {
		f.log.set(true, 0)
		got := f.first.post(f.Context(), "k", "k", normal)
		assert.Equal(f, outcome{status: http.StatusServiceUnavailable, outcome: failure.OutcomeNotRun}, outcome{got.status, got.outcome, ""})
		assert.Equal(f, failure.OutcomeAnswered, f.first.post(f.Context(), "", "free", normal).outcome, "a request without key needs no log")
		f.log.set(false, 0)
		wait(f, 10*time.Second)
		batch, _ := f.log.batch(0)
		require.Empty(f, batch.Records, "the log refused the claim, so it never appears")
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestAnswersOfLogLost guards against executing with a claim that is not known to have won, and against
// a key that stays unusable because its claim is in the log and its request was refused.
func TestAnswersOfLogLost(t *testing.T) {
	run(t, func(f *fixture) {
		f.log.set(false, 1_000_000)
		got := f.first.post(f.Context(), "k", "k", normal)
		assert.Equal(f, outcome{status: http.StatusServiceUnavailable, outcome: failure.OutcomeNotRun}, outcome{got.status, got.outcome, ""})
		assert.Zero(f, f.target.executions("k"))
		f.log.set(false, 0)
		wait(f, 10*time.Second)
		batch, _ := f.log.batch(0)
		require.NotEmpty(f, batch.Records, "the claim of the refused request is in the log")
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestAppendAnswerLost guards against taking the second copy of a claim for another claim.
func TestAppendAnswerLost(t *testing.T) {
	run(t, func(f *fixture) {
		f.log.set(false, 1)
		assert.Equal(f, failure.OutcomeAnswered, f.first.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, failure.OutcomeAnswered, f.second.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestRace guards against two entries that both execute a request sent to both at once.
func TestRace(t *testing.T) {
	run(t, func(f *fixture) {
		f.log.gate = make(chan struct{})
		one := f.background(f.Context(), f.first, normal)
		two := f.background(f.Context(), f.second, normal)
		close(f.log.gate)
		first, second := <-one, <-two
		assert.Equal(f, failure.OutcomeAnswered, first.outcome)
		assert.Equal(f, first, second)
		assert.Equal(f, 1, f.target.executions("k"))
	})
}

// TestKeyReused guards against returning the answer to another request.
func TestKeyReused(t *testing.T) {
	run(t, func(f *fixture) {
		f.first.post(f.Context(), "k", "one", normal)
		got := f.second.post(f.Context(), "k", "two", normal)
		assert.Equal(f, http.StatusUnprocessableEntity, got.status)
		assert.Equal(f, failure.OutcomeNotRun, got.outcome)
		assert.Zero(f, f.target.executions("two"))
	})
}

// TestCallerGone guards against losing the answer to a claimed request whose caller left while the
// target executed it, and against executing one whose caller left before.
func TestCallerGone(t *testing.T) {
	run(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.Context())
		f.target.send = func(ctx context.Context, try *request.Attempt) (*request.TargetResponse, error) {
			f.target.execute(try.Request.Body)
			cancel()
			synctest.Wait()
			return reply("late"), ctx.Err()
		}
		f.first.post(ctx, "k", "k", normal)
		assert.Equal(f, "late", f.second.post(f.Context(), "k", "k", normal).body)
		assert.Equal(f, 1, f.target.executions("k"))
		assert.Equal(f, failure.OutcomeNotRun, f.first.post(ctx, "gone", "gone", normal).outcome)
		assert.Zero(f, f.target.executions("gone"))
	})
}

// TestRefusedTry guards against keeping a key used after a refusal, and against losing a refused try.
func TestRefusedTry(t *testing.T) {
	run(t, func(f *fixture) {
		refusals := 2
		f.target.send = func(_ context.Context, try *request.Attempt) (*request.TargetResponse, error) {
			if refusals--; refusals >= 0 {
				return nil, &upstream.RefusedError{Call: "send", Refusal: upstream.RefusedFull}
			}
			f.target.execute(try.Request.Body)
			return reply("ok"), nil
		}
		assert.Equal(f, failure.OutcomeNotRun, f.first.post(f.Context(), "k", "k", normal).outcome)
		assert.Equal(f, "ok", f.second.post(f.Context(), "k", "k", normal).body)
		assert.Equal(f, map[slot.Result]int{slot.ResultTargetFull: 2, slot.ResultCompleted: 1}, f.target.results())
	})
}

func now() time.Time { return (&timer.Service{}).Now() }

func wait(f *fixture, d time.Duration) { _ = (&timer.Service{}).Sleep(f.Context(), d) }

// TestFull guards against executing without a claim, or dropping one, when the state is full.
func TestFull(t *testing.T) {
	run(t, func(f *fixture) {
		for _, e := range []*entry{f.first, f.second} {
			e.claimer.State.Limits = claim.Limits{MaxClaims: 1}
		}
		assert.Equal(f, failure.OutcomeAnswered, f.first.post(f.Context(), "k", "k", normal).outcome)
		got := f.second.post(f.Context(), "l", "l", normal)
		assert.Equal(f, http.StatusTooManyRequests, got.status)
		assert.Equal(f, failure.OutcomeNotRun, got.outcome)
		assert.Zero(f, f.target.executions("l"))
	})
}
