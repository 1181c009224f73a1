package fabric

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongestKey guards against a store that fails at the longest key whose length fits into its byte.
func TestLongestKey(t *testing.T) {
	s := &Store{}
	key := strings.Repeat("k", 255)
	s.Put("keyed.job", key, []byte("value"))
	require.Equal(t, "value", s.Value("keyed.job", key))
}
