package job

import (
	"fmt"
	"math"
	"unicode/utf8"

	"hibiscuslane.example/hibiscuslane/upstream"
)

func checkText(field, text string, least, most int) error {
	if len(text) < least || len(text) > most {
		return &FieldError{Field: field, Rule: fmt.Sprintf("must be %d to %d bytes", least, most)}
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
	if err := checkText("pool", string(s.Pool), 1, maxName); err != nil {
		return err
	}
	if err := checkText("team", string(s.Team), 1, maxName); err != nil {
		return err
	}
	if err := checkText("command", s.Command, 1, MaxCommandBytes); err != nil {
		return err
	}
	if err := checkText("input", s.Input, 0, MaxInputBytes); err != nil {
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
	if err := checkText("id", string(b.ID), 1, maxName); err != nil {
		return err
	}
	if err := checkText("key", b.Key, 0, maxName); err != nil {
		return err
	}
	return b.Spec.validate()
}

func (a AttemptID) validate() error {
	if err := checkText("id", string(a.ID), 1, maxName); err != nil {
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
	if err := checkText("worker", string(b.Worker), 1, maxName); err != nil {
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
	case upstream.TaskDone, upstream.TaskFailed, upstream.TaskStopped, upstream.TaskLapsed:
	default:
		return &FieldError{Field: "state", Rule: "must be done, failed, stopped or lapsed"}
	}
	if math.IsNaN(b.Cores) || b.Cores < 0 || b.Cores > maxAmount || b.Memory < 0 || b.Memory > maxAmount {
		return &FieldError{Field: "cores or memory", Rule: "must be from 0 to 2^30"}
	}
	if err := checkText("output", b.Output, 0, MaxOutputBytes); err != nil {
		return err
	}
	return checkText("reason", b.Reason, 0, maxReason)
}

func (b *Abandon) validate() error {
	if err := b.AttemptID.validate(); err != nil {
		return err
	}
	return checkText("reason", b.Reason, 0, maxReason)
}

func (b *Cancel) validate() error {
	if len(b.IDs) == 0 || len(b.IDs) > MaxCancelBatch {
		return &FieldError{Field: "ids", Rule: fmt.Sprintf("must hold 1 to %d jobs", MaxCancelBatch)}
	}
	return checkText("reason", b.Reason, 0, maxReason)
}

func (b *Quarantine) validate() error {
	if err := checkText("worker", string(b.Worker), 1, maxName); err != nil {
		return err
	}
	return checkText("reason", b.Reason, 0, maxReason)
}

func (b *Restore) validate() error {
	if err := checkText("worker", string(b.Worker), 1, maxName); err != nil {
		return err
	}
	return checkText("reason", b.Reason, 0, maxReason)
}

// cut shortens a text to the bound of its field, at the start of a character: JSON would replace half a
// character, and the digest of a restored state would differ.
func cut(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}
