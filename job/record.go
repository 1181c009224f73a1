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

// Limits on records, in bytes or as counts. Every text is stored in the log and in the state of each
// entry.
const (
	MaxInputBytes   = 16 << 10
	MaxCommandBytes = 4 << 10
	MaxOutputBytes  = 4 << 10
	// MaxAttemptLimit is the highest value of Spec.MaxAttempts.
	MaxAttemptLimit = 100
	// MaxCancelBatch limits the number of jobs in one cancel record.
	MaxCancelBatch = 1000
	maxNameBytes   = 255
	maxReasonBytes = 512
	// maxAmount limits each resource of a size, so that sums never overflow.
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

// AttemptID identifies an attempt. A start, finish or abandon record applies only while its attempt
// is active.
type AttemptID struct {
	ID    ID    `json:"id"`
	Epoch Epoch `json:"epoch"`
}

// Place records an attempt before the worker is called. Its epoch is one higher than the epoch of the
// job.
type Place struct {
	AttemptID
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Size
	// Quota limits the total size of the active attempts of the team including this one; 0 means no limit.
	// It is checked when the record is applied, because entries that place different jobs of a team at the
	// same time could together exceed the quota.
	Quota Size `json:"quota"`
}

// Start records that the worker has accepted the task.
type Start struct {
	AttemptID
}

// Finish records the end of an attempt as reported by the worker.
type Finish struct {
	AttemptID
	// State is done, failed, stopped or lapsed.
	State  upstream.TaskState `json:"state"`
	Output string             `json:"output,omitempty"`
	Reason string             `json:"reason,omitempty"`
	// Cores and Memory (in MB) are the highest reported usage; 0 means that none was reported.
	Cores  float64 `json:"cores,omitempty"`
	Memory int     `json:"memory,omitempty"`
}

// Abandon records that an attempt is considered ended although its worker has not reported the end.
type Abandon struct {
	AttemptID
	Reason string `json:"reason,omitempty"`
}

// Cancel ends jobs. Jobs that are unknown or have already ended are skipped.
type Cancel struct {
	IDs    []ID   `json:"ids"`
	Reason string `json:"reason,omitempty"`
}

// Quarantine excludes a worker from new attempts until it is restored or joins under a higher incarnation.
type Quarantine struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Reason      string               `json:"reason,omitempty"`
}

// Restore ends a quarantine and clears the failure history of the worker.
type Restore struct {
	Worker instance.ID `json:"worker"`
	// QuarantineOffset is the offset of the quarantine record.
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

// Decode returns the validated body of a job record.
func Decode(envelope record.Envelope) (Body, error) {
	body := newBody(envelope.Kind)
	if body == nil {
		return nil, &UnknownKindError{Kind: envelope.Kind}
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

// hash returns a hash of the submitted content. Encoding cannot fail, because a Spec contains only
// strings, integers and booleans.
func (s Spec) hash() uint64 {
	data, _ := json.Marshal(s)
	return xxhash.Sum64(data)
}
