package peer

import (
	"net"
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/intake"
)

const (
	dialTimeout = 500 * time.Millisecond
	// A connection that has received nothing for pingAfter is probed with a ping and closed if the response
	// takes longer than pingTimeout. A connection whose state a middlebox has dropped is thus closed after
	// 2 s, which is less than the 3 s after which an entry is no longer considered live.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// maxAnswerBytes limits an answer. The largest one is the state of a stream, which also fits a record of the log.
	maxAnswerBytes = 64 << 20
	// maxConnsPerPeer is the number of connections to a peer. Without it, each call of a burst dials until the first connection is
	// established, and the peer closes what exceeds its limit, also if a call has just been sent on it.
	maxConnsPerPeer = 4
)

// Clients holds one client for each peer address; all of them share one HTTP client. The zero value is ready
// to use.
type Clients struct {
	mu      sync.Mutex
	clients map[instance.Address]Peer
	// httpClient is nil until the first call of Get.
	httpClient *http.Client
}

// Get returns the client for an address and creates it if necessary.
func (c *Clients) Get(address instance.Address) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if c.httpClient == nil {
		c.httpClient = newHTTPClient()
		c.clients = map[instance.Address]Peer{}
	}
	client := NewPeerProtobufClient("http://"+string(address), c.httpClient)
	c.clients[address] = client
	return client
}

// Keep removes the clients of all addresses that are not listed, so that the clients of replaced entries do
// not accumulate.
func (c *Clients) Keep(addresses []instance.Address) {
	listed := make(map[instance.Address]bool, len(addresses))
	for _, address := range addresses {
		listed[address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.clients {
		if !listed[address] {
			delete(c.clients, address)
		}
	}
}

// Close closes the idle connections of all clients.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.httpClient != nil {
		c.httpClient.CloseIdleConnections()
	}
}

func newHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: intake.NewAnswers(&http.Transport{
		DialContext:     dialer.DialContext,
		Protocols:       &protocols,
		IdleConnTimeout: time.Minute,
		MaxConnsPerHost: maxConnsPerPeer,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}, maxAnswerBytes)}
}
