package cmd

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/config"
)

func newCheck() *cobra.Command {
	var (
		flags  fileFlags
		asJSON bool
	)
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a base file with its overlays and print every fault",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			files, err := flags.read()
			if err != nil {
				return err
			}
			if len(files) == 0 {
				return &UsageError{Reason: "no files given: use --dir, or --base and --site"}
			}
			return checkFiles(c.OutOrStdout(), files, asJSON)
		},
	}
	flags.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print the faults as JSON")
	return c
}

func checkFiles(w io.Writer, files []config.FileContent, asJSON bool) error {
	err := config.Check(files)
	var checkErr *config.CheckError
	if err != nil && !errors.As(err, &checkErr) {
		return err
	}
	faults := []config.Fault{}
	if checkErr != nil {
		faults = checkErr.Faults
	}
	if err := printFaults(w, faults, asJSON); err != nil {
		return err
	}
	if len(faults) > 0 {
		return &FaultsError{Count: len(faults)}
	}
	return nil
}

func printFaults(w io.Writer, faults []config.Fault, asJSON bool) error {
	if asJSON {
		return printJSON(w, faults)
	}
	for _, fault := range faults {
		if err := printText(w, "%s\n", fault); err != nil {
			return err
		}
	}
	return nil
}
