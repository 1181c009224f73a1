// Package cmd holds the subcommands of hibiscuslane.
package cmd

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Version is set by the linker.
var Version = "0.1.0-dev"

// Execute runs the command line and returns the exit status.
func Execute() int {
	root := newRoot()
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuslane:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "hibiscuslane",
		Short:         "Fleet capacity and maintenance manager",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe())
	return root
}
