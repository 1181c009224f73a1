package claim_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// start is the time of the first record.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// stateHarness applies records to a state.
type stateHarness struct {
	t          require.TestingT
	state      *claim.State
	nextOffset record.Offset
	// now is the time of the next record.
	now time.Time
}

func newStateHarness(t require.TestingT, limits claim.Limits) *stateHarness {
	return &stateHarness{t: t, state: &claim.State{Limits: limits}, now: start}
}

func (h *stateHarness) apply(writer string, kind record.Kind, body any) (record.ID, stream.Verdict) {
	data, err := json.Marshal(body)
	require.NoError(h.t, err)
	id := record.ID{Writer: record.Writer{Entry: instance.ID(writer), Incarnation: 1}, Sequence: record.Sequence(h.nextOffset + 1)}
	verdict := h.state.Apply(h.nextOffset, record.Envelope{ID: id, Kind: kind, Time: h.now, Body: data})
	h.nextOffset++
	return id, verdict
}

func testKey(name string) claim.Key { return claim.Key{Team: "red", Value: name} }

func (h *stateHarness) claim(writer, name string) (record.ID, stream.Result) {
	id, verdict := h.apply(writer, claim.KindClaim, claim.Body{Key: testKey(name), Digest: "d"})
	return id, verdict.Result
}

func (h *stateHarness) recordOutcome(writer, name string, id record.ID, result claim.Result) stream.Result {
	_, verdict := h.apply(writer, claim.KindOutcome, claim.Outcome{Key: testKey(name), ClaimID: id, Result: result})
	return verdict.Result
}

// TestLateOutcomes guards against outcomes that take effect although they come from another holder, belong
// to an earlier claim, or belong to a claim that already has an outcome.
func TestLateOutcomes(t *testing.T) {
	h := newStateHarness(t, claim.Limits{})
	first, result := h.claim("a", "k")
	assert.Equal(t, stream.ResultApplied, result)
	_, result = h.claim("b", "k")
	assert.Equal(t, stream.ResultStale, result)
	assert.Equal(t, stream.ResultStale, h.recordOutcome("b", "k", first, claim.ResultNotRun), "an outcome of another entry than the holder must be stale")
	assert.Equal(t, stream.ResultApplied, h.recordOutcome("a", "k", first, claim.ResultNotRun))
	second, result := h.claim("a", "k")
	assert.Equal(t, stream.ResultApplied, result, "an outcome notrun must free the key")
	assert.Equal(t, stream.ResultStale, h.recordOutcome("a", "k", first, claim.ResultNotRun), "an outcome of an earlier claim must be stale")
	assert.Equal(t, stream.ResultApplied, h.recordOutcome("a", "k", second, claim.ResultUnknown))
	assert.Equal(t, stream.ResultStale, h.recordOutcome("a", "k", second, claim.ResultNotRun), "a second outcome must be stale")
	got, ok := h.state.Lookup(testKey("k"))
	assert.True(t, ok)
	assert.Equal(t, claim.ResultUnknown, got.Result)
}

// TestInvalidRecords guards against malformed records that change the state instead of being rejected.
func TestInvalidRecords(t *testing.T) {
	large := &claim.Answer{Body: make([]byte, claim.MaxInlineBody+1)}
	tests := map[string]struct {
		kind record.Kind
		body any
	}{
		"kind":           {"other", struct{}{}},
		"no key":         {claim.KindClaim, claim.Body{Key: claim.Key{Team: "red"}, Digest: "d"}},
		"no digest":      {claim.KindClaim, claim.Body{Key: testKey("k")}},
		"not an object":  {claim.KindClaim, 7},
		"result":         {claim.KindOutcome, claim.Outcome{Key: testKey("k"), Result: "other"}},
		"large answer":   {claim.KindOutcome, claim.Outcome{Key: testKey("k"), Result: claim.ResultAnswered, Answer: large}},
		"unknown answer": {claim.KindOutcome, claim.Outcome{Key: testKey("k"), Result: claim.ResultUnknown, AnswerInMemory: true}},
	}
	for name, test := range tests {
		h := newStateHarness(t, claim.Limits{})
		_, verdict := h.apply("a", test.kind, test.body)
		assert.Equal(t, stream.ResultInvalid, verdict.Result, name)
		assert.Zero(t, h.state.Len(), name)
	}
}

// TestExpiry guards against claims that expire too early because the clock of one writer jumps, and
// against claims that never expire.
func TestExpiry(t *testing.T) {
	h := newStateHarness(t, claim.Limits{})
	h.claim("a", "k")
	h.now = start.Add(100 * 365 * 24 * time.Hour)
	h.claim("jumping", "x")
	h.claim("a", "y")
	_, result := h.claim("b", "k")
	assert.Equal(t, stream.ResultStale, result, "a clock jump of one writer must advance the log time by at most a minute")
	h.now = start
	for range 61 {
		h.now = h.now.Add(time.Minute)
		h.claim("c", "tick")
	}
	_, result = h.claim("b", "k")
	assert.Equal(t, stream.ResultApplied, result, "the claim must expire after the retention")
}

// TestBounds guards against unbounded growth of the state, and against removing a claim to stay within the
// limit.
func TestBounds(t *testing.T) {
	h := newStateHarness(t, claim.Limits{MaxClaims: 2, MaxAnswerBytes: 10})
	for _, name := range []string{"k", "l"} {
		id, _ := h.claim("a", name)
		_, verdict := h.apply("a", claim.KindOutcome, claim.Outcome{
			Key: testKey(name), ClaimID: id, Result: claim.ResultAnswered, Answer: &claim.Answer{Status: 200, Body: []byte("1234567")},
		})
		require.Equal(t, stream.ResultApplied, verdict.Result)
	}
	_, result := h.claim("a", "m")
	assert.Equal(t, stream.ResultStale, result, "a full state must not accept a claim")
	oldest, ok := h.state.Lookup(testKey("k"))
	assert.True(t, ok, "the claim must be kept")
	assert.Nil(t, oldest.Answer, "the oldest answer must be dropped")
	newest, _ := h.state.Lookup(testKey("l"))
	assert.NotNil(t, newest.Answer)
}

// TestReplicas guards against replicas that diverge after one restored a snapshot, and against two holders
// of a key within the retention. It applies random records to two replicas.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newStateHarness(t, claim.Limits{Retention: 3 * time.Minute, MaxClaims: 4, MaxAnswerBytes: 30})
		replica := newStateHarness(t, h.state.Limits)
		claimIDs := map[string]record.ID{} // the last applied claim of each key
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "seconds")) * time.Second)
			replica.now = h.now
			writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
			name := rapid.SampledFrom([]string{"k", "l", "m", "n", "o"}).Draw(t, "key")
			kind, body := randomRecord(t, name, claimIDs[name])
			before, existed := h.state.Lookup(testKey(name))
			id, verdict := h.apply(writer, kind, body)
			_, replicaVerdict := replica.apply(writer, kind, body)
			require.Equal(t, verdict, replicaVerdict)
			if kind == claim.KindClaim && verdict.Result == stream.ResultApplied {
				claimIDs[name] = id
				after, _ := h.state.Lookup(testKey(name))
				require.False(t, existed && after.LogTime-before.LogTime <= h.state.Limits.Retention, "two holders within the retention")
			}
			require.LessOrEqual(t, h.state.Len(), 4)
			if rapid.Bool().Draw(t, "restore") {
				data, err := h.state.Snapshot()
				require.NoError(t, err)
				replica.state = &claim.State{Limits: h.state.Limits}
				require.NoError(t, replica.state.Restore(data))
			}
			require.Equal(t, h.state.Digest(), replica.state.Digest())
		}
	})
}

// randomRecord returns the kind and body of a random claim of a key, or of a random outcome of the given claim.
func randomRecord(t *rapid.T, name string, claimID record.ID) (record.Kind, any) {
	if rapid.Bool().Draw(t, "claim") {
		return claim.KindClaim, claim.Body{Key: testKey(name), Digest: "d"}
	}
	results := []claim.Result{claim.ResultAnswered, claim.ResultNotRun, claim.ResultUnknown}
	outcome := claim.Outcome{Key: testKey(name), ClaimID: claimID, Result: rapid.SampledFrom(results).Draw(t, "result")}
	if outcome.Result == claim.ResultAnswered {
		outcome.Answer = &claim.Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 20).Draw(t, "size"))}
	}
	return claim.KindOutcome, outcome
}

// FuzzRestore guards against malformed snapshots that cause a panic or change the state.
func FuzzRestore(f *testing.F) {
	h := newStateHarness(f, claim.Limits{})
	h.claim("a", "k")
	data, err := h.state.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"claims":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newStateHarness(t, claim.Limits{})
		h.claim("a", "k")
		before := h.state.Digest()
		if h.state.Restore(data) != nil {
			require.Equal(t, before, h.state.Digest())
			return
		}
		h.nextOffset = 1 << 40
		h.claim("b", "new")
		_ = h.state.Digest()
	})
}
