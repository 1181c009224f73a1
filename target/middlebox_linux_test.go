package target_test

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hibiscuslane.example/hibiscuslane/instance"
)

// middlebox relays connections to a target. After Lose, the connections that exist deliver nothing
// any more, without an error, and new ones work.
type middlebox struct {
	target instance.Address
	// packets makes Lose drop packets below TCP, so that nothing is acknowledged either. Otherwise the
	// middlebox acknowledges what it drops, as a proxy does.
	packets bool

	mu    sync.Mutex
	flows []*flow
	all   []net.Conn
}

type flow struct {
	near, far *net.TCPConn
	lost      atomic.Bool
}

func newMiddlebox(t testing.TB, address instance.Address, packets bool) (*middlebox, instance.Address) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &middlebox{target: address, packets: packets}
	go m.accept(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, c := range m.all {
			_ = c.Close()
		}
	})
	return m, instance.Address(listener.Addr().String())
}

func (m *middlebox) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", string(m.target))
		if err != nil {
			_ = near.Close()
			continue
		}
		f := &flow{near: near.(*net.TCPConn), far: far.(*net.TCPConn)}
		m.mu.Lock()
		m.flows = append(m.flows, f)
		m.all = append(m.all, near, far)
		m.mu.Unlock()
		go f.relay(f.near, f.far)
		go f.relay(f.far, f.near)
	}
}

func (f *flow) relay(from, to *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if f.lost.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// Lose drops the state of all present connections.
func (m *middlebox) Lose(t testing.TB) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		f.lost.Store(true)
		if m.packets {
			dropPackets(t, f.near)
		}
	}
	m.flows = nil
}

// dropPackets attaches a socket filter that accepts 0 bytes of each packet, before TCP sees it.
func dropPackets(t testing.TB, c *net.TCPConn) {
	rawConn, err := c.SyscallConn()
	require.NoError(t, err)
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	err = rawConn.Control(func(fd uintptr) {
		failed := unix.SetsockoptSockFprog(int(fd), syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
		if failed != nil {
			t.Errorf("attach filter: %v", failed)
		}
	})
	if err != nil {
		// The connection is closed already.
		t.Logf("control: %v", err)
	}
}
