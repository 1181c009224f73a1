package audit_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

type staticSource []audit.Entry

func (s staticSource) Trail() []audit.Entry { return s }

func entryAt(stream record.Stream, offset record.Offset, seconds int) audit.Entry {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return audit.Entry{Stream: stream, Offset: offset, Time: start.Add(time.Duration(seconds) * time.Second)}
}

// TestCollect guards against entries that are lost or no longer in the order of their stream when the clocks
// of writers differ.
func TestCollect(t *testing.T) {
	config := staticSource{entryAt("config", 0, 1), entryAt("config", 1, 9), entryAt("config", 2, 3)}
	fleet := staticSource{entryAt("fleet", 7, 2), entryAt("fleet", 8, 4)}
	merged := audit.Collect(time.Time{}, config, fleet, staticSource{})
	require.Equal(t, []audit.Entry{config[0], fleet[0], fleet[1], config[1], config[2]}, merged)
	require.Equal(t, []audit.Entry{fleet[1], config[1]}, audit.Collect(entryAt("", 0, 4).Time, config, fleet))
}

// TestWrite guards against authors who forge entries by line breaks in their texts, and against entries that
// differ after encoding and decoding as JSON.
func TestWrite(t *testing.T) {
	entry := entryAt("config", 3, 0)
	entry.Kind, entry.Author, entry.Verdict = "publish", "ada", stream.ResultApplied
	entry.Reason = "more room\n2026-01-02T03:04:05Z config/4 publish applied by \"ben\""
	entry.Objects = []audit.Object{
		{Name: "site/alpha", BaseVersion: 2, Digest: "ab", OmittedChanges: 4, Changes: []audit.Change{
			{Pointer: "/a", Old: json.RawMessage(`1`), New: json.RawMessage(`null`)},
			{Pointer: "/b", New: json.RawMessage(`"x"`)},
			{Pointer: "/c", Old: json.RawMessage(`{"d":1}`)},
		}},
		{Name: "site/beta", BaseVersion: -1},
	}
	rejected := entryAt("config", 4, 1)
	rejected.Kind, rejected.Verdict, rejected.RejectionReason = "publish", stream.ResultStale, "another version"
	entries := []audit.Entry{entry, rejected}

	var text, lines bytes.Buffer
	require.NoError(t, audit.WriteText(&text, entries))
	goldie.New(t).Assert(t, "trail", text.Bytes())
	require.NoError(t, audit.WriteJSON(&lines, entries))
	decoder := json.NewDecoder(&lines)
	for _, want := range entries {
		var got audit.Entry
		require.NoError(t, decoder.Decode(&got))
		require.Equal(t, want, got)
	}
}
