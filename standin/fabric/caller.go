package fabric

import (
	"context"
	"fmt"
	"net/http"
	"strings"
)

// Answers to a caller that asks for the state of a job: status and body.
const (
	Completed = `200 {"state":"completed"}`
	Running   = `200 {"state":"running"}`
	Cancelled = `200 {"state":"cancelled"}`
	Failed    = `200 {"state":"failed"}`
	Missing   = "410 "
)

// ReadyPath is the path at which the balancer asks whether an entry is ready.
const ReadyPath = "/api/ready"

// JobID returns the id of a job by number.
func JobID(n int) string { return fmt.Sprintf("%016x", n) }

// Job returns the body of a job of steps that follow each other. Each task needs cpu thousandths of a core
// and takes ms milliseconds.
func Job(cpu, ms int, counts ...int) string {
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

// WaveCompleted reports whether the system has published that a wave is completed.
func (w *World) WaveCompleted(number int) bool {
	return w.Store.Value("keyed.status", fmt.Sprintf("wave/%d", number)) == fmt.Sprintf(`{"wave":%d,"state":"completed"}`, number)
}

// ForgetHistory drops what the operator and the workers wrote, but for the newest of each key.
func (w *World) ForgetHistory() {
	w.Store.Forget("keyed.op")
	w.Store.Forget("keyed.servers")
}

// Maintain orders the maintenance of a machine as an earlier owner would.
func (w *World) Maintain(ctx context.Context, machine string, wave int) error {
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
