package merger

import (
	"maps"
	"slices"
	"strings"
)

// Revision is one accepted configuration. It is immutable: With methods return a new one.
// Reads are safe from several goroutines.
type Revision struct {
	number int64
	items  Items
	// keysByDigest indexes items.Keys by digest.
	keysByDigest map[string]Key
}

// Items are the configured things by name; keys by ID.
type Items struct {
	Organisations map[string]Organisation
	Keys          map[string]Key
	Adapters      map[string]Adapter
	Routes        map[string]Route
	Objectives    map[string]Objective
}

// NewRevision returns a revision with the given number and items, which must not be changed afterwards.
func NewRevision(number int64, items Items) Revision {
	byDigest := make(map[string]Key, len(items.Keys))
	for _, k := range items.Keys {
		byDigest[k.Digest] = k
	}
	return Revision{number: number, items: items, keysByDigest: byDigest}
}

// Number returns the revision's number; 0 is the empty revision before the first.
func (r Revision) Number() int64 { return r.number }

// Items returns copies of the maps of items.
func (r Revision) Items() Items {
	return Items{
		Organisations: maps.Clone(r.items.Organisations),
		Keys:          maps.Clone(r.items.Keys),
		Adapters:      maps.Clone(r.items.Adapters),
		Routes:        maps.Clone(r.items.Routes),
		Objectives:    maps.Clone(r.items.Objectives),
	}
}

// KeyByDigest finds a key by the hexadecimal SHA-256 of its secret.
func (r Revision) KeyByDigest(digest string) (Key, bool) {
	k, ok := r.keysByDigest[digest]
	return k, ok
}

// Organisation finds an organisation by name.
func (r Revision) Organisation(name string) (Organisation, bool) {
	o, ok := r.items.Organisations[name]
	return o, ok
}

// Adapter finds an adapter by name.
func (r Revision) Adapter(name string) (Adapter, bool) {
	a, ok := r.items.Adapters[name]
	return a, ok
}

// Route finds a route by name.
func (r Revision) Route(name string) (Route, bool) {
	route, ok := r.items.Routes[name]
	return route, ok
}

// Allows says whether organisation may use the route.
func (r Route) Allows(organisation string) bool {
	if r.Open {
		return true
	}
	for _, o := range r.Organisations {
		if o == organisation {
			return true
		}
	}
	return false
}

// RoutesOf returns the routes that an organisation may use, sorted by name.
func (r Revision) RoutesOf(organisation string) []Route {
	var routes []Route
	for _, route := range r.items.Routes {
		if route.Allows(organisation) {
			routes = append(routes, route)
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	return routes
}
