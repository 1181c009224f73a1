package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/target"
)

// rolloutLimit is the bound on the time until a configuration change is in force at every entry.
const rolloutLimit = 11 * time.Second

// journal returns what all targets executed.
func (w *world) journal() ([]target.Execution, error) {
	var all []target.Execution
	for _, address := range w.targets {
		r, err := call(context.Background(), http.MethodGet, "http://"+address+"/-/journal", http.Header{}, "")
		if err != nil {
			return nil, err
		}
		var journal struct {
			Requests []target.Execution `json:"requests"`
		}
		if err := json.Unmarshal([]byte(r.body), &journal); err != nil {
			return nil, fmt.Errorf("journal of %s: %v: %w", address, r, err)
		}
		all = append(all, journal.Requests...)
	}
	return all, nil
}

// executions counts the executions of each key.
func (w *world) executions() (map[string]int, error) {
	journal, err := w.journal()
	counts := map[string]int{}
	for _, e := range journal {
		if e.Key != "" {
			counts[e.Key]++
		}
	}
	return counts, err
}

// executed checks the number of executions of a key: KEY N.
func (w *world) executed(args []string) (string, error) {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	counts, err := w.executions()
	if err == nil && counts[args[0]] != want {
		err = fmt.Errorf("%s was executed %d times", args[0], counts[args[0]])
	}
	return "", err
}

// consistent holds what callers were told against what the targets and workers executed.
func (w *world) consistent([]string) (string, error) {
	counts, err := w.executions()
	if err != nil {
		return "", err
	}
	for key, n := range counts {
		if n > 1 {
			return "", fmt.Errorf("%s was executed %d times; callers were told %v", key, n, w.told.told[key])
		}
	}
	for _, key := range w.told.keys {
		if err := verify(w.told.told[key], counts[key]); err != nil {
			return "", fmt.Errorf("%s: %w; callers were told %v", key, err, w.told.told[key])
		}
	}
	return "", w.exclusive()
}

// verify checks the replies to one key. A key that was only ever told to be notrun did not run, and all
// answers of a key are the same.
func verify(replies []reply, executions int) error {
	var answer *reply
	notrun := true
	for i, r := range replies {
		switch r.outcome {
		case failure.OutcomeAnswered:
			if answer != nil && *answer != r {
				return fmt.Errorf("answers differ")
			}
			answer, notrun = &replies[i], false
		case failure.OutcomeNotRun:
		case failure.OutcomeUnknown:
			notrun = false
		default:
			return fmt.Errorf("outcome %q", r.outcome)
		}
	}
	switch {
	case answer != nil && executions != 1:
		return fmt.Errorf("answered and executed %d times", executions)
	case notrun && executions != 0:
		return fmt.Errorf("notrun and executed %d times", executions)
	}
	return nil
}

// converged waits until all live entries have equal offsets, versions and instances.
func (w *world) converged([]string) (string, error) {
	live := w.live()
	return "", eventually(func() error {
		var first admin.Status
		for i, n := range live {
			s, err := n.client().Status(context.Background())
			if err != nil {
				return err
			}
			if i == 0 {
				first = s
			}
			switch {
			case !s.Ready:
				return fmt.Errorf("%s is not ready: %s", s.ID, s.Reason)
			case s.ConfigVersion != first.ConfigVersion || !maps.Equal(s.Offsets, first.Offsets):
				return fmt.Errorf("%s has version %d and offsets %v, %s has %d and %v", s.ID, s.ConfigVersion, s.Offsets, first.ID, first.ConfigVersion, first.Offsets)
			case !reflect.DeepEqual(s.Instances, first.Instances):
				return fmt.Errorf("%s and %s differ in their instances at offsets %v", s.ID, first.ID, s.Offsets)
			}
		}
		return nil
	})
}

var timeoutOfPool = regexp.MustCompile(`"timeout": ?\d+`)

// rollout publishes a change and checks the time until it is in force at all live entries.
func (w *world) rollout([]string) (string, error) {
	live := w.live()
	client := live[0].client()
	file, version, err := baseFile(live[0])
	if err != nil {
		return "", err
	}
	// The new timeout differs from the present one, whatever the version.
	content := timeoutOfPool.ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, 20_000+int(version)))
	start := time.Now()
	published, err := client.Publish(context.Background(), admin.PublishRequest{
		Files: []config.FileChange{{Name: config.BaseFile, BaseVersion: file.Version, Content: content}}, Author: "ada", Reason: "roll-out",
	}, false)
	if err != nil {
		return "", fmt.Errorf("publish after %v: %w", time.Since(start), err)
	}
	for _, n := range live {
		if err := w.inForce(n, published.Version); err != nil {
			return "", err
		}
	}
	took := time.Since(start)
	if took > rolloutLimit {
		return "", fmt.Errorf("roll-out took %v", took)
	}
	w.t.Logf("the publish was in force at %d entries after %v", len(live), took.Round(time.Millisecond))
	return "", nil
}

func (w *world) inForce(n *node, version record.Offset) error {
	return eventually(func() error {
		s, err := n.client().Status(context.Background())
		if err == nil && s.ConfigVersion < version {
			err = fmt.Errorf("%s has version %d, not %d", n.name(), s.ConfigVersion, version)
		}
		return err
	})
}
