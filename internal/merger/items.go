// Package merger parses the operators' folder of YAML files, merges the files in the order of their names
// and checks the whole. It owns no state: a Revision is an immutable value. It does not use the platform, so that an
// unavailable store makes no difference to it.
package merger

import (
	"time"
)

// OpenOrganisation is the organisation that requests of open routes without a key are counted for.
const OpenOrganisation = "open"

// Organisation is a tenant with its limit.
type Organisation struct {
	Name string `yaml:"Name"`
	// Rate is in tokens a second, counted fleet-wide; > 0.
	Rate float64 `yaml:"Rate"`
	// Burst is in tokens; > 0.
	Burst float64 `yaml:"Burst"`
	// Weight is the organisation's share in the fair queues; > 0, 1 when not given.
	Weight float64 `yaml:"Weight"`
}

// Key is a caller's key, of which only the digest is kept.
type Key struct {
	// ID names the key for operators, unique over all organisations.
	ID           string `yaml:"Id" json:"Id"`
	Organisation string `yaml:"Organisation"`
	// Digest is the SHA-256 of the secret in hexadecimal.
	Digest string `yaml:"Digest"`
}

// Adapter is one adapter with its versions.
type Adapter struct {
	Name      string           `yaml:"Name"`
	BaseModel string           `yaml:"BaseModel"`
	Versions  []AdapterVersion `yaml:"Versions"`
}

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Version string `yaml:"Version"`
	// Path is where the weight store keeps it.
	Path string `yaml:"Path"`
}

// Route ties a caller's name for a model or service to what answers it.
// Exactly one of Targets and Service is set.
type Route struct {
	Name string `yaml:"Name"`
	// Organisations may use the route; empty only when Open.
	Organisations []string `yaml:"Organisations" json:",omitempty"`
	Open          bool     `yaml:"Open" json:",omitempty"`
	// Targets are the adapter versions that answer, split by weight.
	Targets []Target `yaml:"Targets" json:",omitempty"`
	// Service names the plain service that answers.
	Service string `yaml:"Service" json:",omitempty"`
	// Calls say which calls of a service may be repeated; the first match decides.
	// A call that none matches is repeatable only for GET and HEAD. Model routes are repeatable.
	Calls []Call `yaml:"Calls" json:",omitempty"`
	// Deadline bounds a whole request; 2 m when not given, at most 10 m.
	Deadline time.Duration `yaml:"Deadline" json:"DeadlineNs,omitempty"`
	// Priority is given to the engine; smaller is earlier; 0 when not given, -10 to 10.
	Priority int `yaml:"Priority" json:",omitempty"`
}

// Target is one adapter version with its share of a route's requests.
type Target struct {
	Adapter string `yaml:"Adapter"`
	Version string `yaml:"Version"`
	// Weight is relative to the other targets; 1 when not given.
	Weight float64 `yaml:"Weight"`
}

// Call matches calls of a service by method and path.
type Call struct {
	// Method is "*" for all.
	Method string `yaml:"Method"`
	// Path is matched from its start; it ends with "*" to match all below, as in "/bookings/*".
	Path       string `yaml:"Path"`
	Repeatable bool   `yaml:"Repeatable"`
}

// Objective is a service-level objective of one organisation, or of all when Organisation is empty.
type Objective struct {
	Name         string `yaml:"Name"`
	Organisation string `yaml:"Organisation"`
	// Indicator is FirstToken, BetweenTokens, WrongfulRefusals or Availability.
	Indicator string `yaml:"Indicator"`
	// Threshold applies to FirstToken and BetweenTokens.
	Threshold time.Duration `yaml:"Threshold" json:"ThresholdNs,omitempty"`
	// Target is the share of good events, as in 0.95; between 0 and 1.
	Target float64 `yaml:"Target"`
}

// Repeatable says whether a call of the route may be run more than once.
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
