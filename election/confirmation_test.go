package election_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

// slowReadStore reports each read when it arrives, and answers it with the claims at that time once the test releases it.
type slowReadStore struct {
	*store
	arrived, released chan struct{}
}

func (s *slowReadStore) Read(ctx context.Context, topic platform.Topic, partition int, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	batch, err := s.store.Read(ctx, topic, partition, from, wait)
	s.arrived <- struct{}{}
	<-s.released
	return batch, err
}

// TestLaterOwnerUnnoticed guards against an owner that answers a caller from its memory although a later owner has claimed
// before the request came: its term still counts as confirmed, and a read that was sent before shows no claim.
func TestLaterOwnerUnnoticed(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &slowReadStore{store: &store{}, arrived: make(chan struct{}), released: make(chan struct{})}
	e := &election.Elector{Store: s, Member: "a:1/x", Clock: &clock.Service, OnChange: func(election.Change) {}}
	e.ReplaceOwner(t.Context(), "", election.DepartureNone)
	const epoch = 1
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- e.Confirm(t.Context(), epoch) }()
	<-s.arrived
	s.update(func(s *store) {
		s.claims = append(s.claims, platform.Record{Key: "owner", Value: []byte("b:1/x#0"), Offset: platform.Offset(len(s.claims))})
	})
	require.True(t, e.IsConfirmed())
	go func() { second <- e.Confirm(t.Context(), epoch) }()
	time.Sleep(10 * time.Millisecond) // the second call is made meanwhile; a longer pause has the same effect
	s.released <- struct{}{}
	require.NoError(t, <-first)
	<-s.arrived
	s.released <- struct{}{}
	var ended *election.TermEndedError
	require.ErrorAs(t, <-second, &ended)
}
