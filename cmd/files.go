package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/site"
)

// defaultAdminURL is the URL of the admin address in the examples.
const defaultAdminURL = "http://127.0.0.1:8082"

// fileFlags holds the flags that select configuration files on disk.
type fileFlags struct {
	dir   string
	base  string
	sites map[string]string
}

func (f *fileFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.dir, "dir", "", "directory with base.json and site/NAME.json")
	c.Flags().StringVar(&f.base, "base", "", "base file")
	c.Flags().StringToStringVar(&f.sites, "site", nil, "overlay of a site, NAME=FILE; may be repeated")
}

// read reads the files that the flags select.
func (f *fileFlags) read() ([]config.FileContent, error) {
	if f.dir != "" {
		if f.base != "" || len(f.sites) > 0 {
			return nil, &UsageError{Reason: "--dir excludes --base and --site"}
		}
		return config.ReadDir(f.dir)
	}
	var files []config.FileContent
	if f.base != "" {
		file, err := config.ReadFile(config.BaseFile, f.base)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	for _, name := range slices.Sorted(maps.Keys(f.sites)) {
		file, err := config.ReadFile(config.OverlayFile(site.Name(name)), f.sites[name])
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

func newAdminClient(entry string) *admin.Client {
	return &admin.Client{BaseURL: entry, HTTPClient: &http.Client{Timeout: admin.ClientTimeout}}
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

func printText(w io.Writer, format string, values ...any) error {
	if _, err := fmt.Fprintf(w, format, values...); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}
