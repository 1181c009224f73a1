package member

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// byteCounter counts the bytes of connections in both directions.
type byteCounter struct{ bytes atomic.Int64 }

type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// benchStatus returns a status report of typical size: four streams and two failing targets.
func benchStatus(id instance.ID) *peer.Status {
	return &peer.Status{
		Entry: string(id), Incarnation: 1_790_000_000_000_000_000, Centre: "alpha", Ready: true, Config: 19_000,
		Offsets: map[string]int64{"config": 19_000, "fleet": 250_000, "job": 4_000_000, "claim": 9_000_000},
		Failing: []string{"alpha-target-0001", "alpha-target-0002"}, Silence: 40,
	}
}

// BenchmarkHeartbeat measures a round of heartbeats between one entry and all others on the loopback
// interface: the bytes on the wire, the messages, and the CPU time of both ends.
func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{9, 30, 100} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			counter, list := servePeers(b, entries)
			g := &Group{Self: "entry-000", Clients: &peer.Clients{}, Status: func() *peer.Status { return benchStatus("entry-000") }}
			b.Cleanup(g.Clients.Close)
			g.SetList(list)
			g.exchange(b.Context())
			require.Len(b, g.LiveEntries(), entries)
			startBytes, startCPU := counter.bytes.Load(), cpuTime(b)
			for b.Loop() {
				g.exchange(b.Context())
			}
			rounds := float64(b.N)
			b.ReportMetric(float64(counter.bytes.Load()-startBytes)/rounds, "wire-B/round")
			b.ReportMetric(float64(cpuTime(b)-startCPU)/rounds, "cpu-ns/round")
			b.ReportMetric(float64(2*(entries-1)), "messages/round")
			b.ReportMetric(float64(proto.Size(benchStatus("entry-001"))), "status-B")
		})
	}
}

// reporter answers each heartbeat with its own status report.
type reporter struct{ id instance.ID }

// Report implements peer.Reporter.
func (r reporter) Report(context.Context, *peer.Status) (*peer.Status, error) {
	return benchStatus(r.id), nil
}

// servePeers serves the peers of entry-000, each at its own address.
func servePeers(b *testing.B, entries int) (*byteCounter, []upstream.Instance) {
	counter := &byteCounter{}
	var list []upstream.Instance
	for n := 1; n < entries; n++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		id := instance.ID(fmt.Sprintf("entry-%03d", n))
		server := peer.NewServer(peer.NewHandler(peer.Service{Reporter: reporter{id}}))
		go func() { _ = server.Serve(&countingListener{Listener: listener, counter: counter}) }()
		b.Cleanup(func() { _ = server.Close() })
		list = append(list, upstream.Instance{ID: id, Kind: instance.KindEntry, Address: instance.Address(listener.Addr().String())})
	}
	return counter, list
}

// countingListener accepts connections whose bytes are counted.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, counter: l.counter}, err
}

// cpuTime returns the user and system time of this process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRank measures the ranking of an entry for one key.
func BenchmarkRank(b *testing.B) {
	for _, entries := range []int{9, 30, 100} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := &Group{Self: "entry-000", Clients: &peer.Clients{}}
			var list []upstream.Instance
			for n := 1; n < entries; n++ {
				list = append(list, upstream.Instance{ID: instance.ID(fmt.Sprintf("entry-%03d", n)), Kind: instance.KindEntry})
			}
			g.SetList(list)
			for _, listedInstance := range list {
				g.RecordStatus(benchStatus(listedInstance.ID))
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Rank("worker/alpha-worker-0001")
			}
		})
	}
}
