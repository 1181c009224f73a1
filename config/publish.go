package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"hibiscuslane.example/hibiscuslane/record"
)

// KindPublish is the kind of publish records, the only one in the config stream.
const KindPublish record.Kind = "publish"

// NoVersion is the version of a file that does not exist.
const NoVersion record.Offset = -1

const (
	// maxTextBytes limits each text that the audit trail or a verdict retains, such as the reason of a
	// publish.
	maxTextBytes = 1024
	// maxFiles limits the number of files in one publish.
	maxFiles = 256
)

// Publish is the body of a publish record. The author is in the envelope.
type Publish struct {
	Files []FileChange `json:"files"`
	// Reason tells other operators why the change is made.
	Reason string `json:"reason"`
}

// FileChange sets or removes one file.
type FileChange struct {
	Name File `json:"name"`
	// BaseVersion is the version of the file that the author edited; NoVersion for a new file.
	BaseVersion record.Offset `json:"based"`
	// Content is the complete new content of the file; null removes an overlay.
	Content json.RawMessage `json:"content"`
}

// UnmarshalJSON requires every key. Otherwise a change without a version would be taken as based on
// offset 0, and one without content as a removal.
func (c *FileChange) UnmarshalJSON(data []byte) error {
	var raw struct {
		Name        *File           `json:"name"`
		BaseVersion *record.Offset  `json:"based"`
		Content     json.RawMessage `json:"content"`
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&raw); err != nil {
		return err
	}
	switch {
	case raw.Name == nil:
		return &record.FieldError{Field: "name"}
	case raw.BaseVersion == nil:
		return &record.FieldError{Field: "based"}
	case raw.Content == nil:
		return &record.FieldError{Field: "content"}
	}
	*c = FileChange{Name: *raw.Name, BaseVersion: *raw.BaseVersion, Content: raw.Content}
	return nil
}

// IsRemoval reports whether the change removes the file, that is, whether its content is null or nil. Nil
// content is encoded as null.
func (c FileChange) IsRemoval() bool {
	return c.Content == nil || string(bytes.TrimSpace(c.Content)) == "null"
}

// DecodePublish decodes the body of a publish record and validates everything but versions and contents.
func DecodePublish(envelope record.Envelope) (Publish, error) {
	if envelope.Kind != KindPublish {
		return Publish{}, &PublishError{Reason: fmt.Sprintf("unknown kind %q", string(envelope.Kind))}
	}
	var p Publish
	if err := record.DecodeBody(envelope, &p); err != nil {
		return Publish{}, err
	}
	if len(envelope.Author) > maxTextBytes {
		return Publish{}, &PublishError{Reason: fmt.Sprintf("author is longer than %d bytes", maxTextBytes)}
	}
	return p, p.Validate()
}

// Validate checks the publish except for the versions and contents of its files.
func (p Publish) Validate() error {
	switch {
	case len(p.Files) == 0:
		return &PublishError{Reason: "it names no file"}
	case len(p.Files) > maxFiles:
		return &PublishError{Reason: fmt.Sprintf("it names more than %d files", maxFiles)}
	case len(p.Reason) > maxTextBytes:
		return &PublishError{Reason: fmt.Sprintf("reason is longer than %d bytes", maxTextBytes)}
	}
	seen := map[File]bool{}
	for _, file := range p.Files {
		if err := file.validate(); err != nil {
			return err
		}
		if seen[file.Name] {
			return &PublishError{Reason: fmt.Sprintf("it names file %s twice", file.Name)}
		}
		seen[file.Name] = true
	}
	return nil
}

func (c FileChange) validate() error {
	switch {
	case !c.Name.IsValid():
		return &PublishError{Reason: fmt.Sprintf("file name %q is neither %q nor site/NAME", string(c.Name), string(BaseFile))}
	case c.IsRemoval() && c.Name == BaseFile:
		return &PublishError{Reason: "the base file cannot be removed"}
	case c.IsRemoval() && c.BaseVersion == NoVersion:
		return &PublishError{Reason: fmt.Sprintf("file %s is removed and does not exist", c.Name)}
	}
	return nil
}

// Check returns the faults of the content on its own. It does not tell whether the merged settings are
// valid, which depends on the other files.
func (c FileChange) Check() []Fault {
	if c.IsRemoval() {
		return nil
	}
	_, faults := decode(c.Name, c.Content)
	return faults
}

// truncate shortens a text to at most maxTextBytes, at a character boundary.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	limit := maxTextBytes
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}
