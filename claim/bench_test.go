package claim_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// answerSize is the size in bytes of the body of the answer of a claim.
const answerSize = 150

func testAnswer() *claim.Answer {
	return &claim.Answer{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: make([]byte, answerSize)}
}

// newStateWithOutcomes returns a state with claims that have an outcome.
func newStateWithOutcomes(b *testing.B, claims int) *stateHarness {
	h := newStateHarness(b, claim.Limits{MaxClaims: 2*claims + 1})
	for n := range claims {
		name := fmt.Sprintf("key-%032d", n)
		id, result := h.claim("alpha-entry-1", name)
		require.Equal(b, stream.ResultApplied, result)
		_, verdict := h.apply("alpha-entry-1", claim.KindOutcome, claim.Outcome{Key: testKey(name), ClaimID: id, Result: claim.ResultAnswered, Answer: testAnswer()})
		require.Equal(b, stream.Applied, verdict)
	}
	return h
}

// BenchmarkApply measures the time to apply one record (claim or outcome) while old claims expire as fast
// as new ones are made. It also reports the size of the state and the size of a record in the log.
func BenchmarkApply(b *testing.B) {
	for _, claims := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			before := heapBytes()
			h := newStateWithOutcomes(b, claims)
			stateBytes := heapBytes() - before
			recordBytes := 0
			records := make([]record.Envelope, b.N)
			step := claim.Retention / time.Duration(claims)
			for n := range records {
				key := testKey(fmt.Sprintf("new-%032d", n/2))
				sequence := record.Sequence(h.nextOffset) + record.Sequence(n) + 1
				id := record.ID{Writer: record.Writer{Entry: "alpha-entry-1", Incarnation: 1}, Sequence: sequence}
				e := record.Envelope{ID: id, Kind: claim.KindClaim, Time: start.Add(step * time.Duration(n/2)), Author: "alpha-entry-1"}
				var body any = claim.Body{Key: key, Digest: "0123456789abcdef"}
				if n%2 == 1 {
					claimID := record.ID{Writer: id.Writer, Sequence: sequence - 1}
					e.Kind, body = claim.KindOutcome, claim.Outcome{Key: key, ClaimID: claimID, Result: claim.ResultAnswered, Answer: testAnswer()}
				}
				data, err := json.Marshal(body)
				require.NoError(b, err)
				e.Body = data
				records[n] = e
				stored, err := record.Encode(e)
				require.NoError(b, err)
				recordBytes += len(stored)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n, e := range records {
				if v := h.state.Apply(h.nextOffset+record.Offset(n), e); v.Result != stream.ResultApplied {
					b.Fatal(v)
				}
			}
			b.ReportMetric(float64(stateBytes), "heap-B")
			b.ReportMetric(float64(recordBytes)/float64(b.N), "record-B")
		})
	}
}

// heapBytes returns the size in bytes of all live objects on the heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
