package cmd

import (
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/entry"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/settings"
)

func newServe() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry instance",
		Long:  "Run an entry instance until SIGTERM or SIGINT, then finish the work in flight and exit.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(memoryLimitOf(s.MemoryBytes()))
			e, err := entry.New(s, entry.Options{Events: event.NewLog(os.Stderr, "hibiscuslane", s.Log.Level, s.Log.Format)})
			if err != nil {
				return err
			}
			return e.Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "hibiscuslane.json", "settings file (JSON)")
	return c
}
