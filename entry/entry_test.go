package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
)

// TestRequestPath guards the path of a request through any entry, and a repeat through another entry
// that must not execute it again.
func TestRequestPath(t *testing.T) {
	c := startCluster(t, 3, standin.Options{})
	c.publish()
	c.serving()
	for _, n := range c.entries {
		got, err := n.call("GET", "/hello", "")
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
	require.Equal(t, 1, c.executions("key-1"))
}
