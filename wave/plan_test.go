package wave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/wave"
	"hibiscuslane.example/hibiscuslane/worker"
)

const each = 2 * time.Second

func request(n, most int, within time.Duration) wave.Request {
	r := wave.Request{Number: 1, MaxUnavailable: most, TimeLimit: within}
	for i := range n {
		r.Machines = append(r.Machines, worker.MachineID(fmt.Sprintf("m-%d", i)))
	}
	return r
}

// TestWholeWave plays a wave over machines that become empty some time after they were chosen. It guards
// against waves that are late, that take more machines than may be away, and that take half of the fleet
// although there is time.
func TestWholeWave(t *testing.T) {
	for _, test := range []struct {
		machines, most int
		within         time.Duration
		drain          time.Duration
	}{{24, 9, 27 * time.Second, time.Second}, {25, 10, 25 * time.Second, 2 * time.Second}, {6, 1, 40 * time.Second, time.Second}} {
		r := request(test.machines, test.most, test.within)
		now := time.UnixMilli(0)
		chosen, away, done := map[worker.MachineID]time.Time{}, map[worker.MachineID]time.Time{}, map[worker.MachineID]bool{}
		peak := 0
		for ; len(done) < test.machines; now = now.Add(200 * time.Millisecond) {
			require.LessOrEqual(t, now.Sub(time.UnixMilli(0)), test.within, "the wave is late")
			var machines []wave.Machine
			for _, id := range r.Machines {
				if back, ok := away[id]; ok && !now.Before(back) {
					delete(away, id)
				}
				if done[id] {
					continue
				}
				since, ok := chosen[id]
				m := wave.Machine{ID: id, Up: true, Draining: ok, DrainingSince: since, BatchTasks: 3}
				if ok && now.Sub(since) > test.drain {
					m.BatchTasks = 0
				}
				machines = append(machines, m)
			}
			plan := wave.PlanNext(r, machines, wave.Timing{TimeLeft: test.within - now.Sub(time.UnixMilli(0)), UnavailableMachines: len(away), MaintenanceTime: each}, now)
			for _, id := range plan.Drain {
				if _, ok := chosen[id]; !ok {
					chosen[id] = now
				}
			}
			for _, id := range plan.Maintain {
				done[id] = true
				away[id] = now.Add(each)
			}
			require.LessOrEqual(t, len(away), test.most)
			peak = max(peak, len(plan.Drain)+len(away))
		}
		require.LessOrEqual(t, peak, test.machines/2+1, "half of the fleet is away while there is time")
	}
}

// TestIdleFirst guards against maintenance that ends work while idle machines are due.
func TestIdleFirst(t *testing.T) {
	machines := []wave.Machine{{ID: "busy", Up: true, BatchTasks: 2}, {ID: "lasting", Up: true, LongRunningTasks: 1}, {ID: "idle", Up: true}}
	plan := wave.PlanNext(request(3, 1, time.Minute), machines, wave.Timing{TimeLeft: time.Minute, MaintenanceTime: each}, time.UnixMilli(0))
	require.Equal(t, []worker.MachineID{"idle"}, plan.Maintain)
	require.Empty(t, plan.Drain)
}

// TestLastingStay guards against maintenance of a machine whose lasting tasks have not been moved.
func TestLastingStay(t *testing.T) {
	machines := []wave.Machine{{ID: "m", Up: true, Draining: true, LongRunningTasks: 1}}
	plan := wave.PlanNext(request(1, 1, time.Second), machines, wave.Timing{TimeLeft: -time.Second, MaintenanceTime: each}, time.UnixMilli(0).Add(time.Hour))
	require.Empty(t, plan.Maintain)
	require.Equal(t, []worker.MachineID{"m"}, plan.Drain)
}

// TestLastMachine guards against a wave that is late for its last machine, because a new owner gives its
// tasks the full time once more.
func TestLastMachine(t *testing.T) {
	now := time.UnixMilli(0).Add(time.Hour)
	machines := []wave.Machine{{ID: "m", Up: true, Draining: true, DrainingSince: now.Add(-500 * time.Millisecond), BatchTasks: 5}}
	plan := wave.PlanNext(request(1, 1, time.Second), machines, wave.Timing{TimeLeft: 3 * time.Second, MaintenanceTime: each}, now)
	require.Equal(t, []worker.MachineID{"m"}, plan.Maintain)
}
