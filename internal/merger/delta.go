package merger

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta is the difference between two neighbouring revisions. Its JSON form is kept in the table service.
type Delta struct {
	Organisations Changes[Organisation] `json:",omitzero"`
	Keys          Changes[Key]          `json:",omitzero"`
	Adapters      Changes[Adapter]      `json:",omitzero"`
	Routes        Changes[Route]        `json:",omitzero"`
	Objectives    Changes[Objective]    `json:",omitzero"`
}

// Changes are the differences of one kind of item.
type Changes[T any] struct {
	// Set holds the new and the changed items, each one whole.
	Set map[string]T `json:",omitempty"`
	// Removed is sorted.
	Removed []string `json:",omitempty"`
}

// NumberedDelta is the step from revision Number-1 to revision Number.
type NumberedDelta struct {
	Number int64
	Delta  Delta
}

// Diff returns the delta that makes b of a.
func Diff(a, b Items) Delta {
	return Delta{
		Organisations: diffMaps(a.Organisations, b.Organisations),
		Keys:          diffMaps(a.Keys, b.Keys),
		Adapters:      diffMaps(a.Adapters, b.Adapters),
		Routes:        diffMaps(a.Routes, b.Routes),
		Objectives:    diffMaps(a.Objectives, b.Objectives),
	}
}

func diffMaps[T any](a, b map[string]T) Changes[T] {
	var c Changes[T]
	for name, item := range b {
		if old, ok := a[name]; ok && reflect.DeepEqual(old, item) {
			continue
		}
		if c.Set == nil {
			c.Set = map[string]T{}
		}
		c.Set[name] = item
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	slices.Sort(c.Removed)
	return c
}

// Empty says whether nothing changed.
func (c Changes[T]) Empty() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }

// Empty says whether nothing changed.
func (d Delta) Empty() bool {
	return d.Organisations.Empty() && d.Keys.Empty() && d.Adapters.Empty() && d.Routes.Empty() && d.Objectives.Empty()
}

// Apply returns the items after the delta; items itself is unchanged. Maps without a change are shared with items.
// A removed item that items lacks is an error, because the delta was then made from other items.
func (d Delta) Apply(items Items) (Items, error) {
	var err error
	out := Items{
		Organisations: applyChanges("Organisations", items.Organisations, d.Organisations, &err),
		Keys:          applyChanges("Keys", items.Keys, d.Keys, &err),
		Adapters:      applyChanges("Adapters", items.Adapters, d.Adapters, &err),
		Routes:        applyChanges("Routes", items.Routes, d.Routes, &err),
		Objectives:    applyChanges("Objectives", items.Objectives, d.Objectives, &err),
	}
	return out, err
}

func applyChanges[T any](kind string, old map[string]T, c Changes[T], err *error) map[string]T {
	if c.Empty() {
		return old
	}
	out := maps.Clone(old)
	if out == nil {
		out = make(map[string]T, len(c.Set))
	}
	for _, name := range c.Removed {
		if _, ok := out[name]; !ok {
			*err = errors.CombineErrors(*err, errors.Newf("%s: %q is to be removed but absent; load a snapshot", kind, name))
		}
		delete(out, name)
	}
	maps.Copy(out, c.Set)
	return out
}
