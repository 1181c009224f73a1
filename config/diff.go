package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// Status is the kind of change of a site or pool.
type Status string

// Statuses of sites and pools in a difference.
const (
	StatusAdded   Status = "added"
	StatusRemoved Status = "removed"
	StatusChanged Status = "changed"
)

// Difference lists the sites whose settings differ, sorted by name.
type Difference struct {
	Sites []SiteDifference `json:"sites"`
}

// SiteDifference lists the differences at one site.
type SiteDifference struct {
	Site   site.Name        `json:"site"`
	Status Status           `json:"status"`
	Pools  []PoolDifference `json:"pools,omitempty"`
	// Fields lists the changed values outside the pools; it is empty for an added or removed site. The
	// pointers are relative to the settings of the site.
	Fields []audit.Change `json:"fields,omitempty"`
}

// PoolDifference lists the changed fields of one pool; there are none for a removed pool, and those of an
// added pool are compared with an empty one. The pointers are relative to the pool.
type PoolDifference struct {
	Pool   pool.Name      `json:"pool"`
	Status Status         `json:"status"`
	Fields []audit.Change `json:"fields,omitempty"`
}

// Diff compares the settings of all sites before and after a change.
func Diff(old, new map[site.Name]*Settings) Difference {
	names := map[site.Name]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range new {
		names[name] = true
	}
	difference := Difference{Sites: []SiteDifference{}}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if d, differs := diffSite(name, old[name], new[name]); differs {
			difference.Sites = append(difference.Sites, d)
		}
	}
	return difference
}

// IsEmpty reports whether nothing differs.
func (d Difference) IsEmpty() bool { return len(d.Sites) == 0 }

func diffSite(name site.Name, old, new *Settings) (SiteDifference, bool) {
	d := SiteDifference{Site: name, Status: StatusChanged}
	if old == new {
		return d, false
	}
	if old == nil {
		d.Status = StatusAdded
		old = &Settings{}
	}
	if new == nil {
		d.Status = StatusRemoved
		new = &Settings{}
	}
	d.Pools = diffPools(old.Pools, new.Pools)
	if d.Status == StatusChanged {
		d.Fields = appendDifferences("", outsidePools(old), outsidePools(new), nil)
	}
	return d, d.Status != StatusChanged || len(d.Pools) > 0 || len(d.Fields) > 0
}

func diffPools(old, new map[pool.Name]pool.Spec) []PoolDifference {
	names := map[pool.Name]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range new {
		names[name] = true
	}
	var pools []PoolDifference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, existed := old[name]
		after, exists := new[name]
		switch {
		case !existed:
			pools = append(pools, PoolDifference{Pool: name, Status: StatusAdded, Fields: appendDifferences("", toTree(pool.Spec{}), toTree(after), nil)})
		case !exists:
			pools = append(pools, PoolDifference{Pool: name, Status: StatusRemoved})
		case before != after:
			pools = append(pools, PoolDifference{Pool: name, Status: StatusChanged, Fields: appendDifferences("", toTree(before), toTree(after), nil)})
		}
	}
	return pools
}

func outsidePools(s *Settings) any {
	rest := *s
	rest.Pools = nil
	return toTree(rest)
}

// toTree converts a value to the maps, slices and scalars that decoding its JSON yields.
func toTree(value any) any {
	// Settings contain only types whose encoding cannot fail.
	data, _ := json.Marshal(value)
	var decoded any
	_ = json.Unmarshal(data, &decoded)
	return decoded
}

// Text formats the difference as text with one line per change.
func (d Difference) Text() string {
	if d.IsEmpty() {
		return "no difference\n"
	}
	var b strings.Builder
	for _, s := range d.Sites {
		fmt.Fprintf(&b, "site %s %s\n", s.Site, s.Status)
		for _, field := range s.Fields {
			fmt.Fprintf(&b, "  %s\n", field)
		}
		for _, p := range s.Pools {
			fmt.Fprintf(&b, "  pool %s %s\n", p.Pool, p.Status)
			for _, field := range p.Fields {
				fmt.Fprintf(&b, "    %s\n", field)
			}
		}
	}
	return b.String()
}
