package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestUnknownWorker guards against maintenance that takes tasks along: a new owner has not yet heard of
// the worker on a machine, or not yet looked at what runs there, and takes the machine for idle.
func TestUnknownWorker(t *testing.T) {
	config := queue.New(1, nil, []queue.Pool{{Name: "desk"}, {Name: "spare", Spare: true}})
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}, Config: config})
	w := &waveState{}
	machine := worker.Machine{ID: "m", Pool: "desk", State: worker.MachineUp}
	require.False(t, d.candidate(w, machine, nil, nil, time.Now()).Up, "the worker is not known yet")
	require.False(t, d.candidate(w, machine, &station{}, nil, time.Now()).Up, "nobody has looked at the worker yet")
	require.True(t, d.candidate(w, machine, &station{fenced: true}, nil, time.Now()).Up)
	machine.Pool = "spare"
	require.True(t, d.candidate(w, machine, nil, nil, time.Now()).Up, "a machine that is switched off runs nothing")
}
