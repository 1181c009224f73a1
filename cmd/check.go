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
		drafts draftFlags
		asJSON bool
	)
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a base file with its overlays, or a configuration of the users' platform, and print every fault",
		Long: "Check a base file with its overlays and print every fault.\n\nWith --config, check a configuration of the users' platform before it is published: its form, entries that can " +
			"never match, limits that contradict each other and, with --against or --store, what differs from the version in force. " +
			"Exit status 0: nothing found; 1: errors; 3: warnings only.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if c.Flags().Changed("config") {
				if flags.dir != "" || flags.base != "" || len(flags.sites) > 0 {
					return &UsageError{Reason: "--config excludes --dir, --base and --site"}
				}
				return checkDraft(c.Context(), c.OutOrStdout(), drafts, asJSON)
			}
			if drafts != (draftFlags{}) {
				return &UsageError{Reason: "--against, --store and --settings need --config"}
			}
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
	c.Flags().StringVar(&drafts.config, "config", "", "configuration of the users' platform; excludes the files above")
	c.Flags().StringVar(&drafts.against, "against", "", "configuration in force, to compare --config with")
	c.Flags().StringVar(&drafts.store, "store", "", "HOST:PORT of the platform's store, to read the configuration in force from")
	c.Flags().StringVar(&drafts.settings, "settings", "", "settings of an entry, whose limits --config must fit")
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
