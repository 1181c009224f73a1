package worker

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/upstream"
)

// maxRuntime bounds the run time that a command can request.
const maxRuntime = 24 * time.Hour

// command is the emulated behaviour of the command of a task.
type command struct {
	runtime time.Duration
	output  string
	// failure is the reason with which the command fails after runtime; empty means success.
	failure string
	// cores and memory (MB) are what the command uses while it runs.
	cores  float64
	memory int
}

// parseCommand parses echo, sleep:MS, fail, fail:REASON or usage:CORES:MB:MS. Any other command fails
// immediately, as if its program did not exist.
func parseCommand(task upstream.Task) command {
	name, rest, _ := strings.Cut(task.Command, ":")
	c := command{cores: float64(task.Cores), memory: task.Memory}
	ok := true
	switch name {
	case "echo":
		c.output = task.Input
	case "sleep":
		c.runtime, ok = milliseconds(rest)
	case "fail":
		c.failure = rest
		if rest == "" {
			c.failure = "failed"
		}
	case "usage":
		c, ok = parseUsage(rest)
	default:
		ok = false
	}
	if !ok {
		return command{failure: "command not found: " + task.Command}
	}
	return c
}

func parseUsage(text string) (command, bool) {
	fields := strings.Split(text, ":")
	if len(fields) != 3 {
		return command{}, false
	}
	cores, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || cores < 0 {
		return command{}, false
	}
	memory, err := strconv.Atoi(fields[1])
	if err != nil || memory < 0 {
		return command{}, false
	}
	runtime, ok := milliseconds(fields[2])
	return command{runtime: runtime, cores: cores, memory: memory}, ok
}

// milliseconds parses a number of milliseconds. It returns false if the number is malformed, negative or longer than
// maxRuntime.
func milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxRuntime.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Checkpoints stores the progress of tasks, as run time. Workers that share it can resume each other's tasks.
type Checkpoints struct {
	mu    sync.Mutex
	saved map[upstream.TaskID]time.Duration
}

func (c *Checkpoints) save(task upstream.TaskID, progress time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.saved == nil {
		c.saved = map[upstream.TaskID]time.Duration{}
	}
	c.saved[task] = progress
}

func (c *Checkpoints) load(task upstream.TaskID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.saved[task]
}

func (c *Checkpoints) remove(task upstream.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.saved, task)
}
