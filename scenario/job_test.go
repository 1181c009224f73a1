package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// submitJobs submits jobs to the pool batch: NAME COUNT COMMAND [limit=N].
func (w *world) submitJobs(args []string) (string, error) {
	n, err := w.running(args[0])
	if err != nil {
		return "", err
	}
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	limit := "3"
	if len(args) > 3 {
		limit = args[3]
	}
	for range count {
		key := fmt.Sprint("job-", len(w.jobs))
		body := fmt.Sprintf(`{"pool":"batch","team":"default","command":%q,"cores":1,"memory":64,"time":1000,"limit":%s}`, args[2], limit)
		r, err := call(context.Background(), http.MethodPost, n.callers()+"/-/jobs", http.Header{headerKey: {key}}, body)
		if err != nil {
			return "", err
		}
		var view jobView
		if err := json.Unmarshal([]byte(r.body), &view); err != nil || r.status != http.StatusAccepted {
			return "", fmt.Errorf("submit: %v", r)
		}
		w.jobs = append(w.jobs, view.ID)
	}
	return "", nil
}

// cancelJobs cancels all jobs of the script through the entries in turn.
func (w *world) cancelJobs(args []string) (string, error) {
	nodes, err := w.nodes(args)
	if err != nil {
		return "", err
	}
	for i, id := range w.jobs {
		r, err := call(context.Background(), http.MethodDelete, nodes[i%len(nodes)].callers()+"/-/jobs/"+id, http.Header{}, "")
		if err != nil {
			return "", err
		}
		if r.status >= http.StatusMultipleChoices {
			return "", fmt.Errorf("cancel: %v", r)
		}
	}
	return "", nil
}
