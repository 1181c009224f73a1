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

// maxConcurrentJobCalls limits the job submissions and cancellations that run at the same time.
const maxConcurrentJobCalls = 16

// submitJobs submits jobs to the pool batch. The arguments are NAME COUNT COMMAND [LIMIT].
func (env *testEnv) submitJobs(args []string) (string, error) {
	e, err := env.runningEntry(args[0])
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
	group.SetLimit(maxConcurrentJobCalls)
	for i := range ids {
		group.Go(func() error {
			key := fmt.Sprint("job-", len(env.jobIDs)+i)
			r, err := sendRequest(context.Background(), http.MethodPost, e.callerURL()+"/-/jobs", http.Header{headerKey: {key}}, body)
			if err != nil {
				return err
			}
			var job jobResponse
			if err := json.Unmarshal([]byte(r.body), &job); err != nil || r.status != http.StatusAccepted {
				return fmt.Errorf("submit job: %v", r)
			}
			ids[i] = job.ID
			return nil
		})
	}
	err = group.Wait()
	env.jobIDs = append(env.jobIDs, ids...)
	return "", err
}

// cancelJobs cancels all jobs of the script, distributed over the entries in turn.
func (env *testEnv) cancelJobs(args []string) (string, error) {
	entries, err := env.runningEntries(args)
	if err != nil {
		return "", err
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentJobCalls)
	for i, id := range env.jobIDs {
		group.Go(func() error {
			r, err := sendRequest(context.Background(), http.MethodDelete, entries[i%len(entries)].callerURL()+"/-/jobs/"+id, http.Header{}, "")
			if err == nil && r.status >= http.StatusMultipleChoices {
				err = fmt.Errorf("cancel job: %v", r)
			}
			return err
		})
	}
	return "", group.Wait()
}

// checkMaxAttempts checks that no job of the script had more than the given number of attempts.
func (env *testEnv) checkMaxAttempts(args []string) (string, error) {
	maxAttempts, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	for _, id := range env.jobIDs {
		job, err := env.liveEntries()[0].getJob(id)
		if err != nil {
			return "", err
		}
		if job.Attempts > maxAttempts {
			return "", fmt.Errorf("job %s had %d attempts, want at most %d", id, job.Attempts, maxAttempts)
		}
	}
	return "", nil
}

// runsByTask returns the runs in the journals of all workers, by task.
func (env *testEnv) runsByTask() (map[upstream.TaskID][]worker.RunRecord, error) {
	tasks := map[upstream.TaskID][]worker.RunRecord{}
	for _, address := range env.workerAddrs {
		r, err := sendRequest(context.Background(), http.MethodGet, "http://"+address+"/-/journal", http.Header{}, "")
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

// countRunningTasks returns the number of runs on workers that have not ended.
func (env *testEnv) countRunningTasks() (int, error) {
	tasks, err := env.runsByTask()
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

// checkExpiredRuns checks the number of runs that ended because their lease expired.
func (env *testEnv) checkExpiredRuns(args []string) (string, error) {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	tasks, err := env.runsByTask()
	count := 0
	for _, runs := range tasks {
		for _, run := range runs {
			if run.State == upstream.TaskExpired {
				count++
			}
		}
	}
	if err == nil && count != want {
		err = fmt.Errorf("%d runs ended because their lease expired, want %d", count, want)
	}
	return "", err
}

// checkExclusiveRuns checks in the journals of the workers that no attempt of a task ran twice and that no two
// attempts of a task ran at the same time.
func (env *testEnv) checkExclusiveRuns() error {
	tasks, err := env.runsByTask()
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
