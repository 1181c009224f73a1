package cmd

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
)

// UsageError reports invalid or missing flags.
type UsageError struct {
	Reason string
}

func (e *UsageError) Error() string { return e.Reason }

// Code implements failure.Coded.
func (e *UsageError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *UsageError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// FaultsError reports the number of faults that the check command has printed.
type FaultsError struct {
	Count int
}

func (e *FaultsError) Error() string { return fmt.Sprintf("faults found: %d", e.Count) }

// Code implements failure.Coded.
func (e *FaultsError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FaultsError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// WarningsError reports the number of warnings that the check command has printed if there were no faults.
type WarningsError struct {
	Count int
}

func (e *WarningsError) Error() string { return fmt.Sprintf("warnings: %d", e.Count) }

// Code implements failure.Coded.
func (e *WarningsError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *WarningsError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// BrokenPromisesError reports the number of histories that break a promise.
type BrokenPromisesError struct {
	Count int
}

func (e *BrokenPromisesError) Error() string {
	return fmt.Sprintf("histories with a broken promise: %d", e.Count)
}

// Code implements failure.Coded.
func (e *BrokenPromisesError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *BrokenPromisesError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RaceError reports a publish that conflicts with earlier publishes of other operators.
type RaceError struct {
	Reason string
	// Others lists the conflicting publishes, as far as the audit trail goes back.
	Others []audit.Entry
}

func (e *RaceError) Error() string {
	text := "lost a race, nothing was published: " + e.Reason
	if len(e.Others) == 0 {
		return text
	}
	var trail bytes.Buffer
	if err := audit.WriteText(&trail, e.Others); err != nil {
		return text
	}
	return text + "\n" + strings.TrimSuffix(trail.String(), "\n")
}

// Code implements failure.Coded.
func (e *RaceError) Code() failure.Code { return failure.CodeConflict }

// Outcome implements failure.Coded.
func (e *RaceError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsRaceError reports whether err is a RaceError.
func IsRaceError(err error) bool {
	var race *RaceError
	return errors.As(err, &race)
}

// RejectedError reports a publish whose response was lost and whose record was rejected according to the
// audit trail.
type RejectedError struct {
	Entry audit.Entry
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("publish at offset %d is %s: %s", e.Entry.Offset, e.Entry.Verdict, e.Entry.RejectionReason)
}

// Code implements failure.Coded.
func (e *RejectedError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *RejectedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// UnknownError reports a publish whose response was lost and whose record did not appear in the audit trail.
// It may still appear, because the entry retries appends.
type UnknownError struct {
	Waited time.Duration
	Cause  error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("result of the publish is unknown, it was not in the trail after %s; read the trail before publishing again: %v", e.Waited, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *UnknownError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *UnknownError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// OutputError reports output that could not be written.
type OutputError struct {
	Cause error
}

func (e *OutputError) Error() string { return "output cannot be written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *OutputError) Code() failure.Code { return failure.CodeInternal }

// Outcome implements failure.Coded.
func (e *OutputError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// ResponseError reports a successful response whose body is not JSON.
type ResponseError struct {
	Status int
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("answer with HTTP status %d is not JSON", e.Status)
}

// Code implements failure.Coded.
func (e *ResponseError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *ResponseError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// MetricsError reports metrics that cannot be read.
type MetricsError struct {
	URL string
	// Status is the HTTP status of the answer; 0 if there was none.
	Status int
	// Cause is nil if the status tells all.
	Cause error
}

func (e *MetricsError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("metrics at %s: answer with HTTP status %d", e.URL, e.Status)
	}
	return fmt.Sprintf("metrics at %s cannot be read: %v", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *MetricsError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *MetricsError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *MetricsError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// WorkspaceError reports a directory of fetched files that cannot be read or written.
type WorkspaceError struct {
	Dir   string
	Cause error
}

func (e *WorkspaceError) Error() string {
	return fmt.Sprintf("directory %s cannot be used: %v", e.Dir, e.Cause)
}

// Unwrap returns the cause.
func (e *WorkspaceError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *WorkspaceError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *WorkspaceError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// EditedError reports files that fetch would overwrite although they were edited.
type EditedError struct {
	Files []config.File
}

func (e *EditedError) Error() string {
	names := make([]string, len(e.Files))
	for i, name := range e.Files {
		names[i] = string(name)
	}
	return "files were edited, use --force to overwrite them: " + strings.Join(names, ", ")
}

// Code implements failure.Coded.
func (e *EditedError) Code() failure.Code { return failure.CodeConflict }

// Outcome implements failure.Coded.
func (e *EditedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
