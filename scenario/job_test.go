package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"golang.org/x/sync/errgroup"

	"hibiscuslane.example/hibiscuslane/standin/worker"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// jobCallers bounds concurrent submits and cancellations.
const jobCallers = 16

// submitJobs submits jobs to the pool batch: NAME COUNT COMMAND [LIMIT].
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
	body := fmt.Sprintf(`{"pool":"batch","team":"default","command":%q,"cores":1,"memory":64,"time":1000,"limit":%s}`, args[2], limit)
	ids := make([]string, count)
	var group errgroup.Group
	group.SetLimit(jobCallers)
	for i := range ids {
		group.Go(func() error {
			key := fmt.Sprint("job-", len(w.jobs)+i)
			r, err := call(context.Background(), http.MethodPost, n.callers()+"/-/jobs", http.Header{headerKey: {key}}, body)
			if err != nil {
				return err
			}
			var view jobView
			if err := json.Unmarshal([]byte(r.body), &view); err != nil || r.status != http.StatusAccepted {
				return fmt.Errorf("submit: %v", r)
			}
			ids[i] = view.ID
			return nil
		})
	}
	err = group.Wait()
	w.jobs = append(w.jobs, ids...)
	return "", err
}

// cancelJobs cancels all jobs of the script through the entries in turn.
func (w *world) cancelJobs(args []string) (string, error) {
	nodes, err := w.nodes(args)
	if err != nil {
		return "", err
	}
	var group errgroup.Group
	group.SetLimit(jobCallers)
	for i, id := range w.jobs {
		group.Go(func() error {
			r, err := call(context.Background(), http.MethodDelete, nodes[i%len(nodes)].callers()+"/-/jobs/"+id, http.Header{}, "")
			if err == nil && r.status >= http.StatusMultipleChoices {
				err = fmt.Errorf("cancel: %v", r)
			}
			return err
		})
	}
	return "", group.Wait()
}

// attempts checks that no job of the script had more attempts: MOST.
func (w *world) attempts(args []string) (string, error) {
	most, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	for _, id := range w.jobs {
		view, err := w.live()[0].job(id)
		if err != nil {
			return "", err
		}
		if view.Attempts > most {
			return "", fmt.Errorf("job %s had %d attempts", id, view.Attempts)
		}
	}
	return "", nil
}

// runs returns what the workers ran, by task.
func (w *world) runs() (map[upstream.TaskID][]worker.RunRecord, error) {
	tasks := map[upstream.TaskID][]worker.RunRecord{}
	for _, address := range w.workers {
		r, err := call(context.Background(), http.MethodGet, "http://"+address+"/-/journal", http.Header{}, "")
		if err != nil {
			return nil, err
		}
		var journal struct {
			Runs []worker.RunRecord `json:"runs"`
		}
		if err := json.Unmarshal([]byte(r.body), &journal); err != nil {
			return nil, fmt.Errorf("journal of %s: %v: %w", address, r, err)
		}
		for _, run := range journal.Runs {
			tasks[run.Task] = append(tasks[run.Task], run)
		}
	}
	return tasks, nil
}

// runningTasks returns the number of tasks that run on workers.
func (w *world) runningTasks() (int, error) {
	tasks, err := w.runs()
	count := 0
	for _, runs := range tasks {
		for _, run := range runs {
			if run.End == nil {
				count++
			}
		}
	}
	return count, err
}

// lapsed checks the number of runs that ended because their lease did: N.
func (w *world) lapsed(args []string) (string, error) {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	tasks, err := w.runs()
	count := 0
	for _, runs := range tasks {
		for _, run := range runs {
			if run.State == upstream.TaskExpired {
				count++
			}
		}
	}
	if err == nil && count != want {
		err = fmt.Errorf("%d leases expired", count)
	}
	return "", err
}

// exclusive checks the journals of the workers: no attempt of a task runs twice, and no two attempts of
// a task run at the same time.
func (w *world) exclusive() error {
	tasks, err := w.runs()
	if err != nil {
		return err
	}
	for task, runs := range tasks {
		slices.SortFunc(runs, func(a, b worker.RunRecord) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(runs); i++ {
			last, next := runs[i-1], runs[i]
			if next.Epoch <= last.Epoch || last.End == nil || last.End.After(next.Start) {
				return fmt.Errorf("attempts of task %s overlap or are repeated: %+v, %+v", task, last, next)
			}
		}
	}
	return nil
}
