package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

const (
	// maintenanceTarget is the target whose maintenance is due, because it was admitted long ago.
	maintenanceTarget    instance.ID = "alpha-target-5"
	maintenanceTargetAge             = 20 * 24 * time.Hour
	author               string      = "demo"
	// keyedRequests is the number of requests with an idempotency key. Each is sent twice.
	keyedRequests = 30
	// slowRequestMS is the service time in milliseconds of the requests that are in flight during the shutdown.
	slowRequestMS = 800
)

// writeHistory appends the record that maintenanceTarget was admitted before the demo began.
func (d *demo) writeHistory() error {
	listedInstance := d.fleet.Target(maintenanceTarget).ListedInstance()
	body, err := json.Marshal(fleet.Admit{
		RecordHeader: fleet.RecordHeader{ID: listedInstance.ID, Reason: "admitted before the demo"}, InstanceKind: instance.KindTarget, Pool: "batch",
		Incarnation: listedInstance.Incarnation, Address: listedInstance.Address, Centre: listedInstance.Centre, Rack: listedInstance.Rack,
	})
	if err != nil {
		return err
	}
	data, err := record.Encode(record.Envelope{
		ID: record.ID{Writer: record.Writer{Entry: "earlier", Incarnation: 1}, Sequence: 1}, Kind: "admit",
		Time: d.Timer.Now().Add(-maintenanceTargetAge).UTC(), Author: record.Author(author), Body: body,
	})
	if err != nil {
		return err
	}
	_, err = d.fleet.Platform.Log.Append(context.Background(), record.StreamFleet, []json.RawMessage{data})
	return err
}

// publish publishes the embedded configuration and waits until it is in force at all entries.
func (d *demo) publish(ctx context.Context) (string, error) {
	var err error
	if d.files, err = readFiles(); err != nil {
		return "", err
	}
	request := admin.PublishRequest{Author: record.Author(author), Reason: "first configuration"}
	for _, f := range d.files {
		request.Files = append(request.Files, config.FileChange{Name: f.Name, BaseVersion: config.NoVersion, Content: f.Data})
	}
	var response admin.PublishResponse
	if err := d.eventually(ctx, "publish", func() (bool, error) {
		response, err = d.clients[0].Publish(ctx, request, false)
		return err == nil, err
	}); err != nil {
		return "", err
	}
	start := d.Timer.Now()
	if err := d.awaitVersion(ctx, int64(response.Version)); err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d in force at all entries after %v", response.Version, d.Timer.Since(start).Round(time.Millisecond)), nil
}

// awaitAdmission waits until all instances are admitted to a pool and all entries are ready.
func (d *demo) awaitAdmission(ctx context.Context) (string, error) {
	if err := d.eventually(ctx, "pools at their size", func() (bool, error) {
		status, err := d.clients[1].Status(ctx)
		if err != nil || !status.Ready || len(status.Instances) < len(d.fleet.Targets)+len(d.fleet.Workers) {
			return false, err
		}
		return d.allReady(), nil
	}); err != nil {
		return "", err
	}
	return "every instance belongs to one pool; all entries are ready", nil
}

func (d *demo) allReady() bool {
	for _, e := range d.entries {
		if !e.Status().Ready {
			return false
		}
	}
	return true
}

// callerResponse is the status, the outcome header and the body of the response to a caller.
type callerResponse struct {
	status  int
	outcome failure.Outcome
	body    string
}

// callEntry sends a request to the entry with the given index, as a caller does. An empty key stands for no
// idempotency key.
func (d *demo) callEntry(ctx context.Context, entry int, method, path, key string, body string) (callerResponse, error) {
	address := "http://" + string(d.entries[entry].Addresses().Callers) + path
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Header.Set("Hibiscuslane-Team", "default")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, failure.Outcome(response.Header.Get(failure.HeaderOutcome)), string(data)}, err
}

// sendRequests sends requests with and without idempotency keys. It repeats each one with a key at another entry, which
// must return the same response.
func (d *demo) sendRequests(ctx context.Context) (string, error) {
	for i := range keyedRequests {
		if got, err := d.callEntry(ctx, i%3, http.MethodGet, "/hello", "", ""); err != nil || got.outcome != failure.OutcomeAnswered {
			return "", newOutcomeError("GET", got, err)
		}
		key := fmt.Sprint("order-", i)
		first, err := d.callEntry(ctx, i%3, http.MethodPost, "/orders", key, "one seat")
		if err != nil || first.outcome != failure.OutcomeAnswered {
			return "", newOutcomeError("POST", first, err)
		}
		again, err := d.callEntry(ctx, (i+1)%3, http.MethodPost, "/orders", key, "one seat")
		if err != nil || again != first {
			return "", newOutcomeError("repeated POST", again, err)
		}
	}
	return fmt.Sprintf("%d answered; %d of them repeated through another entry got the recorded answer", 3*keyedRequests, keyedRequests), nil
}

// newOutcomeError returns an error that describes an unexpected response and has err, which may be nil, as its cause.
func newOutcomeError(what string, got callerResponse, err error) error {
	return &StepError{Step: what, Reason: fmt.Sprintf("status %d, outcome %q, %s", got.status, got.outcome, got.body), Cause: err}
}

func (d *demo) runJob(ctx context.Context) (string, error) {
	body := `{"pool":"batch","team":"default","command":"echo","input":"done by a worker","cores":1,"memory":256,"time":1000,"limit":2}`
	got, err := d.callEntry(ctx, 0, http.MethodPost, "/-/jobs", "job-1", body)
	if err != nil || got.status != http.StatusAccepted {
		return "", newOutcomeError("submit", got, err)
	}
	var submitted, shown struct {
		ID     string          `json:"id"`
		Status string          `json:"status"`
		Worker string          `json:"worker"`
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal([]byte(got.body), &submitted); err != nil {
		return "", err
	}
	if err := d.eventually(ctx, "job done", func() (bool, error) {
		got, err := d.callEntry(ctx, 2, http.MethodGet, "/-/jobs/"+submitted.ID, "", "")
		if err != nil {
			return false, err
		}
		err = json.Unmarshal([]byte(got.body), &shown)
		return shown.Status == "done", err
	}); err != nil {
		return "", err
	}
	return fmt.Sprintf("submitted at entry-1, run on %s, read at entry-3: %s", shown.Worker, shown.Result), nil
}

// awaitMaintenance waits until maintenanceTarget has been drained, rebooted and readmitted. Meanwhile it sends
// requests to the pool of the target and counts those that are answered.
func (d *demo) awaitMaintenance(ctx context.Context) (string, error) {
	served := 0
	err := d.eventually(ctx, "maintenance of "+string(maintenanceTarget), func() (bool, error) {
		got, err := d.callEntry(ctx, served%3, http.MethodGet, "/batch/report", "", "")
		if err != nil || got.outcome != failure.OutcomeAnswered {
			return false, newOutcomeError("request during maintenance", got, err)
		}
		served++
		i, ok := d.findInstance(maintenanceTarget)
		return ok && i.Incarnation > 1 && i.Phase == instance.PhaseActive, nil
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s drained, rebooted and rejoined batch; %d requests to the pool were answered meanwhile", maintenanceTarget, served), nil
}

func (d *demo) findInstance(id instance.ID) (fleet.Instance, bool) {
	for _, i := range d.entries[1].Status().Instances {
		if i.ID == id {
			return i, true
		}
	}
	return fleet.Instance{}, false
}

// resizePool returns a change of the overlay of a site that sets the number of targets in a pool.
func (d *demo) resizePool(ctx context.Context, name site.Name, p pool.Name, targets int) (config.FileChange, error) {
	response, err := d.clients[0].Config(ctx)
	if err != nil {
		return config.FileChange{}, err
	}
	file := config.OverlayFile(name)
	for _, f := range response.Files {
		if f.Name != file {
			continue
		}
		tree, err := decodeObject(f.Content)
		if err != nil {
			return config.FileChange{}, err
		}
		pools, _ := tree["pools"].(map[string]any)
		spec, _ := pools[string(p)].(map[string]any)
		size, _ := spec["size"].(map[string]any)
		if size == nil {
			return config.FileChange{}, &StepError{Step: "resize", Reason: "pool has no size in the overlay"}
		}
		size["targets"] = targets
		content, err := json.Marshal(tree)
		return config.FileChange{Name: file, BaseVersion: f.Version, Content: content}, err
	}
	return config.FileChange{}, &StepError{Step: "resize", Reason: "overlay is not published"}
}

// moveInstance enlarges pool web at alpha by one target and waits until a target has moved into it.
func (d *demo) moveInstance(ctx context.Context) (string, error) {
	change, err := d.resizePool(ctx, "alpha", "web", 3)
	if err != nil {
		return "", err
	}
	response, err := d.clients[0].Publish(ctx, admin.PublishRequest{
		Files: []config.FileChange{change}, Author: record.Author(author), Reason: "web needs one more target at alpha",
	}, false)
	if err != nil {
		return "", err
	}
	var moved fleet.Instance
	if err := d.eventually(ctx, "move into web", func() (bool, error) {
		for _, i := range d.entries[1].Status().Instances {
			if i.Kind == instance.KindTarget && i.Pool == "web" && i.Incarnation > 1 && i.Phase == instance.PhaseActive {
				moved = i
				return true, nil
			}
		}
		return false, nil
	}); err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d: %s moved from spare to web by drain, reboot, join", response.Version, moved.ID), nil
}

// publishConflict publishes two changes that are based on the same version. The second must be refused.
func (d *demo) publishConflict(ctx context.Context) (string, error) {
	change, err := d.resizePool(ctx, "beta", "web", 2)
	if err != nil {
		return "", err
	}
	change.Content = append(change.Content, ' ')
	request := admin.PublishRequest{Files: []config.FileChange{change}, Author: record.Author(author), Reason: "first of two"}
	if _, err := d.clients[0].Publish(ctx, request, false); err != nil {
		return "", err
	}
	request.Reason = "second of two"
	_, err = d.clients[1].Publish(ctx, request, false)
	if err == nil || failure.Of(err).Code() != failure.CodeConflict {
		return "", &StepError{Step: "second publish", Reason: "was not refused as a conflict", Cause: err}
	}
	return "two publishes based on the same version: the first is in force, the second was refused", nil
}

// shutDownEntry stops an entry while requests are in flight, all of which must be answered.
func (d *demo) shutDownEntry(ctx context.Context) (string, error) {
	const callers = 8
	results := make([]error, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			got, err := d.callEntry(ctx, 0, http.MethodPost, fmt.Sprint("/slow?time=", slowRequestMS), "", "")
			if err != nil || got.outcome != failure.OutcomeAnswered {
				results[i] = newOutcomeError("request during shutdown", got, err)
			}
		})
	}
	if err := d.eventually(ctx, "requests in flight", func() (bool, error) { return d.slowRequestsRunning() == callers, nil }); err != nil {
		return "", err
	}
	d.entries[0].cancel()
	group.Wait()
	for _, err := range results {
		if err != nil {
			return "", err
		}
	}
	if err := d.entries[0].wait(); err != nil {
		return "", err
	}
	return fmt.Sprintf("entry-1 answered %d requests in flight and exited", callers), nil
}

// slowRequestsRunning returns the number of slow requests that targets are executing.
func (d *demo) slowRequestsRunning() int {
	count := 0
	for _, t := range d.fleet.Targets {
		for _, e := range t.Journal() {
			if e.End == nil && e.Path == "/slow" {
				count++
			}
		}
	}
	return count
}

// checkExecutions checks in the journals of the targets that each keyed request was executed exactly once.
func (d *demo) checkExecutions(context.Context) (string, error) {
	counts := map[string]int{}
	for _, t := range d.fleet.Targets {
		for _, e := range t.Journal() {
			if e.Key != "" {
				counts[e.Key]++
			}
		}
	}
	for key, n := range counts {
		if n != 1 {
			return "", &StepError{Step: key, Reason: fmt.Sprintf("executed %d times", n)}
		}
	}
	if len(counts) != keyedRequests {
		return "", &StepError{Step: "journal", Reason: fmt.Sprintf("%d keys executed, want %d", len(counts), keyedRequests)}
	}
	return fmt.Sprintf("the targets' journals show %d keyed requests, each executed once", keyedRequests), nil
}
