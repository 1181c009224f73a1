// Package rehearsal plays a pattern of load (Load) against the decisions of an owner of "hibiscuslane run" (Play): which jobs are
// refused, in which order tasks start, and which machines move. There is no input or output and no real time, so that a day takes
// seconds. It compares the decisions with those of an owner that lacks one of them, and with a pool that all queues share.
package rehearsal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
)

// Limits of a load, so that a rehearsal ends within minutes.
const (
	maxLength   = 10 * time.Minute
	maxMachines = 10_000
	maxQueues   = 100
	maxJobs     = 200_000
)

// Duration is a time span that is written as text, such as 1.5s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if value < 0 {
		return fmt.Errorf("%s is negative", text)
	}
	*d = Duration(value)
	return nil
}

// Load is a pattern of load.
type Load struct {
	Seed uint64 `json:"seed"`
	// Length is the time in which callers submit jobs.
	Length Duration `json:"length"`
	// Move is how long a machine is down while it moves to another pool.
	Move     Duration       `json:"move"`
	Machine  task.Resources `json:"machine"`
	Pools    []Pool         `json:"pools"`
	Queues   []Queue        `json:"queues"`
	Outages  []Span         `json:"outages"` // of the store: nothing is accepted or placed
	Losses   []Loss         `json:"losses"`
	Retries  int            `json:"retries"`  // how often the caller of a refused job asks again
	Variance float64        `json:"variance"` // share of its estimate by which a task takes shorter or longer at most
	Late     float64        `json:"late"`     // worth of a late job as a share of one in time
}

// Pool is a pool with its machines at the start. Those of the spare pool are switched off.
type Pool struct {
	Name     pool.Name `json:"name"`
	Machines int       `json:"machines"`
	Spare    bool      `json:"spare"`
}

// Queue is a queue and the jobs that callers submit to it.
type Queue struct {
	Name      queue.Name `json:"name"`
	Pool      pool.Name  `json:"pool"`
	Priority  int        `json:"priority"` // 0 is the highest
	Stretch   float64    `json:"stretch"`
	Allowance Duration   `json:"allowance"`
	Rate      float64    `json:"rate"` // jobs per second
	Turns     []Turn     `json:"turns"`
	Spread    float64    `json:"spread"` // share by which the number of tasks and their times differ from job to job at most
	Steps     []Step     `json:"steps"`  // one after the other
}

// Step is a step of a job.
type Step struct {
	Count    int            `json:"count"`
	Room     task.Resources `json:"room"` // of each task
	Estimate Duration       `json:"estimate"`
}

// Span is a part of the time.
type Span struct {
	At  Duration `json:"at"`
	For Duration `json:"for"`
}

// holds reports whether a time lies in the span.
func (s Span) holds(at time.Duration) bool {
	return at >= time.Duration(s.At) && at < time.Duration(s.At)+time.Duration(s.For)
}

// Turn is a time in which a queue receives a multiple of its rate.
type Turn struct {
	Span
	Times float64 `json:"times"`
}

// Loss is a time in which machines of a pool are down. Their tasks start again.
type Loss struct {
	Span
	Pool     pool.Name `json:"pool"`
	Machines int       `json:"machines"`
}

// LoadError reports a load that cannot be played.
type LoadError struct {
	Field  string // its path; empty for the whole load
	Reason string
}

func (e *LoadError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// Parse reads a load and checks it.
func Parse(data []byte) (*Load, error) {
	load := &Load{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(load); err != nil {
		return nil, &LoadError{Reason: err.Error()}
	}
	if err := load.check(); err != nil {
		return nil, err
	}
	return load, nil
}

// isAmount reports whether a number lies from 0 to most.
func isAmount(value, most float64) bool { return value >= 0 && value <= most }

func (l *Load) check() error {
	switch {
	case l.Length <= 0 || time.Duration(l.Length) > maxLength:
		return &LoadError{Field: "length", Reason: "must be above 0 and at most " + maxLength.String()}
	case l.Machine.CPU <= 0:
		return &LoadError{Field: "machine.cpu", Reason: "must be above 0, in thousandths of a core"}
	case l.Retries < 0:
		return &LoadError{Field: "retries", Reason: "is below 0"}
	case !isAmount(l.Variance, 1):
		return &LoadError{Field: "variance", Reason: "must be from 0 to 1"}
	case !isAmount(l.Late, 1):
		return &LoadError{Field: "late", Reason: "must be from 0 to 1"}
	case len(l.Queues) > maxQueues:
		return &LoadError{Field: "queues", Reason: fmt.Sprintf("more than %d", maxQueues)}
	}
	machines, err := l.checkPools()
	if err != nil {
		return err
	}
	if err := l.checkQueues(machines); err != nil {
		return err
	}
	for i, loss := range l.Losses {
		if count, ok := machines[loss.Pool]; !ok || loss.Machines < 0 || loss.Machines > count {
			return &LoadError{Field: fmt.Sprintf("losses[%d]", i), Reason: "names more machines than the pool has at the start"}
		}
	}
	return nil
}

// checkPools returns the number of machines of each pool that may take tasks.
func (l *Load) checkPools() (map[pool.Name]int, error) {
	machines, total, spares := map[pool.Name]int{}, 0, 0
	for i, p := range l.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		if _, ok := machines[p.Name]; ok || p.Name == "" {
			return nil, &LoadError{Field: field + ".name", Reason: "is empty or that of an earlier pool"}
		}
		if p.Machines < 0 || p.Machines > maxMachines {
			return nil, &LoadError{Field: field + ".machines", Reason: fmt.Sprintf("must be from 0 to %d", maxMachines)}
		}
		if total += p.Machines; total > maxMachines {
			return nil, &LoadError{Field: "pools", Reason: fmt.Sprintf("more than %d machines", maxMachines)}
		}
		if p.Spare {
			spares++
			continue
		}
		machines[p.Name] = p.Machines
	}
	if spares > 1 {
		return nil, &LoadError{Field: "pools", Reason: "more than one spare pool"}
	}
	return machines, nil
}

func (l *Load) checkQueues(machines map[pool.Name]int) error {
	jobs := 0.0
	for i := range l.Queues {
		q := &l.Queues[i]
		if err := q.check(fmt.Sprintf("queues[%d]", i), machines, l.Machine); err != nil {
			return err
		}
		jobs += q.expectedJobs(time.Duration(l.Length))
	}
	if !isAmount(jobs, maxJobs) {
		return &LoadError{Field: "queues", Reason: fmt.Sprintf("more than %d jobs", maxJobs)}
	}
	return nil
}

func (q *Queue) check(field string, machines map[pool.Name]int, machine task.Resources) error {
	fault := func(name, reason string) error { return &LoadError{Field: field + "." + name, Reason: reason} }
	_, ok := machines[q.Pool]
	switch {
	case !ok:
		return fault("pool", "there is no such pool that takes tasks")
	case !isAmount(q.Rate, maxJobs):
		return fault("rate", "must be 0 or more jobs a second")
	case !isAmount(q.Stretch, 1000):
		return fault("stretch", "must be from 0 to 1000")
	case !isAmount(q.Spread, 0.9):
		return fault("spread", "must be from 0 to 0.9")
	case len(q.Steps) == 0:
		return fault("steps", "is empty")
	}
	for i, s := range q.Steps {
		if s.Count < 1 || s.Count > task.MaxTasks || s.Estimate <= 0 || !machine.CanFit(s.Room) {
			return fault(fmt.Sprintf("steps[%d]", i), "needs tasks that take time and fit on a machine")
		}
	}
	for i, t := range q.Turns {
		if !isAmount(t.Times, 1000) {
			return fault(fmt.Sprintf("turns[%d].times", i), "must be from 0 to 1000")
		}
	}
	return nil
}

// rateAt returns the jobs a second at a time. Where turns overlap, the first one counts.
func (q *Queue) rateAt(at time.Duration) float64 {
	for _, t := range q.Turns {
		if t.holds(at) {
			return q.Rate * t.Times
		}
	}
	return q.Rate
}

// expectedJobs returns the mean number of jobs until a time.
func (q *Queue) expectedJobs(length time.Duration) float64 {
	jobs := 0.0
	for at := time.Duration(0); at < length; at += tick {
		jobs += q.rateAt(at) * tick.Seconds()
	}
	return jobs
}
