package cmd

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/standin/demo"
)

func newDemo() *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run three entries against emulated machines and print what happened",
		Long: "Demo starts an emulated platform, targets and workers and three entries in one process, with\n" +
			"the embedded example configuration, and prints a table. The exit status is 0 only if every\n" +
			"outcome was right. It takes about half a minute.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()

			return demo.Run(ctx, demo.Options{
				Out: command.OutOrStdout(), Events: event.NewLog(command.ErrOrStderr(), "demo", level, event.FormatText),
			})
		},
	}
	command.Flags().StringVar(&level, "level", "off", "least level of the entries' log lines (debug, info, warn, error, off)")
	return command
}
