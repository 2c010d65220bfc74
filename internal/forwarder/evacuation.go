package forwarder

import (
	"maps"
	"slices"
	"time"
)

// evacuatedRetryAfter is the Retry-After value when all endpoints that remain are in evacuated failure domains. Operators
// end an evacuation after minutes, so callers should not return as fast as to a full endpoint.
const evacuatedRetryAfter = time.Second

// SetEvacuated replaces the set of evacuated failure domains. Once it has returned, no request is sent to an endpoint
// there until the domain is no longer in the set, and no request waits for an adapter there. Requests that have been sent
// end there. The map must not be modified afterwards.
func (f *Forwarder) SetEvacuated(domains map[string]bool) {
	previous := f.fleet.setEvacuated(domains)
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if !previous[domain] {
			f.config.Log.Warn().Str("Domain", domain).Msg("forwarder: failure domain evacuated, its endpoints get no requests")
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(previous)) {
		if !domains[domain] {
			f.config.Log.Info().Str("Domain", domain).Msg("forwarder: evacuation of a failure domain ended")
		}
	}
}

// setEvacuated replaces the set of evacuated failure domains, wakes the requests that wait for an adapter in one, and
// returns the previous set.
func (f *fleet) setEvacuated(domains map[string]bool) (previous map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous, f.evacuated = f.evacuated, domains
	for _, e := range f.byIncarnation {
		if domains[e.Domain] && !previous[e.Domain] {
			e.notifyChanged()
		}
	}
	return previous
}
