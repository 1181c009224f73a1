// Package cmd implements the command line of hibiscuslane. Two commands run an entry, on different platforms and
// with largely separate packages: "hibiscuslane serve" runs package entry, and "hibiscuslane run" runs package
// process. The other commands check configuration files or call an entry that "hibiscuslane serve" runs.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/failure"
)

// Version is the version of the program. It is a variable, so that a build can set it with the linker flag -X.
var Version = "0.1.0-dev"

// Exit statuses.
const (
	statusOK      = 0
	statusFailed  = 1
	statusUnknown = 2 // the action may or may not have taken effect
	statusWarning = 3 // the check command found warnings only
)

// Execute runs the command given by the arguments of the process and returns its exit status.
func Execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuslane:", err)
		return exitStatus(err)
	}
	return statusOK
}

// exitStatus returns statusUnknown for an error with an unknown outcome. An internal error counts as failed
// although its outcome is unknown, for example if the output cannot be written.
func exitStatus(err error) int {
	var warnings *WarningsError
	if errors.As(err, &warnings) {
		return statusWarning
	}
	var coded failure.Coded
	if errors.As(err, &coded) && coded.Code() != failure.CodeInternal && coded.Outcome() == failure.OutcomeUnknown {
		return statusUnknown
	}
	return statusFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "hibiscuslane",
		Short:         "Fleet capacity and maintenance manager",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newRun(), newCheck(), newFetch(), newPublish(), newStatus(), newAudit(), newJob(), newInterference(), newRehearse(), newHistory())
	return root
}
