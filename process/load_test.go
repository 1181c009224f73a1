package process_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

// BenchmarkBurst measures an owner with 280 workers in four pools while jobs of 13 tasks of 0.2 s each arrive at
// two of the pools, one job every 5 ms.
func BenchmarkBurst(b *testing.B) {
	c := newCluster(b)
	pools := []string{"desk", "gate", "walk", "rota"}
	c.PublishConfig(1, pools, "")
	for range 70 {
		for _, p := range pools {
			c.AddMachine(p, cores16, false)
		}
	}
	e := c.start("entry-1")
	time.Sleep(time.Second)
	b.ResetTimer()
	for range b.N {
		begin := time.Now()
		for n := range 600 {
			c.submit(e, pools[n%2], fabric.JobID(n), fabric.JobBody(1500, 200, 8, 5))
			time.Sleep(time.Until(begin.Add(time.Duration(n) * 5 * time.Millisecond)))
		}
		require.Eventually(b, func() bool { return c.state(e, pools[1], fabric.JobID(599)) == fabric.JobCompleted }, waitTimeout, pollInterval)
		b.ReportMetric(float64(600*13)/time.Since(begin).Seconds(), "tasks/s")
	}
}
