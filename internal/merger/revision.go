package merger

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Revision is one accepted configuration. It is immutable, so it is safe for concurrent use; WithDelta returns a new
// one.
type Revision struct {
	number int64
	items  Items
	// keysByDigest indexes items.Keys by digest.
	keysByDigest map[string]Key
}

// Items holds the items of a configuration by name, keys by ID and evacuations by failure domain.
type Items struct {
	Organisations map[string]Organisation `json:",omitempty"`
	Keys          map[string]Key          `json:",omitempty"`
	Adapters      map[string]Adapter      `json:",omitempty"`
	Routes        map[string]Route        `json:",omitempty"`
	Objectives    map[string]Objective    `json:",omitempty"`
	Evacuations   map[string]Evacuation   `json:",omitempty"`
}

// NewRevision returns a revision with the given number and items. The caller must not modify items afterwards.
func NewRevision(number int64, items Items) Revision {
	return Revision{number: number, items: items, keysByDigest: indexKeys(items.Keys)}
}

func indexKeys(keys map[string]Key) map[string]Key {
	byDigest := make(map[string]Key, len(keys))
	for _, k := range keys {
		byDigest[k.Digest] = k
	}
	return byDigest
}

// WithDelta applies a delta to r and returns the resulting revision. The delta's base must be r. Only maps with changes are
// copied; BenchmarkWith measures the cost.
func (r Revision) WithDelta(d NumberedDelta) (Revision, error) {
	if d.Base() != r.number {
		return r, errors.Newf("delta %d does not follow revision %d; fetch the deltas from %d on", d.Number, r.number, r.number+1)
	}
	items, err := d.Delta.Apply(r.items)
	if err != nil {
		return r, errors.Wrapf(err, "delta %d", d.Number)
	}
	next := Revision{number: d.Number, items: items, keysByDigest: r.keysByDigest}
	if !d.Delta.Keys.Empty() || r.keysByDigest == nil {
		next.keysByDigest = indexKeys(items.Keys)
	}
	return next, nil
}

// Organisations iterates over the organisations in unspecified order, without copying the map.
func (r Revision) Organisations() iter.Seq[Organisation] { return maps.Values(r.items.Organisations) }

// Objectives iterates over the objectives in unspecified order, without copying the map.
func (r Revision) Objectives() iter.Seq[Objective] { return maps.Values(r.items.Objectives) }

// Routes iterates over the routes in unspecified order, without copying the map.
func (r Revision) Routes() iter.Seq[Route] { return maps.Values(r.items.Routes) }

// Adapters iterates over the adapters in unspecified order, without copying the map.
func (r Revision) Adapters() iter.Seq[Adapter] { return maps.Values(r.items.Adapters) }

// EvacuatedDomains returns the failure domains whose endpoints get no requests, sorted.
func (r Revision) EvacuatedDomains() []string {
	return slices.Sorted(maps.Keys(r.items.Evacuations))
}

// Number returns the revision's number; 0 is the empty revision that precedes the first.
func (r Revision) Number() int64 { return r.number }

// Items returns shallow copies of the maps of items.
func (r Revision) Items() Items {
	return Items{
		Organisations: maps.Clone(r.items.Organisations),
		Keys:          maps.Clone(r.items.Keys),
		Adapters:      maps.Clone(r.items.Adapters),
		Routes:        maps.Clone(r.items.Routes),
		Objectives:    maps.Clone(r.items.Objectives),
		Evacuations:   maps.Clone(r.items.Evacuations),
	}
}

// KeyByDigest returns the key whose secret has this SHA-256, in hexadecimal.
func (r Revision) KeyByDigest(digest string) (Key, bool) {
	k, ok := r.keysByDigest[digest]
	return k, ok
}

// Organisation returns the organisation with this name.
func (r Revision) Organisation(name string) (Organisation, bool) {
	o, ok := r.items.Organisations[name]
	return o, ok
}

// Adapter returns the adapter with this name.
func (r Revision) Adapter(name string) (Adapter, bool) {
	a, ok := r.items.Adapters[name]
	return a, ok
}

// Route returns the route with this name.
func (r Revision) Route(name string) (Route, bool) {
	route, ok := r.items.Routes[name]
	return route, ok
}

// Allows reports whether organisation may use the route.
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
