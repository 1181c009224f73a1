package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

// BenchmarkBurst measures an owner with 280 and with 1,100 workers in four pools while jobs of 13 tasks of 0.8 s and 2.2
// cores each arrive at two of the pools, 150 jobs a second, as in the peaks of the largest deployment. Jobs that the
// owner does not accept at once are not repeated.
func BenchmarkBurst(b *testing.B) {
	for _, workers := range []int{280, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkBurst(b, workers) })
	}
}

func benchmarkBurst(b *testing.B, workers int) {
	const jobs, interval = 750, time.Second / 150
	c := newCluster(b)
	pools := []string{"desk", "gate", "walk", "rota"}
	c.PublishConfig(1, pools, "")
	for n := range workers {
		c.AddMachine(pools[n%len(pools)], cores16, false)
	}
	e := c.start("entry-1")
	time.Sleep(time.Second)
	b.ResetTimer()
	for range b.N {
		begin := time.Now()
		var accepted sync.Map
		var submissions sync.WaitGroup
		for n := range jobs {
			submissions.Go(func() {
				status, _ := c.call(e, http.MethodPost, "/"+pools[n%2]+"/"+fabric.JobID(n), fabric.JobBody(2200, 800, 8, 5))
				if status == http.StatusOK {
					accepted.Store(n, true)
				}
			})
			time.Sleep(time.Until(begin.Add(time.Duration(n) * interval)))
		}
		submissions.Wait()
		count := 0
		accepted.Range(func(n, _ any) bool {
			count++
			pool := pools[n.(int)%2]
			require.Eventually(b, func() bool { return c.state(e, pool, fabric.JobID(n.(int))) == fabric.JobCompleted }, waitTimeout, pollInterval)
			return true
		})
		b.ReportMetric(float64(count*13)/time.Since(begin).Seconds(), "tasks/s")
		b.ReportMetric(float64(count), "accepted")
	}
}
