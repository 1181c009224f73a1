package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/record"
)

// versionsFile is the file in a directory of fetched files that holds their versions.
const versionsFile = "versions.json"

// Permissions of fetched files and their directories.
const (
	filePermission = 0o644
	dirPermission  = 0o755
)

// workspace is a directory that fetch filled. It remembers which version each file had, so that a
// publish detects the changes that others made while the files were edited.
type workspace struct {
	dir string
	// Files holds the files as they were fetched or last published from here.
	Files map[config.File]fetched `json:"files"`
}

type fetched struct {
	Version record.Offset `json:"version"`
	Digest  string        `json:"digest"`
}

// openWorkspace returns nil if the directory was not filled by fetch.
func openWorkspace(dir string) (*workspace, error) {
	data, err := os.ReadFile(filepath.Join(dir, versionsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &WorkspaceError{Dir: dir, Cause: err}
	}
	w := &workspace{dir: dir}
	if err := json.Unmarshal(data, w); err != nil {
		return nil, &WorkspaceError{Dir: dir, Cause: err}
	}
	if w.Files == nil {
		w.Files = map[config.File]fetched{}
	}
	for name := range w.Files {
		if err := checkName(name); err != nil {
			return nil, &WorkspaceError{Dir: dir, Cause: err}
		}
	}
	return w, nil
}

// checkName refuses a name that could lead out of the directory.
func checkName(name config.File) error {
	if !name.IsValid() {
		return &UsageError{Reason: fmt.Sprintf("%q is not the name of a file", string(name))}
	}
	return nil
}

func (w *workspace) save() error {
	data, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		return &WorkspaceError{Dir: w.dir, Cause: err}
	}
	return w.write(versionsFile, data)
}

// write replaces a file of the directory as a whole, so that a crash leaves the old or the new one.
func (w *workspace) write(name string, data []byte) error {
	path := filepath.Join(w.dir, name)
	err := os.MkdirAll(filepath.Dir(path), dirPermission)
	if err == nil {
		err = os.WriteFile(path+".new", append(data, '\n'), filePermission)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return &WorkspaceError{Dir: w.dir, Cause: err}
	}
	return nil
}

func (w *workspace) path(name config.File) string { return string(name) + ".json" }

// edited reports whether the directory holds the file with another content than it was fetched with.
func (w *workspace) edited(name config.File) bool {
	file, err := config.ReadFile(name, filepath.Join(w.dir, w.path(name)))
	if err != nil {
		return !errors.Is(err, fs.ErrNotExist)
	}
	return config.FileChange{Name: name, Content: file.Data}.Digest() != w.Files[name].Digest
}

// remove deletes a file of the directory, if it is there.
func (w *workspace) remove(name config.File) error {
	err := os.Remove(filepath.Join(w.dir, w.path(name)))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &WorkspaceError{Dir: w.dir, Cause: err}
	}
	delete(w.Files, name)
	return nil
}

// nameVersions takes the versions from the workspace and leaves out files that were not edited.
func (w *workspace) nameVersions(changes []config.FileChange) []config.FileChange {
	var changed []config.FileChange
	for _, change := range changes {
		present, ok := w.Files[change.Name]
		change.BaseVersion = config.NoVersion
		if ok {
			change.BaseVersion = present.Version
		}
		if !ok || present.Digest != change.Digest() {
			changed = append(changed, change)
		}
	}
	return changed
}

// record notes that the changes are published as a version.
func (w *workspace) record(changes []config.FileChange, version record.Offset) error {
	for _, change := range changes {
		if change.IsRemoval() {
			if err := w.remove(change.Name); err != nil {
				return err
			}
			continue
		}
		w.Files[change.Name] = fetched{Version: version, Digest: change.Digest()}
	}
	return w.save()
}
