package cmd

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/rehearsal"
)

func newRehearse() *cobra.Command {
	var path string
	var policies []string
	var asJSON bool
	c := &cobra.Command{
		Use:   "rehearse",
		Short: "Play a pattern of load against the decisions of an owner, without a network",
		Long: "Play a pattern of load against the decisions of an owner of \"hibiscuslane run\": which jobs are refused, in which order tasks " +
			"start, and which machines move. Each line shows the owner as it is, without one of its decisions, or all queues in one pool.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return &UsageError{Reason: "--load: " + err.Error()}
			}
			load, err := rehearsal.Parse(data)
			if err != nil {
				return &UsageError{Reason: "--load: " + err.Error()}
			}
			for _, name := range policies {
				if !slices.Contains(rehearsal.Policies(), rehearsal.Policy(name)) {
					return &UsageError{Reason: "--policy: unknown: " + name}
				}
			}
			var reports []rehearsal.Report
			for _, name := range policies {
				reports = append(reports, rehearsal.Play(load, rehearsal.Policy(name)))
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), reports)
			}
			return printRehearsal(c.OutOrStdout(), reports)
		},
	}
	var all []string
	for _, p := range rehearsal.Policies() {
		all = append(all, string(p))
	}
	c.Flags().StringVar(&path, "load", "", "file with the pattern of load")
	c.Flags().StringSliceVar(&policies, "policy", all, "what the owner decides: "+strings.Join(all, ", "))
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON, with the outcome of each queue")
	return c
}

func printRehearsal(w io.Writer, reports []rehearsal.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if err := printText(table, "policy\tworth\tjobs\tin time\tlate\tlost\trefused\trefusals\tworst 2 s\tmachine-seconds\tmoves\t\n"); err != nil {
		return err
	}
	for _, r := range reports {
		worst := fmt.Sprintf("%.3f at %s", r.WorstWindow, r.WorstAt)
		if err := printText(table, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.0f\t%d\t\n", r.Policy, r.Worth, r.Jobs, r.InTime, r.Late, r.Lost, r.Refused, r.Refusals, worst, r.MachineSeconds, r.Moves); err != nil {
			return err
		}
	}
	return table.Flush()
}
