package job

import (
	"fmt"
	"math"
	"unicode/utf8"

	"hibiscuslane.example/hibiscuslane/upstream"
)

func checkLength(field, text string, minBytes, maxBytes int) error {
	if len(text) < minBytes || len(text) > maxBytes {
		return &FieldError{Field: field, Rule: fmt.Sprintf("must be %d to %d bytes", minBytes, maxBytes)}
	}
	return nil
}

func (s Size) validate(field string) error {
	for _, n := range []int{s.Cores, s.Memory, s.Accelerators} {
		if n < 0 || n > maxAmount {
			return &FieldError{Field: field, Rule: "must be cores, memory and accelerators from 0 to 2^30"}
		}
	}
	return nil
}

func (s Spec) validate() error {
	if err := checkLength("pool", string(s.Pool), 1, maxNameBytes); err != nil {
		return err
	}
	if err := checkLength("team", string(s.Team), 1, maxNameBytes); err != nil {
		return err
	}
	if err := checkLength("command", s.Command, 1, MaxCommandBytes); err != nil {
		return err
	}
	if err := checkLength("input", s.Input, 0, MaxInputBytes); err != nil {
		return err
	}
	if err := s.Size.validate("size"); err != nil {
		return err
	}
	if s.Cores == 0 || s.Memory == 0 {
		return &FieldError{Field: "size", Rule: "must have at least 1 core and 1 MB"}
	}
	if s.ExpectedRunTime < 0 {
		return &FieldError{Field: "time", Rule: "must not be negative"}
	}
	if s.MaxAttempts < 1 || s.MaxAttempts > MaxAttemptLimit {
		return &FieldError{Field: "limit", Rule: fmt.Sprintf("must be from 1 to %d", MaxAttemptLimit)}
	}
	return nil
}

func (b *Submit) validate() error {
	if err := checkLength("id", string(b.ID), 1, maxNameBytes); err != nil {
		return err
	}
	if err := checkLength("key", b.Key, 0, maxNameBytes); err != nil {
		return err
	}
	return b.Spec.validate()
}

func (a AttemptID) validate() error {
	if err := checkLength("id", string(a.ID), 1, maxNameBytes); err != nil {
		return err
	}
	if a.Epoch == 0 {
		return &FieldError{Field: "epoch", Rule: "must be at least 1"}
	}
	return nil
}

func (b *Place) validate() error {
	if err := b.AttemptID.validate(); err != nil {
		return err
	}
	if err := checkLength("worker", string(b.Worker), 1, maxNameBytes); err != nil {
		return err
	}
	if err := b.Size.validate("size"); err != nil {
		return err
	}
	return b.Quota.validate("quota")
}

func (b *Finish) validate() error {
	if err := b.AttemptID.validate(); err != nil {
		return err
	}
	switch b.State {
	case upstream.TaskDone, upstream.TaskFailed, upstream.TaskStopped, upstream.TaskExpired:
	default:
		return &FieldError{Field: "state", Rule: "must be done, failed, stopped or lapsed"}
	}
	if math.IsNaN(b.Cores) || b.Cores < 0 || b.Cores > maxAmount || b.Memory < 0 || b.Memory > maxAmount {
		return &FieldError{Field: "cores or memory", Rule: "must be from 0 to 2^30"}
	}
	if err := checkLength("output", b.Output, 0, MaxOutputBytes); err != nil {
		return err
	}
	return checkLength("reason", b.Reason, 0, maxReasonBytes)
}

func (b *Abandon) validate() error {
	if err := b.AttemptID.validate(); err != nil {
		return err
	}
	return checkLength("reason", b.Reason, 0, maxReasonBytes)
}

func (b *Cancel) validate() error {
	if len(b.IDs) == 0 || len(b.IDs) > MaxCancelBatch {
		return &FieldError{Field: "ids", Rule: fmt.Sprintf("must hold 1 to %d jobs", MaxCancelBatch)}
	}
	return checkLength("reason", b.Reason, 0, maxReasonBytes)
}

func (b *Quarantine) validate() error {
	if err := checkLength("worker", string(b.Worker), 1, maxNameBytes); err != nil {
		return err
	}
	return checkLength("reason", b.Reason, 0, maxReasonBytes)
}

func (b *Restore) validate() error {
	if err := checkLength("worker", string(b.Worker), 1, maxNameBytes); err != nil {
		return err
	}
	return checkLength("reason", b.Reason, 0, maxReasonBytes)
}

// truncate shortens a text to the size limit of its field without splitting a character. JSON would
// replace a partial character, and the digest of a restored state would then differ.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
