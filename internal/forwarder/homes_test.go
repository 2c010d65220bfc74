package forwarder_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
)

// TestRequestsStayInTheirHomeRegions guards against a request or a retry that leaves the regions which its route and its
// organisation name, also to an endpoint whose region is unknown, and against one that is held or rejected without the
// reason when nobody there can serve.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	home, elsewhere, unknown := newEndpoint(t, "home", rejectNotRun), newEndpoint(t, "elsewhere", ok), newEndpoint(t, "unknown", ok)
	f := newFixtureWithConfig(t, func(c *forwarder.Config) { c.Regions = map[string]string{"home": "r1", "elsewhere": "r2"} }, home)
	route := func(prefix, key string, homes ...string) registrar.Route {
		return registrar.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: registrar.Repeatable, Timeout: 20 * time.Second, Attempts: 3, Homes: homes, Open: key == "",
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}
	}
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2, Routes: []registrar.Route{route("/r1/", "k", "r1", "r3"), route("/r2/", "k", "r2"), route("/both/", "k", "r1", "r2"), route("/any/", "")},
		Services: []registrar.Service{{Name: "s"}}, Organisations: []registrar.Organisation{{Name: "o", Homes: []string{"r1"}}},
		Keys: map[string]string{"k": "o"},
	}))
	f.setDomains(home, elsewhere, unknown)
	for path, sends := range map[string]int{"/r1/": 1, "/both/": 1, "/r2/": 0, "/any/": 1} {
		before := home.count()
		got := f.send(t, path, "")
		assert.Equal(t, got.status, 503, path)
		assert.Assert(t, got.header.Get("Retry-After") != "", path)
		assert.Assert(t, strings.Contains(got.body, `"home-regions"`), "%s: %s", path, got.body)
		assert.Equal(t, home.count()-before, sends, path)
	}
	assert.Equal(t, elsewhere.count()+unknown.count(), 0)
	// Without a key, no organisation restricts the regions.
	assert.Equal(t, f.send(t, "/any/", "", "Key", "").status, 200)
}
