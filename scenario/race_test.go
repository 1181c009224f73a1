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

// attempt is the publish of one operator.
type attempt struct {
	answer admin.PublishAnswer
	err    error
}

// race lets one operator per entry publish at the same time, each based on the same version: NAME...
// ROUNDS. Exactly one of them wins each round, and its content is in force everywhere.
func (w *world) race(args []string) (string, error) {
	nodes, err := w.nodes(args[:len(args)-1])
	if err != nil {
		return "", err
	}
	rounds, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return "", err
	}
	for round := range rounds {
		if err := w.raceOnce(nodes, round); err != nil {
			return "", fmt.Errorf("round %d: %w", round, err)
		}
	}
	return "", nil
}

func (w *world) raceOnce(nodes []*node, round int) error {
	file, _, err := baseFile(nodes[0])
	if err != nil {
		return err
	}
	attempts := make([]attempt, len(nodes))
	contents := make([][]byte, len(nodes))
	var wait sync.WaitGroup
	for i, n := range nodes {
		contents[i] = timeoutOfPool.ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, 10_001+round*len(nodes)+i))
		wait.Go(func() {
			attempts[i].answer, attempts[i].err = n.client().Publish(context.Background(), admin.PublishRequest{
				Files:  []config.FileChange{{Name: config.BaseFile, BaseVersion: file.Version, Content: contents[i]}},
				Author: record.Author("operator-" + n.name()), Reason: "race",
			}, false)
		})
	}
	wait.Wait()
	winner := -1
	for i, a := range attempts {
		switch {
		case a.err == nil && winner >= 0:
			return fmt.Errorf("%s and %s both won", nodes[winner].name(), nodes[i].name())
		case a.err == nil:
			winner = i
		case failure.Of(a.err).Code() != failure.CodeConflict:
			return fmt.Errorf("%s: %w", nodes[i].name(), a.err)
		}
	}
	if winner < 0 {
		return fmt.Errorf("nobody won")
	}
	return w.wonBy(nodes, attempts[winner].answer.Version, contents[winner])
}

// wonBy waits until a version is in force and checks its content.
func (w *world) wonBy(nodes []*node, version record.Offset, content []byte) error {
	for _, n := range nodes {
		if err := w.inForce(n, version); err != nil {
			return err
		}
		file, _, err := baseFile(n)
		if err != nil {
			return err
		}
		var got, want any
		if err := errors.Join(json.Unmarshal(file.Content, &got), json.Unmarshal(content, &want)); err != nil {
			return err
		}
		if file.Version != version || !reflect.DeepEqual(got, want) {
			return fmt.Errorf("%s has version %d in force, not %d with the content of the winner", n.name(), file.Version, version)
		}
	}
	return nil
}

// baseFile returns the base file and the version of the configuration in force.
func baseFile(n *node) (config.Published, record.Offset, error) {
	answer, err := n.client().Config(context.Background())
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
