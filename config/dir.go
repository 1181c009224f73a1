package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/site"
)

const fileExtension = ".json"

// ReadError reports a file that cannot be read, or a directory without configuration files.
type ReadError struct {
	Cause error
}

func (e *ReadError) Error() string { return "file cannot be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ReadError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *ReadError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// ReadFile reads a configuration file from disk.
func ReadFile(name File, path string) (FileContent, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return FileContent{}, &ReadError{Cause: err}
	}
	return FileContent{Name: name, Data: data}, nil
}

// ReadDir reads the configuration files of a directory: DIR/base.json if it exists, and every
// DIR/site/NAME.json.
func ReadDir(dir string) ([]FileContent, error) {
	var files []FileContent
	base := filepath.Join(dir, string(BaseFile)+fileExtension)
	if _, err := os.Stat(base); err == nil {
		file, err := ReadFile(BaseFile, base)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	paths, err := filepath.Glob(filepath.Join(dir, "site", "*"+fileExtension))
	if err != nil {
		return nil, &ReadError{Cause: err}
	}
	slices.Sort(paths)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), fileExtension)
		file, err := ReadFile(OverlayFile(site.Name(name)), path)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	if len(files) == 0 {
		return nil, &ReadError{Cause: &os.PathError{Op: "read", Path: dir, Err: os.ErrNotExist}}
	}
	return files, nil
}
