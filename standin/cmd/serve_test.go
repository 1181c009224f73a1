package cmd

import (
	"bufio"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestServe guards against a serve command that does not print all addresses or does not end on SIGTERM.
func TestServe(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"sites":[{"centre":"a","targets":1,"workers":1}]}`), 0o600))
	reader, writer := io.Pipe()
	root := newRoot()
	root.SetArgs([]string{"serve", "--fleet", path, "--level", "error"})
	root.SetOut(writer)
	ended := make(chan error, 1)
	go func() { ended <- root.ExecuteContext(t.Context()) }()
	lines := bufio.NewScanner(reader)
	kinds := []string{}
	for len(kinds) < 3 && lines.Scan() {
		kinds = append(kinds, strings.Fields(lines.Text())[0])
	}
	require.Equal(t, []string{"target", "worker", "platform"}, kinds)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-ended)
}
