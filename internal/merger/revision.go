package merger

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
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
	Organisations map[string]Organisation `json:",omitempty"`
	Keys          map[string]Key          `json:",omitempty"`
	Adapters      map[string]Adapter      `json:",omitempty"`
	Routes        map[string]Route        `json:",omitempty"`
	Objectives    map[string]Objective    `json:",omitempty"`
}

// NewRevision returns a revision with the given number and items, which must not be changed afterwards.
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

// With returns the revision that delta makes of r. Its number must be the one after r's, because a delta describes
// the step between two neighbouring revisions.
// Only the maps in which something changed are copied; BenchmarkWith measures the cost.
func (r Revision) With(number int64, delta Delta) (Revision, error) {
	if number != r.number+1 {
		return r, errors.Newf("delta %d does not follow revision %d; fetch the deltas from %d on", number, r.number, r.number+1)
	}
	items, err := delta.Apply(r.items)
	if err != nil {
		return r, errors.Wrapf(err, "delta %d", number)
	}
	next := Revision{number: number, items: items, keysByDigest: r.keysByDigest}
	if !delta.Keys.Empty() || r.keysByDigest == nil {
		next.keysByDigest = indexKeys(items.Keys)
	}
	return next, nil
}

// Organisations yields the organisations in no fixed order, without copying them.
func (r Revision) Organisations() iter.Seq[Organisation] { return maps.Values(r.items.Organisations) }

// Objectives yields the objectives in no fixed order, without copying them.
func (r Revision) Objectives() iter.Seq[Objective] { return maps.Values(r.items.Objectives) }

// Routes yields the routes in no fixed order, without copying them.
func (r Revision) Routes() iter.Seq[Route] { return maps.Values(r.items.Routes) }

// Adapters yields the adapters in no fixed order, without copying them.
func (r Revision) Adapters() iter.Seq[Adapter] { return maps.Values(r.items.Adapters) }

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
