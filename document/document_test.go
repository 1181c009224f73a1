package document_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/document"
)

// TestNumbers guards against different encodings of equal numbers, and against literals that are expensive
// to compare exactly.
func TestNumbers(t *testing.T) {
	for literal, want := range map[string]string{"8.0": "8", "-0.0": "0", "0.50": "0.5", "100": "100", "-1.25": "-1.25"} {
		tree, faults := document.Decode([]byte(`{"n":` + literal + `}`))
		require.Empty(t, faults)
		require.Equal(t, json.Number(want), tree["n"], literal)
	}
	for _, literal := range []string{"1e9", "1E-9", strings.Repeat("9", 33)} {
		_, faults := document.Decode([]byte(`{"a/b":[` + literal + `]}`))
		require.Len(t, faults, 1)
		require.Equal(t, "/a~1b/0", faults[0].Pointer)
	}
}

// TestLimits guards against input that exhausts the stack or the memory, and against input that is no
// object, is incomplete or continues after the object.
func TestLimits(t *testing.T) {
	for text, reason := range map[string]string{
		strings.Repeat(`{"a":`, 100):                  "nested deeper than 32 levels",
		strings.Repeat(" ", document.MaxBytes) + `{}`: "is larger than 1048576 bytes",
		`{} {}`: "data after the end",
		`{"a"`:  "unexpected end of file",
		`{a}`:   "is not valid JSON",
		`7`:     "must be an object",
		``:      "unexpected end of file",
	} {
		tree, faults := document.Decode([]byte(text))
		require.Nil(t, tree)
		require.Len(t, faults, 1)
		require.Contains(t, faults[0].Reason, reason)
	}
}

// TestPointerRelations guards against faults that are attributed to the wrong file, because SetsValueAt returns
// the wrong result, and against faults that are dropped or reported needlessly, because PointersOverlap does.
func TestPointerRelations(t *testing.T) {
	tree, faults := document.Decode([]byte(`{"a":{"b/c":1},"n":null,"l":[1]}`))
	require.Empty(t, faults)
	for pointer, want := range map[string]bool{"": true, "/a": true, "/a/b~1c": true, "/a/x": false, "/n/x": true, "/l/0": true, "/x": false} {
		require.Equal(t, want, document.SetsValueAt(tree, pointer), pointer)
	}
	require.True(t, document.PointersOverlap("/a", "/a/b"))
	require.False(t, document.PointersOverlap("/a", "/ab"))
	require.True(t, document.PointersOverlap("", "/a"))
}
