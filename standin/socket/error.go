package socket

import (
	"errors"
	"fmt"

	"hibiscuslane.example/hibiscuslane/failure"
)

// ListenError reports an address that cannot be opened.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("address %s cannot be opened: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ListenError) Code() failure.Code { return failure.CodeUnreachable }

// Outcome implements failure.Coded.
func (e *ListenError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsListenError reports whether err is a ListenError.
func IsListenError(err error) bool {
	var listen *ListenError
	return errors.As(err, &listen)
}
