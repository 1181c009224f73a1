package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"sync"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// publishResult is the result of the publish request of one operator.
type publishResult struct {
	response admin.PublishResponse
	err      error
}

// racePublishes lets one operator per entry publish at the same time, all based on the same version, and checks
// that exactly one of them succeeds in each round and that its content is in force at every entry. The arguments are
// NAME... ROUNDS.
func (env *testEnv) racePublishes(args []string) (string, error) {
	entries, err := env.runningEntries(args[:len(args)-1])
	if err != nil {
		return "", err
	}
	rounds, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return "", err
	}
	for round := range rounds {
		if err := env.racePublishOnce(entries, round); err != nil {
			return "", fmt.Errorf("round %d: %w", round, err)
		}
	}
	return "", nil
}

func (env *testEnv) racePublishOnce(entries []*entry, round int) error {
	file, _, err := readBaseFile(entries[0])
	if err != nil {
		return err
	}
	results := make([]publishResult, len(entries))
	contents := make([][]byte, len(entries))
	var wait sync.WaitGroup
	for i, e := range entries {
		contents[i] = poolTimeoutPattern.ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, 10_001+round*len(entries)+i))
		wait.Go(func() {
			results[i].response, results[i].err = e.adminClient().Publish(context.Background(), admin.PublishRequest{
				Files:  []config.FileChange{{Name: config.BaseFile, BaseVersion: file.Version, Content: contents[i]}},
				Author: record.Author("operator-" + e.name()), Reason: "race",
			}, false)
		})
	}
	wait.Wait()
	winner := -1
	for i, result := range results {
		switch {
		case result.err == nil && winner >= 0:
			return fmt.Errorf("the publish requests at %s and %s both succeeded", entries[winner].name(), entries[i].name())
		case result.err == nil:
			winner = i
		case failure.Of(result.err).Code() != failure.CodeConflict:
			return fmt.Errorf("%s: %w", entries[i].name(), result.err)
		}
	}
	if winner < 0 {
		return fmt.Errorf("no publish request succeeded")
	}
	return env.checkWinner(entries, results[winner].response.Version, contents[winner])
}

// checkWinner waits until a version is in force at all entries and checks its content.
func (env *testEnv) checkWinner(entries []*entry, version record.Offset, content []byte) error {
	for _, e := range entries {
		if err := env.awaitVersion(e, version); err != nil {
			return err
		}
		file, _, err := readBaseFile(e)
		if err != nil {
			return err
		}
		var got, want any
		if err := errors.Join(json.Unmarshal(file.Content, &got), json.Unmarshal(content, &want)); err != nil {
			return err
		}
		if file.Version != version || !reflect.DeepEqual(got, want) {
			return fmt.Errorf("%s has version %d in force, want %d with the content that was published", e.name(), file.Version, version)
		}
	}
	return nil
}

// readBaseFile returns the base file and the version of the configuration in force.
func readBaseFile(e *entry) (config.Published, record.Offset, error) {
	answer, err := e.adminClient().Config(context.Background())
	if err != nil {
		return config.Published{}, 0, err
	}
	for _, file := range answer.Files {
		if file.Name == config.BaseFile {
			return file, answer.Version, nil
		}
	}
	return config.Published{}, 0, fmt.Errorf("%s has no base file", e.name())
}
