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
	// veteran is the target that was admitted so long ago that its maintenance is due.
	veteran    instance.ID = "alpha-target-5"
	veteranAge             = 20 * 24 * time.Hour
	author     string      = "demo"
	keyed                  = 30
	// slow is the service time in milliseconds of the requests in flight during the shutdown.
	slow = 800
)

// history writes the record of an instance that was admitted before the demo began.
func (r *run) history() error {
	listing := r.fleet.Target(veteran).Listing()
	body, err := json.Marshal(fleet.Admit{
		RecordHeader: fleet.RecordHeader{ID: listing.ID, Reason: "admitted before the demo"}, InstanceKind: instance.KindTarget, Pool: "batch",
		Incarnation: listing.Incarnation, Address: listing.Address, Centre: listing.Centre, Rack: listing.Rack,
	})
	if err != nil {
		return err
	}
	data, err := record.Encode(record.Envelope{
		ID: record.ID{Writer: record.Writer{Entry: "earlier", Incarnation: 1}, Sequence: 1}, Kind: "admit",
		Time: r.Timer.Now().Add(-veteranAge).UTC(), Author: record.Author(author), Body: body,
	})
	if err != nil {
		return err
	}
	_, err = r.fleet.Platform.Log.Append(context.Background(), record.StreamFleet, []json.RawMessage{data})
	return err
}

func (r *run) publish(ctx context.Context) (string, error) {
	var err error
	if r.files, err = readFiles(); err != nil {
		return "", err
	}
	request := admin.PublishRequest{Author: record.Author(author), Reason: "first configuration"}
	for _, f := range r.files {
		request.Files = append(request.Files, config.FileChange{Name: f.Name, BaseVersion: config.NoVersion, Content: f.Data})
	}
	var answer admin.PublishAnswer
	if err := r.eventually(ctx, "publish", func() (bool, error) {
		answer, err = r.clients[0].Publish(ctx, request, false)
		return err == nil, err
	}); err != nil {
		return "", err
	}
	start := r.Timer.Now()
	if err := r.inForce(ctx, int64(answer.Version)); err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d in force at all entries after %v", answer.Version, r.Timer.Since(start).Round(time.Millisecond)), nil
}

// admitted waits until every pool has its size at every site.
func (r *run) admitted(ctx context.Context) (string, error) {
	if err := r.eventually(ctx, "pools at their size", func() (bool, error) {
		status, err := r.clients[1].Status(ctx)
		if err != nil || !status.Ready || len(status.Instances) < len(r.fleet.Targets)+len(r.fleet.Workers) {
			return false, err
		}
		return r.ready(), nil
	}); err != nil {
		return "", err
	}
	return "every instance belongs to one pool; all entries are ready", nil
}

func (r *run) ready() bool {
	for _, n := range r.nodes {
		if !n.Status().Ready {
			return false
		}
	}
	return true
}

// answer is what a caller receives.
type answer struct {
	status  int
	outcome failure.Outcome
	body    string
}

func (r *run) call(ctx context.Context, node int, method, path, key string, body string) (answer, error) {
	address := "http://" + string(r.nodes[node].Addresses().Callers) + path
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Hibiscuslane-Team", "default")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, failure.Outcome(response.Header.Get(failure.HeaderOutcome)), string(data)}, err
}

func (r *run) requests(ctx context.Context) (string, error) {
	for i := range keyed {
		if got, err := r.call(ctx, i%3, http.MethodGet, "/hello", "", ""); err != nil || got.outcome != failure.OutcomeAnswered {
			return "", wrong("GET", got, err)
		}
		key := fmt.Sprint("order-", i)
		first, err := r.call(ctx, i%3, http.MethodPost, "/orders", key, "one seat")
		if err != nil || first.outcome != failure.OutcomeAnswered {
			return "", wrong("POST", first, err)
		}
		again, err := r.call(ctx, (i+1)%3, http.MethodPost, "/orders", key, "one seat")
		if err != nil || again != first {
			return "", wrong("repeated POST", again, err)
		}
	}
	return fmt.Sprintf("%d answered; %d of them repeated through another entry got the recorded answer", 3*keyed, keyed), nil
}

func wrong(what string, got answer, err error) error {
	return &StepError{Step: what, Reason: fmt.Sprintf("status %d, outcome %q, %s", got.status, got.outcome, got.body), Cause: err}
}

func (r *run) job(ctx context.Context) (string, error) {
	body := `{"pool":"batch","team":"default","command":"echo","input":"done by a worker","cores":1,"memory":256,"time":1000,"limit":2}`
	got, err := r.call(ctx, 0, http.MethodPost, "/-/jobs", "job-1", body)
	if err != nil || got.status != http.StatusAccepted {
		return "", wrong("submit", got, err)
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
	if err := r.eventually(ctx, "job done", func() (bool, error) {
		got, err := r.call(ctx, 2, http.MethodGet, "/-/jobs/"+submitted.ID, "", "")
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

// maintenance waits for the drain, reboot and return of the instance whose maintenance is due, and
// keeps sending requests to its pool meanwhile.
func (r *run) maintenance(ctx context.Context) (string, error) {
	served := 0
	err := r.eventually(ctx, "maintenance of "+string(veteran), func() (bool, error) {
		got, err := r.call(ctx, served%3, http.MethodGet, "/batch/report", "", "")
		if err != nil || got.outcome != failure.OutcomeAnswered {
			return false, wrong("request during maintenance", got, err)
		}
		served++
		i, ok := r.instance(veteran)
		return ok && i.Incarnation > 1 && i.Phase == instance.PhaseActive, nil
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s drained, rebooted and rejoined batch; %d requests to the pool were answered meanwhile", veteran, served), nil
}

func (r *run) instance(id instance.ID) (fleet.Instance, bool) {
	for _, i := range r.nodes[1].Status().Instances {
		if i.ID == id {
			return i, true
		}
	}
	return fleet.Instance{}, false
}

// resize returns the overlay of a site with another number of targets in a pool.
func (r *run) resize(ctx context.Context, name site.Name, p pool.Name, targets int) (config.FileChange, error) {
	answer, err := r.clients[0].Config(ctx)
	if err != nil {
		return config.FileChange{}, err
	}
	file := config.OverlayFile(name)
	for _, f := range answer.Files {
		if f.Name != file {
			continue
		}
		tree, err := object(f.Content)
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

func (r *run) move(ctx context.Context) (string, error) {
	change, err := r.resize(ctx, "alpha", "web", 3)
	if err != nil {
		return "", err
	}
	answer, err := r.clients[0].Publish(ctx, admin.PublishRequest{
		Files: []config.FileChange{change}, Author: record.Author(author), Reason: "web needs one more target at alpha",
	}, false)
	if err != nil {
		return "", err
	}
	var moved fleet.Instance
	if err := r.eventually(ctx, "move into web", func() (bool, error) {
		for _, i := range r.nodes[1].Status().Instances {
			if i.Kind == instance.KindTarget && i.Pool == "web" && i.Incarnation > 1 && i.Phase == instance.PhaseActive {
				moved = i
				return true, nil
			}
		}
		return false, nil
	}); err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d: %s moved from spare to web by drain, reboot, join", answer.Version, moved.ID), nil
}

func (r *run) race(ctx context.Context) (string, error) {
	change, err := r.resize(ctx, "beta", "web", 2)
	if err != nil {
		return "", err
	}
	change.Content = append(change.Content, ' ')
	request := admin.PublishRequest{Files: []config.FileChange{change}, Author: record.Author(author), Reason: "first of two"}
	if _, err := r.clients[0].Publish(ctx, request, false); err != nil {
		return "", err
	}
	request.Reason = "second of two"
	_, err = r.clients[1].Publish(ctx, request, false)
	if err == nil || failure.Of(err).Code() != failure.CodeConflict {
		return "", &StepError{Step: "second publish", Reason: "was not refused as a conflict", Cause: err}
	}
	return "two publishes based on the same version: the first is in force, the second was refused", nil
}

// shutdown stops an entry while requests are in flight.
func (r *run) shutdown(ctx context.Context) (string, error) {
	const callers = 8
	results := make([]error, callers)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			got, err := r.call(ctx, 0, http.MethodPost, fmt.Sprint("/slow?time=", slow), "", "")
			if err != nil || got.outcome != failure.OutcomeAnswered {
				results[i] = wrong("request during shutdown", got, err)
			}
		})
	}
	if err := r.eventually(ctx, "requests in flight", func() (bool, error) { return r.running() == callers, nil }); err != nil {
		return "", err
	}
	r.nodes[0].stop()
	wait.Wait()
	for _, err := range results {
		if err != nil {
			return "", err
		}
	}
	if err := r.nodes[0].wait(); err != nil {
		return "", err
	}
	return fmt.Sprintf("entry-1 answered %d requests in flight and exited", callers), nil
}

// running returns the number of slow requests that targets execute now.
func (r *run) running() int {
	count := 0
	for _, t := range r.fleet.Targets {
		for _, e := range t.Journal() {
			if e.End == nil && e.Path == "/slow" {
				count++
			}
		}
	}
	return count
}

func (r *run) executions(context.Context) (string, error) {
	counts := map[string]int{}
	for _, t := range r.fleet.Targets {
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
	if len(counts) != keyed {
		return "", &StepError{Step: "journal", Reason: fmt.Sprintf("%d keys executed, want %d", len(counts), keyed)}
	}
	return fmt.Sprintf("the targets' journals show %d keyed requests, each executed once", keyed), nil
}
