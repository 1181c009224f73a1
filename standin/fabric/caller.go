package fabric

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

// Responses to a caller that asks for the state of a job: HTTP status and body.
const (
	JobCompleted = `200 {"state":"completed"}`
	JobPending   = `200 {"state":"pending"}`
	JobRunning   = `200 {"state":"running"}`
	JobCancelled = `200 {"state":"cancelled"}`
	JobFailed    = `200 {"state":"failed"}`
	JobUnknown   = "410 "
)

// ReadyPath is the path of the readiness check that the load balancer calls.
const ReadyPath = "/api/ready"

// JobID returns the id of the job with number n.
func JobID(n int) string { return fmt.Sprintf("%016x", n) }

// Job is a job as a caller submits it: one step for each element of Counts, which is the number of tasks of the step.
// Each step starts after the previous one. Each task needs CPU thousandths of a core and runs for Millis milliseconds.
type Job struct {
	ID          string
	Team        string // the team that submits the job; only checks use it
	CPU, Millis int
	Counts      []int
	Checkpoints bool // the tasks save checkpoints
	LongRunning bool // the tasks are started again however they end, until the job is cancelled
}

// Spec returns the specification of the job, which names its id, if it has one.
func (j Job) Spec() string {
	spec := fmt.Sprintf("%d %d", j.CPU, j.Millis)
	if j.ID != "" {
		spec += " " + j.ID
	}
	if j.Checkpoints {
		spec += checkpointsSuffix
	}
	return spec
}

// Body returns the request body that submits the job.
func (j Job) Body() string {
	var steps []string
	for i, count := range j.Counts {
		options := ""
		if i > 0 {
			options = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		if j.Checkpoints {
			options += `,"checkpoints":true`
		}
		if j.LongRunning {
			options += `,"long_running":true`
		}
		steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":100,"estimate_ms":%d%s}`, count, j.CPU, j.Millis, options))
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, j.Spec(), strings.Join(steps, ","))
}

func (j Job) taskCount() int {
	total := 0
	for _, count := range j.Counts {
		total += count
	}
	return total
}

// JobBody returns the request body of a job without an id in its specification.
func JobBody(cpu, ms int, counts ...int) string {
	return Job{CPU: cpu, Millis: ms, Counts: counts}.Body()
}

// IsWaveCompleted reports whether the entries have published that a maintenance wave is completed.
func (p *Platform) IsWaveCompleted(number int) bool {
	return p.Store.Value("keyed.status", fmt.Sprintf("wave/%d", number)) == fmt.Sprintf(`{"wave":%d,"state":"completed"}`, number)
}

// CompactHistory compacts the topics of the operator and of the workers to the newest record of each key.
func (p *Platform) CompactHistory() {
	p.Store.Compact("keyed.op")
	p.Store.Compact("keyed.servers")
}

// StoredValue returns the value of the record with the given offset in partition 0 of a topic, or an empty string if there
// is none.
func (p *Platform) StoredValue(topic string, offset int64) string {
	p.Store.mu.Lock()
	defer p.Store.mu.Unlock()
	records := p.Store.partition(topic, "0").records
	if offset < 0 || offset >= int64(len(records)) {
		return ""
	}
	return records[offset].value
}

// OrderMaintenance orders the maintenance of a machine, as an earlier owner would have done. It ignores the status of
// the response.
func (p *Platform) OrderMaintenance(ctx context.Context, machine string, wave int) error {
	body := fmt.Sprintf(`{"machine":%q,"wave":%d}`, machine, wave)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.FleetAddress+"/api/machine-upkeep", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
