// Package registrar keeps a process's local copy of the deployment data: the active configuration, the endpoints and the
// declared adapter versions. They are immutable values, which only the package's followers replace. While the platform's
// store is unavailable the last values stay in use, and newer copies are accepted from peers.
package registrar

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"geraniumladder/pkg/placer"
)

// Kind says whether a route's requests may be repeated and whether they are answered by a stream.
type Kind int

const (
	// Once requests are executed at most once.
	Once Kind = iota + 1
	// Repeatable requests may be executed more than once.
	Repeatable
	// Stream requests are answered by a stream of events; they are executed at most once unless the route is resumable.
	Stream
)

// String returns the name of the kind for logs.
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

// Target is one of the services among which a route's requests are split.
type Target struct {
	Service string
	// Weight determines the service's share of the requests. It is positive.
	Weight float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout time.Duration
	// Objective is the response-time objective: to the first event of a stream, or else to the end of the response.
	Objective time.Duration
	// MaxPause is the objective for the time between two events of a stream; 0 without one.
	MaxPause time.Duration
	// Priority is the scheduling priority; 0 is served first.
	Priority int
	// Targets has at least one element.
	Targets []Target
	// Attempts is the maximum number of endpoints to which a request is sent; at least 1.
	Attempts int
	// Open routes require no API key.
	Open bool
	// Resumable streams may continue at another endpoint after the last event received.
	Resumable bool
	// Homes are the regions in which requests may be served; all if empty.
	Homes []string
}

// IsIdempotent reports whether a request of the route may be executed more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// ChooseService returns the service for the request by weighted hashing, so the same request ID always gets the same
// service.
func (r *Route) ChooseService(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	h := fnv.New64a()
	h.Write([]byte(requestID))
	point := float64(placer.Mix64(h.Sum64())>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts from all processes together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdStart is how long an endpoint is cold after its start, and ColdPerSecond the number of requests a second that a
	// cold one takes from all entries together. Without a bound they are 0.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Batch is the number of requests that one engine processes concurrently.
	Batch int
	// CacheTokens is the size of one engine's KV cache, in tokens.
	CacheTokens float64
	// AdapterSlots is the number of adapters that one engine can hold, including those that are loading.
	AdapterSlots int
	// MemoryMB is the memory of one engine for weights and adapters.
	MemoryMB float64
	// LoadsPerSecond is the rate at which the weight store can deliver models to all engines together.
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

// Organisation is a customer whose requests are rate-limited together.
type Organisation struct {
	Name string
	// Priority takes precedence over the route's; nil when the organisation has none.
	Priority *int
	// Rate is per second. Rate and Burst are in tokens, or in requests if CountsTokens is false. A Rate of 0 means no
	// limit.
	Rate, Burst  float64
	CountsTokens bool
	// PlainTokens is the cost in tokens of a request without a token count.
	PlainTokens float64
	// Homes are the regions in which requests may be served; all if empty. They apply beside those of the route.
	Homes []string
}

// Operators is the content of the operators' table: the configuration and the orders beside it.
type Operators struct {
	// Configuration is nil if the table has no valid one.
	Configuration *Configuration
	// Versions are the declared adapter versions.
	Versions map[AdapterKey]int64
	// Evacuated is the set of failure domains whose endpoints get no requests.
	Evacuated map[string]bool
}

// Limits are the bounds on the size of callers' requests, on the time to receive headers and on idle connections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// ConfigurationParts is the input of NewConfiguration.
type ConfigurationParts struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys maps each API key to the name of its organisation.
	Keys   map[string]string
	Limits Limits
}

// Configuration is one version of the operators' configuration, indexed for look-ups. It is immutable.
type Configuration struct {
	version       int64
	hosts         map[string][]*Route
	services      map[string]*Service
	organisations map[string]*Organisation
	keys          map[string]*Organisation
	limits        Limits
	// maxPauses holds the shortest MaxPause of the routes to each service.
	maxPauses map[string]time.Duration
}

// NewConfiguration indexes the parts, which must not be modified afterwards. Keys of unknown organisations are ignored.
func NewConfiguration(parts ConfigurationParts) *Configuration {
	c := &Configuration{
		version: parts.Version, hosts: map[string][]*Route{}, services: map[string]*Service{},
		organisations: map[string]*Organisation{}, keys: map[string]*Organisation{}, limits: parts.Limits,
		maxPauses: map[string]time.Duration{},
	}
	for i := range parts.Routes {
		r := &parts.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
		for _, t := range r.Targets {
			if p, ok := c.maxPauses[t.Service]; r.MaxPause > 0 && (!ok || r.MaxPause < p) {
				c.maxPauses[t.Service] = r.MaxPause
			}
		}
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

// Version returns the version, which increases with each configuration.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns the bounds on callers' requests.
func (c *Configuration) Limits() Limits { return c.limits }

// Service returns the service, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// MaxPause returns the strictest objective for pauses of the streams at a service; 0 without one.
func (c *Configuration) MaxPause(service string) time.Duration { return c.maxPauses[service] }

// Organisations returns the organisations by name. The map must not be modified.
func (c *Configuration) Organisations() map[string]*Organisation { return c.organisations }

// OrganisationForKey returns the organisation to which the API key belongs, or nil.
func (c *Configuration) OrganisationForKey(key string) *Organisation { return c.keys[key] }

// Route returns the host's route with the longest prefix of the path, or nil. Without routes for the host including its
// port, those for the host without the port apply.
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
