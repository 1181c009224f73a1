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

// await polls until a condition holds:
//
//	await listening NAME...          the admin address answers
//	await serving NAME...            ready, and every pool has its size
//	await told N                     callers of N keys were told an outcome
//	await running N                  targets execute at least N requests
//	await version N NAME...          a configuration version is in force
//	await reported N NAME...         every live peer has reported a configuration version
//	await peers N NAME...            N peers were heard from lately
//	await instance ID PHASE NAME...  an instance is in a phase
//	await job ID STATUS NAME...      a job has a status
//	await tasks N                    workers run at least N tasks
//	await idle                       no worker runs a task
//	await record STREAM KIND TEXT    the log holds a record of the kind with the text in its body
//	await jobs STATUS NAME...        every job of the script has one of the statuses A,B
func (w *world) await(args []string) (string, error) {
	kind, args := args[0], args[1:]
	switch kind {
	case "idle":
		return "", eventually(func() error {
			count, err := w.runningTasks()
			if err == nil && count > 0 {
				err = fmt.Errorf("%d tasks run", count)
			}
			return err
		})
	case "record":
		return "", w.awaitRecord(args)
	case "told", "running", "tasks":
		return "", w.awaitCount(kind, args)
	}
	arity := map[string]int{"listening": 0, "serving": 0, "version": 1, "reported": 1, "peers": 1, "instance": 2, "job": 2, "jobs": 1}
	skip, ok := arity[kind]
	if !ok || len(args) <= skip {
		return "", fmt.Errorf("unknown condition %s %v", kind, args)
	}
	nodes, err := w.nodes(args[skip:])
	if err != nil {
		return "", err
	}
	for _, n := range nodes {
		if err := eventually(func() error { return w.holds(n, kind, args) }); err != nil {
			return "", fmt.Errorf("%s: %w", n.name(), err)
		}
	}
	return "", nil
}

func (w *world) holds(n *node, kind string, args []string) error {
	switch kind {
	case "job":
		return n.jobHas(args[0], args[1])
	case "jobs":
		for _, id := range w.jobs {
			if err := n.jobHas(id, args[0]); err != nil {
				return err
			}
		}
		return nil
	}
	s, err := n.client().Status(context.Background())
	if err != nil {
		return err
	}
	switch kind {
	case "serving":
		return serving(s)
	case "version":
		return expect("version", strconv.Itoa(int(s.ConfigVersion)), args[0])
	case "reported":
		for _, p := range s.Peers {
			if err := expect(string(p.ID)+" reports version", strconv.Itoa(int(p.ConfigVersion)), args[0]); err != nil && p.SilenceMillis < liveSilence {
				return err
			}
		}
	case "peers":
		return expect("live peers", strconv.Itoa(livePeers(s)), args[0])
	case "instance":
		return phase(s, instance.ID(args[0]), args[1])
	}
	return nil
}

func expect(what, got, want string) error {
	if got != want {
		return fmt.Errorf("%s is %s, not %s", what, got, want)
	}
	return nil
}

func serving(s admin.Status) error {
	if !s.Ready || len(s.Pools) == 0 {
		return fmt.Errorf("not ready: %s", s.Reason)
	}
	for _, p := range s.Pools {
		if p.Targets.Active < p.Spec.Size.Targets || p.Workers.Active < p.Spec.Size.Workers {
			return fmt.Errorf("pool %s at %s has %d targets and %d workers; all pools: %s", p.Pool, p.Site, p.Targets.Active, p.Workers.Active, counts(s))
		}
	}
	return nil
}

// counts returns the active targets and workers of each pool at each site.
func counts(s admin.Status) string {
	var text strings.Builder
	for _, p := range s.Pools {
		_, _ = fmt.Fprintf(&text, "%s/%s %d+%d ", p.Site, p.Pool, p.Targets.Active, p.Workers.Active)
	}
	return text.String()
}

// liveSilence is the time in milliseconds after which a silent peer is not live.
const liveSilence = 3000

func livePeers(s admin.Status) int {
	count := 0
	for _, p := range s.Peers {
		if p.SilenceMillis < liveSilence {
			count++
		}
	}
	return count
}

func phase(s admin.Status, id instance.ID, want string) error {
	i := slices.IndexFunc(s.Instances, func(i fleet.Instance) bool { return i.ID == id })
	if i < 0 {
		return fmt.Errorf("%s is unknown", id)
	}
	return expect(string(id), string(s.Instances[i].Phase), want)
}

func (w *world) awaitCount(kind string, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: await %s N", kind)
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return eventually(func() error {
		got, err := w.count(kind)
		if err == nil && got < want {
			err = fmt.Errorf("%s is %d, not %d", kind, got, want)
		}
		return err
	})
}

func (w *world) count(kind string) (int, error) {
	switch kind {
	case "running":
		return w.runningRequests()
	case "tasks":
		return w.runningTasks()
	}
	return w.told.size(), nil
}

// awaitRecord waits for a record: STREAM KIND TEXT.
func (w *world) awaitRecord(args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: await record STREAM KIND TEXT")
	}
	return eventually(func() error {
		next := int64(0)
		for {
			r, err := call(context.Background(), http.MethodGet, fmt.Sprintf("%s/log/%s?from=%d", w.platform, args[0], next), http.Header{}, "")
			if err != nil {
				return err
			}
			var batch logBatch
			if err := json.Unmarshal([]byte(r.body), &batch); err != nil {
				return fmt.Errorf("log: %v: %w", r, err)
			}
			for _, found := range batch.Records {
				if string(found.Body.Kind) == args[1] && strings.Contains(string(found.Body.Body), args[2]) {
					return nil
				}
			}
			if len(batch.Records) == 0 {
				return fmt.Errorf("no record %s with %q in stream %s", args[1], args[2], args[0])
			}
			next += int64(len(batch.Records))
		}
	})
}

// logBatch is an answer of the log.
type logBatch struct {
	Records []struct {
		Body record.Envelope `json:"body"`
	} `json:"records"`
}

func (w *world) runningRequests() (int, error) {
	journal, err := w.journal()
	count := 0
	for _, e := range journal {
		if e.End == nil {
			count++
		}
	}
	return count, err
}

// jobView is what an entry shows of a job.
type jobView struct {
	ID       string `json:"id"`
	Status   string `json:"status"`
	Attempts int    `json:"attempts"`
}

// job returns what the entry shows of a job.
func (n *node) job(id string) (jobView, error) {
	var view jobView
	r, err := call(context.Background(), http.MethodGet, n.callers()+"/-/jobs/"+id, http.Header{}, "")
	if err != nil {
		return view, err
	}
	if err := json.Unmarshal([]byte(r.body), &view); err != nil || r.status != http.StatusOK {
		return view, fmt.Errorf("job %s: %v", id, r)
	}
	return view, nil
}

// jobHas checks that a job has one of the statuses A,B.
func (n *node) jobHas(id, statuses string) error {
	view, err := n.job(id)
	if err != nil {
		return err
	}
	if !slices.Contains(strings.Split(statuses, ","), view.Status) {
		return fmt.Errorf("job %s is %s after %d attempts, not %s", id, view.Status, view.Attempts, statuses)
	}
	return nil
}
