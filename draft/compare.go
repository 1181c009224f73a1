package draft

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/team"
)

// Change is a difference between two configurations.
type Change struct {
	Section Section
	// Name is that of the queue, pool or team; empty for limits, the version and the list of teams itself.
	Name string
	// Field is empty if the whole element, or the list of teams, was added or removed.
	Field Field
	// Before and After are empty for an element that was added or removed. They show no key.
	Before, After string
	// IsAdded and IsRemoved are set if the element is in one of the two only.
	IsAdded, IsRemoved bool
}

// value is a field with its value as text.
type value struct {
	field Field
	text  string
}

// Compare returns what differs in a configuration from an earlier one, the version first.
func Compare(before, after *Config) []Change {
	changes := compareValues("", "", []value{{FieldVersion, strconv.FormatInt(int64(before.Version), 10)}}, []value{{FieldVersion, strconv.FormatInt(int64(after.Version), 10)}})
	changes = append(changes, compareElements(SectionQueues, queueValues(before), queueValues(after))...)
	changes = append(changes, compareElements(SectionPools, poolValues(before), poolValues(after))...)
	if hadTeams, hasTeams := before.Teams != nil, after.Teams != nil; hadTeams != hasTeams {
		// Even an empty list closes all queues that are not public.
		changes = append(changes, Change{Section: SectionTeams, IsAdded: hasTeams, IsRemoved: hadTeams})
	}
	changes = append(changes, compareElements(SectionTeams, teamValues(before), teamValues(after))...)
	changes = append(changes, compareKeys(before, after)...)
	return append(changes, compareValues(SectionLimits, "", limitValues(before), limitValues(after))...)
}

// compareElements compares the elements of a section by name.
func compareElements(section Section, before, after map[string][]value) []Change {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, wasThere := before[name]
		values, isThere := after[name]
		if wasThere && isThere {
			changes = append(changes, compareValues(section, name, old, values)...)
			continue
		}
		changes = append(changes, Change{Section: section, Name: name, IsAdded: isThere, IsRemoved: wasThere})
	}
	return changes
}

// compareValues compares the same fields of two elements.
func compareValues(section Section, name string, before, after []value) []Change {
	var changes []Change
	for i, v := range after {
		if before[i].text != v.text {
			changes = append(changes, Change{Section: section, Name: name, Field: v.field, Before: before[i].text, After: v.text})
		}
	}
	return changes
}

func queueValues(c *Config) map[string][]value {
	elements := map[string][]value{}
	for _, q := range c.Queues {
		elements[string(q.Name)] = []value{
			{FieldHost, q.Host}, {FieldPrefix, q.PathPrefix}, {FieldPool, string(q.Pool)}, {FieldTimeout, q.ResponseTimeout.String()},
			{FieldAllowance, q.LatencyAllowance.String()}, {FieldStretch, fmt.Sprint(q.MaxStretch)}, {FieldPriority, strconv.Itoa(q.Priority)},
			{FieldAttempts, strconv.Itoa(q.MaxAttempts)}, {FieldAdvice, strconv.FormatBool(q.NeedsAdvice)}, {FieldPublic, strconv.FormatBool(q.Public)},
		}
	}
	return elements
}

func poolValues(c *Config) map[string][]value {
	elements := map[string][]value{}
	for _, p := range c.Pools {
		elements[string(p.Name)] = []value{{FieldEnforces, strconv.FormatBool(p.EnforcesCapacity)}, {FieldSpare, strconv.FormatBool(p.Spare)}}
	}
	return elements
}

func teamValues(c *Config) map[string][]value {
	elements := map[string][]value{}
	for _, t := range c.Teams {
		maximum := fmt.Sprintf("%d thousandths of a core, %d MB, %d accelerators", t.Maximum.CPU, t.Maximum.Memory, t.Maximum.GPU)
		elements[string(t.Name)] = []value{{FieldWeight, fmt.Sprint(t.Weight)}, {FieldMaximum, maximum}}
	}
	return elements
}

func limitValues(c *Config) []value {
	return []value{{FieldBody, strconv.FormatInt(c.MaxBodyBytes, 10)}, {FieldHeaderTimeout, c.HeaderTimeout.String()}, {FieldIdleTimeout, c.IdleTimeout.String()}}
}

// compareKeys compares the keys of the teams that are in both configurations, by their digests, and says how many were added
// and removed.
func compareKeys(before, after *Config) []Change {
	earlier := map[team.Name][]queue.KeyDigest{}
	for _, t := range before.Teams {
		earlier[t.Name] = t.Keys
	}
	var changes []Change
	for _, t := range after.Teams {
		keys, wasThere := earlier[t.Name]
		if !wasThere {
			continue
		}
		added, removed := countMissing(t.Keys, keys), countMissing(keys, t.Keys)
		if added+removed > 0 {
			changes = append(changes, Change{Section: SectionTeams, Name: string(t.Name), Field: FieldKeys, Before: fmt.Sprintf("%d keys", len(keys)), After: fmt.Sprintf("%d keys: %d added, %d removed", len(t.Keys), added, removed)})
		}
	}
	return changes
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []queue.KeyDigest) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}
