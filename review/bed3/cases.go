package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	daemonCount = 3
	settleTime  = 2 * time.Second
	// service is the one service of the scripts.
	service = "pledges"
)

// deploy publishes a configuration, starts executors and the processes, and waits until they serve.
func (b *bed) deploy(executors int) error {
	b.publish(1)
	for range executors {
		if _, err := b.addExecutor("a"); err != nil {
			return err
		}
	}
	for range daemonCount {
		if _, err := b.startDaemon(); err != nil {
			return err
		}
	}
	for _, d := range b.daemons {
		if err := b.awaitReady(d); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// step returns a step of a job.
func step(count, cpu, estimateMS int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": estimateMS}
}

// awaitEnd asks for the state of a job, at one process after the other, until it is final or the time is over.
func (b *bed) awaitEnd(id string, limit time.Duration) string {
	state := ""
	for n, giveUp := 0, time.Now().Add(limit); time.Now().Before(giveUp); n++ {
		state = b.state(b.daemons[n%len(b.daemons)], id)
		if state == "completed" || state == "failed" || state == "cancelled" {
			return state
		}
		time.Sleep(400 * time.Millisecond)
	}
	return state
}

// playCrash lets the executor of a job's only task crash half a second after the task has started there, twice.
func playCrash(b *bed, trouble bool) (string, error) {
	const id = "00000000000000a1"
	if err := b.deploy(9); err != nil {
		return "", err
	}
	crashes := 0
	if trouble {
		b.mu.Lock()
		b.onStart = func(e *executor, _ *runRecord) {
			b.mu.Lock()
			crashes++
			mayCrash := crashes <= 2
			b.mu.Unlock()
			if !mayCrash {
				return
			}
			time.Sleep(500 * time.Millisecond)
			e.crash()
			time.Sleep(1500 * time.Millisecond)
			if err := b.succeed(e); err != nil {
				b.rec.log("the next executor on %s cannot begin: %v", e.machine, err)
			}
		}
		b.mu.Unlock()
	}
	if err := b.submit(b.daemons[0], id, map[string]any{"spec": "ms=1000", "steps": []any{step(1, 880, 1000)}}); err != nil {
		return "", err
	}
	state := b.awaitEnd(id, 30*time.Second)
	failed := 0
	for _, r := range b.runsOf(id + ".0.0.0") {
		if r.how == "failed" {
			failed++
		}
	}
	if state != "completed" {
		return fmt.Sprintf("LOST: an accepted job that nobody cancelled is shown as %q; %d of its runs ended failed, max_attempts is 3", state, failed), nil
	}
	return "", nil
}

// overlap returns two runs of one task that were at work at the same time.
func (b *bed) overlap() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	until := func(r *runRecord) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	for i, first := range b.runs {
		for _, second := range b.runs[i+1:] {
			if first.task != second.task || !second.began.Before(until(first)) || !first.began.Before(until(second)) {
				continue
			}
			return fmt.Sprintf("TWICE: %s runs on %s (run %d) and for %s at the same time on %s (run %d)", first.task, first.executor, first.run,
				min(until(first).Sub(second.began), until(second).Sub(second.began)).Round(time.Millisecond), second.executor, second.run)
		}
	}
	return ""
}

// awaitHeartbeat waits until an executor has just written to the store, so that its next heartbeat is a heartbeat interval away.
func (b *bed) awaitHeartbeat(id string) {
	for _, e := range b.currentExecutors() {
		if e.id != id {
			continue
		}
		for written := e.written(); e.written() == written; {
			time.Sleep(pollPeriod)
		}
	}
}

// playOddEntry lets another writer write one entry with missing fields under the id of an executor that is at work.
func playOddEntry(b *bed, trouble bool) (string, error) {
	const id = "00000000000000b2"
	if err := b.deploy(4); err != nil {
		return "", err
	}
	if err := b.submit(b.daemons[0], id, map[string]any{"spec": "ms=6000", "steps": []any{step(1, 880, 6000)}}); err != nil {
		return "", err
	}
	time.Sleep(1500 * time.Millisecond)
	runs := b.runsOf(id + ".0.0.0")
	if len(runs) != 1 {
		return "", fmt.Errorf("%d runs of the task before the disruption", len(runs))
	}
	if trouble {
		var other *executor
		for _, e := range b.executors {
			if e.id != runs[0].executor {
				other = e
			}
		}
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": other.address, "state": "ready", "capacity": map[string]int64{"cpu": 16000, "mem_mb": 65536, "gpu": 0},
		})
		b.awaitHeartbeat(runs[0].executor)
		b.rec.log("another writer writes servers/%s: %s", runs[0].executor, entry)
		b.store.Put("keyed.servers", runs[0].executor, entry)
	}
	if state := b.awaitEnd(id, 30*time.Second); state != "completed" {
		return fmt.Sprintf("LOST: the job is shown as %q", state), nil
	}
	return b.overlap(), nil
}

// playLabel restarts an executor as one of another kind, while tasks wait that require the kind that it had.
func playLabel(b *bed, trouble bool) (string, error) {
	const id = "00000000000000c3"
	if err := b.deploy(2); err != nil {
		return "", err
	}
	s := step(12, 4000, 1500)
	s["requirements"] = "a"
	if err := b.submit(b.daemons[0], id, map[string]any{"spec": "ms=1500", "steps": []any{s}}); err != nil {
		return "", err
	}
	time.Sleep(600 * time.Millisecond)
	wrong := ""
	e := b.executors[0]
	b.mu.Lock()
	b.onStart = func(on *executor, r *runRecord) {
		if on.kind != "a" {
			b.mu.Lock()
			wrong = fmt.Sprintf("ROUTE: %s, which requires the label a, starts on %s, which has the label %s", r.task, on.id, on.kind)
			b.mu.Unlock()
		}
	}
	b.mu.Unlock()
	e.crash()
	time.Sleep(600 * time.Millisecond)
	if trouble {
		e.kind = "b"
	}
	if err := e.start(); err != nil {
		return "", err
	}
	e.register()
	if state := b.awaitEnd(id, 40*time.Second); state != "completed" {
		return fmt.Sprintf("LOST: the job is shown as %q", state), nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return wrong, nil
}

// playSuccessor lets an agent on the machine of an idle executor write one entry with missing fields under an id of its own. The
// executor is the only one with the label that a job requires.
func playSuccessor(b *bed, trouble bool) (string, error) {
	const id = "00000000000000d4"
	if err := b.deploy(3); err != nil {
		return "", err
	}
	e, err := b.addExecutor("b")
	if err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	if trouble {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": b.prefix + ".250:9", "state": "ready", "capacity": map[string]int64{"cpu": 16000, "mem_mb": 65536, "gpu": 0},
			"machine": e.machine, "born": time.Now().UnixMilli(),
		})
		b.rec.log("another writer writes servers/agent-1: %s", entry)
		b.store.Put("keyed.servers", "agent-1", entry)
		time.Sleep(settleTime)
	}
	s := step(1, 880, 1000)
	s["requirements"] = "b"
	accepted := time.Now()
	if err := b.submit(b.daemons[0], id, map[string]any{"spec": "ms=1000", "steps": []any{s}}); err != nil {
		return "", err
	}
	state := b.awaitEnd(id, 45*time.Second)
	if state != "completed" {
		return fmt.Sprintf("LOST: %s after it was accepted, the job is shown as %q and its task was started %d times; %s with the label b is idle",
			time.Since(accepted).Round(time.Second), state, len(b.runsOf(id+".0.0.0")), e), nil
	}
	return "", nil
}
