package config

import (
	"fmt"
	"strconv"
	"strings"

	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/pool"
)

// reservedPrefix starts the paths that entries serve themselves.
const reservedPrefix = "/-/"

func newFinding(pointer, reason string, related ...string) finding {
	return finding{Fault: document.Fault{Pointer: pointer, Reason: reason}, related: related}
}

// names returns the names that have a wrong form.
func names(s *Settings) []finding {
	var found []finding
	for name := range s.Pools {
		found = append(found, nameRule("/pools", string(name))...)
	}
	for name := range s.Teams {
		found = append(found, nameRule("/teams", string(name))...)
	}
	return found
}

// rules returns what is wrong with settings that match the schema.
func rules(s *Settings) []finding {
	var found []finding
	for name, spec := range s.Pools {
		found = append(found, poolRules(document.ChildPointer("/pools", string(name)), spec)...)
	}
	found = append(found, routeRules(s)...)
	return append(found, maintenanceRules(s.Maintenance)...)
}

func nameRule(parent, name string) []finding {
	if nameExpression.MatchString(name) {
		return nil
	}
	return []finding{newFinding(document.ChildPointer(parent, name), "name must match "+namePattern)}
}

func poolRules(at string, spec pool.Spec) []finding {
	var found []finding
	exceeds := func(field string, budget, size int) {
		if budget > size {
			found = append(found, newFinding(at+"/budget/"+field, fmt.Sprintf("is %d, must be at most the size, %d", budget, size), at+"/size/"+field))
		}
	}
	exceeds("targets", spec.Budget.Targets, spec.Size.Targets)
	exceeds("workers", spec.Budget.Workers, spec.Size.Workers)
	if spec.MaxConnections < spec.Slots {
		found = append(found, newFinding(at+"/connections", fmt.Sprintf("is %d, must be at least the slots, %d: each request in flight uses a connection", spec.MaxConnections, spec.Slots), at+"/slots"))
	}
	return found
}

func routeRules(s *Settings) []finding {
	var found []finding
	seen := map[string]int{}
	for i, route := range s.Routes {
		at := "/routes/" + strconv.Itoa(i)
		if _, known := s.Pools[route.Pool]; !known {
			found = append(found, newFinding(at+"/pool", fmt.Sprintf("is %q, which is no pool of the site", string(route.Pool)), document.ChildPointer("/pools", string(route.Pool))))
		}
		if strings.HasPrefix(route.Prefix+"/", reservedPrefix) {
			found = append(found, newFinding(at+"/prefix", fmt.Sprintf("is %q, but entries serve the paths under %s themselves", route.Prefix, reservedPrefix)))
		}
		if first, repeated := seen[route.Prefix]; repeated {
			found = append(found, newFinding(at+"/prefix", fmt.Sprintf("is %q, as in /routes/%d", route.Prefix, first)))
			continue
		}
		seen[route.Prefix] = i
	}
	return found
}

// maintenanceRules rejects bounds of 0 while maintenance is on, because no drain could ever start.
func maintenanceRules(m Maintenance) []finding {
	if m.PeriodDays == 0 {
		return nil
	}
	var found []finding
	positive := func(field string, value int) {
		if value < 1 {
			found = append(found, newFinding("/maintenance/"+field, "is 0, must be at least 1 while days is not 0", "/maintenance/days"))
		}
	}
	positive("rack", m.MaxPerRack)
	positive("centre", m.MaxPerCentre)
	positive("pause", m.PauseAfterFailures)
	return found
}
