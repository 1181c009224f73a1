// Package cmd implements the command line of standin.
package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Execute runs the command with the arguments of the process and returns its exit status.
func Execute() int {
	root := newRoot()
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Emulators of the platform, its targets and its workers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newDemo(), newLoad())
	return root
}
