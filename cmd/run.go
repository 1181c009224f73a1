package cmd

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/process"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// memoryLimit is the memory limit of the Go runtime in bytes. When it is approached, the garbage collector
	// runs more often. An entry has 284 MB of memory.
	memoryLimit = 160 << 20
	// gcPercent is the growth of the heap in percent that triggers the next garbage collection.
	gcPercent = 50
)

func newRun() *cobra.Command {
	var level string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run an entry on the users' platform",
		Long:  "Run an entry with the settings that the platform provides, until SIGTERM or SIGINT; then finish the work in flight and exit. SIGHUP reads the settings again.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			debug.SetMemoryLimit(memoryLimit)
			debug.SetGCPercent(gcPercent)
			s, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			lines := event.NewAsyncWriter(os.Stdout)
			defer lines.Close()
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			p := process.New(s, &timer.Service{}, event.NewLog(lines, "hibiscuslane", level, event.FormatJSON))
			go p.WatchSettings(c.Context(), platform.LoadSettings, hangup)
			return p.Run(c.Context())
		},
	}
	c.Flags().StringVar(&level, "log", "info", "least level of log lines: trace, debug, info, warn, error")
	return c
}
