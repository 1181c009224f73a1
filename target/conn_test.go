package target

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSeal guards against a proof of "nothing written" that a write in progress could still refute.
func TestSeal(t *testing.T) {
	near, far := net.Pipe()
	c := &conn{Conn: near}
	require.NoError(t, far.Close())
	n, err := c.Write([]byte("x"))
	require.Error(t, err)
	require.Zero(t, n)
	require.False(t, c.seal(), "a write that failed at its first byte wrote nothing")

	near, far = net.Pipe()
	c = &conn{Conn: near}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Write([]byte("request"))
	}()
	_, err = far.Read(make([]byte, 1))
	require.NoError(t, err)
	require.True(t, c.seal(), "a write is in progress")
	require.NoError(t, near.Close())
	<-done
	require.True(t, c.seal(), "one byte was written")
	_, err = c.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
}
