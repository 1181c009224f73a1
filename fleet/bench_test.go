package fleet_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// poolSize is the mean number of workers in a pool at the target size: 6600 in 290 pools.
const poolSize = 23

// sizes are numbers of instances: today, an intermediate size, the workers of the target size, and a
// size above all instances of the target size.
var sizes = []int{100, 1000, 6600, 20_000}

// BenchmarkFold measures the fold of one record (drain or join) and the bytes of state per instance.
func BenchmarkFold(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			before := heap()
			s := filled(b, size)
			state := heap() - before
			offset := record.Offset(size)
			records := make([]record.Envelope, b.N)
			for n := range records {
				slot, round := n/2%size, n/2/size
				id, name := instance.ID(fmt.Sprint("i", slot)), pool.Name(fmt.Sprint("p", slot/poolSize))
				var body fleet.Body = &fleet.Drain{RecordHeader: on(id, fleet.Version(2*round+1)), NextPool: name}
				if n%2 == 1 {
					body = join(id, fleet.Version(2*round+2), name, instance.Incarnation(round+2))
				}
				records[n] = envelope(b, offset+record.Offset(n), body)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n, e := range records {
				if v := s.Fold(offset+record.Offset(n), e); v.Result != stream.ResultApplied {
					b.Fatal(v)
				}
			}
			b.ReportMetric(float64(state), "heap-B")
		})
	}
}

// BenchmarkAll measures the sorted copy of the whole fleet. An entry takes one after each change of the
// state for its table of targets, and one each second for its plan.
func BenchmarkAll(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			s := filled(b, size)
			b.ReportAllocs()
			for b.Loop() {
				s.Instances()
			}
		})
	}
}

// BenchmarkRecordSize reports the bytes of a drain and the join that follows it, as they stand in the
// log.
func BenchmarkRecordSize(b *testing.B) {
	for b.Loop() {
	}
	bytes := 0
	for n, body := range []fleet.Body{
		&fleet.Drain{RecordHeader: fleet.RecordHeader{ID: "alpha-worker-0001", Version: 1, Reason: "maintenance is due after 16 days"}, NextPool: "placements", MinActive: 18, MaxDrainingInRack: 1, MaxDrainingInCentre: 4},
		join("alpha-worker-0001", 2, "placements", 2),
	} {
		data, err := record.Encode(envelope(b, record.Offset(n), body))
		require.NoError(b, err)
		bytes += len(data)
	}
	b.ReportMetric(float64(bytes)/2, "record-B")
	b.ReportMetric(0, "ns/op")
}

// heap returns the bytes of live objects.
func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func filled(t require.TestingT, size int) *fleet.State {
	s := &fleet.State{}
	for n := range size {
		body := admit(instance.ID(fmt.Sprint("i", n)), 0, "p0", 1)
		body.Pool = pool.Name(fmt.Sprint("p", n/poolSize))
		require.Equal(t, stream.Applied, s.Fold(record.Offset(n), envelope(t, record.Offset(n), body)))
	}
	return s
}
