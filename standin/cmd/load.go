package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/standin/load"
)

func newLoad() *cobra.Command {
	var o load.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "load",
		Short: "Measure what an owner costs, with entries in processes of their own",
		Long: "Load starts entries against an emulated store, workers and machines, submits jobs whose queues\n" +
			"burst one after another, and prints for each program and number of workers the throughput, the\n" +
			"processor time for each task, delays, the smallest lease margin, memory and bytes stored.\n" +
			"Several programs take turns at each size.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer stop()
			out := command.OutOrStdout()
			if asJSON {
				encoder := json.NewEncoder(out)
				return load.Run(ctx, o, os.Stderr, func(r load.Result) { _ = encoder.Encode(r) }) // who reads the output has gone
			}
			printLoadHeader(out)
			return load.Run(ctx, o, os.Stderr, func(r load.Result) { printLoad(out, r) })
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.Binaries, "binary", []string{"bin/hibiscuslane"}, "programs to measure")
	flags.IntSliceVar(&o.Workers, "workers", []int{49, 350, 1100}, "numbers of workers")
	flags.IntVar(&o.Entries, "entries", 4, "number of entries, one of which is the owner")
	flags.DurationVar(&o.Length, "length", 12*time.Second, "how long jobs are submitted")
	flags.DurationVar(&o.Turn, "turn", 3*time.Second, "how long a queue bursts")
	flags.Float64Var(&o.Rate, "rate", 60, "jobs a second of the bursting queue, about ten tasks each")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the jobs")
	flags.BoolVar(&asJSON, "json", false, "print a JSON object for each result")
	return command
}

const loadFormat = "%-28s %7v %6v %7v %8v %8v %9v %9v %22v %22v %7v %7v %9v %5v\n"

func printLoadHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, loadFormat, "binary", "workers", "jobs", "tasks", "refusals", "failed", "tasks/s", "us/task", "accept s p50/95/99", "wait s p50/95/99", "lease s", "MB", "KB stored", "bad")
}

func printLoad(w io.Writer, r load.Result) {
	quantiles := func(q load.Quantiles) string { return fmt.Sprintf("%.3f/%.3f/%.3f", q.P50, q.P95, q.P99) }
	_, _ = fmt.Fprintf(w, loadFormat, r.Binary, r.Workers, r.Jobs, r.Tasks, r.Refusals, r.Failed, fmt.Sprintf("%.0f", r.TasksPerSecond),
		fmt.Sprintf("%.0f+%.0f", r.OwnerCost, r.OthersCost), quantiles(r.Accept), quantiles(r.Wait), fmt.Sprintf("%.2f", r.LeaseMargin), fmt.Sprintf("%.0f", r.OwnerMemory), r.StoreBytes>>10, r.Violations)
}
