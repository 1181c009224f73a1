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

// Keys of files.
const (
	poolsKey  = "pools"
	teamsKey  = "teams"
	routesKey = "routes"
)

// merged is a valid merge that is in force.
type merged struct {
	base, overlay *decoded
	settings      *Settings
}

// merged returns the merge that is in force at a site, or nil.
func (v *view) merged(name site.Name) *merged {
	if v == nil {
		return nil
	}
	settings, ok := v.sites[name]
	if !ok {
		return nil
	}
	return &merged{base: v.files[BaseFile].decoded, overlay: v.files[OverlayFile(name)].decoded, settings: settings}
}

// kept are the parts of an earlier merge that stay as they are.
type kept struct {
	pools map[pool.Name]pool.Spec
	// teams and routes are nil if they may change.
	teams  map[team.Name]team.Spec
	routes []Route
}

// unchanged returns the parts whose merge is the same as in m, because neither file changes them. Merge
// patches of objects apply key by key, so each key can be merged by itself.
func (m *merged) unchanged(base, overlay *decoded) kept {
	var k kept
	if m == nil {
		return k
	}
	if bytes.Equal(m.base.teams, base.teams) && bytes.Equal(m.overlay.teams, overlay.teams) {
		k.teams = m.settings.Teams
	}
	if bytes.Equal(m.base.routes, base.routes) && bytes.Equal(m.overlay.routes, overlay.routes) {
		k.routes = m.settings.Routes
	}
	if base.pools == nil || overlay.pools == nil || m.base.pools == nil || m.overlay.pools == nil {
		return k
	}
	k.pools = map[pool.Name]pool.Spec{}
	for name, spec := range m.settings.Pools {
		key := string(name)
		if equal(m.base.pools, base.pools, key) && equal(m.overlay.pools, overlay.pools, key) {
			k.pools[name] = spec
		}
	}
	return k
}

// restore adds the parts to settings that were merged without them.
func (k kept) restore(settings *Settings) {
	if settings.Pools == nil {
		settings.Pools = map[pool.Name]pool.Spec{}
	}
	maps.Copy(settings.Pools, k.pools)
	if k.teams != nil {
		settings.Teams = k.teams
	}
	if k.routes != nil {
		settings.Routes = k.routes
	}
}

func equal(old, new map[string][]byte, key string) bool {
	before, had := old[key]
	after, has := new[key]
	return had == has && bytes.Equal(before, after)
}

// without returns the encoded document with empty values in place of the kept parts.
func (d *decoded) without(k kept) []byte {
	tree := maps.Clone(d.tree)
	if k.teams != nil {
		tree[teamsKey] = map[string]any{}
	}
	if k.routes != nil {
		tree[routesKey] = []any{}
	}
	if k.pools != nil {
		rest := map[string]any{}
		for name, spec := range d.tree[poolsKey].(map[string]any) {
			if _, skip := k.pools[pool.Name(name)]; !skip {
				rest[name] = spec
			}
		}
		tree[poolsKey] = rest
	}
	return encode(tree)
}

// merge returns the settings of one site, or what is wrong with them. Parts that are unchanged since
// an earlier valid merge, if there is one, are neither merged nor matched with the schema again: at 290
// pools these two steps are most of the cost of a publish.
func merge(base, overlay *decoded, old *merged) (*Settings, []finding) {
	same := old.unchanged(base, overlay)
	data, err := jsonpatch.MergePatch(base.without(same), overlay.without(same))
	if err != nil {
		return nil, broken("cannot be merged", err)
	}
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, broken("cannot be merged", err)
	}
	wrong := schema.Validate(tree)
	settings := &Settings{}
	// Unmarshal fills in what it can, so that the rules can be checked beside a value of a wrong type.
	if err := json.Unmarshal(data, settings); err != nil && len(wrong) == 0 {
		return nil, broken("cannot be read", err)
	}
	same.restore(settings)
	found := append(findings(wrong), names(settings)...)
	for _, f := range rules(settings) {
		if !f.follows(wrong) {
			found = append(found, f)
		}
	}
	if len(found) > 0 {
		return nil, found
	}
	return settings, nil
}
