package merger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/merger"
)

// Guards against retrying a call that is configured as not repeatable, or that no entry of Calls matches.
func TestRepeatable(t *testing.T) {
	service := merger.Route{Service: "ledger", Calls: []merger.Call{
		{Method: "POST", Path: "/balances", Repeatable: true},
		{Method: "GET", Path: "/drain/*", Repeatable: false},
		{Method: "*", Path: "/orders/*", Repeatable: true},
	}}
	cases := []struct {
		name, method, path string
		route              merger.Route
		want               bool
	}{
		{"model routes are repeatable", "POST", "/v1/completions", merger.Route{}, true},
		{"unclassified POST", "POST", "/bookings", service, false},
		{"unclassified GET", "GET", "/bookings", service, true},
		{"classified POST", "POST", "/balances", service, true},
		{"longer path does not match", "POST", "/balances/1", service, false},
		{"GET classified as not repeatable", "GET", "/drain/7", service, false},
		{"any method", "PUT", "/orders/7", service, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.route.Repeatable(c.method, c.path), c.want)
		})
	}
}
