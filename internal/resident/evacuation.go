package resident

import (
	"maps"
	"slices"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// evacuation is what the operators' table says of evacuated failure domains at one position. It is immutable.
type evacuation struct {
	at      registrar.Position
	domains map[string]bool
}

func (v *evacuation) isEvacuated(domain string) bool { return v != nil && v.domains[domain] }

// count returns the number of evacuated domains.
func (v *evacuation) count() int {
	if v == nil {
		return 0
	}
	return len(v.domains)
}

// setEvacuation applies the evacuated failure domains, and tells all sidecars at once if they have changed.
func (e *Entry) setEvacuation(v evacuation) {
	e.forwarder.SetEvacuated(v.domains)
	previous := e.evacuation.Load()
	if previous == nil && len(v.domains) == 0 {
		// Processes that know of no evacuation so far need no statement.
		return
	}
	e.evacuation.Store(&v)
	if previous == nil || !maps.Equal(previous.domains, v.domains) {
		e.sendSteadyDemands(e.forwarder.Demands(""))
	}
}

// encode returns the statement for the sidecars. They read the operators' table too seldom to learn of an evacuation in
// time, and not at all during an outage of the store.
func (v *evacuation) encode() *wire.Evacuation {
	return &wire.Evacuation{Era: v.at.Era, Version: v.at.Version, Domains: slices.AppendSeq([]string{}, maps.Keys(v.domains))}
}

// handleEvacuation applies an entry's statement.
func (s *Sidecar) handleEvacuation(w *wire.Evacuation) {
	if w == nil {
		return
	}
	v := evacuation{at: registrar.Position{Era: w.Era, Version: w.Version}, domains: map[string]bool{}}
	for _, domain := range w.Domains {
		v.domains[domain] = true
	}
	s.setEvacuation(&v)
}

// setEvacuation replaces what this sidecar knows of evacuations by what the operators' table says at a later position. An
// entry that is cut off from the store may go on stating an earlier one.
func (s *Sidecar) setEvacuation(v *evacuation) {
	for {
		previous := s.evacuation.Load()
		if previous != nil && previous.at.Compare(v.at) >= 0 {
			return
		}
		if !s.evacuation.CompareAndSwap(previous, v) {
			continue
		}
		if is := v.isEvacuated(s.config.Domain); is != previous.isEvacuated(s.config.Domain) {
			s.log.Warn().Str("Domain", s.config.Domain).Bool("IsEvacuated", is).Int64("StoreVersion", v.at.Version).
				Msg("sidecar: evacuation of the own failure domain changed; no orders are sent while it lasts")
		}
		return
	}
}
