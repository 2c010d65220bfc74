package merger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Check is like Parse, but also returns warnings if there are no faults: items that are valid and have no effect, and limits
// that contradict each other.
func Check(files []File) (items Items, faults, warnings []Fault) {
	c, items := new(Parser).parse(files)
	if len(c.faults) > 0 {
		return items, c.faults, nil
	}
	w := *c
	w.warnOrganisations()
	for _, p := range w.routes {
		w.warnCalls(p)
	}
	w.warnObjectives()
	sortFaults(w.faults)
	return items, nil, w.faults
}

// warnOrganisations warns of organisations that can make no request and of keys that are good for none.
func (c *checker) warnOrganisations() {
	hasKey, hasRoute, hasOpenRoute := map[string]bool{}, map[string]bool{}, false
	for _, p := range c.keys {
		hasKey[p.item.Organisation] = true
	}
	for _, p := range c.routes {
		hasOpenRoute = hasOpenRoute || p.item.Open
		for _, o := range p.item.Organisations {
			hasRoute[o] = true
		}
	}
	for name, p := range c.organisations {
		switch {
		case name == OpenOrganisation && hasOpenRoute:
		case !hasKey[name]:
			c.addFault(p.location, "Name", fmt.Sprintf("no key belongs to %q, so it can make no requests", name), "issue a key with \"key issue\", or remove it")
		case !hasRoute[name] && !hasOpenRoute:
			c.addFault(p.location, "Name", fmt.Sprintf("no route is open to %q, so its keys are good for nothing", name), "list it in a route's Organisations, or remove it")
		}
	}
}

// warnCalls warns of calls that never match because the first match applies.
func (c *checker) warnCalls(p parsed[Route]) {
	for i, later := range p.item.Calls {
		hidden := slices.IndexFunc(p.item.Calls[:i], func(earlier Call) bool { return earlier.covers(later) })
		if hidden >= 0 {
			c.addFault(p.location, fmt.Sprintf("Calls[%d]", i), fmt.Sprintf("never matches, because Calls[%d] matches first", hidden), "write it before that one, or remove it")
		}
	}
}

// covers reports whether c matches all calls that the other one matches.
func (c Call) covers(other Call) bool {
	if c.Method != "*" && c.Method != other.Method {
		return false
	}
	prefix, isPrefix := strings.CutSuffix(c.Path, "*")
	if isPrefix {
		return strings.HasPrefix(strings.TrimSuffix(other.Path, "*"), prefix)
	}
	return c.Path == other.Path
}

// warnObjectives warns of thresholds that no served request can exceed, and of different targets for the same objective.
func (c *checker) warnObjectives() {
	same := map[Objective]parsed[Objective]{}
	for _, name := range slices.Sorted(maps.Keys(c.objectives)) {
		p := c.objectives[name]
		if deadline := c.longestDeadline(p.item.Organisation); deadline > 0 && p.item.Threshold >= deadline {
			c.addFault(p.location, "Threshold", fmt.Sprintf("%s is not below %s, the longest Deadline of the routes that it applies to", p.item.Threshold, deadline),
				"lower it, or raise a Deadline")
		}
		key := p.item
		key.Name, key.Target = "", 0
		if first, ok := same[key]; ok && first.item.Target != p.item.Target {
			c.addFault(p.location, "Target", fmt.Sprintf("%g contradicts %g in %s:%d for the same Organisation, Indicator and Threshold",
				p.item.Target, first.item.Target, first.location.file, first.location.line), "remove one of the two")
		}
		same[key] = p
	}
}

// longestDeadline returns the longest deadline of the routes that an organisation may use, or of all if the name is empty.
func (c *checker) longestDeadline(organisation string) time.Duration {
	longest := time.Duration(0)
	for _, p := range c.routes {
		if organisation == "" || p.item.Open || slices.Contains(p.item.Organisations, organisation) {
			longest = max(longest, p.item.Deadline)
		}
	}
	return longest
}
