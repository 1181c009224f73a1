package election_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/timer"
)

// TestDetector guards against a small instance that claims ownership just before a larger one would, because
// the candidacy delay is not applied, and against a failed owner that is never replaced.
func TestDetector(t *testing.T) {
	const candidacyDelay = 400 * time.Millisecond
	begin := time.UnixMilli(0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	type response struct {
		kind      election.Response
		sent, now int
		action    election.Action
		departure election.Departure
	}
	for name, responses := range map[string][]response{
		"another incarnation": {
			{election.ResponseOtherIncarnation, 0, 10, election.ActionWait, election.DepartureNone},
			{election.ResponseOtherIncarnation, 100, 110, election.ActionWait, election.DepartureNone},
			{election.ResponseOtherIncarnation, 400, 410, election.ActionReplaceOwner, election.DepartureExited},
		},
		"resigned in favour of a peer that missed the response": {
			{election.ResponseOwner, 0, 10, election.ActionWait, election.DepartureNone},
			{election.ResponseResigned, 350, 360, election.ActionWait, election.DepartureNone},
			{election.ResponseResigned, 750, 760, election.ActionReplaceOwner, election.DepartureResigned},
		},
		"connection refused": {
			{election.ResponseConnectionRefused, 0, 10, election.ActionWait, election.DepartureNone},
			{election.ResponseConnectionRefused, 410, 420, election.ActionReplaceOwner, election.DepartureUnknown},
		},
		"silence counts from the last response": {
			{election.ResponseOwner, 100, 110, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 500, 1000, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 1100, 1600, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 1610, 1710, election.ActionCollectVotes, election.DepartureUnknown},
		},
		"responds again": {
			{election.ResponseNone, 0, 500, election.ActionWait, election.DepartureNone},
			{election.ResponseOwner, 600, 610, election.ActionWait, election.DepartureNone},
			{election.ResponseNone, 1700, 2200, election.ActionWait, election.DepartureNone},
		},
		"not the owner": {
			{election.ResponseNotOwner, 0, 10, election.ActionLookUpOwner, election.DepartureNone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var d election.Detector
			d.SetOwner("a:1/x", begin)
			for i, r := range responses {
				action, departure := d.RecordResponse(r.kind, at(r.sent), at(r.now), candidacyDelay)
				require.Equal(t, r.action, action, "response %d", i)
				require.Equal(t, r.departure, departure, "response %d", i)
			}
		})
	}
}

// TestResignedOwnerWaits guards against an owner that resigns and claims ownership again before a peer has done so.
// It happened when the response that announced the resignation arrived late, and each round stopped all
// placement for seconds.
func TestResignedOwnerWaits(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a := startElector(t, s, clock, "a:1/x")
	advanceUntil(t, clock, "not owner", func() bool { return a.epoch() != 0 })
	b := startElector(t, s, clock, "b:1/x")
	advanceUntil(t, clock, "owner unknown", func() bool { return b.Owner() == a.Member })
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
	advanceUntil(t, clock, "later owner unknown", func() bool { return a.Owner() == b.Member })
	require.False(t, a.HasResigned())
}

// TestVotes guards against a slow or disconnected member that replaces a working owner because nobody
// answers it, and against an owner that is never replaced because all other members have failed too.
func TestVotes(t *testing.T) {
	require.Equal(t, election.VoteAlive, election.VoteNone.Combine(election.VoteAlive).Combine(election.VoteUnreachable))
	require.Equal(t, election.VoteUnreachable, election.VoteNone.Combine(election.VoteUnreachable).Combine(election.VoteNone))
	require.True(t, election.VoteUnreachable.AllowsReplacement(election.HeartbeatTimeout))
	require.False(t, election.VoteAlive.AllowsReplacement(time.Minute))
	require.False(t, election.VoteNone.AllowsReplacement(2*election.HeartbeatTimeout))
	require.True(t, election.VoteNone.AllowsReplacement(3*election.HeartbeatTimeout))
}

// TestForgottenOwner guards against a failed owner that is never replaced because the process forgets it and
// finds it again before the candidacy delay has passed.
func TestForgottenOwner(t *testing.T) {
	var d election.Detector
	begin := time.UnixMilli(0)
	action := election.ActionWait
	for at := begin; action == election.ActionWait; at = at.Add(100 * time.Millisecond) {
		require.Less(t, at.Sub(begin), time.Second)
		d.SetOwner("", at)
		d.SetOwner("a:1/x", at)
		action, _ = d.RecordResponse(election.ResponseOtherIncarnation, at, at, 300*time.Millisecond)
	}
	require.Equal(t, election.ActionReplaceOwner, action)
}
