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

// TestUnknownWorker guards against maintenance of a machine that still runs tasks. A new owner must not take
// a machine for idle while it does not know the machine's worker or has no report from it.
func TestUnknownWorker(t *testing.T) {
	config := queue.New(1, nil, []queue.Pool{{Name: "desk"}, {Name: "spare", Spare: true}})
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}, Config: config})
	w := &waveState{}
	machine := worker.Machine{ID: "m", Pool: "desk", State: worker.MachineUp}
	require.False(t, d.waveMachine(w, machine, nil, nil, time.Now()).Up, "the worker is not known yet")
	require.False(t, d.waveMachine(w, machine, &workerState{}, nil, time.Now()).Up, "the worker has not reported yet")
	require.True(t, d.waveMachine(w, machine, &workerState{tokenAcknowledged: true}, nil, time.Now()).Up)
	machine.Pool = "spare"
	require.True(t, d.waveMachine(w, machine, nil, nil, time.Now()).Up, "a machine that is switched off runs nothing")
}
