// Package history records what callers, workers and the operator of "hibiscuslane run" see, and judges it. A history is a list of
// events, one JSON object a line (Read, Write). Check judges a history from these views alone, without the store and the state of any
// entry. Print shows it as a table. Package simulation produces histories.
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"time"
)

// Process names whose view an event belongs to: a caller, a worker by its id, the operator, or the platform, which carries out
// orders for machines.
type Process string

// Processes of which there is one.
const (
	ProcessOperator Process = "operator"
	ProcessPlatform Process = "platform"
	ProcessFaults   Process = "faults" // what was done to the system; no rule uses these events
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	KindSubmit Kind = "submit" // a caller hands a job in
	KindAsk    Kind = "ask"    // a caller asks for the state of a job
	KindCancel Kind = "cancel" // a caller cancels a job
	KindAnswer Kind = "answer" // a caller has the answer to the call of the same number

	KindBoot  Kind = "boot"  // an incarnation of a worker begins
	KindGone  Kind = "gone"  // it has ended, and all its runs with it
	KindStart Kind = "start" // a run begins
	KindEnd   Kind = "end"   // a run has ended for the given cause
	KindAcked Kind = "acked" // the end of a run was acknowledged: the worker forgets it

	KindConfig Kind = "config" // a configuration was published
	KindWave   Kind = "wave"   // a maintenance wave was requested
	KindOrder  Kind = "order"  // the platform begins to carry out an order for a machine
	KindBack   Kind = "back"   // the machine is in service again

	KindFault Kind = "fault"
)

// Verdict is the answer to a call.
type Verdict string

// Verdicts of answers.
const (
	VerdictDone    Verdict = "done"    // accepted, cancelled, or the state is given
	VerdictRefused Verdict = "refused" // this call has changed nothing
	VerdictMissing Verdict = "missing" // there is no such job
	VerdictUnknown Verdict = "unknown" // the call may take effect at any time, or has
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// isFinal reports whether the state of a job no longer changes.
func (s State) isFinal() bool { return s == StateDone || s == StateFailed || s == StateCancelled }

// Cause is why a run has ended. Only causeDone counts for the rules.
type Cause string

const causeDone Cause = "done"

// Event is one line of a history. Each kind sets only some of the fields.
type Event struct {
	// At is the time since the begin of the history in milliseconds. Events of the same time are in order.
	At      int64   `json:"at"`
	Process Process `json:"process"`
	Kind    Kind    `json:"kind"`

	// Call is the number of a caller's call, which its answer repeats.
	Call    int     `json:"call,omitempty"`
	Job     string  `json:"job,omitempty"`
	Verdict Verdict `json:"verdict,omitempty"`
	State   State   `json:"state,omitempty"`

	Task string `json:"task,omitempty"` // job, occurrence, step and task, with dots
	Run  int64  `json:"run,omitempty"`
	// Token is the fencing token of an order.
	Token int64 `json:"token,omitempty"`
	Cause Cause `json:"cause,omitempty"`
	// Late is set if the order was under way for longer than its sender waits, or if its sender was paused shortly before.
	Late bool `json:"late,omitempty"`
	// Excused is set for an acknowledgement that counts for nothing, because the lease of the worker has expired since the end.
	Excused bool `json:"excused,omitempty"`

	Machine string `json:"machine,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Holder  string `json:"holder,omitempty"` // who gave an order for a machine
	Wave    int    `json:"wave,omitempty"`
	Maximum int    `json:"maximum,omitempty"` // machines of a wave that may be away at once
	Version int    `json:"version,omitempty"`
	Text    string `json:"text,omitempty"`
}

// maxLineBytes limits a line of a history file.
const maxLineBytes = 1 << 20

// Read reads a history file.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, &FormatError{Line: number, Cause: err}
		}
		if e.Kind == "" || e.Process == "" || len(events) > 0 && e.At < events[len(events)-1].At {
			return nil, &FormatError{Line: number, Cause: errInvalidEvent}
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, &FormatError{Cause: err}
	}
	return events, nil
}

// Write writes a history file.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// isCall reports whether the event is a call of a caller.
func (e Event) isCall() bool {
	return e.Kind == KindSubmit || e.Kind == KindAsk || e.Kind == KindCancel
}

// describe returns the event without its time and process.
func (e Event) describe() string {
	text := string(e.Kind)
	add := func(name, value string) {
		if value != "" && value != "0" {
			text += " " + name + value
		}
	}
	add("#", strconv.Itoa(e.Call))
	add("", e.Job)
	add("", string(e.Verdict))
	add("", string(e.State))
	add("", e.Task)
	add("run ", strconv.FormatInt(e.Run, 10))
	add("token ", strconv.FormatInt(e.Token, 10))
	add("", string(e.Cause))
	add("", e.Machine)
	add("to ", e.Pool)
	add("by ", e.Holder)
	add("wave ", strconv.Itoa(e.Wave))
	add("maximum ", strconv.Itoa(e.Maximum))
	add("version ", strconv.Itoa(e.Version))
	add("", e.Text)
	if e.Late {
		text += " late"
	}
	if e.Excused {
		text += " excused"
	}
	return text
}

// milliseconds returns a duration in the unit of Event.At.
func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
