package settings

import (
	"errors"
	"strings"

	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/failure"
)

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	Path  string
	Cause error
}

func (e *ReadError) Error() string { return "settings cannot be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ReadError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *ReadError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// CheckError reports all faults of settings.
type CheckError struct {
	// Path is the path of the settings file; it is empty if the settings were not read from a file.
	Path   string
	Faults []document.Fault
}

func newCheckError(faults []document.Fault) *CheckError {
	document.SortFaults(faults)
	return &CheckError{Faults: faults}
}

func (e *CheckError) Error() string {
	path := e.Path
	if path == "" {
		path = "settings"
	}
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = path + "#" + fault.Pointer + ": " + fault.Reason
	}
	return strings.Join(lines, "\n")
}

// Code implements failure.Coded.
func (e *CheckError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *CheckError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsCheckError reports whether err is a CheckError.
func IsCheckError(err error) bool { return asCheckError(err) != nil }

func asCheckError(err error) *CheckError {
	var check *CheckError
	if errors.As(err, &check) {
		return check
	}
	return nil
}
