package fabric

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

// Answers to a caller that asks for the state of a job: status and body.
const (
	JobCompleted = `200 {"state":"completed"}`
	JobRunning   = `200 {"state":"running"}`
	JobCancelled = `200 {"state":"cancelled"}`
	JobFailed    = `200 {"state":"failed"}`
	JobUnknown   = "410 "
)

// ReadyPath is the path at which the balancer asks whether an entry is ready.
const ReadyPath = "/api/ready"

// JobID returns the id of a job by number.
func JobID(n int) string { return fmt.Sprintf("%016x", n) }

// JobBody returns the body of a job of steps that follow each other. Each task needs cpu thousandths of a core
// and takes ms milliseconds.
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

// IsWaveCompleted reports whether the system has published that a wave is completed.
func (w *Platform) IsWaveCompleted(number int) bool {
	return w.Store.Value("keyed.status", fmt.Sprintf("wave/%d", number)) == fmt.Sprintf(`{"wave":%d,"state":"completed"}`, number)
}

// CompactHistory drops what the operator and the workers wrote, but for the newest of each key.
func (w *Platform) CompactHistory() {
	w.Store.Compact("keyed.op")
	w.Store.Compact("keyed.servers")
}

// OrderMaintenance orders the maintenance of a machine as an earlier owner would.
func (w *Platform) OrderMaintenance(ctx context.Context, machine string, wave int) error {
	body := fmt.Sprintf(`{"machine":%q,"wave":%d}`, machine, wave)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.FleetAddress+"/api/machine-upkeep", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
