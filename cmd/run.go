package cmd

import (
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/process"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// memoryLimit is the memory in bytes at which the collector works harder. An entry has 284 MB.
	memoryLimit = 160 << 20
	// collectPercent is the growth of the heap between two collections.
	collectPercent = 50
)

func newRun() *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   "run",
		Short: "Run an entry on the users' platform",
		Long:  "Run an entry with the settings that the platform provides, until SIGTERM or SIGINT; then finish the work in flight and exit.",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			debug.SetMemoryLimit(memoryLimit)
			debug.SetGCPercent(collectPercent)
			s, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			lines := event.NewAsync(os.Stdout)
			defer lines.Close()
			return process.New(s, &timer.Service{}, event.NewLog(lines, "hibiscuslane", level, event.FormatJSON)).Run(command.Context())
		},
	}
	command.Flags().StringVar(&level, "log", "info", "least level of log lines: trace, debug, info, warn, error")
	return command
}
