package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
)

// awaitCondition implements the command await, which polls until a condition holds. A condition with NAME... is
// awaited at the named entries one after the other.
//
//	await listening NAME...          the admin address answers
//	await serving NAME...            ready, and every pool has its configured size
//	await told N                     requests with at least N different keys have ended, with a response or without
//	await running N                  targets execute at least N requests
//	await version N NAME...          version N of the configuration is in force
//	await reported N NAME...         every live peer has reported version N of the configuration
//	await peers N NAME...            exactly N peers are live, that is, have sent a message recently
//	await instance ID PHASE NAME...  the instance is in the phase
//	await job ID STATUS NAME...      the job has the status, or one of several: A,B
//	await tasks N                    workers run at least N tasks
//	await idle                       no worker runs a task
//	await record STREAM KIND TEXT    the log contains a record of this kind with TEXT in its body
//	await jobs STATUS NAME...        every job of the script has the status, or one of several: A,B
func (env *testEnv) awaitCondition(args []string) (string, error) {
	kind, args := args[0], args[1:]
	switch kind {
	case "idle":
		return "", pollUntil(func() error {
			count, err := env.countRunningTasks()
			if err == nil && count > 0 {
				err = fmt.Errorf("%d tasks are still running", count)
			}
			return err
		})
	case "record":
		return "", env.awaitRecord(args)
	case "told", "running", "tasks":
		return "", env.awaitCount(kind, args)
	}
	argCounts := map[string]int{"listening": 0, "serving": 0, "version": 1, "reported": 1, "peers": 1, "instance": 2, "job": 2, "jobs": 1}
	argCount, ok := argCounts[kind]
	if !ok || len(args) <= argCount {
		return "", fmt.Errorf("unknown condition %q or missing arguments: %v", kind, args)
	}
	entries, err := env.runningEntries(args[argCount:])
	if err != nil {
		return "", err
	}
	for _, e := range entries {
		if err := pollUntil(func() error { return env.checkCondition(e, kind, args) }); err != nil {
			return "", fmt.Errorf("%s: %w", e.name(), err)
		}
	}
	return "", nil
}

func (env *testEnv) checkCondition(e *entry, kind string, args []string) error {
	switch kind {
	case "job":
		return e.checkJobStatus(args[0], args[1])
	case "jobs":
		for _, id := range env.jobIDs {
			if err := e.checkJobStatus(id, args[0]); err != nil {
				return err
			}
		}
		return nil
	}
	s, err := e.adminClient().Status(context.Background())
	if err != nil {
		return err
	}
	switch kind {
	case "serving":
		return checkServing(s)
	case "version":
		return expectEqual("version", strconv.Itoa(int(s.ConfigVersion)), args[0])
	case "reported":
		for _, p := range s.Peers {
			if err := expectEqual(string(p.ID)+" reports version", strconv.Itoa(int(p.ConfigVersion)), args[0]); err != nil && p.SilenceMillis < livePeerSilenceMillis {
				return err
			}
		}
	case "peers":
		return expectEqual("live peers", strconv.Itoa(countLivePeers(s)), args[0])
	case "instance":
		return checkPhase(s, instance.ID(args[0]), args[1])
	}
	return nil
}

func expectEqual(what, got, want string) error {
	if got != want {
		return fmt.Errorf("%s is %q, want %q", what, got, want)
	}
	return nil
}

func checkServing(s admin.Status) error {
	if !s.Ready || len(s.Pools) == 0 {
		return fmt.Errorf("not ready: %s", s.Reason)
	}
	for _, p := range s.Pools {
		if p.Targets.Active < p.Spec.Size.Targets || p.Workers.Active < p.Spec.Size.Workers {
			return fmt.Errorf("pool %s at %s has %d targets and %d workers; all pools: %s", p.Pool, p.Site, p.Targets.Active, p.Workers.Active, formatPoolCounts(s))
		}
	}
	return nil
}

// formatPoolCounts returns the numbers of active targets and workers of each pool at each site.
func formatPoolCounts(s admin.Status) string {
	var text strings.Builder
	for _, p := range s.Pools {
		_, _ = fmt.Fprintf(&text, "%s/%s %d+%d ", p.Site, p.Pool, p.Targets.Active, p.Workers.Active)
	}
	return text.String()
}

// livePeerSilenceMillis is the time in milliseconds without a message after which a peer no longer counts as live.
const livePeerSilenceMillis = 3000

func countLivePeers(s admin.Status) int {
	count := 0
	for _, p := range s.Peers {
		if p.SilenceMillis < livePeerSilenceMillis {
			count++
		}
	}
	return count
}

func checkPhase(s admin.Status, id instance.ID, want string) error {
	i := slices.IndexFunc(s.Instances, func(i fleet.Instance) bool { return i.ID == id })
	if i < 0 {
		return fmt.Errorf("instance %s is unknown", id)
	}
	return expectEqual(string(id), string(s.Instances[i].Phase), want)
}

func (env *testEnv) awaitCount(kind string, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: await %s N", kind)
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return pollUntil(func() error {
		got, err := env.currentCount(kind)
		if err == nil && got < want {
			err = fmt.Errorf("count of %s is %d, want at least %d", kind, got, want)
		}
		return err
	})
}

func (env *testEnv) currentCount(kind string) (int, error) {
	switch kind {
	case "running":
		return env.countRunningRequests()
	case "tasks":
		return env.countRunningTasks()
	}
	return env.replies.keyCount(), nil
}

// awaitRecord waits until the log contains a record. The arguments are STREAM KIND TEXT.
func (env *testEnv) awaitRecord(args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: await record STREAM KIND TEXT")
	}
	return pollUntil(func() error {
		next := int64(0)
		for {
			r, err := sendRequest(context.Background(), http.MethodGet, fmt.Sprintf("%s/log/%s?from=%d", env.platformURL, args[0], next), http.Header{}, "")
			if err != nil {
				return err
			}
			var batch logBatch
			if err := json.Unmarshal([]byte(r.body), &batch); err != nil {
				return fmt.Errorf("log: %v: %w", r, err)
			}
			for _, rec := range batch.Records {
				if string(rec.Body.Kind) == args[1] && strings.Contains(string(rec.Body.Body), args[2]) {
					return nil
				}
			}
			if len(batch.Records) == 0 {
				return fmt.Errorf("no record of kind %s with %q in stream %s", args[1], args[2], args[0])
			}
			next += int64(len(batch.Records))
		}
	})
}

// logBatch is the response to a read of the log, as far as awaitRecord needs it.
type logBatch struct {
	Records []struct {
		Body record.Envelope `json:"body"`
	} `json:"records"`
}

func (env *testEnv) countRunningRequests() (int, error) {
	journal, err := env.executedRequests()
	count := 0
	for _, e := range journal {
		if e.End == nil {
			count++
		}
	}
	return count, err
}

// jobResponse is what an entry reports about a job.
type jobResponse struct {
	ID       string `json:"id"`
	Status   string `json:"status"`
	Attempts int    `json:"attempts"`
}

// getJob requests a job from the entry.
func (e *entry) getJob(id string) (jobResponse, error) {
	var job jobResponse
	r, err := sendRequest(context.Background(), http.MethodGet, e.callerURL()+"/-/jobs/"+id, http.Header{}, "")
	if err != nil {
		return job, err
	}
	if err := json.Unmarshal([]byte(r.body), &job); err != nil || r.status != http.StatusOK {
		return job, fmt.Errorf("job %s: %v", id, r)
	}
	return job, nil
}

// checkJobStatus returns an error unless the job has one of the statuses, which are separated by commas.
func (e *entry) checkJobStatus(id, statuses string) error {
	job, err := e.getJob(id)
	if err != nil {
		return err
	}
	if !slices.Contains(strings.Split(statuses, ","), job.Status) {
		return fmt.Errorf("job %s is %s after %d attempts, want %s", id, job.Status, job.Attempts, statuses)
	}
	return nil
}
