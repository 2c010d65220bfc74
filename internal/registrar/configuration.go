// Package registrar holds what a process believes about the deployment: the configuration in force, the endpoints, the
// declared adapter versions and the other entries. It owns these as immutable values, which only its followers replace.
// When the platform's store is away, the last values stay, and newer ones are taken from peers that have them.
package registrar

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"geraniumladder/pkg/placer"
)

// Kind says what may be repeated of a route's requests.
type Kind int

const (
	// Once requests run at most once.
	Once Kind = iota + 1
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered by a series of events; they run at most once unless the route is resumable.
	Stream
)

// String names the kind for logs.
func (k Kind) String() string {
	switch k {
	case Once:
		return "once"
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is one of the services that a route's requests go to.
type Target struct {
	Service string
	// Weight is positive.
	Weight float64
}

// Route ties a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the response-time objective: to the first event of a stream, else to the end of the answer.
	Objective time.Duration
	// Priority is the rank, 0 being served first.
	Priority int
	// Targets has at least one element.
	Targets []Target
	// Attempts is the number of endpoints that one request may be sent to; at least 1.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another endpoint after the last event that arrived.
	Resumable bool
}

// IsIdempotent says whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Choose returns the service for the request. Requests with the same ID choose the same service.
func (r *Route) Choose(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	h := fnv.New64a()
	h.Write([]byte(requestID))
	at := float64(placer.Mix(h.Sum64())>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// HealthPath is where an endpoint answers health checks.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts from all processes together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the number of requests that one engine runs at once.
	Batch int
	// CacheTokens is the KV cache memory of one engine, in tokens.
	CacheTokens float64
	// AdapterSlots is the number of adapters that one engine holds at once, those on their way included.
	AdapterSlots int
	// MemoryMB is the memory of one engine for weights and adapters.
	MemoryMB float64
	// LoadsPerSecond is the number of models that the weight store delivers to all engines together.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a base model with its adapters.
type Model struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration
	AdapterMB float64
}

// Organisation issues requests and is held to a rate.
type Organisation struct {
	Name string
	// Priority goes before the route's; nil when the organisation has none.
	Priority *int
	// Rate and Burst are in tokens, or in requests where CountsTokens is false. No limit applies when Rate is 0.
	Rate, Burst  float64
	CountsTokens bool
	// PlainTokens is what a request without a token count costs.
	PlainTokens float64
}

// Limits bound what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// ConfigurationParts are the parts of a Configuration.
type ConfigurationParts struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys maps each caller's key to the name of its organisation.
	Keys   map[string]string
	Limits Limits
}

// Configuration is one version of the operators' configuration. It is immutable.
type Configuration struct {
	version       int64
	hosts         map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
	keys          map[string]*Organisation
	limits        Limits
}

// NewConfiguration indexes the parts, which must not be changed afterwards.
func NewConfiguration(parts ConfigurationParts) *Configuration {
	c := &Configuration{
		version: parts.Version, hosts: map[string][]*Route{}, services: map[string]*Service{},
		organisations: map[string]*Organisation{}, keys: map[string]*Organisation{}, limits: parts.Limits,
	}
	for i := range parts.Routes {
		r := &parts.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range parts.Services {
		c.services[parts.Services[i].Name] = &parts.Services[i]
	}
	for i := range parts.Organisations {
		c.organisations[parts.Organisations[i].Name] = &parts.Organisations[i]
	}
	for key, name := range parts.Keys {
		if o := c.organisations[name]; o != nil {
			c.keys[key] = o
		}
	}
	return c
}

// Version rises with each configuration.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns the bounds on callers.
func (c *Configuration) Limits() Limits { return c.limits }

// Service returns the service, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Organisations returns the organisations by name. The map must not be changed.
func (c *Configuration) Organisations() map[string]*Organisation { return c.organisations }

// Owner returns the organisation that holds the key, or nil.
func (c *Configuration) Owner(key string) *Organisation { return c.keys[key] }

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := c.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = c.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
