package config

import (
	"bytes"
	"encoding/json"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// poolsKey is the key of the pools in files.
const poolsKey = "pools"

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
	return &merged{base: v.files[Base].decoded, overlay: v.files[Overlay(name)].decoded, settings: settings}
}

// unchanged returns the pools whose merge is the same as in m, because neither file changes them. Merge
// patches of objects apply key by key, so each pool can be merged by itself.
func (m *merged) unchanged(base, overlay *decoded) map[pool.Name]pool.Spec {
	if m == nil || base.pools == nil || overlay.pools == nil || m.base.pools == nil || m.overlay.pools == nil {
		return nil
	}
	same := map[pool.Name]pool.Spec{}
	for name, spec := range m.settings.Pools {
		key := string(name)
		if equal(m.base.pools, base.pools, key) && equal(m.overlay.pools, overlay.pools, key) {
			same[name] = spec
		}
	}
	return same
}

func equal(old, new map[string][]byte, key string) bool {
	before, had := old[key]
	after, has := new[key]
	return had == has && bytes.Equal(before, after)
}

// without returns the encoded document without some pools.
func (d *decoded) without(pools map[pool.Name]pool.Spec) []byte {
	if len(pools) == 0 {
		return d.data
	}
	rest := map[string]any{}
	for name, spec := range d.tree[poolsKey].(map[string]any) {
		if _, skip := pools[pool.Name(name)]; !skip {
			rest[name] = spec
		}
	}
	tree := maps.Clone(d.tree)
	tree[poolsKey] = rest
	return encode(tree)
}

// merge returns the settings of one site, or what is wrong with them. Pools that are unchanged since an
// earlier valid merge, if there is one, are neither merged nor matched with the schema again: at 290
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
	if settings.Pools == nil {
		settings.Pools = map[pool.Name]pool.Spec{}
	}
	maps.Copy(settings.Pools, same)
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
