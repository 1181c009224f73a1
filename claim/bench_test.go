package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
)

const entries = 9

// delayedLog is a log in memory whose appends take a set time.
type delayedLog struct {
	delay   time.Duration
	appends atomic.Int64
	mu      sync.Mutex
	records []platform.Stored
	changed chan struct{}
}

func (l *delayedLog) Append(ctx context.Context, _ record.Stream, records []json.RawMessage) (record.Offset, error) {
	l.appends.Add(1)
	if err := (&timer.Service{}).Sleep(ctx, l.delay); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	first := record.Offset(len(l.records))
	for i, body := range records {
		l.records = append(l.records, platform.Stored{Offset: first + record.Offset(i), Body: body})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first, nil
}

func (l *delayedLog) Read(ctx context.Context, _ record.Stream, from record.Offset, _ int, _ time.Duration) (platform.Batch, error) {
	for {
		l.mu.Lock()
		batch := platform.Batch{Next: record.Offset(len(l.records)), Records: l.records[from:]}
		changed := l.changed
		l.mu.Unlock()
		if len(batch.Records) > 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		case <-changed:
		}
	}
}

func startClaimers(ctx context.Context, log platform.Log, group *sync.WaitGroup) []*claim.Claimer {
	var claimers []*claim.Claimer
	for i := range entries {
		writer := record.Writer{Entry: instance.ID(fmt.Sprint("entry-", i)), Incarnation: 1}
		state := &claim.State{}
		f := &stream.Follower{Log: log, Stream: record.StreamClaim, Folder: state}
		a := &stream.Appender{Log: log, Stream: record.StreamClaim, Writer: writer}
		c := &claim.Claimer{State: state, Appender: a, Follower: f, Self: writer}
		group.Go(func() { _ = f.Run(ctx) })
		group.Go(func() { _ = a.Run(ctx) })
		group.Go(func() { _ = c.Run(ctx) })
		claimers = append(claimers, c)
	}
	return claimers
}

// BenchmarkClaims measures the latency that a claim adds and the appends a second at several rates of
// keyed requests, which nine entries share. Each iteration is one request. The benchmark paces itself
// by the clock, so run it with a fixed count, such as -benchtime 2000x.
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
	ctx, cancel := context.WithCancel(context.Background())
	var running, requests sync.WaitGroup
	defer running.Wait()
	defer cancel()
	log := &delayedLog{delay: delay, changed: make(chan struct{})}
	claimers := startClaimers(ctx, log, &running)
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var service timer.Service
	begin := service.Now()
	count := max(1, min(b.N, 10*rate))
	for i := range count {
		_ = service.Sleep(ctx, begin.Add(time.Duration(i)*time.Second/time.Duration(rate)).Sub(service.Now()))
		requests.Go(func() {
			start := service.Now()
			decision, err := claimers[i%entries].Begin(ctx, key(fmt.Sprint(i)), "d")
			took := service.Since(start).Microseconds()
			if proceed, ok := decision.(claim.Proceed); ok && err == nil {
				proceed.Hold.Answered(&claim.Answer{Status: 200})
			}
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(took)
		})
	}
	requests.Wait()
	for _, c := range claimers {
		require.NoError(b, c.Drain(ctx))
	}
	seconds := service.Since(begin).Seconds()
	b.ReportMetric(float64(log.appends.Load())/seconds, "appends/s")
	b.ReportMetric(float64(len(log.records))/float64(log.appends.Load()), "records/append")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
