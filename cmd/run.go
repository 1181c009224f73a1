package cmd

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/process"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// memoryLimitPercent is the share of the memory of the instance at which the garbage collector runs more often. The
	// rest is for what the Go runtime does not count, such as bytes received and not yet read.
	memoryLimitPercent = 60
	// defaultMemoryLimit is the memory limit of the Go runtime in bytes if the settings do not name the memory.
	defaultMemoryLimit = 160 << 20
	// gcPercent is the growth of the heap in percent that triggers the next garbage collection. With 50, the owner of a
	// large deployment fell behind in bursts.
	gcPercent = 200
)

// memoryLimitOf returns the memory limit of the Go runtime in bytes for an instance with the given memory.
func memoryLimitOf(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return defaultMemoryLimit
	}
	return memoryBytes * memoryLimitPercent / 100
}

func newRun() *cobra.Command {
	var level string
	var directWorkers float64
	var yieldLate, learnInterference bool
	c := &cobra.Command{
		Use:   "run",
		Short: "Run an entry on the users' platform",
		Long:  "Run an entry with the settings that the platform provides, until SIGTERM or SIGINT; then finish the work in flight and exit. SIGHUP reads the settings again.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// First of all, because a hangup that nothing waits for ends the process.
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			if directWorkers <= 0 {
				return &settings.CheckError{Path: "run --direct", Faults: []document.Fault{{Reason: "must be greater than 0"}}}
			}
			load := func() (settings.Deployment, error) {
				s, err := platform.LoadSettings()
				s.DirectWorkers, s.YieldLate, s.LearnInterference = directWorkers, yieldLate, learnInterference
				return s, err
			}
			s, err := load()
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(memoryLimitOf(s.MemoryBytes))
			debug.SetGCPercent(gcPercent)
			lines := event.NewAsyncWriter(os.Stdout)
			defer lines.Close()
			p := process.New(s, &timer.Service{}, event.NewLog(lines, "hibiscuslane", level, event.FormatJSON))
			go p.WatchSettings(c.Context(), load, hangup)
			return p.Run(c.Context())
		},
	}
	c.Flags().Float64Var(&directWorkers, "direct", settings.DefaultDirectWorkers, "workers per core up to which the owner calls its workers itself; with more, other entries carry the calls")
	c.Flags().BoolVar(&yieldLate, "yield-late", false, "let jobs that can't be in time wait while another pool lacks machines for jobs that can")
	c.Flags().BoolVar(&learnInterference, "interference", false, "learn which tasks slow each other down, and keep them apart where there is room")
	c.Flags().StringVar(&level, "log", "info", "least level of log lines: trace, debug, info, warn, error")
	return c
}
