package soak_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cut says which bytes a proxy drops.
type cut string

const (
	cutNone cut = "none"
	cutUp   cut = "up"   // towards the target
	cutDown cut = "down" // towards the caller
	cutBoth cut = "both"
)

// proxy stands between callers and a target on loopback and disturbs their connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
	delay time.Duration
	drop  cut
}

// link is a connection through a proxy. Its bytes are dropped once it is silent; one that has lost bytes is
// reset when the proxy heals, as TCP would not go on without them.
type link struct {
	caller, target net.Conn
	silent, lossy  bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, links: map[*link]bool{}, drop: cutNone}
	t.Cleanup(func() { _ = l.Close(); p.reset() })
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		k := &link{caller: caller, target: target}
		p.mu.Lock()
		p.links[k] = true
		p.mu.Unlock()
		go p.carry(k, caller, target, cutUp)
		go p.carry(k, target, caller, cutDown)
	}
}

// carry copies one direction of a link until an end closes it.
func (p *proxy) carry(k *link, from, to net.Conn, direction cut) {
	defer p.close(k)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		dropped := k.silent || p.drop == cutBoth || p.drop == direction
		k.lossy = k.lossy || dropped
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) close(k *link) {
	p.mu.Lock()
	delete(p.links, k)
	p.mu.Unlock()
	_ = k.caller.Close()
	_ = k.target.Close()
}

// abort ends a link with resets.
func abort(k *link) {
	for _, c := range []net.Conn{k.caller, k.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// reset resets all connections.
func (p *proxy) reset() { p.each(func(k *link) { abort(k) }) }

// silence lets all connections of now go silent; new ones work.
func (p *proxy) silence() { p.each(func(k *link) { k.silent = true }) }

func (p *proxy) each(f func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		f(k)
	}
}

// disturb delays and drops bytes until heal.
func (p *proxy) disturb(delay time.Duration, drop cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.drop = delay, drop
}

func (p *proxy) heal() {
	p.disturb(0, cutNone)
	p.each(func(k *link) {
		if k.lossy && !k.silent {
			abort(k)
		}
	})
}
