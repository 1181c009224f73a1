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

// rolloutLimit is the longest allowed time until a configuration change is in force at every entry.
const rolloutLimit = 11 * time.Second

// executedRequests returns the requests that the targets executed.
func (env *testEnv) executedRequests() ([]target.Execution, error) {
	var all []target.Execution
	for _, address := range env.targetAddrs {
		r, err := sendRequest(context.Background(), http.MethodGet, "http://"+address+"/-/journal", http.Header{}, "")
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

// countExecutions returns the number of executions of each key.
func (env *testEnv) countExecutions() (map[string]int, error) {
	journal, err := env.executedRequests()
	counts := map[string]int{}
	for _, e := range journal {
		if e.Key != "" {
			counts[e.Key]++
		}
	}
	return counts, err
}

// checkExecuted checks how often the targets executed a key. The arguments are KEY N.
func (env *testEnv) checkExecuted(args []string) (string, error) {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	counts, err := env.countExecutions()
	if err == nil && counts[args[0]] != want {
		err = fmt.Errorf("%s was executed %d times, want %d", args[0], counts[args[0]], want)
	}
	return "", err
}

// checkConsistent compares the replies that callers received with what the targets and workers executed.
func (env *testEnv) checkConsistent([]string) (string, error) {
	counts, err := env.countExecutions()
	if err != nil {
		return "", err
	}
	for key, n := range counts {
		if n > 1 {
			return "", fmt.Errorf("%s was executed %d times; callers received %v", key, n, env.replies.byKey[key])
		}
	}
	for _, key := range env.replies.keys {
		if err := checkReplies(env.replies.byKey[key], counts[key]); err != nil {
			return "", fmt.Errorf("%s: %w; callers received %v", key, err, env.replies.byKey[key])
		}
	}
	return "", env.checkExclusiveRuns()
}

// checkReplies checks the replies for one key. A key with only notrun replies must not have run, an answered key
// must have run once, and all answers for a key must be equal.
func checkReplies(replies []reply, executions int) error {
	var answer *reply
	notrun := true
	for i, r := range replies {
		switch r.outcome {
		case failure.OutcomeAnswered:
			if answer != nil && *answer != r {
				return fmt.Errorf("the answers differ: %v, %v", *answer, r)
			}
			answer, notrun = &replies[i], false
		case failure.OutcomeNotRun:
		case failure.OutcomeUnknown:
			notrun = false
		default:
			return fmt.Errorf("unexpected outcome %q", r.outcome)
		}
	}
	switch {
	case answer != nil && executions != 1:
		return fmt.Errorf("was answered but executed %d times, want once", executions)
	case notrun && executions != 0:
		return fmt.Errorf("was reported as notrun but executed %d times", executions)
	}
	return nil
}

// awaitConverged waits until all live entries have equal offsets, configuration versions and instances.
func (env *testEnv) awaitConverged([]string) (string, error) {
	live := env.liveEntries()
	return "", pollUntil(func() error {
		var first admin.Status
		for i, e := range live {
			s, err := e.adminClient().Status(context.Background())
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
				return fmt.Errorf("%s and %s have different instances at offsets %v", s.ID, first.ID, s.Offsets)
			}
		}
		return nil
	})
}

var poolTimeoutPattern = regexp.MustCompile(`"timeout": ?\d+`)

// checkRollout publishes a configuration change and checks how long it takes to be in force at all live entries.
func (env *testEnv) checkRollout([]string) (string, error) {
	live := env.liveEntries()
	client := live[0].adminClient()
	file, version, err := readBaseFile(live[0])
	if err != nil {
		return "", err
	}
	// The version makes the new timeout differ from the current one.
	content := poolTimeoutPattern.ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, 20_000+int(version)))
	start := time.Now()
	published, err := client.Publish(context.Background(), admin.PublishRequest{
		Files: []config.FileChange{{Name: config.BaseFile, BaseVersion: file.Version, Content: content}}, Author: "ada", Reason: "roll-out",
	}, false)
	if err != nil {
		return "", fmt.Errorf("publish after %v: %w", time.Since(start), err)
	}
	for _, e := range live {
		if err := env.awaitVersion(e, published.Version); err != nil {
			return "", err
		}
	}
	took := time.Since(start)
	if took > rolloutLimit {
		return "", fmt.Errorf("roll-out took %v, longer than %v", took, rolloutLimit)
	}
	env.t.Logf("the published version was in force at %d entries after %v", len(live), took.Round(time.Millisecond))
	return "", nil
}

func (env *testEnv) awaitVersion(e *entry, version record.Offset) error {
	return pollUntil(func() error {
		s, err := e.adminClient().Status(context.Background())
		if err == nil && s.ConfigVersion < version {
			err = fmt.Errorf("%s has version %d, want at least %d", e.name(), s.ConfigVersion, version)
		}
		return err
	})
}
