package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestLongRunningTaskStranded guards against long-running tasks that do not run although machines are switched off: no
// worker of their pool has the memory, and the pool asks for no machine. Tasks that no machine can take must not keep
// machines switched on.
func TestLongRunningTaskStranded(t *testing.T) {
	d := newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	d.maintenance.machines = map[worker.MachineID]worker.Machine{"m": {ID: "m", Pool: "spare", Capacity: task.Resources{CPU: 16000, Memory: 32768}}}
	accepted := d.clock.Now()
	for _, memory := range []int64{20000, 40000} {
		spec := task.Spec{Steps: []task.Step{{Count: 3, LongRunning: true, Resources: task.Resources{CPU: 100, Memory: memory}}}}
		j := &job{Job: task.New(task.JobID("00000000000000aa"), "queue", "desk", spec, accepted)}
		d.jobs[j.ID], d.openJobs = j, []*job{j}
		stranded := func(waited time.Duration) int {
			pools := map[pool.Name]*balance.Pool{"desk": {}}
			d.addBacklog(pools, accepted.Add(waited))
			return pools["desk"].StrandedMachines
		}
		require.Zero(t, stranded(strandedAfter/2))
		if memory < 32768 {
			require.Equal(t, 2, stranded(2*strandedAfter), "60,000 MB need two machines")
		} else {
			require.Zero(t, stranded(2*strandedAfter))
		}
	}
}
