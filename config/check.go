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

// decoded is a decoded file. It is never changed once it is built.
type decoded struct {
	// data is the canonical encoding: compact, with sorted keys. Equal trees have equal data.
	data []byte
	tree map[string]any
	// pools holds the canonical encoding of each pool; it is nil if there is no object of pools.
	pools map[string][]byte
	// teams and routes are the canonical encodings of these keys; nil if they are missing.
	teams, routes []byte
}

// decode decodes and canonicalises the content of a file.
func decode(file File, data []byte) (*decoded, []Fault) {
	tree, wrong := document.Decode(data)
	if len(wrong) > 0 {
		faults := make([]Fault, len(wrong))
		for i, f := range wrong {
			faults[i] = Fault{File: file, Pointer: f.Pointer, Reason: f.Reason}
		}
		return nil, faults
	}
	return newDecoded(tree), nil
}

// newDecoded encodes a tree that was decoded from JSON, which never fails.
func newDecoded(tree map[string]any) *decoded {
	d := &decoded{tree: tree, data: encode(tree)}
	d.teams = encode(lookup(tree, teamsKey))
	d.routes = encode(lookup(tree, routesKey))
	if pools, ok := tree[poolsKey].(map[string]any); ok {
		d.pools = make(map[string][]byte, len(pools))
		for name, spec := range pools {
			d.pools[name] = encode(spec)
		}
	}
	return d
}

// Check reports every fault of a base file with its overlays as a CheckError.
func Check(files []FileContent) error {
	_, err := Merge(files)
	return err
}

// Merge returns the settings of each site of a base file with its overlays, or every fault of the
// files as a CheckError.
func Merge(files []FileContent) (map[site.Name]*Settings, error) {
	documents := map[File]*decoded{}
	var faults []Fault
	for _, file := range files {
		if _, repeated := documents[file.Name]; repeated {
			faults = append(faults, Fault{File: file.Name, Reason: "is given twice"})
			continue
		}
		if !file.Name.IsValid() {
			faults = append(faults, Fault{File: file.Name, Reason: `name must be "base" or "site/NAME" with a name that matches ` + namePattern})
		}
		doc, wrong := decode(file.Name, file.Data)
		documents[file.Name] = doc
		faults = append(faults, wrong...)
	}
	sites, wrong := mergeAll(documents, len(documents)-1, nil)
	if err := checkError(append(faults, wrong...)); err != nil {
		return nil, err
	}
	return sites, nil
}

// mergeAll merges the given overlays with the base file; total is the number of sites there are. A nil
// document is one with faults of its own: it is left out, so that the faults of the others are found.
// Without any overlay the base file is checked alone. The view that the documents replace saves work;
// it may be nil.
func mergeAll(documents map[File]*decoded, total int, old *view) (map[site.Name]*Settings, []Fault) {
	base, given := documents[BaseFile]
	if !given {
		return nil, []Fault{{File: BaseFile, Reason: "is missing"}}
	}
	if base == nil {
		return nil, nil
	}
	sites := map[site.Name]*Settings{}
	var reports []report
	for file, overlay := range documents {
		name, ok := file.Site()
		if !ok || overlay == nil {
			continue
		}
		settings, found := merge(base, overlay, old.merged(name))
		sites[name] = settings
		if len(found) > 0 {
			reports = append(reports, report{file: file, overlay: overlay, findings: found})
		}
	}
	if len(sites) == 0 {
		return sites, checkBase(base)
	}
	return sites, attribute(reports, total)
}

// checkBase checks a base file that has no overlays yet. Missing keys are no faults, because overlays
// may add them.
func checkBase(base *decoded) []Fault {
	_, found := merge(base, newDecoded(map[string]any{}), nil)
	var faults []Fault
	for _, f := range found {
		if !f.MissingKey {
			faults = append(faults, Fault{File: BaseFile, Pointer: f.Pointer, Reason: f.Reason})
		}
	}
	return faults
}

// finding is a fault of merged settings, before it is attributed to a file.
type finding struct {
	document.Fault
	// related points at other values that the fault depends on.
	related []string
}

// follows reports whether the finding may be a mere consequence of a value that does not match the
// schema.
func (f finding) follows(wrong []document.Fault) bool {
	return slices.ContainsFunc(wrong, func(fault document.Fault) bool {
		return document.PointersOverlap(f.Pointer, fault.Pointer) ||
			slices.ContainsFunc(f.related, func(pointer string) bool { return document.PointersOverlap(pointer, fault.Pointer) })
	})
}

func findings(faults []document.Fault) []finding {
	found := make([]finding, len(faults))
	for i, fault := range faults {
		found[i].Fault = fault
	}
	return found
}

func broken(what string, err error) []finding {
	return findings([]document.Fault{{Reason: what + ": " + err.Error()}})
}

// report holds the findings of one site.
type report struct {
	file     File
	overlay  *decoded
	findings []finding
}

// attribute names the file that each finding comes from: the overlay if it sets the value or one that
// the finding depends on, else the base file. A key that is missing at every one of several sites is
// missing from the base file.
func attribute(reports []report, sites int) []Fault {
	absent := map[string]int{}
	for _, r := range reports {
		for _, f := range r.findings {
			if f.MissingKey {
				absent[f.Pointer]++
			}
		}
	}
	var faults []Fault
	for _, r := range reports {
		for _, f := range r.findings {
			file := BaseFile
			switch {
			case f.MissingKey && sites > 1 && absent[f.Pointer] == sites:
			case f.MissingKey && document.SetsValueAt(r.overlay.tree, document.ParentPointer(f.Pointer)):
				file = r.file
			case !f.MissingKey && f.setBy(r.overlay.tree):
				file = r.file
			}
			faults = append(faults, Fault{File: file, Pointer: f.Pointer, Reason: f.Reason})
		}
	}
	return faults
}

func (f finding) setBy(tree map[string]any) bool {
	if f.Pointer != "" && document.SetsValueAt(tree, f.Pointer) {
		return true
	}
	return slices.ContainsFunc(f.related, func(pointer string) bool { return document.SetsValueAt(tree, pointer) })
}

// checkError returns nil if there are no faults. It sorts them and drops repeated ones, which arise
// when several sites share a fault of the base file.
func checkError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Pointer, b.Pointer), cmp.Compare(a.Reason, b.Reason))
	})
	return &CheckError{Faults: slices.Compact(faults)}
}
