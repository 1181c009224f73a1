package job

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// lost is an answer that is lost after the effect of the call.
var lost = &upstream.CallError{Call: "test", Cause: &upstream.StatusError{Status: 502}}

// TestRun guards against a job that is not placed, started, finished or readable.
func TestRun(t *testing.T) {
	w := newWorld(t, 3)
	e := w.ready("entry-1")
	s := spec("echo")
	s.Input = "hello"
	id := e.submit(s)
	e.awaitStatus(5*time.Second, id, StatusDone)
	got := e.call(http.MethodGet, PathPrefix+"/"+string(id), "", "")
	require.Equal(t, http.StatusOK, got.Code)
	require.Contains(t, got.Body.String(), `"output":"hello"`)
	require.Len(t, w.runs(id), 1)
}

// TestLostAnswers guards against a job that runs twice because answers of workers and of the log are
// lost after their effect.
func TestLostAnswers(t *testing.T) {
	w := newWorld(t, 2)
	e := w.ready("entry-1")
	var mu sync.Mutex
	calls := map[string]int{}
	e.setWrap(func(_ instance.Address, client upstream.Worker) upstream.Worker {
		return &filter{Worker: client, around: func(call string, do func() error) error {
			err := do()
			mu.Lock()
			defer mu.Unlock()
			calls[call]++
			if calls[call]%2 == 1 {
				return lost
			}
			return err
		}}
	})
	w.log.SetFaults(appendlog.Faults{Lose: 3})
	id := e.submit(spec("sleep:8000"))
	e.awaitStatus(40*time.Second, id, StatusDone)
	require.Len(t, w.runs(id), 1)
	j, _ := e.state.Job(id)
	require.Equal(t, 1, j.Attempts)
}

// TestPausedHolder guards against a result that is taken from an attempt that has lapsed while its
// holder was paused, and against a lapse before the lease can have expired.
func TestPausedHolder(t *testing.T) {
	w := newWorld(t, 2)
	first := w.ready("entry-1")
	second := w.ready("entry-2")
	id := first.submit(spec("sleep:9000"))
	first.awaitStatus(5*time.Second, id, StatusRunning)
	second.awaitStatus(5*time.Second, id, StatusRunning)
	j, _ := first.state.Job(id)
	holder := w.workers[j.Placement.Worker].Listing().Address
	resume := make(chan struct{})
	unpause := sync.OnceFunc(func() { close(resume) })
	t.Cleanup(unpause)
	first.setWrap(func(_ instance.Address, client upstream.Worker) upstream.Worker {
		return &filter{Worker: client, around: func(_ string, do func() error) error {
			<-resume
			return do()
		}}
	})
	second.setWrap(func(address instance.Address, client upstream.Worker) upstream.Worker {
		return &filter{Worker: client, around: func(_ string, do func() error) error {
			if address == holder {
				return lost
			}
			return do()
		}}
	})
	w.setOwner("entry-2")
	took := w.until(40*time.Second, "second attempt", func() bool { j, _ := second.state.Job(id); return j.Attempts == 2 })
	require.GreaterOrEqual(t, took, lapseAfter)
	unpause()
	w.setOwner(everyone)
	second.setWrap(nil)
	first.awaitStatus(40*time.Second, id, StatusDone)
	w.pass(5 * time.Second)
	finishes := 0
	for _, c := range second.state.Audit(0) {
		if c.Kind == KindFinish && c.JobID == id {
			finishes++
			require.Equal(t, Epoch(2), c.Epoch)
		}
	}
	require.Equal(t, 1, finishes)
	require.Len(t, w.runs(id), 2)
}

// TestRace guards against a job that runs twice because two entries believe that they own everything.
func TestRace(t *testing.T) {
	w := newWorld(t, 4)
	w.setOwner(everyone)
	first, second := w.ready("entry-1"), w.ready("entry-2")
	var ids []ID
	for n := range 10 {
		ids = append(ids, []*entry{first, second}[n%2].submit(spec("sleep:700")))
	}
	for _, id := range ids {
		second.awaitStatus(30*time.Second, id, StatusDone)
		require.Len(t, w.runs(id), 1)
		j, _ := second.state.Job(id)
		require.Equal(t, 1, j.Attempts)
	}
}

// TestBadWorkerAndBadJob guards against a worker that fails everything and goes on or never returns, and
// against a job that can never run and uses up its limit, when both occur together.
func TestBadWorkerAndBadJob(t *testing.T) {
	w := newWorld(t, 5)
	e := w.ready("entry-1")
	for n := range 10 {
		id := e.submit(spec(fmt.Sprint("sleep:", 100+n)))
		e.awaitStatus(10*time.Second, id, StatusDone)
	}
	broken := w.workers["worker-1"]
	require.NoError(t, broken.Fault([]byte(`{"fail":"disk full"}`)))
	bad := spec("fail:no such file")
	bad.MaxAttempts = 20
	id := e.submit(bad)
	var good []ID
	for n := range 15 {
		s := spec(fmt.Sprint("sleep:", 300+n))
		s.MaxAttempts = 10
		good = append(good, e.submit(s))
	}
	e.awaitStatus(60*time.Second, id, StatusFailed)
	for _, g := range good {
		e.awaitStatus(60*time.Second, g, StatusDone)
	}
	j, _ := e.state.Job(id)
	require.Less(t, j.Attempts, bad.MaxAttempts)
	require.Contains(t, j.Result.Reason, "cannot run")
	w.until(10*time.Second, "quarantine", func() bool { return len(e.state.QuarantinedWorkers()) > 0 })
	q := e.state.QuarantinedWorkers()
	require.Len(t, q, 1)
	require.Equal(t, instance.ID("worker-1"), q[0].Worker)
	t.Logf("bad job ended after %d of %d attempts", j.Attempts, j.MaxAttempts)
	require.NoError(t, broken.Fault([]byte(`{"fail":""}`)))
	// One jump of the time is also a pause of the process, after which it reads the log first.
	w.manual.Advance(quarantineTime)
	w.until(10*time.Second, "restore", func() bool { return len(e.state.QuarantinedWorkers()) == 0 })
}

// TestCancelWave guards against a wave of cancellations that takes a record each, and against tasks of
// cancelled jobs that run on.
func TestCancelWave(t *testing.T) {
	const jobs = 1000
	w := newWorld(t, 2)
	e := w.ready("entry-1")
	var group sync.WaitGroup
	for n := range jobs {
		group.Go(func() {
			_, _ = e.proposer.Propose(context.Background(), KindSubmit, "red", &Submit{ID: ID(fmt.Sprint("j", n)), Spec: spec("sleep:600000")})
		})
	}
	w.until(30*time.Second, "submits", func() bool { open, _ := e.state.CountJobs(); return open == jobs })
	group.Wait()
	// The submits are concurrent, so any of the jobs may be the first ones.
	w.until(10*time.Second, "full workers", func() bool { return w.running() == 8 })
	before := e.follower.Offset()
	from := w.manual.Now()
	for n := range jobs {
		group.Go(func() {
			_, err := e.handler.cancel(context.Background(), ID(fmt.Sprint("j", n)))
			require.NoError(t, err)
		})
	}
	w.until(20*time.Second, "cancellations", func() bool { open, _ := e.state.CountJobs(); return open == 0 })
	group.Wait()
	cancels := 0
	for _, c := range e.state.Audit(before) {
		if c.Kind == KindCancel {
			cancels++
		}
	}
	t.Logf("%d jobs cancelled in %d records and %v", jobs, cancels, w.manual.Since(from))
	require.LessOrEqual(t, cancels, 5)
	w.until(3*time.Second, "tasks stopped", func() bool { return w.running() == 0 })
}

func (w *world) running() int {
	n := 0
	for _, emulated := range w.workers {
		n += emulated.Running()
	}
	return n
}

// TestSizes guards against workers that are overcommitted or idle for long because declared sizes are
// far off.
func TestSizes(t *testing.T) {
	w := newWorld(t, 1)
	e := w.ready("entry-1")
	submit := func(count int, s Spec) time.Duration {
		from := w.manual.Now()
		var ids []ID
		for range count {
			ids = append(ids, e.submit(s))
		}
		for _, id := range ids {
			e.awaitStatus(200*time.Second, id, StatusDone)
		}
		return w.manual.Since(from)
	}
	small := spec("usage:1:20000:4000")
	small.Size = Size{Cores: 1, Memory: 10}
	small.MaxAttempts = 6
	took := submit(12, small)
	fails := 0
	for _, r := range w.workers["worker-0"].Journal() {
		if r.State == upstream.TaskFailed {
			fails++
		}
	}
	t.Logf("12 jobs declared 2000 times too small: %v, %d runs out of memory", took, fails)
	require.LessOrEqual(t, fails, 24)
	large := spec("usage:1:100:2000")
	large.Size = Size{Cores: 16, Memory: 60000}
	took = submit(16, large)
	t.Logf("16 jobs declared 16 times too large: %v, one after the other takes at least 32s", took)
	require.Less(t, took, 25*time.Second)
}

// TestOutage guards against running jobs that end, and new ones that start, while the log is down.
func TestOutage(t *testing.T) {
	w := newWorld(t, 2)
	e := w.ready("entry-1")
	long := e.submit(spec("sleep:40000"))
	e.awaitStatus(5*time.Second, long, StatusRunning)
	w.log.SetFaults(appendlog.Faults{Down: true})
	w.pass(5 * time.Second)
	refused := e.call(http.MethodPost, PathPrefix, `{"pool":"p","team":"red","command":"echo","cores":1,"memory":1,"limit":1}`, "")
	require.Equal(t, http.StatusServiceUnavailable, refused.Code, refused.Body)
	require.Contains(t, refused.Body.String(), `"outcome":"notrun"`)
	w.pass(15 * time.Second)
	require.Equal(t, 1, w.running(), "the running job goes on, and nothing else runs")
	w.log.SetFaults(appendlog.Faults{})
	e.awaitStatus(40*time.Second, long, StatusDone)
	require.Len(t, w.runs(long), 1)
	open, ended := e.state.CountJobs()
	require.Equal(t, 1, open+ended, "the refused submit must never run")
}

// TestRestart guards against a job that is lost or runs twice when its entry is replaced, and against
// one that waits for ever when its worker crashes.
func TestRestart(t *testing.T) {
	w := newWorld(t, 2)
	e := w.ready("entry-1")
	id := e.submit(spec("sleep:12000"))
	e.awaitStatus(5*time.Second, id, StatusRunning)
	e.stop()
	w.pass(4 * time.Second)
	e = w.ready("entry-1")
	e.awaitStatus(20*time.Second, id, StatusDone)
	require.Len(t, w.runs(id), 1)
	id = e.submit(spec("sleep:12000"))
	e.awaitStatus(5*time.Second, id, StatusRunning)
	j, _ := e.state.Job(id)
	crashed := w.workers[j.Placement.Worker]
	require.NoError(t, crashed.Fault([]byte(`{"off":true}`)))
	took := w.until(40*time.Second, "second attempt", func() bool { j, _ := e.state.Job(id); return j.Attempts == 2 })
	t.Logf("second attempt %v after the crash of the worker", took)
}

// TestHandover guards against a lease that expires because the owner of the worker changes.
func TestHandover(t *testing.T) {
	w := newWorld(t, 1)
	first, second := w.ready("entry-1"), w.ready("entry-2")
	id := first.submit(spec("sleep:30000"))
	first.awaitStatus(5*time.Second, id, StatusRunning)
	for n := range 4 {
		w.setOwner([]instance.ID{"entry-2", "entry-1"}[n%2])
		w.pass(5 * time.Second)
	}
	second.awaitStatus(20*time.Second, id, StatusDone)
	require.Len(t, w.runs(id), 1)
}

// TestUrgent guards against urgent work that waits for other work to end.
func TestUrgent(t *testing.T) {
	w := newWorld(t, 4)
	e := w.ready("entry-1")
	var held []ID
	for range 16 {
		held = append(held, e.submit(spec("sleep:60000")))
	}
	for _, id := range held {
		e.awaitStatus(20*time.Second, id, StatusRunning)
	}
	var longest time.Duration
	for n := range 6 {
		s := spec("sleep:30000")
		s.Urgent, s.Team = true, "blue"
		s.Cores = []int{4, 8, 16}[n%3]
		from := w.manual.Now()
		id := e.submit(s)
		w.until(10*time.Second, "urgent start", func() bool { return len(w.runs(id)) == 1 })
		longest = max(longest, w.manual.Since(from))
	}
	t.Logf("urgent jobs on a full pool started after at most %v", longest)
	require.LessOrEqual(t, longest, 2*time.Second)
	for _, id := range held {
		e.awaitStatus(300*time.Second, id, StatusDone)
	}
}

// TestPlacedPerAppend guards against an append for each placement.
func TestPlacedPerAppend(t *testing.T) {
	w := newWorld(t, 16)
	e := w.ready("entry-1")
	const jobs = 200
	w.log.SetFaults(appendlog.Faults{Slow: 50})
	for n := range jobs {
		s := spec("sleep:100000")
		s.Cores = 1
		go func() {
			_, _ = e.proposer.Propose(context.Background(), KindSubmit, "red", &Submit{ID: ID(fmt.Sprint("j", n)), Spec: s})
		}()
	}
	w.until(30*time.Second, "placements", func() bool { return len(e.state.QueuedJobs("p")) == 0 && e.status("j0") != "" && placed(e) == jobs })
	count := w.log.Counts()[record.StreamJob]
	t.Logf("%d jobs submitted, placed and started: %d records in %d appends", jobs, count.Records, count.Appends)
	require.LessOrEqual(t, count.Appends, jobs/4)
}

func placed(e *entry) int {
	n := 0
	for _, id := range e.state.WorkersWithActiveJobs() {
		n += len(e.state.ActiveJobs(id))
	}
	return n
}
