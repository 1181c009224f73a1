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

// wire counts the bytes of connections in both directions.
type wire struct{ bytes atomic.Int64 }

type counted struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

// benchStatus is a report of the target size: four streams and a few failing targets.
func benchStatus(id instance.ID) *peer.Status {
	return &peer.Status{
		Entry: string(id), Incarnation: 1_790_000_000_000_000_000, Centre: "alpha", Ready: true, Config: 19_000,
		Offsets: map[string]int64{"config": 19_000, "fleet": 250_000, "job": 4_000_000, "claim": 9_000_000},
		Failing: []string{"alpha-target-0001", "alpha-target-0002"}, Silence: 40,
	}
}

// BenchmarkHeartbeat measures a round of heartbeats of one entry with all others on loopback: the bytes
// on the wire, the messages, and the processor time of both ends.
func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{9, 30, 100} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			w, list := serveAll(b, entries)
			g := &Group{Self: "entry-000", Clients: &peer.Clients{}, Status: func() *peer.Status { return benchStatus("entry-000") }}
			b.Cleanup(g.Clients.Close)
			g.SetList(list)
			g.exchange(b.Context())
			require.Len(b, g.LiveEntries(), entries)
			before, cpu := w.bytes.Load(), processorTime(b)
			for b.Loop() {
				g.exchange(b.Context())
			}
			rounds := float64(b.N)
			b.ReportMetric(float64(w.bytes.Load()-before)/rounds, "wire-B/round")
			b.ReportMetric(float64(processorTime(b)-cpu)/rounds, "cpu-ns/round")
			b.ReportMetric(float64(2*(entries-1)), "messages/round")
			b.ReportMetric(float64(proto.Size(benchStatus("entry-001"))), "status-B")
		})
	}
}

// reporter answers each heartbeat with its own report.
type reporter struct{ id instance.ID }

// Report implements peer.Reporter.
func (r reporter) Report(context.Context, *peer.Status) (*peer.Status, error) {
	return benchStatus(r.id), nil
}

// serveAll serves the peers of entry-000, each at its own address.
func serveAll(b *testing.B, entries int) (*wire, []upstream.Listing) {
	w := &wire{}
	var list []upstream.Listing
	for n := 1; n < entries; n++ {
		open, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		id := instance.ID(fmt.Sprintf("entry-%03d", n))
		server := peer.NewServer(peer.NewHandler(peer.Service{Reporter: reporter{id}}))
		go func() { _ = server.Serve(&listener{Listener: open, wire: w}) }()
		b.Cleanup(func() { _ = server.Close() })
		list = append(list, upstream.Listing{ID: id, Kind: instance.KindEntry, Address: instance.Address(open.Addr().String())})
	}
	return w, list
}

// listener accepts connections whose bytes are counted.
type listener struct {
	net.Listener
	wire *wire
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &counted{Conn: conn, wire: l.wire}, err
}

// processorTime returns the user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRank measures the rank of an entry for one decision.
func BenchmarkRank(b *testing.B) {
	for _, entries := range []int{9, 30, 100} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := &Group{Self: "entry-000", Clients: &peer.Clients{}}
			var list []upstream.Listing
			for n := 1; n < entries; n++ {
				list = append(list, upstream.Listing{ID: instance.ID(fmt.Sprintf("entry-%03d", n)), Kind: instance.KindEntry})
			}
			g.SetList(list)
			for _, l := range list {
				g.RecordStatus(benchStatus(l.ID))
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Rank("worker/alpha-worker-0001")
			}
		})
	}
}
