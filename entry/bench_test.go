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

// benchBody is the size in bytes of the requests.
const benchBody = 256

// benchPhase bounds the requests of one phase.
const benchPhase = 20_000

// BenchmarkRequestPath compares requests through an entry, one of three, with direct calls to the same
// emulated targets in the same run. Three entries, the targets and the callers share one process, so the
// allocations are those of all of them. The callers wait for each answer.
func BenchmarkRequestPath(b *testing.B) {
	c := startCluster(b, 3, standin.Options{})
	c.publish()
	c.serving()
	for _, callers := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxConnsPerHost: callers}}
			defer client.CloseIdleConnections()
			through := func(int) (*http.Request, error) {
				r, err := http.NewRequest(http.MethodPost, "http://"+string(c.entries[0].Addresses().Callers)+"/pay", bytes.NewReader(make([]byte, benchBody)))
				if err == nil {
					r.Header.Set("Hibiscuslane-Team", "default")
				}
				return r, err
			}
			direct := func(caller int) (*http.Request, error) {
				listing := c.targets[caller%len(c.targets)].Listing()
				r, err := http.NewRequest(http.MethodPost, "http://"+string(listing.Address)+"/pay", bytes.NewReader(make([]byte, benchBody)))
				if err == nil {
					r.Header.Set(upstream.HeaderIncarnation, fmt.Sprint(listing.Incarnation))
					r.Header.Set(upstream.HeaderRequest, "bench")
				}
				return r, err
			}
			// The connections are opened before the measurement.
			measurePath(b, client, callers, 10*callers, direct)
			measurePath(b, client, callers, 10*callers, through)
			b.ResetTimer()
			base := measurePath(b, client, callers, b.N, direct)
			full := measurePath(b, client, callers, b.N, through)
			b.ReportMetric(base.micros(50), "direct-p50-us")
			b.ReportMetric(full.micros(50), "entry-p50-us")
			b.ReportMetric(full.micros(99), "entry-p99-us")
			b.ReportMetric(full.micros(50)/base.micros(50), "p50-ratio")
			b.ReportMetric(full.allocs-base.allocs, "added-allocs/request")
			b.ReportMetric(full.bytes-base.bytes, "added-B/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// path is what a phase of requests took.
type path struct {
	*hdrhistogram.Histogram
	// allocs and bytes are per request, in this whole process.
	allocs, bytes float64
}

// micros returns a quantile in microseconds.
func (p path) micros(quantile float64) float64 { return float64(p.ValueAtQuantile(quantile)) / 1000 }

// measurePath sends requests from a number of callers that each keep one in flight.
func measurePath(b *testing.B, client *http.Client, callers, requests int, build func(caller int) (*http.Request, error)) path {
	requests = min(requests, benchPhase)
	total := hdrhistogram.New(1000, int64(time.Minute), 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			own := hdrhistogram.New(1000, int64(time.Minute), 3)
			for n := caller; n < requests; n += callers {
				start := time.Now()
				if status, err := send(client, caller, build); err != nil || status != http.StatusOK {
					b.Errorf("status %d: %v", status, err)
					return
				}
				_ = own.RecordValue(time.Since(start).Nanoseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(own)
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	require.False(b, b.Failed())
	return path{
		Histogram: total, allocs: float64(after.Mallocs-before.Mallocs) / float64(requests),
		bytes: float64(after.TotalAlloc-before.TotalAlloc) / float64(requests),
	}
}

func send(client *http.Client, caller int, build func(caller int) (*http.Request, error)) (int, error) {
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
