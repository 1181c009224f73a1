package election_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/timer"
)

// TestWatch guards against a small instance that takes an ownership which a larger one would take a moment
// later, and against a departed owner that is not replaced.
func TestWatch(t *testing.T) {
	const handicap = 400 * time.Millisecond
	begin := time.UnixMilli(0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	type sign struct {
		answer    election.Response
		sent, now int
		step      election.Action
		departure election.Departure
	}
	for name, signs := range map[string][]sign{
		"another life": {
			{election.ResponseOtherIncarnation, 0, 10, election.ActionWait, election.DepartureNone},
			{election.ResponseOtherIncarnation, 100, 110, election.ActionWait, election.DepartureNone},
			{election.ResponseOtherIncarnation, 400, 410, election.ActionReplaceOwner, election.DepartureExited},
		},
		"yielded to a peer that did not hear of it": {
			{election.ResponseOwner, 0, 10, election.ActionWait, election.DepartureNone},
			{election.ResponseResigned, 350, 360, election.ActionWait, election.DepartureNone},
			{election.ResponseResigned, 750, 760, election.ActionReplaceOwner, election.DepartureResigned},
		},
		"no process": {
			{election.ResponseConnectionRefused, 0, 10, election.ActionWait, election.DepartureNone},
			{election.ResponseConnectionRefused, 410, 420, election.ActionReplaceOwner, election.DepartureUnknown},
		},
		"silence counts from the last answer": {
			{election.ResponseOwner, 100, 110, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 500, 1000, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 1100, 1600, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 1610, 1710, election.ActionCollectVotes, election.DepartureUnknown},
		},
		"heard again": {
			{election.ResponseNone, 0, 500, election.ActionWait, election.DepartureNone},
			{election.ResponseOwner, 600, 610, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 1700, 2200, election.ActionWait, election.DepartureNone},
		},
		"not the owner": {
			{election.ResponseNotOwner, 0, 10, election.ActionLookUpOwner, election.DepartureNone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var w election.Detector
			w.SetOwner("a:1/x", begin)
			for i, s := range signs {
				step, departure := w.RecordResponse(s.answer, at(s.sent), at(s.now), handicap)
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
	require.True(t, a.HasResigned())
	begin := clock.Now()
	for clock.Since(begin) < time.Second {
		clock.Advance(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	require.Zero(t, a.epoch())
	b.ReplaceOwner(t.Context(), a.Member, election.DepartureResigned)
	require.NotZero(t, b.epoch())
	await(t, clock, "later owner unknown", func() bool { return a.Owner() == b.Member })
	require.False(t, a.HasResigned())
}

// TestOpinion guards against a member that replaces a living owner because it is slow or cut off itself, so that
// nobody answers it, and against an owner that nobody replaces after all others have gone as well.
func TestOpinion(t *testing.T) {
	require.Equal(t, election.VoteAlive, election.VoteNone.Combine(election.VoteAlive).Combine(election.VoteUnreachable))
	require.Equal(t, election.VoteUnreachable, election.VoteNone.Combine(election.VoteUnreachable).Combine(election.VoteNone))
	require.True(t, election.VoteUnreachable.AllowsReplacement(election.HeartbeatTimeout))
	require.False(t, election.VoteAlive.AllowsReplacement(time.Minute))
	require.False(t, election.VoteNone.AllowsReplacement(2*election.HeartbeatTimeout))
	require.True(t, election.VoteNone.AllowsReplacement(3*election.HeartbeatTimeout))
}

// TestForgotten guards against a departed owner that nobody replaces, because it is forgotten and learned again
// before a handicap has passed.
func TestForgotten(t *testing.T) {
	var w election.Detector
	begin := time.UnixMilli(0)
	step := election.ActionWait
	for at := begin; step == election.ActionWait; at = at.Add(100 * time.Millisecond) {
		require.Less(t, at.Sub(begin), time.Second)
		w.SetOwner("", at)
		w.SetOwner("a:1/x", at)
		step, _ = w.RecordResponse(election.ResponseOtherIncarnation, at, at, 300*time.Millisecond)
	}
	require.Equal(t, election.ActionReplaceOwner, step)
}
