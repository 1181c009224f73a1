package cmd

import (
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/standin/emulator"
)

func newServe() *cobra.Command {
	var path, level string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Serve the platform, targets and workers of a fleet until SIGTERM",
		Long: "Serve starts the platform, targets and workers that a JSON file describes, prints their\n" +
			"addresses, and ends on SIGTERM or SIGINT. Faults are switched by POST /fault at the\n" +
			"address of the platform.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			log := event.NewLog(command.ErrOrStderr(), "standin", level, event.FormatText)
			return serve(command, path, log)
		},
	}
	command.Flags().StringVar(&path, "fleet", "examples/small/fleet.json", "JSON file of the fleet")
	command.Flags().StringVar(&level, "level", "info", "least level of log lines")
	return command
}

func serve(command *cobra.Command, path string, log event.Log) error {
	fleet, err := emulator.LoadFleet(path)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	e, err := emulator.Start(fleet, nil)
	if err != nil {
		return err
	}
	log.Info(eventStarted, "fleet", path, "targets", len(e.Targets), "workers", len(e.Workers), "entries", len(fleet.Entries))
	if err := printAddresses(command.OutOrStdout(), e); err != nil {
		return err
	}
	<-ctx.Done()
	err = e.Close()
	log.Info(eventStopped)
	return err
}

// printAddresses prints the address of every instance. The address of the platform comes last, so that a
// reader of the output can tell that the list is complete.
func printAddresses(w io.Writer, e *emulator.Emulator) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range e.ListedInstances() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", l.Kind, l.ID, l.Address, l.Centre, l.Rack)
	}
	_, _ = fmt.Fprintf(table, "platform\t\t%s\t\t\n", e.Platform.URL())
	return table.Flush()
}
