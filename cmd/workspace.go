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

// versionsFile is the name of the file that stores the versions of the fetched files in their directory.
const versionsFile = "versions.json"

// Permissions of fetched files and their directories.
const (
	filePermission = 0o644
	dirPermission  = 0o755
)

// workspace is a directory of files written by the fetch command. It stores the version of each file, so that
// a publish detects changes that others have made while the files were edited.
type workspace struct {
	dir string
	// Files holds the version and digest of each file as of the last fetch or publish from this directory.
	Files map[config.File]fetched `json:"files"`
}

// fetched is the version and the digest of a file. Errors of encoding/json about a malformed versions.json
// contain the name of the type.
type fetched struct {
	Version record.Offset `json:"version"`
	Digest  string        `json:"digest"`
}

// openWorkspace opens the workspace in a directory. It returns nil if the fetch command has not written to
// the directory.
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

// checkName rejects names that are not valid, such as one whose path would be outside the directory.
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

// write replaces a file of the directory atomically, so that a crash leaves either the old or the new content.
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

// isEdited reports whether the content of the file differs from the content that was fetched. A file that
// does not exist is not edited.
func (w *workspace) isEdited(name config.File) bool {
	file, err := config.ReadFile(name, filepath.Join(w.dir, w.path(name)))
	if err != nil {
		return !errors.Is(err, fs.ErrNotExist)
	}
	return config.FileChange{Name: name, Content: file.Data}.Digest() != w.Files[name].Digest
}

// remove deletes a file from the directory if it exists.
func (w *workspace) remove(name config.File) error {
	err := os.Remove(filepath.Join(w.dir, w.path(name)))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &WorkspaceError{Dir: w.dir, Cause: err}
	}
	delete(w.Files, name)
	return nil
}

// setFetchedVersions sets the base versions to the stored ones and leaves out files that were not edited.
func (w *workspace) setFetchedVersions(changes []config.FileChange) []config.FileChange {
	var changed []config.FileChange
	for _, change := range changes {
		last, ok := w.Files[change.Name]
		change.BaseVersion = config.NoVersion
		if ok {
			change.BaseVersion = last.Version
		}
		if !ok || last.Digest != change.Digest() {
			changed = append(changed, change)
		}
	}
	return changed
}

// recordPublish stores the version that the changes were published as.
func (w *workspace) recordPublish(changes []config.FileChange, version record.Offset) error {
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
