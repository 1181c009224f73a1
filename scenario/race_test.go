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
	response admin.PublishAnswer
	err      error
}

// racePublishes lets one operator per entry publish at the same time, all based on the same version, and checks
// that exactly one of them succeeds in each round and that its content is in force at every entry. The arguments are
// NAME... ROUNDS.
func (env *testEnv) racePublishes(args []string) (string, error) {
	nodes, err := env.runningNodes(args[:len(args)-1])
	if err != nil {
		return "", err
	}
	rounds, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return "", err
	}
	for round := range rounds {
		if err := env.racePublishOnce(nodes, round); err != nil {
			return "", fmt.Errorf("round %d: %w", round, err)
		}
	}
	return "", nil
}

func (env *testEnv) racePublishOnce(nodes []*node, round int) error {
	file, _, err := readBaseFile(nodes[0])
	if err != nil {
		return err
	}
	results := make([]publishResult, len(nodes))
	contents := make([][]byte, len(nodes))
	var wait sync.WaitGroup
	for i, n := range nodes {
		contents[i] = poolTimeoutPattern.ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, 10_001+round*len(nodes)+i))
		wait.Go(func() {
			results[i].response, results[i].err = n.adminClient().Publish(context.Background(), admin.PublishRequest{
				Files:  []config.FileChange{{Name: config.BaseFile, BaseVersion: file.Version, Content: contents[i]}},
				Author: record.Author("operator-" + n.name()), Reason: "race",
			}, false)
		})
	}
	wait.Wait()
	winner := -1
	for i, result := range results {
		switch {
		case result.err == nil && winner >= 0:
			return fmt.Errorf("the publish requests at %s and %s both succeeded", nodes[winner].name(), nodes[i].name())
		case result.err == nil:
			winner = i
		case failure.Of(result.err).Code() != failure.CodeConflict:
			return fmt.Errorf("%s: %w", nodes[i].name(), result.err)
		}
	}
	if winner < 0 {
		return fmt.Errorf("no publish request succeeded")
	}
	return env.checkWinner(nodes, results[winner].response.Version, contents[winner])
}

// checkWinner waits until a version is in force at all nodes and checks its content.
func (env *testEnv) checkWinner(nodes []*node, version record.Offset, content []byte) error {
	for _, n := range nodes {
		if err := env.awaitVersion(n, version); err != nil {
			return err
		}
		file, _, err := readBaseFile(n)
		if err != nil {
			return err
		}
		var got, want any
		if err := errors.Join(json.Unmarshal(file.Content, &got), json.Unmarshal(content, &want)); err != nil {
			return err
		}
		if file.Version != version || !reflect.DeepEqual(got, want) {
			return fmt.Errorf("%s has version %d in force, want %d with the content that was published", n.name(), file.Version, version)
		}
	}
	return nil
}

// readBaseFile returns the base file and the version of the configuration in force.
func readBaseFile(n *node) (config.Published, record.Offset, error) {
	answer, err := n.adminClient().Config(context.Background())
	if err != nil {
		return config.Published{}, 0, err
	}
	for _, file := range answer.Files {
		if file.Name == config.BaseFile {
			return file, answer.Version, nil
		}
	}
	return config.Published{}, 0, fmt.Errorf("%s has no base file", n.name())
}
