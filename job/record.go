package job

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Record kinds of the job stream.
const (
	KindSubmit     record.Kind = "submit"
	KindPlace      record.Kind = "place"
	KindStart      record.Kind = "start"
	KindFinish     record.Kind = "finish"
	KindAbandon    record.Kind = "lapse"
	KindCancel     record.Kind = "cancel"
	KindQuarantine record.Kind = "quarantine"
	KindRestore    record.Kind = "restore"
)

// Bounds of records in bytes and numbers. The log and the state of every entry carry the texts.
const (
	MaxInputBytes   = 16 << 10
	MaxCommandBytes = 4 << 10
	MaxOutputBytes  = 4 << 10
	// MaxLimit bounds the attempts of a job.
	MaxAttemptLimit = 100
	// MaxCancel bounds the jobs of one cancel record.
	MaxCancelBatch = 1000
	maxName        = 255
	maxReason      = 512
	// maxAmount bounds sizes, so that sums never overflow.
	maxAmount = 1 << 30
)

// Body is the typed body of a job record.
type Body interface {
	// Kind returns the record kind of the body.
	Kind() record.Kind
	validate() error
}

// Submit adds a job.
type Submit struct {
	ID  ID     `json:"id"`
	Key string `json:"key,omitempty"`
	Spec
}

// AttemptID names an attempt; it is the precondition of the records about it.
type AttemptID struct {
	ID    ID    `json:"id"`
	Epoch Epoch `json:"epoch"`
}

// Place records an attempt before the worker is called. Epoch is one more than that of the job.
type Place struct {
	AttemptID
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Size
	// Quota bounds all attempts of the team, this one included; 0 means no limit. It is a precondition,
	// because authors who place different jobs of a team at once would together exceed the quota.
	Quota Size `json:"quota"`
}

// Start records that the worker has accepted the task.
type Start struct {
	AttemptID
}

// Finish records the end of an attempt that the worker has reported.
type Finish struct {
	AttemptID
	// State is done, failed, stopped or lapsed.
	State  upstream.TaskState `json:"state"`
	Output string             `json:"output,omitempty"`
	Reason string             `json:"reason,omitempty"`
	// Cores and Memory (MB) are the highest reported usage; 0 means that none was reported.
	Cores  float64 `json:"cores,omitempty"`
	Memory int     `json:"memory,omitempty"`
}

// Abandon records the end of an attempt whose worker has not reported it.
type Abandon struct {
	AttemptID
	Reason string `json:"reason,omitempty"`
}

// Cancel ends jobs. Those that have ended before are skipped.
type Cancel struct {
	IDs    []ID   `json:"ids"`
	Reason string `json:"reason,omitempty"`
}

// Quarantine keeps new attempts from a worker.
type Quarantine struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Reason      string               `json:"reason,omitempty"`
}

// Restore ends a quarantine.
type Restore struct {
	Worker instance.ID `json:"worker"`
	// Since is the offset of the quarantine record that it ends.
	QuarantineOffset record.Offset `json:"since"`
	Reason           string        `json:"reason,omitempty"`
}

// Kind implements Body.
func (*Submit) Kind() record.Kind { return KindSubmit }

// Kind implements Body.
func (*Place) Kind() record.Kind { return KindPlace }

// Kind implements Body.
func (*Start) Kind() record.Kind { return KindStart }

// Kind implements Body.
func (*Finish) Kind() record.Kind { return KindFinish }

// Kind implements Body.
func (*Abandon) Kind() record.Kind { return KindAbandon }

// Kind implements Body.
func (*Cancel) Kind() record.Kind { return KindCancel }

// Kind implements Body.
func (*Quarantine) Kind() record.Kind { return KindQuarantine }

// Kind implements Body.
func (*Restore) Kind() record.Kind { return KindRestore }

// Decode returns the checked body of a job record.
func Decode(envelope record.Envelope) (Body, error) {
	body := newBody(envelope.Kind)
	if body == nil {
		return nil, &KindError{Kind: envelope.Kind}
	}
	if err := record.DecodeBody(envelope, body); err != nil {
		return nil, err
	}
	if err := body.validate(); err != nil {
		return nil, err
	}
	return body, nil
}

func newBody(kind record.Kind) Body {
	switch kind {
	case KindSubmit:
		return &Submit{}
	case KindPlace:
		return &Place{}
	case KindStart:
		return &Start{}
	case KindFinish:
		return &Finish{}
	case KindAbandon:
		return &Abandon{}
	case KindCancel:
		return &Cancel{}
	case KindQuarantine:
		return &Quarantine{}
	case KindRestore:
		return &Restore{}
	}
	return nil
}

// hash identifies the submitted content of a job. A Spec holds strings and integers only, which
// always encode.
func (s Spec) hash() uint64 {
	data, _ := json.Marshal(s)
	return xxhash.Sum64(data)
}
