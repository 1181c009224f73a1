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

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// history appends records to a state.
type history struct {
	t     require.TestingT
	state *claim.State
	next  record.Offset
	// now is the time of the next record.
	now time.Time
}

func newHistory(t require.TestingT, limits claim.Limits) *history {
	return &history{t: t, state: &claim.State{Limits: limits}, now: start}
}

func (h *history) add(writer string, kind record.Kind, body any) (record.ID, stream.Verdict) {
	data, err := json.Marshal(body)
	require.NoError(h.t, err)
	id := record.ID{Writer: record.Writer{Entry: instance.ID(writer), Incarnation: 1}, Sequence: record.Sequence(h.next + 1)}
	verdict := h.state.Apply(h.next, record.Envelope{ID: id, Kind: kind, Time: h.now, Body: data})
	h.next++
	return id, verdict
}

func key(name string) claim.Key { return claim.Key{Team: "red", Value: name} }

func (h *history) claim(writer, name string) (record.ID, stream.Result) {
	id, verdict := h.add(writer, claim.KindClaim, claim.Body{Key: key(name), Digest: "d"})
	return id, verdict.Result
}

func (h *history) settle(writer, name string, id record.ID, result claim.Result) stream.Result {
	_, verdict := h.add(writer, claim.KindOutcome, claim.Outcome{Key: key(name), ClaimID: id, Result: result})
	return verdict.Result
}

// TestLateOutcomes guards against outcomes that settle a claim of another holder, an earlier claim, or
// a claim that has an outcome.
func TestLateOutcomes(t *testing.T) {
	h := newHistory(t, claim.Limits{})
	first, result := h.claim("a", "k")
	assert.Equal(t, stream.ResultApplied, result)
	_, result = h.claim("b", "k")
	assert.Equal(t, stream.ResultStale, result)
	assert.Equal(t, stream.ResultStale, h.settle("b", "k", first, claim.ResultNotRun), "not the holder")
	assert.Equal(t, stream.ResultApplied, h.settle("a", "k", first, claim.ResultNotRun))
	second, result := h.claim("a", "k")
	assert.Equal(t, stream.ResultApplied, result, "notrun frees the key")
	assert.Equal(t, stream.ResultStale, h.settle("a", "k", first, claim.ResultNotRun), "an earlier claim")
	assert.Equal(t, stream.ResultApplied, h.settle("a", "k", second, claim.ResultUnknown))
	assert.Equal(t, stream.ResultStale, h.settle("a", "k", second, claim.ResultNotRun), "settled")
	got, ok := h.state.Lookup(key("k"))
	assert.True(t, ok)
	assert.Equal(t, claim.ResultUnknown, got.Result)
}

// TestInvalidRecords guards against malformed records that change the state.
func TestInvalidRecords(t *testing.T) {
	large := &claim.Answer{Body: make([]byte, claim.MaxInlineBody+1)}
	tests := map[string]struct {
		kind record.Kind
		body any
	}{
		"kind":           {"other", struct{}{}},
		"no key":         {claim.KindClaim, claim.Body{Key: claim.Key{Team: "red"}, Digest: "d"}},
		"no digest":      {claim.KindClaim, claim.Body{Key: key("k")}},
		"not an object":  {claim.KindClaim, 7},
		"result":         {claim.KindOutcome, claim.Outcome{Key: key("k"), Result: "other"}},
		"large answer":   {claim.KindOutcome, claim.Outcome{Key: key("k"), Result: claim.ResultAnswered, Answer: large}},
		"unknown answer": {claim.KindOutcome, claim.Outcome{Key: key("k"), Result: claim.ResultUnknown, AnswerInMemory: true}},
	}
	for name, test := range tests {
		h := newHistory(t, claim.Limits{})
		_, verdict := h.add("a", test.kind, test.body)
		assert.Equal(t, stream.ResultInvalid, verdict.Result, name)
		assert.Zero(t, h.state.Len(), name)
	}
}

// TestExpiry guards against a claim that expires early because one clock jumps, or never.
func TestExpiry(t *testing.T) {
	h := newHistory(t, claim.Limits{})
	h.claim("a", "k")
	h.now = start.Add(100 * 365 * 24 * time.Hour)
	h.claim("jumping", "x")
	h.claim("a", "y")
	_, result := h.claim("b", "k")
	assert.Equal(t, stream.ResultStale, result, "a jump of one clock moves the log's clock by a minute at most")
	h.now = start
	for range 61 {
		h.now = h.now.Add(time.Minute)
		h.claim("c", "tick")
	}
	_, result = h.claim("b", "k")
	assert.Equal(t, stream.ResultApplied, result, "the retention is over")
}

// TestBounds guards against a state without bound, and against dropping a claim to make room.
func TestBounds(t *testing.T) {
	h := newHistory(t, claim.Limits{MaxClaims: 2, MaxAnswerBytes: 10})
	for _, name := range []string{"k", "l"} {
		id, _ := h.claim("a", name)
		_, verdict := h.add("a", claim.KindOutcome, claim.Outcome{
			Key: key(name), ClaimID: id, Result: claim.ResultAnswered, Answer: &claim.Answer{Status: 200, Body: []byte("1234567")},
		})
		require.Equal(t, stream.ResultApplied, verdict.Result)
	}
	_, result := h.claim("a", "m")
	assert.Equal(t, stream.ResultStale, result, "a full state takes no claim")
	oldest, ok := h.state.Lookup(key("k"))
	assert.True(t, ok, "the claim stays")
	assert.Nil(t, oldest.Answer, "its answer is dropped")
	newest, _ := h.state.Lookup(key("l"))
	assert.NotNil(t, newest.Answer)
}

// TestReplicas guards against replicas that differ after a snapshot was loaded, and against two
// holders of a key, in random histories.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, claim.Limits{Retention: 3 * time.Minute, MaxClaims: 4, MaxAnswerBytes: 30})
		copied := newHistory(t, h.state.Limits)
		open := map[string]record.ID{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "seconds")) * time.Second)
			copied.now = h.now
			writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
			name := rapid.SampledFrom([]string{"k", "l", "m", "n", "o"}).Draw(t, "key")
			kind, body := drawRecord(t, name, open[name])
			before, held := h.state.Lookup(key(name))
			id, verdict := h.add(writer, kind, body)
			_, second := copied.add(writer, kind, body)
			require.Equal(t, verdict, second)
			if kind == claim.KindClaim && verdict.Result == stream.ResultApplied {
				open[name] = id
				after, _ := h.state.Lookup(key(name))
				require.False(t, held && after.LogTime-before.LogTime <= h.state.Limits.Retention, "two holders within the retention")
			}
			require.LessOrEqual(t, h.state.Len(), 4)
			if rapid.Bool().Draw(t, "restore") {
				data, err := h.state.Snapshot()
				require.NoError(t, err)
				copied.state = &claim.State{Limits: h.state.Limits}
				require.NoError(t, copied.state.Restore(data))
			}
			require.Equal(t, h.state.Digest(), copied.state.Digest())
		}
	})
}

func drawRecord(t *rapid.T, name string, open record.ID) (record.Kind, any) {
	if rapid.Bool().Draw(t, "claim") {
		return claim.KindClaim, claim.Body{Key: key(name), Digest: "d"}
	}
	results := []claim.Result{claim.ResultAnswered, claim.ResultNotRun, claim.ResultUnknown}
	outcome := claim.Outcome{Key: key(name), ClaimID: open, Result: rapid.SampledFrom(results).Draw(t, "result")}
	if outcome.Result == claim.ResultAnswered {
		outcome.Answer = &claim.Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 20).Draw(t, "size"))}
	}
	return claim.KindOutcome, outcome
}

// FuzzRestore guards against a malformed snapshot that panics or changes the state.
func FuzzRestore(f *testing.F) {
	h := newHistory(f, claim.Limits{})
	h.claim("a", "k")
	data, err := h.state.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"claims":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHistory(t, claim.Limits{})
		h.claim("a", "k")
		before := h.state.Digest()
		if h.state.Restore(data) != nil {
			require.Equal(t, before, h.state.Digest())
			return
		}
		h.next = 1 << 40
		h.claim("b", "new")
		_ = h.state.Digest()
	})
}
