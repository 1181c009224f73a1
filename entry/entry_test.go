package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
)

// TestRequestPath guards against requests that fail at some entry, and against a second execution when a
// request with an idempotency key is repeated through another entry.
func TestRequestPath(t *testing.T) {
	c := startCluster(t, 3, standin.Options{})
	c.publishExampleConfig()
	c.waitReady()
	for _, entry := range c.entries {
		got, err := entry.call("GET", "/hello", "")
		require.NoError(t, err)
		require.Equal(t, 200, got.status, got.body)
		require.Equal(t, failure.OutcomeAnswered, got.outcome)
	}
	first, err := c.entries[0].call("POST", "/pay", "key-1")
	require.NoError(t, err)
	require.Equal(t, 200, first.status, first.body)
	second, err := c.entries[1].call("POST", "/pay", "key-1")
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Equal(t, 1, c.executionCount("key-1"))
}
