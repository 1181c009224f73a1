package cmd

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/config"
)

func newFetch() *cobra.Command {
	var (
		entry string
		dir   string
		force bool
	)
	c := &cobra.Command{
		Use:   "fetch",
		Short: "Write the published files and their versions to a directory for editing",
		Long: `Fetch writes the published files to a directory, together with versions.json. A publish from that
directory is based on the versions that were fetched, so it detects changes that others made while you
edited. Files that you edited are not overwritten unless --force is given.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			present, err := newAdminClient(entry).Config(c.Context())
			if err != nil {
				return err
			}
			w, err := openWorkspace(dir)
			if err != nil {
				return err
			}
			if w == nil {
				w = &workspace{dir: dir, Files: map[config.File]fetched{}}
			}
			return fetch(c.OutOrStdout(), w, present.Files, force)
		},
	}
	c.Flags().StringVar(&entry, "entry", defaultAdminURL, "URL of the admin address of an entry")
	c.Flags().StringVar(&dir, "dir", "", "directory to fill")
	c.Flags().BoolVar(&force, "force", false, "overwrite edited files")
	_ = c.MarkFlagRequired("dir")
	return c
}

// fetch replaces the files of a workspace by the published ones. It fails if that would overwrite edited files,
// unless force is set.
func fetch(out io.Writer, w *workspace, files []config.Published, force bool) error {
	next := map[config.File]fetched{}
	for _, file := range files {
		if err := checkName(file.Name); err != nil {
			return err
		}
		digest := config.FileChange{Name: file.Name, Content: file.Content}.Digest()
		next[file.Name] = fetched{Version: file.Version, Digest: digest}
	}
	names := maps.Clone(w.Files)
	maps.Copy(names, next)
	if edited := w.editedConflicts(names, next); len(edited) > 0 && !force {
		return &EditedError{Files: edited}
	}
	for name := range names {
		if _, published := next[name]; !published {
			if err := w.remove(name); err != nil {
				return err
			}
		}
	}
	for _, file := range files {
		var text bytes.Buffer
		if err := json.Indent(&text, file.Content, "", "  "); err != nil {
			return &WorkspaceError{Dir: w.dir, Cause: err}
		}
		if err := w.write(w.path(file.Name), text.Bytes()); err != nil {
			return err
		}
		if err := printText(out, "%s version %d\n", file.Name, file.Version); err != nil {
			return err
		}
	}
	w.Files = next
	return w.save()
}

// editedConflicts returns the files that were edited since the fetch and differ from the published ones.
func (w *workspace) editedConflicts(names, next map[config.File]fetched) []config.File {
	published := &workspace{dir: w.dir, Files: next}
	var edited []config.File
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if w.isEdited(name) && published.isEdited(name) {
			edited = append(edited, name)
		}
	}
	return edited
}
