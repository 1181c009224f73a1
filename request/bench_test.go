package request_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/timer"
)

// BenchmarkRequest measures the allocations for a request without an idempotency key. They include those of the test
// request and the response recorder.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			e := newEntry(&memoryLog{}, &target{}, 1, nil)
			defer e.kill()
			body := strings.Repeat("x", size)
			b.ReportAllocs()
			for b.Loop() {
				e.handler.ServeHTTP(httptest.NewRecorder(), newRequest(http.MethodPost, "/b", body))
			}
		})
	}
}

// BenchmarkClaims measures the latency of a claim and the number of appends per second, at several rates of requests
// with keys, which are distributed over nine entries. Each iteration is one request, but at most as many are sent
// as the rate gives in ten seconds. Requests are started at the given rate whatever the latency is, so run the
// benchmark with a fixed count, such as -benchtime 2000x.
func BenchmarkClaims(b *testing.B) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
		for _, rate := range []int{20, 100, 500, 2000} {
			b.Run(fmt.Sprintf("append=%s/rate=%d", delay, rate), func(b *testing.B) {
				measureClaims(b, delay, rate)
			})
		}
	}
}

func measureClaims(b *testing.B, delay time.Duration, rate int) {
	ctx := context.Background()
	log := &memoryLog{delay: delay}
	var entries [9]*entry
	for i := range entries {
		entries[i] = newEntry(log, &target{}, i, nil)
		defer entries[i].kill()
	}
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var service timer.Service
	var requests sync.WaitGroup
	begin := service.Now()
	for i := range max(1, min(b.N, 10*rate)) {
		_ = service.Sleep(ctx, begin.Add(time.Duration(i)*time.Second/time.Duration(rate)).Sub(service.Now()))
		requests.Go(func() {
			start := service.Now()
			decision, err := entries[i%len(entries)].claimer.Begin(ctx, claim.Key{Team: "red", Value: fmt.Sprint(i)}, "d")
			latencyMicros := service.Since(start).Microseconds()
			if proceed, ok := decision.(claim.Proceed); ok && err == nil {
				proceed.Claim.RecordAnswered(&claim.Answer{Status: http.StatusOK})
			}
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(latencyMicros)
		})
	}
	requests.Wait()
	for _, e := range entries {
		require.NoError(b, e.claimer.Drain(ctx))
	}
	b.ReportMetric(float64(log.appends)/service.Since(begin).Seconds(), "appends/s")
	b.ReportMetric(float64(len(log.records))/float64(log.appends), "records/append")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
