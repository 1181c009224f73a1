package config

import (
	"errors"
	"fmt"
	"strings"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// Fault is one error in a configuration file.
type Fault struct {
	File File `json:"file"`
	// Pointer is the JSON pointer of the value; it is empty for the whole file.
	Pointer string `json:"pointer"`
	Reason  string `json:"reason"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s#%s: %s", f.File, f.Pointer, f.Reason)
}

// CheckError reports all faults of a set of files, sorted by file and pointer.
type CheckError struct {
	Faults []Fault
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Code implements failure.Coded.
func (e *CheckError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *CheckError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsCheckError reports whether err is a CheckError.
func IsCheckError(err error) bool {
	var check *CheckError
	return errors.As(err, &check)
}

// Conflict describes a file that does not have the version that a publish is based on: its present
// version and who last changed it.
type Conflict struct {
	File        File          `json:"file"`
	BaseVersion record.Offset `json:"based"`
	// Version is the present version; NoVersion if the file does not exist.
	Version record.Offset `json:"version"`
	Author  record.Author `json:"author,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	// Changes lists what later publishes changed in the file, as far as the audit trail goes back.
	Changes []audit.Change `json:"changes,omitempty"`
}

func (c Conflict) String() string {
	if c.Version < 0 && c.Author != "" {
		return fmt.Sprintf("%s is based on version %d and was removed by %q (%s)", c.File, c.BaseVersion, string(c.Author), c.Reason)
	}
	if c.Version < 0 {
		return fmt.Sprintf("%s is based on version %d and does not exist", c.File, c.BaseVersion)
	}
	return fmt.Sprintf("%s is based on version %d and has version %d by %q (%s)", c.File, c.BaseVersion, c.Version, string(c.Author), c.Reason)
}

// ConflictError reports a publish that conflicts with an earlier one: a file does not have the version
// that the publish is based on.
type ConflictError struct {
	Conflicts []Conflict
}

func (e *ConflictError) Error() string {
	var lines []string
	for _, conflict := range e.Conflicts {
		lines = append(lines, conflict.String())
		for _, change := range conflict.Changes {
			lines = append(lines, "  "+change.String())
		}
	}
	return strings.Join(lines, "\n")
}

// summary returns the text for verdicts. Unlike Error it does not list the changes.
func (e *ConflictError) summary() string {
	lines := make([]string, len(e.Conflicts))
	for i, conflict := range e.Conflicts {
		lines[i] = conflict.String()
	}
	return strings.Join(lines, "; ")
}

// Code implements failure.Coded.
func (e *ConflictError) Code() failure.Code { return failure.CodeConflict }

// Outcome implements failure.Coded.
func (e *ConflictError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsConflictError reports whether err is a ConflictError.
func IsConflictError(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// PublishError reports a publish that is invalid regardless of the content of its files.
type PublishError struct {
	Reason string
}

func (e *PublishError) Error() string { return "publish is invalid: " + e.Reason }

// Code implements failure.Coded.
func (e *PublishError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *PublishError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
