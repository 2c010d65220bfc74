package merger

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// Delta is the difference between two consecutive revisions. It is stored as JSON in the table service.
type Delta struct {
	Organisations Changes[Organisation] `json:",omitzero"`
	Keys          Changes[Key]          `json:",omitzero"`
	Adapters      Changes[Adapter]      `json:",omitzero"`
	Routes        Changes[Route]        `json:",omitzero"`
	Objectives    Changes[Objective]    `json:",omitzero"`
	Evacuations   Changes[Evacuation]   `json:",omitzero"`
}

// Changes are the differences of one kind of item.
type Changes[T any] struct {
	// Set holds the new and the changed items in full.
	Set map[string]T `json:",omitempty"`
	// Removed holds the names of the removed items, sorted.
	Removed []string `json:",omitempty"`
}

// NumberedDelta is the delta that leads to revision Number.
type NumberedDelta struct {
	Number int64
	// Skipped is the count of numbers between the revision to which the delta applies and this one. They belong to revisions
	// that a restore of the table has taken back.
	Skipped int64 `json:",omitempty"`
	Delta   Delta
}

// Base returns the number of the revision to which the delta applies.
func (d NumberedDelta) Base() int64 { return d.Number - 1 - d.Skipped }

// Diff returns the delta from a to b.
func Diff(a, b Items) Delta {
	return Delta{
		Organisations: diffMaps(a.Organisations, b.Organisations),
		Keys:          diffMaps(a.Keys, b.Keys),
		Adapters:      diffMaps(a.Adapters, b.Adapters),
		Routes:        diffMaps(a.Routes, b.Routes),
		Objectives:    diffMaps(a.Objectives, b.Objectives),
		Evacuations:   diffMaps(a.Evacuations, b.Evacuations),
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

// Empty reports whether there are no changes.
func (c Changes[T]) Empty() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }

// Empty reports whether there are no changes.
func (d Delta) Empty() bool {
	return d.Organisations.Empty() && d.Keys.Empty() && d.Adapters.Empty() && d.Routes.Empty() && d.Objectives.Empty() && d.Evacuations.Empty()
}

// Apply returns items with the delta applied. It does not modify items; the result shares the maps without changes.
// Removing an item that does not exist is an error, because the delta was then computed from a different base.
func (d Delta) Apply(items Items) (Items, error) {
	var err error
	out := Items{
		Organisations: applyChanges("Organisations", items.Organisations, d.Organisations, &err),
		Keys:          applyChanges("Keys", items.Keys, d.Keys, &err),
		Adapters:      applyChanges("Adapters", items.Adapters, d.Adapters, &err),
		Routes:        applyChanges("Routes", items.Routes, d.Routes, &err),
		Objectives:    applyChanges("Objectives", items.Objectives, d.Objectives, &err),
		Evacuations:   applyChanges("Evacuations", items.Evacuations, d.Evacuations, &err),
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
			*err = errors.CombineErrors(*err, errors.Newf("%s: the delta removes %q, which does not exist; load a snapshot", kind, name))
		}
		delete(out, name)
	}
	maps.Copy(out, c.Set)
	return out
}
