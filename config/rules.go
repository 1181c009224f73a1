package config

import (
	"fmt"
	"strconv"
	"strings"

	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/pool"
)

// reservedPrefix is the prefix of the request paths that entries serve themselves.
const reservedPrefix = "/-/"

func newFinding(pointer, reason string, related ...string) finding {
	return finding{Fault: document.Fault{Pointer: pointer, Reason: reason}, related: related}
}

// checkNames returns a finding for each pool and team whose name does not match namePattern.
func checkNames(s *Settings) []finding {
	var found []finding
	for name := range s.Pools {
		found = append(found, checkName("/pools", string(name))...)
	}
	for name := range s.Teams {
		found = append(found, checkName("/teams", string(name))...)
	}
	return found
}

// checkRules checks the rules that the schema cannot express, such as relations between values.
func checkRules(s *Settings) []finding {
	var found []finding
	for name, spec := range s.Pools {
		found = append(found, checkPool(document.ChildPointer("/pools", string(name)), spec)...)
	}
	found = append(found, checkRoutes(s)...)
	return append(found, checkMaintenance(s.Maintenance)...)
}

func checkName(parent, name string) []finding {
	if nameExpression.MatchString(name) {
		return nil
	}
	return []finding{newFinding(document.ChildPointer(parent, name), "name must match "+namePattern)}
}

func checkPool(pointer string, spec pool.Spec) []finding {
	var found []finding
	requireAtMostSize := func(field string, budget, size int) {
		if budget > size {
			found = append(found, newFinding(pointer+"/budget/"+field, fmt.Sprintf("is %d, must be at most the size, %d", budget, size), pointer+"/size/"+field))
		}
	}
	requireAtMostSize("targets", spec.Budget.Targets, spec.Size.Targets)
	requireAtMostSize("workers", spec.Budget.Workers, spec.Size.Workers)
	if spec.MaxConnections < spec.Slots {
		found = append(found, newFinding(pointer+"/connections", fmt.Sprintf("is %d, must be at least the slots, %d: each request in flight uses a connection", spec.MaxConnections, spec.Slots), pointer+"/slots"))
	}
	return found
}

func checkRoutes(s *Settings) []finding {
	var found []finding
	indexOf := map[string]int{}
	for i, route := range s.Routes {
		pointer := "/routes/" + strconv.Itoa(i)
		if _, known := s.Pools[route.Pool]; !known {
			found = append(found, newFinding(pointer+"/pool", fmt.Sprintf("is %q, which is no pool of the site", string(route.Pool)), document.ChildPointer("/pools", string(route.Pool))))
		}
		if strings.HasPrefix(route.Prefix+"/", reservedPrefix) {
			found = append(found, newFinding(pointer+"/prefix", fmt.Sprintf("is %q, but entries serve the paths under %s themselves", route.Prefix, reservedPrefix)))
		}
		if first, repeated := indexOf[route.Prefix]; repeated {
			found = append(found, newFinding(pointer+"/prefix", fmt.Sprintf("is %q, as in /routes/%d", route.Prefix, first)))
			continue
		}
		indexOf[route.Prefix] = i
	}
	return found
}

// checkMaintenance rejects limits of 0 while maintenance is on, because no drain could ever start.
func checkMaintenance(m Maintenance) []finding {
	if m.PeriodDays == 0 {
		return nil
	}
	var found []finding
	requirePositive := func(field string, value int) {
		if value < 1 {
			found = append(found, newFinding("/maintenance/"+field, "is 0, must be at least 1 while days is not 0", "/maintenance/days"))
		}
	}
	requirePositive("rack", m.MaxPerRack)
	requirePositive("centre", m.MaxPerCentre)
	requirePositive("pause", m.PauseAfterFailures)
	return found
}
