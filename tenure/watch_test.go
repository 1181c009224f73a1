package tenure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/tenure"
	"hibiscuslane.example/hibiscuslane/timer"
)

// TestWatch guards against a small instance that takes an ownership which a larger one would take a moment
// later, and against a departed owner that is not replaced.
func TestWatch(t *testing.T) {
	const handicap = 400 * time.Millisecond
	begin := time.UnixMilli(0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	type sign struct {
		answer    tenure.Answer
		sent, now int
		step      tenure.Step
		departure tenure.Departure
	}
	for name, signs := range map[string][]sign{
		"another life": {
			{tenure.AnswerOther, 0, 10, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerOther, 100, 110, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerOther, 400, 410, tenure.StepReplace, tenure.DepartureEnded},
		},
		"yielded to a peer that did not hear of it": {
			{tenure.AnswerOwner, 0, 10, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerYielded, 350, 360, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerYielded, 750, 760, tenure.StepReplace, tenure.DepartureYielded},
		},
		"no process": {
			{tenure.AnswerRefused, 0, 10, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerRefused, 410, 420, tenure.StepReplace, tenure.DepartureSilent},
		},
		"silence counts from the last answer": {
			{tenure.AnswerOwner, 100, 110, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerNone, 500, 1000, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerNone, 1100, 1600, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerNone, 1610, 1710, tenure.StepAsk, tenure.DepartureSilent},
		},
		"heard again": {
			{tenure.AnswerNone, 0, 500, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerOwner, 600, 610, tenure.StepWait, tenure.DepartureNone},
			{tenure.AnswerNone, 1700, 2200, tenure.StepWait, tenure.DepartureNone},
		},
		"not the owner": {
			{tenure.AnswerMember, 0, 10, tenure.StepForget, tenure.DepartureNone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var w tenure.Watch
			w.Follow("a:1/x", begin)
			for i, s := range signs {
				step, departure := w.Judge(s.answer, at(s.sent), at(s.now), handicap)
				require.Equal(t, s.step, step, "sign %d", i)
				require.Equal(t, s.departure, departure, "sign %d", i)
			}
		})
	}
}

// TestYieldedStays guards against an owner that gave way and takes the ownership back before the peer has
// it: the answer that told the peer was late, and each such round stopped all placing for seconds.
func TestYieldedStays(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a := start(t, s, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return a.epoch() != 0 })
	b := start(t, s, clock, "b:1/x")
	await(t, clock, "owner unknown", func() bool { return b.Owner() == a.Member })
	a.Resign("test")
	require.True(t, a.Yielded())
	begin := clock.Now()
	for clock.Since(begin) < time.Second {
		clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	require.Zero(t, a.epoch())
	b.Replace(t.Context(), a.Member, tenure.DepartureYielded)
	require.NotZero(t, b.epoch())
	await(t, clock, "later owner unknown", func() bool { return a.Owner() == b.Member })
	require.False(t, a.Yielded())
}

// TestOpinion guards against a member that replaces a living owner because it is slow or cut off itself, so that
// nobody answers it, and against an owner that nobody replaces after all others have gone as well.
func TestOpinion(t *testing.T) {
	require.Equal(t, tenure.OpinionHeard, tenure.OpinionNone.With(tenure.OpinionHeard).With(tenure.OpinionSilent))
	require.Equal(t, tenure.OpinionSilent, tenure.OpinionNone.With(tenure.OpinionSilent).With(tenure.OpinionNone))
	require.True(t, tenure.OpinionSilent.Confirms(tenure.Silence))
	require.False(t, tenure.OpinionHeard.Confirms(time.Minute))
	require.False(t, tenure.OpinionNone.Confirms(2*tenure.Silence))
	require.True(t, tenure.OpinionNone.Confirms(3*tenure.Silence))
}

// TestForgotten guards against a departed owner that nobody replaces, because it is forgotten and learned again
// before a handicap has passed.
func TestForgotten(t *testing.T) {
	var w tenure.Watch
	begin := time.UnixMilli(0)
	step := tenure.StepWait
	for at := begin; step == tenure.StepWait; at = at.Add(100 * time.Millisecond) {
		require.Less(t, at.Sub(begin), time.Second)
		w.Follow("", at)
		w.Follow("a:1/x", at)
		step, _ = w.Judge(tenure.AnswerOther, at, at, 300*time.Millisecond)
	}
	require.Equal(t, tenure.StepReplace, step)
}
