package cmd

import (
	"time"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/timer"
)

func newAudit() *cobra.Command {
	var (
		entry  string
		from   string
		asJSON bool
	)
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, and what became of it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			start, err := parseFrom(from)
			if err != nil {
				return err
			}
			entries, err := newAdminClient(entry).Audit(c.Context(), start)
			if err != nil {
				return err
			}
			if asJSON {
				return audit.WriteJSON(c.OutOrStdout(), entries)
			}
			return audit.WriteText(c.OutOrStdout(), entries)
		},
	}
	c.Flags().StringVar(&entry, "entry", defaultAdminURL, "URL of the admin address of an entry")
	c.Flags().StringVar(&from, "from", "", "oldest entry: a time such as 2026-01-02T03:04:05Z, or an age such as 2h")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON lines")
	return c
}

// parseFrom returns the time that the value of --from means, a time or an age. It is the zero time for an
// empty text.
func parseFrom(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if start, err := time.Parse(time.RFC3339, text); err == nil {
		return start, nil
	}
	age, err := time.ParseDuration(text)
	if err != nil || age < 0 {
		return time.Time{}, &UsageError{Reason: "--from must be a time such as 2026-01-02T03:04:05Z or an age such as 2h"}
	}
	var clock timer.Service
	return clock.Now().Add(-age), nil
}
