// Package merger parses the YAML files of the configuration folder, merges them in the order of their names and
// validates the result. It holds no state: a Revision is an immutable value. It does not access the platform, so an
// outage of the store does not affect it.
package merger

import (
	"time"
)

// OpenOrganisation is the organisation whose limit applies to requests without a key on open routes.
const OpenOrganisation = "open"

// Organisation is a tenant with its rate limit.
type Organisation struct {
	Name string `yaml:"Name"`
	// Rate is in tokens per second over the whole fleet; > 0.
	Rate float64 `yaml:"Rate"`
	// Burst is in tokens; > 0.
	Burst float64 `yaml:"Burst"`
	// Weight is the organisation's weight in fair queuing; > 0, default 1.
	Weight float64 `yaml:"Weight"`
}

// Key is a caller's API key, of which only the digest is stored.
type Key struct {
	// ID identifies the key to operators; unique across organisations.
	ID           string `yaml:"Id" json:"Id"`
	Organisation string `yaml:"Organisation"`
	// Digest is the SHA-256 of the secret in hexadecimal.
	Digest string `yaml:"Digest"`
}

// Adapter is an adapter of a base model, with its versions.
type Adapter struct {
	Name      string           `yaml:"Name"`
	BaseModel string           `yaml:"BaseModel"`
	Versions  []AdapterVersion `yaml:"Versions"`
}

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Version string `yaml:"Version"`
	// Path is the path in the weight store.
	Path string `yaml:"Path"`
}

// Route maps the model or service name in a request to the adapter versions or the service that handle the request.
// Exactly one of Targets and Service is set.
type Route struct {
	Name string `yaml:"Name"`
	// Organisations lists those that may use the route; empty only if Open is set.
	Organisations []string `yaml:"Organisations" json:",omitempty"`
	Open          bool     `yaml:"Open" json:",omitempty"`
	// Targets are the adapter versions among which requests are split by weight.
	Targets []Target `yaml:"Targets" json:",omitempty"`
	// Service is the name of a service other than a model.
	Service string `yaml:"Service" json:",omitempty"`
	// Calls define which calls of a service are repeatable; the first match applies.
	// A call without a match is repeatable only if it is a GET or HEAD. Calls of model routes are always repeatable.
	Calls []Call `yaml:"Calls" json:",omitempty"`
	// Deadline limits the total time of a request; default 2 m, at most 10 m.
	Deadline time.Duration `yaml:"Deadline" json:"DeadlineNs,omitempty"`
	// Priority is passed to the engine, which runs smaller values first; default 0, range -10 to 10.
	Priority int `yaml:"Priority" json:",omitempty"`
}

// Target is an adapter version with its weight in a route.
type Target struct {
	Adapter string `yaml:"Adapter"`
	Version string `yaml:"Version"`
	// Weight is relative to the other targets; default 1.
	Weight float64 `yaml:"Weight"`
}

// Call matches calls of a service by method and path.
type Call struct {
	// Method is "*" to match all methods.
	Method string `yaml:"Method"`
	// Path is matched exactly, or as a prefix if it ends in "*", such as "/bookings/*".
	Path       string `yaml:"Path"`
	Repeatable bool   `yaml:"Repeatable"`
}

// Objective is a service-level objective for one organisation, or for all if Organisation is empty.
type Objective struct {
	Name         string `yaml:"Name"`
	Organisation string `yaml:"Organisation"`
	// Indicator is FirstToken, BetweenTokens, WrongfulRefusals or Availability.
	Indicator string `yaml:"Indicator"`
	// Threshold applies to FirstToken and BetweenTokens.
	Threshold time.Duration `yaml:"Threshold" json:"ThresholdNs,omitempty"`
	// Target is the required ratio of good events, such as 0.95; above 0 and below 1.
	Target float64 `yaml:"Target"`
}

// Evacuation is the order that endpoints in a failure domain get no requests.
type Evacuation struct {
	Domain string `yaml:"Domain"`
}

// Repeatable reports whether a call of the route may be executed more than once.
func (r Route) Repeatable(method, path string) bool {
	if r.Service == "" {
		return true
	}
	for _, c := range r.Calls {
		if c.matches(method, path) {
			return c.Repeatable
		}
	}
	return method == "GET" || method == "HEAD"
}

func (c Call) matches(method, path string) bool {
	if c.Method != "*" && c.Method != method {
		return false
	}
	if n := len(c.Path); n > 0 && c.Path[n-1] == '*' {
		return len(path) >= n-1 && path[:n-1] == c.Path[:n-1]
	}
	return path == c.Path
}
