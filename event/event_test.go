package event_test

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

// TestTrace guards against log lines of unexpected errors without the stack trace that shows where the
// error occurred.
func TestTrace(t *testing.T) {
	var out bytes.Buffer
	log := event.NewLog(&out, "test", "info", event.FormatJSON)
	var defined event.Event
	defined.Number, defined.Name, defined.Text = 9000, "test", "a test"
	log.Error(defined, "error", failure.Of(io.ErrUnexpectedEOF))
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.InEpsilon(t, 9000, line["event"], 0)
	require.Contains(t, line["trace"], "TestTrace")
}
