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
	JobRunning   = `200 {"state":"running"}`
	JobCancelled = `200 {"state":"cancelled"}`
	JobFailed    = `200 {"state":"failed"}`
	JobUnknown   = "410 "
)

// ReadyPath is the path of the readiness check that the load balancer calls.
const ReadyPath = "/api/ready"

// JobID returns the id of the job with number n.
func JobID(n int) string { return fmt.Sprintf("%016x", n) }

// JobBody returns the request body of a job with one step for each element of counts, which is the number of tasks of
// the step. Each step starts after the previous one. Each task needs cpu thousandths of a core and runs for ms
// milliseconds.
func JobBody(cpu, ms int, counts ...int) string {
	var steps []string
	for i, count := range counts {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":100,"estimate_ms":%d%s}`, count, cpu, ms, after))
	}
	return fmt.Sprintf(`{"spec":"%d %d","steps":[%s]}`, cpu, ms, strings.Join(steps, ","))
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
