package forwarder

import (
	"time"

	"geraniumladder/internal/registrar"
)

// supersessionTime is how long an endpoint counts as superseded after the last sign of a later incarnation at its address.
// Registrations that aren't renewed lapse within it, so that one which is still listed then belongs to a live endpoint.
const supersessionTime = 5 * time.Second

// supersession is what shows that a later incarnation has the address of an endpoint, whose registration may still exist.
type supersession struct {
	isSuperseded bool
	// laterSeenAt is the time of the last sign of the later incarnation: its registration or its sidecar's report.
	laterSeenAt time.Time
}

// supersede records a sign of a later incarnation at the endpoint's address, and reports whether it is the first.
func (f *fleet) supersede(e *endpoint) bool {
	e.laterSeenAt = f.now()
	if e.isSuperseded {
		return false
	}
	e.isSuperseded = true
	f.markEnded(e)
	e.notifyChanged()
	return true
}

// restoreSuperseded takes endpoints back into use whose addresses no later incarnation has any more, and returns their IDs.
// Another program, or a clock that was set back, may have registered a later start than the endpoint's own.
func (f *fleet) restoreSuperseded() (restored []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byIncarnation {
		switch {
		case !e.isSuperseded:
		case f.byAddress[e.Address] != e:
			e.laterSeenAt = f.now()
		case f.now().Sub(e.laterSeenAt) > supersessionTime:
			e.isSuperseded, e.hasEnded = false, false
			e.notifyChanged()
			restored = append(restored, e.ID)
		}
	}
	return restored
}

// SetEndpoints replaces the list of endpoints.
func (f *Forwarder) SetEndpoints(list []registrar.Endpoint) {
	for _, id := range f.fleet.setEndpoints(list, f.configuration.Load()) {
		f.logSuperseded(id)
	}
}

func (f *Forwarder) logSuperseded(endpoint string) {
	f.config.Log.Info().Str("Endpoint", endpoint).Msg("forwarder: endpoint superseded by a newer incarnation at its address")
}

func (f *Forwarder) restoreSuperseded() {
	for _, id := range f.fleet.restoreSuperseded() {
		f.config.Log.Info().Str("Endpoint", id).Msg("forwarder: endpoint in use again, no newer incarnation has its address")
	}
}
