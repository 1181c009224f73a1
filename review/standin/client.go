package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	clientRetries  = 10
	retryPause     = 300 * time.Millisecond
	host           = "jobs.example"
)

// answer is the answer to a request of a client. Status is 0 if there was none.
type answer struct {
	status int
	body   string
}

// call sends one request of a client to an entry.
func (d *deployment) call(e *entry, method, path string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.caller+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	d.journal.logf("client: %s %s to entry %d", method, path, e.number)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.journal.logf("client: %s %s to entry %d: no answer: %v", method, path, e.number, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		d.journal.logf("client: %s %s to entry %d: broken answer: %v", method, path, e.number, err)
		return answer{}
	}
	d.journal.logf("client: %s %s to entry %d: %d %s", method, path, e.number, response.StatusCode, data)
	return answer{status: response.StatusCode, body: string(data)}
}

// stepWire is a step of a job as clients hand it in.
type stepWire struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"mem_mb"`
	Estimate     int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Checkpoints  bool   `json:"checkpoints,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// submit hands a job in, with retries at other entries, until it is accepted. The steps run one after the other.
func (d *deployment) submit(first *entry, prefix, id string, steps []stepInfo, antiAffinity int) error {
	wires := make([]stepWire, 0, len(steps))
	for i, s := range steps {
		wire := stepWire{
			Count: s.count, CPU: s.cpu, Memory: 256, Estimate: s.work.Milliseconds(), Gang: s.gang, Checkpoints: s.checkpoints,
			LongRunning: s.lasting, AntiAffinity: antiAffinity, MayMiss: s.mayMiss,
		}
		if i > 0 {
			wire.After = []int{i - 1}
		}
		wires = append(wires, wire)
	}
	body, err := json.Marshal(map[string]any{"spec": "work of " + id, "steps": wires})
	if err != nil {
		return err
	}
	d.world.mu.Lock()
	d.world.jobs[id] = &jobInfo{steps: steps}
	d.world.mu.Unlock()
	for attempt := range clientRetries {
		e := d.entries[(first.number-1+attempt)%len(d.entries)]
		if attempt == 0 {
			e = first
		}
		a := d.call(e, http.MethodPost, prefix+id, body)
		if a.status >= http.StatusOK && a.status < http.StatusMultipleChoices {
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job as an entry shows it.
func (d *deployment) state(e *entry, prefix, id string) string {
	a := d.call(e, http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return strconv.Itoa(a.status)
	}
	return body.State
}

// jobID returns the id of a job: 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// route is a queue of the configuration.
type route struct {
	name, service string
	advice        bool
}

// prefix returns the path prefix of a queue.
func (r route) prefix() string { return "/" + strings.TrimPrefix(r.name, "r-") + "/" }

// publish publishes a configuration.
func (d *deployment) publish(version int, routes []route, services ...string) error {
	var routeList, serviceList []map[string]any
	for _, r := range routes {
		wire := map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix(), "type": "non_idempotent", "timeout_ms": clientDeadline.Milliseconds(),
			"target_latency_ms": 600, "priority": 0, "service": r.service, "max_attempts": 2, "stretch": 1.6,
		}
		if r.advice {
			wire["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "per_worker_ms": 0, "valid_ms": ticketValidity.Milliseconds()}
		}
		routeList = append(routeList, wire)
	}
	for _, s := range services {
		serviceList = append(serviceList, map[string]any{"name": s, "health_path": "/health", "max_connections": 64, "enforces_capacity": false, "spare": false})
	}
	data, err := json.Marshal(map[string]any{"version": version, "routes": routeList, "services": serviceList, "limits": map[string]any{"max_body_bytes": 262144}})
	if err != nil {
		return err
	}
	d.journal.logf("operator: configuration %d: %s", version, data)
	d.store.put("keyed.op", "config", data)
	return nil
}
