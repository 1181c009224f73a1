package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/history"
	"hibiscuslane.example/hibiscuslane/simulation"
	"hibiscuslane.example/hibiscuslane/timer"
)

// historyFlags holds the flags of "history run".
type historyFlags struct {
	seed  uint64
	count int
	limit time.Duration
	out   string
	first bool
}

// Defaults of the flags of "history".
const (
	defaultHistories = 1000
	defaultReplays   = 20
)

func newHistory() *cobra.Command {
	c := &cobra.Command{
		Use:   "history",
		Short: "Look for broken promises in simulated runs of entries",
		Long:  "Run entries with drawn faults in this process, on a clock of their own and without a network, and judge what callers, workers and the operator saw. The exit status is 1 if a promise was broken.",
	}
	c.AddCommand(newHistoryRun(), newHistoryCheck(), newHistoryReplay())
	return c
}

func newHistoryRun() *cobra.Command {
	var flags historyFlags
	c := &cobra.Command{
		Use:   "run",
		Short: "Carry out the plans of seeds, and shrink those that break a promise",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return runHistories(c.Context(), c.OutOrStdout(), flags) },
	}
	c.Flags().Uint64Var(&flags.seed, "seed", 1, "first seed")
	c.Flags().IntVar(&flags.count, "count", defaultHistories, "number of seeds")
	c.Flags().DurationVar(&flags.limit, "time", 0, "stop after this time (0: none)")
	c.Flags().StringVar(&flags.out, "out", "", "directory for the plans and histories that break a promise (none: they are only printed)")
	c.Flags().BoolVar(&flags.first, "first", false, "stop at the first broken promise")
	return c
}

// runHistories carries out the plans of seeds and prints the shrunk history of each that breaks a promise.
func runHistories(ctx context.Context, w io.Writer, flags historyFlags) error {
	defer simulation.Exclusive()()
	clock := &timer.Service{}
	began := clock.Now()
	done, broken := 0, 0
	for ; done < flags.count && ctx.Err() == nil; done++ {
		if flags.limit > 0 && clock.Since(began) >= flags.limit || flags.first && broken > 0 {
			break
		}
		p := simulation.Draw(flags.seed + uint64(done))
		violations := history.Check(simulation.Run(p, event.Log{}), simulation.Limits)
		if len(violations) == 0 {
			continue
		}
		broken++
		if _, err := fmt.Fprintf(w, "seed %d after %s, history %d: %s: %s\n", p.Seed, clock.Since(began).Round(time.Millisecond), done+1, violations[0].Rule, violations[0].Text); err != nil {
			return err
		}
		if err := reportBroken(w, simulation.Shrink(p, simulation.Breaks(violations[0].Rule)), violations[0].Rule, flags.out); err != nil {
			return err
		}
	}
	took := clock.Since(began)
	if _, err := fmt.Fprintf(w, "%d histories in %s, %.0f a minute, %d with a broken promise\n", done, took.Round(time.Millisecond), float64(done)/took.Minutes(), broken); err != nil {
		return err
	}
	if broken > 0 {
		return &BrokenPromisesError{Count: broken}
	}
	return nil
}

// reportBroken prints a shrunk plan and the table of its history, and stores both.
func reportBroken(w io.Writer, p simulation.Plan, rule history.Rule, out string) error {
	events, violations := simulation.Find(p, rule, defaultReplays)
	if err := simulation.WritePlan(w, p); err != nil {
		return err
	}
	if err := history.Print(w, events, violations); err != nil {
		return err
	}
	if out == "" {
		return nil
	}
	name := filepath.Join(out, fmt.Sprintf("seed-%d", p.Seed))
	err := writeFile(name+".plan", func(f io.Writer) error { return simulation.WritePlan(f, p) })
	if err != nil {
		return err
	}
	return writeFile(name+".history", func(f io.Writer) error { return history.Write(f, events) })
}

// writeFile creates a file and its directory.
func writeFile(name string, write func(io.Writer) error) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o750); err != nil {
		return &UsageError{Reason: "--out: " + err.Error()}
	}
	f, err := os.Create(name)
	if err != nil {
		return &UsageError{Reason: "--out: " + err.Error()}
	}
	if err := write(f); err != nil {
		_ = f.Close() // the first error counts
		return err
	}
	return f.Close()
}

func newHistoryCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Judge a stored history and print it as a table",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			defer func() { _ = f.Close() }() // it was only read
			events, err := history.Read(f)
			if err != nil {
				return err
			}
			return printHistory(c.OutOrStdout(), events, history.Check(events, simulation.Limits))
		},
	}
}

func printHistory(w io.Writer, events []history.Event, violations []history.Violation) error {
	if err := history.Print(w, events, violations); err != nil {
		return err
	}
	if len(violations) > 0 {
		return &BrokenPromisesError{Count: 1}
	}
	return nil
}

func newHistoryReplay() *cobra.Command {
	var times int
	var out string
	var logged bool
	c := &cobra.Command{
		Use:   "replay FILE",
		Short: "Carry out a stored plan until it breaks a promise, and print its history",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			p, err := simulation.ReadPlan(f)
			_ = f.Close() // it was only read
			if err != nil {
				return err
			}
			defer simulation.Exclusive()()
			var events []history.Event
			var violations []history.Violation
			if logged {
				events = simulation.Run(p, event.NewLog(c.ErrOrStderr(), "history", "debug", event.FormatText))
				violations = history.Check(events, simulation.Limits)
			} else {
				events, violations = simulation.Find(p, "", times)
			}
			if out != "" {
				if err := writeFile(out, func(f io.Writer) error { return history.Write(f, events) }); err != nil {
					return err
				}
			}
			return printHistory(c.OutOrStdout(), events, violations)
		},
	}
	c.Flags().IntVar(&times, "times", defaultReplays, "how often the plan is carried out at most")
	c.Flags().StringVar(&out, "out", "", "file for the history")
	c.Flags().BoolVar(&logged, "log", false, "carry it out once and write the log of the entries to the standard error output")
	return c
}
