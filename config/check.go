package config

import (
	"cmp"
	_ "embed" // for the schema
	"slices"

	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/site"
)

//go:embed schema.json
var schemaText []byte

var schema = document.MustCompile(schemaText)

// decodedFile holds the content of a file as a tree, and the canonical encodings of the parts that are
// compared between versions. It is immutable.
type decodedFile struct {
	// data is the canonical encoding, compact and with sorted keys. Equal trees have equal data.
	data []byte
	tree map[string]any
	// pools holds the canonical encoding of each pool; it is nil if pools is missing or no object.
	pools map[string][]byte
	// teams and routes are the canonical encodings of these values; nil if they are missing.
	teams, routes []byte
}

// decode decodes the content of a file and computes its canonical encoding.
func decode(file File, data []byte) (*decodedFile, []Fault) {
	tree, contentFaults := document.Decode(data)
	if len(contentFaults) > 0 {
		faults := make([]Fault, len(contentFaults))
		for i, f := range contentFaults {
			faults[i] = Fault{File: file, Pointer: f.Pointer, Reason: f.Reason}
		}
		return nil, faults
	}
	return newDecodedFile(tree), nil
}

// newDecodedFile encodes a tree. This cannot fail, because the tree was decoded from JSON.
func newDecodedFile(tree map[string]any) *decodedFile {
	d := &decodedFile{tree: tree, data: encode(tree)}
	d.teams = encode(valueOrAbsent(tree, teamsKey))
	d.routes = encode(valueOrAbsent(tree, routesKey))
	if pools, ok := tree[poolsKey].(map[string]any); ok {
		d.pools = make(map[string][]byte, len(pools))
		for name, spec := range pools {
			d.pools[name] = encode(spec)
		}
	}
	return d
}

// Check validates a base file with its overlays and returns all faults as a CheckError.
func Check(files []FileContent) error {
	_, err := Merge(files)
	return err
}

// Merge merges a base file with its overlays and returns the settings of each site, or all faults of the
// files as a CheckError.
func Merge(files []FileContent) (map[site.Name]*Settings, error) {
	documents := map[File]*decodedFile{}
	var faults []Fault
	for _, file := range files {
		if _, repeated := documents[file.Name]; repeated {
			faults = append(faults, Fault{File: file.Name, Reason: "is given twice"})
			continue
		}
		if !file.Name.IsValid() {
			faults = append(faults, Fault{File: file.Name, Reason: `name must be "base" or "site/NAME" with a name that matches ` + namePattern})
		}
		doc, fileFaults := decode(file.Name, file.Data)
		documents[file.Name] = doc
		faults = append(faults, fileFaults...)
	}
	sites, mergeFaults := mergeAll(documents, len(documents)-1, nil)
	if err := newCheckError(append(faults, mergeFaults...)); err != nil {
		return nil, err
	}
	return sites, nil
}

// mergeAll merges the given overlays with the base file; siteCount is the number of all sites. A nil document
// stands for a file that could not be decoded: it is skipped, so that the faults of the other files are
// still found. If there is no overlay, the base file is checked on its own. The old view, which may be
// nil, provides earlier merges whose unchanged parts are reused.
func mergeAll(documents map[File]*decodedFile, siteCount int, old *view) (map[site.Name]*Settings, []Fault) {
	base, given := documents[BaseFile]
	if !given {
		return nil, []Fault{{File: BaseFile, Reason: "is missing"}}
	}
	if base == nil {
		return nil, nil
	}
	sites := map[site.Name]*Settings{}
	var reports []overlayFindings
	for file, overlay := range documents {
		name, ok := file.Site()
		if !ok || overlay == nil {
			continue
		}
		settings, found := merge(base, overlay, old.currentMerge(name))
		sites[name] = settings
		if len(found) > 0 {
			reports = append(reports, overlayFindings{file: file, overlay: overlay, findings: found})
		}
	}
	if len(sites) == 0 {
		return sites, checkBase(base)
	}
	return sites, attributeToFiles(reports, siteCount)
}

// checkBase checks a base file that has no overlays. It does not report missing keys, because
// overlays may add them.
func checkBase(base *decodedFile) []Fault {
	_, found := merge(base, newDecodedFile(map[string]any{}), nil)
	var faults []Fault
	for _, f := range found {
		if !f.MissingKey {
			faults = append(faults, Fault{File: BaseFile, Pointer: f.Pointer, Reason: f.Reason})
		}
	}
	return faults
}

// finding is a fault of merged settings that is not yet attributed to a file.
type finding struct {
	document.Fault
	// related holds the pointers of other values that the fault depends on.
	related []string
}

// mayResultFrom reports whether the finding may be a consequence of a value that does not match the
// schema, so that it need not be reported.
func (f finding) mayResultFrom(schemaFaults []document.Fault) bool {
	return slices.ContainsFunc(schemaFaults, func(fault document.Fault) bool {
		return document.PointersOverlap(f.Pointer, fault.Pointer) ||
			slices.ContainsFunc(f.related, func(pointer string) bool { return document.PointersOverlap(pointer, fault.Pointer) })
	})
}

func newFindings(faults []document.Fault) []finding {
	found := make([]finding, len(faults))
	for i, fault := range faults {
		found[i].Fault = fault
	}
	return found
}

func newErrorFindings(reason string, err error) []finding {
	return newFindings([]document.Fault{{Reason: reason + ": " + err.Error()}})
}

// overlayFindings holds the findings in the merged settings of one site.
type overlayFindings struct {
	file     File
	overlay  *decodedFile
	findings []finding
}

// attributeToFiles determines the file that each finding comes from: the overlay if it sets the value or
// a related one, else the base file. A missing key is attributed to the overlay if the
// overlay sets the object that lacks it, unless the key is missing at all of several sites.
func attributeToFiles(reports []overlayFindings, siteCount int) []Fault {
	missing := map[string]int{}
	for _, r := range reports {
		for _, f := range r.findings {
			if f.MissingKey {
				missing[f.Pointer]++
			}
		}
	}
	var faults []Fault
	for _, r := range reports {
		for _, f := range r.findings {
			file := BaseFile
			switch {
			case f.MissingKey && siteCount > 1 && missing[f.Pointer] == siteCount:
			case f.MissingKey && document.SetsValueAt(r.overlay.tree, document.ParentPointer(f.Pointer)):
				file = r.file
			case !f.MissingKey && f.isSetBy(r.overlay.tree):
				file = r.file
			}
			faults = append(faults, Fault{File: file, Pointer: f.Pointer, Reason: f.Reason})
		}
	}
	return faults
}

func (f finding) isSetBy(tree map[string]any) bool {
	if f.Pointer != "" && document.SetsValueAt(tree, f.Pointer) {
		return true
	}
	return slices.ContainsFunc(f.related, func(pointer string) bool { return document.SetsValueAt(tree, pointer) })
}

// newCheckError returns a CheckError, or nil if there are no faults. It sorts the faults and drops
// duplicates, which occur because a fault of the base file is found once for each site.
func newCheckError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Pointer, b.Pointer), cmp.Compare(a.Reason, b.Reason))
	})
	return &CheckError{Faults: slices.Compact(faults)}
}
