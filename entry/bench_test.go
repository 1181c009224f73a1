package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	standin "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// requestBodySize is the size of the request bodies in bytes.
const requestBodySize = 256

// maxPhaseRequests limits the number of requests in one phase of a benchmark.
const maxPhaseRequests = 20_000

// BenchmarkRequestPath compares requests through one of three entries with direct requests to the same
// emulated targets in the same run. The entries, the targets and the callers share one process, so the
// allocations include all of them. Each caller waits for a response before its next request.
func BenchmarkRequestPath(b *testing.B) {
	c := startCluster(b, 3, standin.Options{})
	c.publishExampleConfig()
	c.waitReady()
	for _, callers := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}}
			defer client.CloseIdleConnections()
			viaEntry := func(int) (*http.Request, error) {
				r, err := http.NewRequest(http.MethodPost, "http://"+string(c.entries[0].Addresses().Callers)+"/pay", bytes.NewReader(make([]byte, requestBodySize)))
				if err == nil {
					r.Header.Set("Hibiscuslane-Team", "default")
				}
				return r, err
			}
			direct := func(caller int) (*http.Request, error) {
				listedInstance := c.targets[caller%len(c.targets)].ListedInstance()
				r, err := http.NewRequest(http.MethodPost, "http://"+string(listedInstance.Address)+"/pay", bytes.NewReader(make([]byte, requestBodySize)))
				if err == nil {
					r.Header.Set(upstream.HeaderIncarnation, fmt.Sprint(listedInstance.Incarnation))
					r.Header.Set(upstream.HeaderRequest, "bench")
				}
				return r, err
			}
			// Open the connections before the measurement.
			measurePhase(b, client, callers, 10*callers, direct)
			measurePhase(b, client, callers, 10*callers, viaEntry)
			b.ResetTimer()
			directResult := measurePhase(b, client, callers, b.N, direct)
			entryResult := measurePhase(b, client, callers, b.N, viaEntry)
			b.ReportMetric(directResult.percentileMicros(50), "direct-p50-us")
			b.ReportMetric(entryResult.percentileMicros(50), "entry-p50-us")
			b.ReportMetric(entryResult.percentileMicros(99), "entry-p99-us")
			b.ReportMetric(entryResult.percentileMicros(50)/directResult.percentileMicros(50), "p50-ratio")
			b.ReportMetric(entryResult.allocsPerRequest-directResult.allocsPerRequest, "added-allocs/request")
			b.ReportMetric(entryResult.bytesPerRequest-directResult.bytesPerRequest, "added-B/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// phaseResult holds the latencies, in nanoseconds, and the allocations of one phase of requests.
type phaseResult struct {
	*hdrhistogram.Histogram
	// allocsPerRequest and bytesPerRequest include the allocations of the whole process.
	allocsPerRequest, bytesPerRequest float64
}

// percentileMicros returns a percentile of the latency in microseconds.
func (p phaseResult) percentileMicros(percentile float64) float64 {
	return float64(p.ValueAtQuantile(percentile)) / 1000
}

// measurePhase sends requests from a number of callers, each of which keeps one in flight, and returns their latencies
// and allocations.
func measurePhase(b *testing.B, client *http.Client, callers, requests int, build func(caller int) (*http.Request, error)) phaseResult {
	requests = min(requests, maxPhaseRequests)
	histogram := hdrhistogram.New(1000, int64(time.Minute), 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			callerHistogram := hdrhistogram.New(1000, int64(time.Minute), 3)
			for n := caller; n < requests; n += callers {
				start := time.Now()
				if status, err := sendRequest(client, caller, build); err != nil || status != http.StatusOK {
					b.Errorf("status %d: %v", status, err)
					return
				}
				_ = callerHistogram.RecordValue(time.Since(start).Nanoseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			histogram.Merge(callerHistogram)
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	require.False(b, b.Failed())
	return phaseResult{
		Histogram: histogram, allocsPerRequest: float64(after.Mallocs-before.Mallocs) / float64(requests),
		bytesPerRequest: float64(after.TotalAlloc-before.TotalAlloc) / float64(requests),
	}
}

func sendRequest(client *http.Client, caller int, build func(caller int) (*http.Request, error)) (int, error) {
	r, err := build(caller)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
