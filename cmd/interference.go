package cmd

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/process"
)

const (
	// maxMetricsBytes limits what is read from a metrics address.
	maxMetricsBytes = 16 << 20
	// metricsTimeout limits the reading of metrics, which an entry answers from memory.
	metricsTimeout = 10 * time.Second
)

// slowedKind is a pair of kinds as it is printed.
type slowedKind struct {
	Slowed   string  `json:"slowed"`
	Beside   string  `json:"beside"`
	Slowdown float64 `json:"slowdown"` // the additional time as a share; 1 is twice the time
}

func newInterference() *cobra.Command {
	var url string
	var asJSON bool
	c := &cobra.Command{
		Use:   "interference",
		Short: "Show which kinds of tasks slow each other down, as the owner has learned it",
		Long:  "Show which kinds of tasks slow each other down on one worker. Only the owner knows pairs, and only if the entries run with --interference.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			request, err := http.NewRequestWithContext(c.Context(), http.MethodGet, url, nil)
			if err != nil {
				return &UsageError{Reason: "--metrics: " + err.Error()}
			}
			response, err := (&http.Client{Timeout: metricsTimeout}).Do(request)
			if err != nil {
				return &MetricsError{URL: url, Cause: err}
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				return &MetricsError{URL: url, Status: response.StatusCode}
			}
			pairs, err := readInterference(io.LimitReader(response.Body, maxMetricsBytes))
			if err != nil {
				return &MetricsError{URL: url, Status: response.StatusCode, Cause: err}
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), pairs)
			}
			return printInterference(c.OutOrStdout(), pairs)
		},
	}
	c.Flags().StringVar(&url, "metrics", "http://127.0.0.1:9464/metrics", "URL of the metrics of the owner")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// readInterference returns the pairs in the metrics of an entry, the strongest first.
func readInterference(metrics io.Reader) ([]slowedKind, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(metrics)
	if err != nil {
		return nil, err
	}
	pairs := []slowedKind{}
	for _, sample := range families["hibiscuslane_interference"].GetMetric() {
		for _, label := range sample.GetLabel() {
			if slowed, beside, ok := strings.Cut(label.GetValue(), process.InterferenceSeparator); ok {
				pairs = append(pairs, slowedKind{Slowed: slowed, Beside: beside, Slowdown: sample.GetGauge().GetValue()})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b slowedKind) int {
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.Beside, b.Beside))
	})
	return pairs, nil
}

func printInterference(w io.Writer, pairs []slowedKind) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SLOWED\tBESIDE\tADDITIONAL TIME") // Flush returns the error
	for _, p := range pairs {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f %%\n", p.Slowed, p.Beside, 100*p.Slowdown)
	}
	if err := table.Flush(); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
