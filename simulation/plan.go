package simulation

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
)

// Action is what happens at a step.
type Action string

// Actions.
const (
	ActionSubmit  Action = "submit"  // a caller hands in job Job, and tries again while it is refused
	ActionAsk     Action = "ask"     // a caller asks for its state
	ActionCancel  Action = "cancel"  // a caller cancels it
	ActionStop    Action = "stop"    // the owner is stopped in order, and replaced after Lasts
	ActionKill    Action = "kill"    // the owner ends at once, and is replaced after Lasts
	ActionPause   Action = "pause"   // the owner is paused
	ActionSuspend Action = "suspend" // its machine is suspended: the steady clock stands still
	ActionAway    Action = "away"    // a part of the store fails, in the way that Mode says
	ActionCrash   Action = "crash"   // a worker ends at once, and starts again under its id after Lasts
	ActionCut     Action = "cut"     // a worker and all entries lose each other, in the way that Mode says
	ActionForget  Action = "forget"  // a worker cannot reach the store: its registration expires
	ActionOdd     Action = "odd"     // another program registers beside the workers, on the machine of a worker
	ActionConfig  Action = "config"  // the operator publishes a configuration
	ActionWave    Action = "wave"    // the operator requests the maintenance of machines
)

var actions = []Action{
	ActionSubmit, ActionAsk, ActionCancel, ActionStop, ActionKill, ActionPause, ActionSuspend, ActionAway, ActionCrash, ActionCut, ActionForget,
	ActionOdd, ActionConfig, ActionWave,
}

// Mode is what becomes of calls.
type Mode string

// Modes.
const (
	ModeRefuse Mode = "refuse" // they are refused
	ModeLose   Mode = "lose"   // they are lost
	ModeMute   Mode = "mute"   // they take effect and their answers are lost
	ModeHold   Mode = "hold"   // they arrive when the fault ends
	ModeRepeat Mode = "repeat" // they arrive twice
	ModeSlow   Mode = "slow"   // they arrive slowDelay later
)

// Parts of the store.
const (
	PartLedger        = "ledger"
	PartClaims        = "claims"
	PartRegistrations = "registrations"
	PartAll           = "all"
)

// Step is one thing that happens. Each action uses only some of the fields.
type Step struct {
	At     int64  `json:"at"` // milliseconds since the begin
	Action Action `json:"action"`
	Lasts  int64  `json:"lasts,omitempty"` // milliseconds
	Mode   Mode   `json:"mode,omitempty"`
	Part   string `json:"part,omitempty"`
	Worker int    `json:"worker,omitempty"`
	Caller int    `json:"caller,omitempty"`
	Job    int    `json:"job,omitempty"`
	Tasks  int    `json:"tasks,omitempty"`  // tasks of the job, or machines of the wave that may be away at once
	Takes  int64  `json:"takes,omitempty"`  // milliseconds that each of them runs
	Number int    `json:"number,omitempty"` // of a configuration or wave
	Pool   int    `json:"pool,omitempty"`
}

// Plan is what happens in one run. Each step stands for itself, so that any of them can be left out.
type Plan struct {
	Seed  uint64 `json:"seed"`
	Steps []Step `json:"steps"`
}

// Bounds of drawn plans, in milliseconds and numbers.
const (
	calmFrom      = 7000 // no step begins later
	endOfRun      = 13000
	maxLasts      = 2500
	maxJobs       = 8
	maxFaults     = 7
	workers       = 5
	spareMachines = 2
	poolCount     = 2
	maxTasks      = 4
	maxTakes      = 1500
	entries       = 3
	callers       = 3
	firstStep     = 300
	minLasts      = 100
	asksPerJob    = 2
	// maxDowntime is the longest time for which a crashed worker is down, and maxWaveMachines the most machines of a wave that may be
	// away at once.
	maxDowntime     = 800
	maxWaveMachines = 2
	// One job in cancelRatio is cancelled, from up to cancelLead before it is handed in, and one call in modeRatio meets a fault.
	cancelRatio = 4
	cancelLead  = 300
	modeRatio   = 4
)

// faultWeights are the relative frequencies of the actions of a plan that are not calls.
var faultWeights = []struct {
	action Action
	weight int
}{
	{ActionStop, 4}, {ActionKill, 4}, {ActionPause, 3}, {ActionSuspend, 1}, {ActionAway, 9}, {ActionCrash, 6}, {ActionCut, 6}, {ActionForget, 1},
	{ActionOdd, 2}, {ActionConfig, 1}, {ActionWave, 4},
}

// Draw returns the plan of a seed.
func Draw(seed uint64) Plan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed}
	between := func(from, until int64) int64 { return from + r.Int64N(until-from) }
	for n := range 1 + r.IntN(maxJobs) {
		at := between(firstStep, calmFrom)
		caller := 1 + r.IntN(callers)
		p.Steps = append(p.Steps, Step{At: at, Action: ActionSubmit, Job: n + 1, Caller: caller, Tasks: 1 + r.IntN(maxTasks), Takes: between(50, maxTakes), Pool: 1 + r.IntN(poolCount), Mode: drawCallMode(r)})
		for range r.IntN(asksPerJob + 1) {
			p.Steps = append(p.Steps, Step{At: between(at, calmFrom+maxLasts), Action: ActionAsk, Job: n + 1, Caller: caller})
		}
		if r.IntN(cancelRatio) == 0 {
			p.Steps = append(p.Steps, Step{At: between(max(firstStep, at-cancelLead), calmFrom+maxLasts), Action: ActionCancel, Job: n + 1, Caller: 1 + r.IntN(callers), Mode: drawCallMode(r)})
		}
	}
	for n := range 1 + r.IntN(maxFaults) {
		s := Step{At: between(firstStep, calmFrom), Action: drawFault(r), Lasts: between(minLasts, maxLasts), Worker: 1 + r.IntN(workers), Number: n + 1}
		if s.Action == ActionAway {
			s.Part = []string{PartLedger, PartLedger, PartLedger, PartClaims, PartRegistrations, PartAll}[r.IntN(6)]
			s.Mode = []Mode{ModeRefuse, ModeRefuse, ModeLose, ModeMute, ModeHold, ModeSlow}[r.IntN(6)]
		}
		if s.Action == ActionCut {
			s.Mode = []Mode{ModeLose, ModeMute, ModeHold}[r.IntN(3)]
		}
		if s.Action == ActionCrash {
			s.Lasts = between(minLasts, maxDowntime)
		}
		if s.Action == ActionWave {
			s.Tasks = 1 + r.IntN(maxWaveMachines)
		}
		p.Steps = append(p.Steps, s)
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// drawCallMode returns what becomes of a call; mostly nothing.
func drawCallMode(r *rand.Rand) Mode {
	modes := []Mode{ModeLose, ModeMute, ModeSlow, ModeRepeat}
	if n := r.IntN(modeRatio * len(modes)); n < len(modes) {
		return modes[n]
	}
	return ""
}

func drawFault(r *rand.Rand) Action {
	total := 0
	for _, f := range faultWeights {
		total += f.weight
	}
	n := r.IntN(total)
	for _, f := range faultWeights {
		if n -= f.weight; n < 0 {
			return f.action
		}
	}
	return ActionAway
}

// ReadPlan reads a plan as WritePlan writes it.
func ReadPlan(r io.Reader) (Plan, error) {
	var p Plan
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return Plan{}, &PlanError{Cause: err}
	}
	for _, s := range p.Steps {
		if !slices.Contains(actions, s.Action) || min(s.At, s.Lasts, s.Takes) < 0 || min(s.Worker, s.Caller, s.Job, s.Tasks, s.Number, s.Pool) < 0 || s.At > endOfRun {
			return Plan{}, &PlanError{Cause: errInvalidStep}
		}
	}
	return p, nil
}

// WritePlan writes a plan, a step a line.
func WritePlan(w io.Writer, p Plan) error {
	data, err := json.Marshal(p.Steps)
	if err != nil {
		return &PlanError{Cause: err}
	}
	var lines []json.RawMessage
	if err := json.Unmarshal(data, &lines); err != nil {
		return &PlanError{Cause: err}
	}
	out, err := json.Marshal(map[string]uint64{"seed": p.Seed})
	if err != nil {
		return &PlanError{Cause: err}
	}
	text := string(out[:len(out)-1]) + `,"steps":[`
	for i, line := range lines {
		if i > 0 {
			text += ","
		}
		text += "\n" + string(line)
	}
	_, err = io.WriteString(w, text+"\n]}\n")
	return err
}
