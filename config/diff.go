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

// Status says what became of a site or pool.
type Status string

// Statuses of a difference.
const (
	StatusAdded   Status = "added"
	StatusRemoved Status = "removed"
	StatusChanged Status = "changed"
)

// Difference lists the sites whose settings differ, ordered by name.
type Difference struct {
	Sites []SiteDifference `json:"sites"`
}

// SiteDifference lists what differs at one site.
type SiteDifference struct {
	Site   site.Name        `json:"site"`
	Status Status           `json:"status"`
	Pools  []PoolDifference `json:"pools,omitempty"`
	// Fields are changed values outside the pools. Their pointers start at the settings of the site.
	Fields []audit.Change `json:"fields,omitempty"`
}

// PoolDifference lists the changed fields of one pool. Their pointers start at the pool.
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
		d.Fields = differences("", outsidePools(old), outsidePools(new), nil)
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
		before, had := old[name]
		after, has := new[name]
		switch {
		case !had:
			pools = append(pools, PoolDifference{Pool: name, Status: StatusAdded, Fields: differences("", tree(pool.Spec{}), tree(after), nil)})
		case !has:
			pools = append(pools, PoolDifference{Pool: name, Status: StatusRemoved})
		case before != after:
			pools = append(pools, PoolDifference{Pool: name, Status: StatusChanged, Fields: differences("", tree(before), tree(after), nil)})
		}
	}
	return pools
}

func outsidePools(s *Settings) any {
	rest := *s
	rest.Pools = nil
	return tree(rest)
}

// tree returns a value as decoded JSON.
func tree(value any) any {
	// Settings consist of types that always encode.
	data, _ := json.Marshal(value)
	var decoded any
	_ = json.Unmarshal(data, &decoded)
	return decoded
}

// Text returns the difference as text, one line per change.
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
