package target_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/target"
)

const (
	connections = 8
	// never is longer than any run of these tests.
	never = time.Hour
	// deadline is longer than the silence limit and the user timeout.
	deadline = 5 * time.Second
)

// off has no mechanism against dead connections.
var off = target.Limits{IdleTimeout: never, MaxAge: never, KeepaliveCount: -1, UserTimeout: -1, ProbeAfter: -1}

func with(change func(l *target.Limits)) target.Limits {
	l := off
	change(&l)
	return l
}

// loss is what callers see of a loss of state in the middlebox.
type loss struct {
	lost int
	// recovery is the time from the loss to the end of the last lost request.
	recovery time.Duration
}

type way struct {
	name   string
	limits target.Limits
}

var ways = []way{
	{"off", off},
	{"keepalive", with(func(l *target.Limits) { l.KeepaliveCount = 0 })},
	{"keepalive+usertimeout", with(func(l *target.Limits) { l.KeepaliveCount, l.UserTimeout = 0, 0 })},
	{"idle", with(func(l *target.Limits) { l.IdleTimeout = 0 })},
	{"age=2s", with(func(l *target.Limits) { l.MaxAge = 2 * time.Second })},
	{"silence", with(func(l *target.Limits) { l.ProbeAfter = 0 })},
	{"all", target.Limits{}},
}

// TestDeadConnections guards against dead connections that are used one after the other, each costing
// a request. The first way shows the fault that the mechanism removes.
func TestDeadConnections(t *testing.T) {
	for _, packets := range []bool{false, true} {
		for _, way := range []way{ways[0], ways[len(ways)-1]} {
			t.Run(fmt.Sprintf("packets=%t/%s", packets, way.name), func(t *testing.T) {
				t.Parallel()
				got := afterLoss(t, way.limits, packets, 0)
				if way.name == "off" {
					require.Equal(t, connections, got.lost)
					return
				}
				require.LessOrEqual(t, got.lost, 1)
				require.Less(t, got.recovery, 2*time.Second)
			})
		}
	}
}

// TestDeadRequestEnds guards against an idempotent request that waits for its deadline on a dead
// connection, and against a kernel timeout that is reported as a broken target.
func TestDeadRequestEnds(t *testing.T) {
	for _, packets := range []bool{false, true} {
		for _, way := range []way{ways[2], ways[5]} {
			t.Run(fmt.Sprintf("packets=%t/%s", packets, way.name), func(t *testing.T) {
				t.Parallel()
				waited, err := waitOnDead(t, way.limits, packets, true, deadline)
				detected := packets || way.name == "silence"
				require.Equal(t, detected, target.IsDeadConnection(err), "%v after %s", err, waited)
				require.Equal(t, failure.OutcomeUnknown, failure.Of(err).Outcome())
				require.Equal(t, route.ResultNeutral, target.HealthResult(err))
			})
		}
	}
}

// TestSlowService guards against service times that are taken for dead connections: a request that must
// not be repeated is never given up, an idempotent one at most once until the target is known as slow.
func TestSlowService(t *testing.T) {
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-time.After(500 * time.Millisecond)
		}
		echo(w, r)
	}))
	send := func(transport *target.Transport, uri string, idempotent bool) error {
		r := request(address, "r", http.MethodPost, uri)
		r.Idempotent = idempotent
		_, err := transport.Send(testContext(t, 10*time.Second), r)
		return err
	}
	for _, idempotent := range []bool{false, true} {
		transport := &target.Transport{Limits: target.Limits{ProbeAfter: 20 * time.Millisecond, FirstByteTimeout: 100 * time.Millisecond}}
		require.NoError(t, send(transport, "/", idempotent))
		require.Equal(t, idempotent, target.IsDeadConnection(send(transport, "/slow", idempotent)))
		for range 3 {
			require.NoError(t, send(transport, "/slow", idempotent), "idempotent=%t", idempotent)
		}
	}
}

// BenchmarkDeadConnections measures each way; docs/retries.md cites the figures.
func BenchmarkDeadConnections(b *testing.B) {
	for _, packets := range []bool{false, true} {
		for _, way := range ways {
			for _, pause := range []time.Duration{0, time.Second, 3 * time.Second} {
				b.Run(fmt.Sprintf("between/packets=%t/%s/pause=%s", packets, way.name, pause), func(b *testing.B) {
					got := afterLoss(b, way.limits, packets, pause)
					b.ReportMetric(float64(got.lost), "lost")
					b.ReportMetric(got.recovery.Seconds(), "s-recovery")
				})
			}
			for _, idempotent := range []bool{true, false} {
				b.Run(fmt.Sprintf("waiting/packets=%t/%s/idempotent=%t", packets, way.name, idempotent), func(b *testing.B) {
					waited, _ := waitOnDead(b, way.limits, packets, idempotent, 15*time.Second)
					b.ReportMetric(waited.Seconds(), "s-waited")
				})
			}
		}
	}
}

// BenchmarkLossInBurst measures a loss of state while 4 callers send idempotent requests one after the
// other, each with a deadline of 5 s, on 8 connections.
func BenchmarkLossInBurst(b *testing.B) {
	const callers, each = 4, 200
	for _, packets := range []bool{false, true} {
		for _, way := range []way{ways[0], ways[len(ways)-1]} {
			b.Run(fmt.Sprintf("packets=%t/%s", packets, way.name), func(b *testing.B) {
				box, address := newMiddlebox(b, serve(b, http.HandlerFunc(echo)), packets)
				transport := &target.Transport{Limits: way.limits}
				r := request(address, "r", http.MethodGet, "/")
				r.Idempotent = true
				var lost, sent atomic.Int64
				var recovery atomic.Int64
				var lose sync.Once
				var lossAt time.Time
				send := func() {
					_, err := transport.Send(testContext(b, deadline), r)
					if err != nil {
						lost.Add(1)
						recovery.Store(int64(time.Since(lossAt)))
					}
				}
				var group sync.WaitGroup
				for range connections * 4 {
					group.Go(send)
				}
				group.Wait()
				for range callers {
					group.Go(func() {
						for range each {
							if sent.Add(1) == callers*each/4 {
								lose.Do(func() {
									lossAt = time.Now()
									box.Lose(b)
								})
							}
							send()
						}
					})
				}
				group.Wait()
				b.ReportMetric(float64(lost.Load()), "lost")
				b.ReportMetric(time.Duration(recovery.Load()).Seconds(), "s-recovery")
			})
		}
	}
}

// waitOnDead sends a request on a connection that has just lost its state, and
// returns how long it waited.
func waitOnDead(t testing.TB, limits target.Limits, packets, idempotent bool, deadline time.Duration) (time.Duration, error) {
	box, address := newMiddlebox(t, serve(t, http.HandlerFunc(echo)), packets)
	transport := &target.Transport{Limits: limits}
	r := request(address, "r", http.MethodPost, "/")
	r.Idempotent = idempotent
	_, err := transport.Send(testContext(t, time.Second), r)
	require.NoError(t, err)
	box.Lose(t)
	started := time.Now()
	_, err = transport.Send(testContext(t, deadline), r)
	require.Error(t, err)
	return time.Since(started), err
}

// afterLoss opens all connections, loses their state, pauses, and then sends requests one after the
// other, as between bursts. Each request is a POST with a deadline of 1 s.
func afterLoss(t testing.TB, limits target.Limits, packets bool, pause time.Duration) loss {
	box, address := newMiddlebox(t, serve(t, http.HandlerFunc(echo)), packets)
	transport := &target.Transport{Limits: limits}
	send := func(id int) error {
		r := request(address, target.RequestID(fmt.Sprint(id)), http.MethodPost, "/")
		r.MaxConnections = connections
		_, err := transport.Send(testContext(t, time.Second), r)
		return err
	}
	var group sync.WaitGroup
	for i := range connections * 4 {
		group.Go(func() { _ = send(i) })
	}
	group.Wait()
	box.Lose(t)
	<-time.After(pause)
	var result loss
	started := time.Now()
	for i, good := 0, 0; good < connections; i++ {
		if err := send(i); err != nil {
			result.lost++
			result.recovery = time.Since(started)
			good = 0
			continue
		}
		good++
	}
	return result
}
