package simulation

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/history"
)

// repeats is how often a plan is carried out before it counts as one that breaks no rule: the order of goroutines that wake up at the
// same time is not quite the same in each run.
const repeats = 4

// Find carries out a plan up to the given number of times, until it breaks the rule, or any rule if that is empty. It returns the last
// history and its violations.
func Find(p Plan, rule history.Rule, times int) ([]history.Event, []history.Violation) {
	var events []history.Event
	for range times {
		events = Run(p, event.Log{})
		violations := history.Check(events, Limits)
		if slices.ContainsFunc(violations, func(v history.Violation) bool { return rule == "" || v.Rule == rule }) {
			return events, violations
		}
	}
	return events, nil
}

// Breaks returns a predicate for Shrink: whether a plan breaks a rule.
func Breaks(rule history.Rule) func(Plan) bool {
	return func(p Plan) bool {
		_, violations := Find(p, rule, repeats)
		return len(violations) > 0
	}
}

// Shrink leaves out steps, first many at once, as long as the plan still does what it is kept for, and then makes what is left smaller.
func Shrink(p Plan, isKept func(Plan) bool) Plan {
	breaks := func(steps []Step) bool { return isKept(Plan{Seed: p.Seed, Steps: steps}) }
	steps := p.Steps
	for size := len(steps) / 2; size >= 1; {
		removed := false
		for i := 0; i+size <= len(steps); {
			if rest := slices.Concat(steps[:i], steps[i+size:]); breaks(rest) {
				steps, removed = rest, true
				continue
			}
			i += size
		}
		if !removed || size > 1 {
			size /= 2
		}
	}
	for i := range steps {
		for _, simpler := range simplerSteps(steps[i]) {
			rest := slices.Clone(steps)
			rest[i] = simpler
			if breaks(rest) {
				steps = rest
				break
			}
		}
	}
	return Plan{Seed: p.Seed, Steps: steps}
}

// simplerSteps returns simpler steps that may do in place of one, the simplest first.
func simplerSteps(s Step) []Step {
	plain, single := s, s
	if s.Action == ActionSubmit || s.Action == ActionCancel {
		plain.Mode = ""
	}
	single.Tasks = min(s.Tasks, 1)
	both := plain
	both.Tasks = single.Tasks
	var list []Step
	for _, c := range []Step{both, plain, single} {
		if c != s && !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}
