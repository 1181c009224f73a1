package config

import (
	"bytes"
	"encoding/json"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/team"
)

// Top-level keys of files whose values a merge can take over from an earlier one.
const (
	poolsKey  = "pools"
	teamsKey  = "teams"
	routesKey = "routes"
)

// validMerge is a valid merge of the base file with one overlay.
type validMerge struct {
	base, overlay *decodedFile
	settings      *Settings
}

// currentMerge returns the merge that is in force at a site, or nil if there is none.
func (v *view) currentMerge(name site.Name) *validMerge {
	if v == nil {
		return nil
	}
	settings, ok := v.sites[name]
	if !ok {
		return nil
	}
	return &validMerge{base: v.files[BaseFile].decodedFile, overlay: v.files[OverlayFile(name)].decodedFile, settings: settings}
}

// reusableParts holds the parts of an earlier merge that a new merge can take over.
type reusableParts struct {
	// pools holds the pools that need not be merged again; nil if all of them have to.
	pools map[pool.Name]pool.Spec
	// teams and routes are nil if they have to be merged again.
	teams  map[team.Name]team.Spec
	routes []Route
}

// reusableParts returns the parts of m that a merge of the given files would yield again, because neither
// file has changed in them; none if m is nil. This is valid because a merge patch of objects applies to each
// key independently.
func (m *validMerge) reusableParts(base, overlay *decodedFile) reusableParts {
	var parts reusableParts
	if m == nil {
		return parts
	}
	if bytes.Equal(m.base.teams, base.teams) && bytes.Equal(m.overlay.teams, overlay.teams) {
		parts.teams = m.settings.Teams
	}
	if bytes.Equal(m.base.routes, base.routes) && bytes.Equal(m.overlay.routes, overlay.routes) {
		parts.routes = m.settings.Routes
	}
	if base.pools == nil || overlay.pools == nil || m.base.pools == nil || m.overlay.pools == nil {
		return parts
	}
	parts.pools = map[pool.Name]pool.Spec{}
	for name, spec := range m.settings.Pools {
		key := string(name)
		if equalAt(m.base.pools, base.pools, key) && equalAt(m.overlay.pools, overlay.pools, key) {
			parts.pools[name] = spec
		}
	}
	return parts
}

// addTo adds the parts to settings that were merged without them.
func (parts reusableParts) addTo(settings *Settings) {
	if settings.Pools == nil {
		settings.Pools = map[pool.Name]pool.Spec{}
	}
	maps.Copy(settings.Pools, parts.pools)
	if parts.teams != nil {
		settings.Teams = parts.teams
	}
	if parts.routes != nil {
		settings.Routes = parts.routes
	}
}

func equalAt(old, new map[string][]byte, key string) bool {
	before, existed := old[key]
	after, exists := new[key]
	return existed == exists && bytes.Equal(before, after)
}

// encodeWithout encodes the file without the reusable pools, and with empty values in place of reusable
// teams and routes.
func (d *decodedFile) encodeWithout(parts reusableParts) []byte {
	tree := maps.Clone(d.tree)
	if parts.teams != nil {
		tree[teamsKey] = map[string]any{}
	}
	if parts.routes != nil {
		tree[routesKey] = []any{}
	}
	if parts.pools != nil {
		rest := map[string]any{}
		for name, spec := range d.tree[poolsKey].(map[string]any) {
			if _, skip := parts.pools[pool.Name(name)]; !skip {
				rest[name] = spec
			}
		}
		tree[poolsKey] = rest
	}
	return encode(tree)
}

// merge returns the settings of one site, or the findings if they are not valid. If an earlier valid
// merge is given, the parts that have not changed since are neither merged nor validated against the
// schema again. At 290 pools these two steps account for most of the cost of a publish.
func merge(base, overlay *decodedFile, old *validMerge) (*Settings, []finding) {
	reused := old.reusableParts(base, overlay)
	data, err := jsonpatch.MergePatch(base.encodeWithout(reused), overlay.encodeWithout(reused))
	if err != nil {
		return nil, newErrorFindings("cannot be merged", err)
	}
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, newErrorFindings("cannot be merged", err)
	}
	schemaFaults := schema.Validate(tree)
	settings := &Settings{}
	// Unmarshal decodes all it can even if one value has a wrong type, so that the rules are still checked
	// for the other values.
	if err := json.Unmarshal(data, settings); err != nil && len(schemaFaults) == 0 {
		return nil, newErrorFindings("cannot be read", err)
	}
	reused.addTo(settings)
	found := append(newFindings(schemaFaults), checkNames(settings)...)
	for _, f := range checkRules(settings) {
		if !f.mayResultFrom(schemaFaults) {
			found = append(found, f)
		}
	}
	if len(found) > 0 {
		return nil, found
	}
	return settings, nil
}
