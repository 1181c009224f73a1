package peer

import (
	"net"
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pingAfter and pingTimeout bound how long an established connection that a middlebox has
	// forgotten stays in use: 2 s, less than the 3 s after which a peer counts as dead.
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// Clients holds one client per peer address. The zero value is ready to use.
type Clients struct {
	mu      sync.Mutex
	clients map[instance.Address]Peer
	http    *http.Client
}

// Get returns the client for an address.
func (c *Clients) Get(address instance.Address) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if c.http == nil {
		c.http = newHTTPClient()
		c.clients = map[instance.Address]Peer{}
	}
	client := NewPeerProtobufClient("http://"+string(address), c.http)
	c.clients[address] = client
	return client
}

// Keep forgets the clients of all other addresses, so that replaced entries do not pile up.
func (c *Clients) Keep(addresses []instance.Address) {
	wanted := make(map[instance.Address]bool, len(addresses))
	for _, address := range addresses {
		wanted[address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.clients {
		if !wanted[address] {
			delete(c.clients, address)
		}
	}
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
}

func newHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:     dialer.DialContext,
		Protocols:       &protocols,
		IdleConnTimeout: time.Minute,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}
