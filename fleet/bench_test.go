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

// instancesPerPool is the mean number of workers in a pool at the design scale: 6600 in 290 pools.
const instancesPerPool = 23

// fleetSizes holds the numbers of instances to measure: the present fleet, an intermediate size, the
// workers at the design scale, and more than all instances at the design scale.
var fleetSizes = []int{100, 1000, 6600, 20_000}

// BenchmarkApply measures the time to apply one record (drain or join) and the heap size of the state.
func BenchmarkApply(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			before := liveHeapBytes()
			s := newFilledState(b, size)
			stateBytes := liveHeapBytes() - before
			offset := record.Offset(size)
			records := make([]record.Envelope, b.N)
			for n := range records {
				index, round := n/2%size, n/2/size
				id, name := instance.ID(fmt.Sprint("i", index)), pool.Name(fmt.Sprint("p", index/instancesPerPool))
				var body fleet.Body = &fleet.Drain{RecordHeader: newHeader(id, fleet.Version(2*round+1)), NextPool: name}
				if n%2 == 1 {
					body = newJoin(id, fleet.Version(2*round+2), name, instance.Incarnation(round+2))
				}
				records[n] = newEnvelope(b, offset+record.Offset(n), body)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n, e := range records {
				if verdict := s.Apply(offset+record.Offset(n), e); verdict.Result != stream.ResultApplied {
					b.Fatal(verdict)
				}
			}
			b.ReportMetric(float64(stateBytes), "heap-B")
		})
	}
}

// BenchmarkInstances measures a sorted copy of all instances. An entry makes one after each change of the
// state for its routing table, and one each second for its plan.
func BenchmarkInstances(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			s := newFilledState(b, size)
			b.ReportAllocs()
			for b.Loop() {
				s.Instances()
			}
		})
	}
}

// BenchmarkRecordSize reports the mean size in the log of a drain record and the following join record.
func BenchmarkRecordSize(b *testing.B) {
	for b.Loop() {
		// The sizes need no repetition. With b.Loop the testing package calls this function only once.
	}
	bytes := 0
	for n, body := range []fleet.Body{
		&fleet.Drain{RecordHeader: fleet.RecordHeader{ID: "alpha-worker-0001", Version: 1, Reason: "maintenance is due after 16 days"}, NextPool: "placements", MinActive: 18, MaxDrainingInRack: 1, MaxDrainingInCentre: 4},
		newJoin("alpha-worker-0001", 2, "placements", 2),
	} {
		data, err := record.Encode(newEnvelope(b, record.Offset(n), body))
		require.NoError(b, err)
		bytes += len(data)
	}
	b.ReportMetric(float64(bytes)/2, "record-B")
	b.ReportMetric(0, "ns/op")
}

// liveHeapBytes runs a garbage collection and returns the bytes of the remaining heap objects.
func liveHeapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// newFilledState returns a state with the given number of active instances.
func newFilledState(t require.TestingT, size int) *fleet.State {
	s := &fleet.State{}
	for n := range size {
		body := newAdmit(instance.ID(fmt.Sprint("i", n)), 0, "p0", 1)
		body.Pool = pool.Name(fmt.Sprint("p", n/instancesPerPool))
		require.Equal(t, stream.Applied, s.Apply(record.Offset(n), newEnvelope(t, record.Offset(n), body)))
	}
	return s
}
