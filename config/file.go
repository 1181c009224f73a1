package config

import (
	"encoding/json"
	"regexp"
	"strings"

	"hibiscuslane.example/hibiscuslane/site"
)

// File is the name of a published file: the base file or the overlay of a site.
type File string

// BaseFile is the file that all sites share.
const BaseFile File = "base"

// overlayPrefix is the prefix of the names of overlays.
const overlayPrefix = "site/"

// namePattern matches valid names of sites, pools and teams. It allows neither "." nor "/", so that a name is
// a single element of a file path such as site/NAME.json and of a JSON pointer.
const namePattern = `^[a-z0-9][a-z0-9_-]{0,62}$`

var nameExpression = regexp.MustCompile(namePattern)

// OverlayFile returns the name of the overlay of a site.
func OverlayFile(name site.Name) File { return File(overlayPrefix + string(name)) }

// Site returns the site that the overlay belongs to; ok is false if f is no overlay.
func (f File) Site() (name site.Name, ok bool) {
	rest, ok := strings.CutPrefix(string(f), overlayPrefix)
	if !ok || !nameExpression.MatchString(rest) {
		return "", false
	}
	return site.Name(rest), true
}

// IsValid reports whether f names the base file or an overlay.
func (f File) IsValid() bool {
	_, isOverlay := f.Site()
	return f == BaseFile || isOverlay
}

// FileContent is the name and the content of a configuration file.
type FileContent struct {
	Name File            `json:"name"`
	Data json.RawMessage `json:"content"`
}
