package cmd

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/admin"
)

func newStatus() *cobra.Command {
	var (
		entry  string
		asJSON bool
	)
	c := &cobra.Command{
		Use:   "status",
		Short: "Show offsets, the configuration in force per entry, and pools",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := newAdminClient(entry).Status(c.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), status)
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
	c.Flags().StringVar(&entry, "entry", defaultAdminURL, "URL of the admin address of an entry")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printStatus(w io.Writer, status admin.Status) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }

	ready := "ready"
	if !status.Ready {
		ready = "not ready: " + status.Reason
	}
	row("entry %s at %s, %s", status.ID, status.Centre, ready)
	row("\nSTREAM\tNEXT OFFSET")
	for _, stream := range slices.Sorted(maps.Keys(status.Offsets)) {
		row("%s\t%d", stream, status.Offsets[stream])
	}
	row("\nENTRY\tDATA CENTRE\tCONFIGURATION\tSILENCE (ms)")
	row("%s\t%s\t%d\t-", status.ID, status.Centre, status.ConfigVersion)
	for _, peer := range status.Peers {
		row("%s\t%s\t%d\t%d", peer.ID, peer.Centre, peer.ConfigVersion, peer.SilenceMillis)
	}
	row("\nSITE\tPOOL\tKIND\tSIZE\tBUDGET\tACTIVE\tDRAINING\tLOST")
	for _, p := range status.Pools {
		printPhases(row, p, "targets", p.Spec.Size.Targets, p.Spec.Budget.Targets, p.Targets)
		printPhases(row, p, "workers", p.Spec.Size.Workers, p.Spec.Budget.Workers, p.Workers)
	}
	if err := table.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

func printPhases(row func(string, ...any), p admin.PoolStatus, kind string, size, budget int, counts admin.PhaseCounts) {
	row("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d", p.Site, p.Pool, kind, size, budget, counts.Active, counts.Draining, counts.Lost)
}
