package router

import (
	"context"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/merger"
	"geraniumladder/pkg/placer"
)

// setEvacuated applies the failure domains that the revision evacuates. Calls that wait for an adapter load in one end
// their wait; those that have been sent are left alone. The caller holds mu.
func (r *Router) setEvacuated(revision merger.Revision) {
	domains := map[string]bool{}
	for _, domain := range revision.EvacuatedDomains() {
		domains[domain] = true
		if !r.view.IsEvacuated(domain) {
			r.log.Warn().Str("Domain", domain).Int64("Revision", revision.Number()).Msg("entry: failure domain evacuated, its endpoints get no requests")
		}
	}
	for _, domain := range r.evacuated {
		if !domains[domain] {
			r.log.Info().Str("Domain", domain).Int64("Revision", revision.Number()).Msg("entry: evacuation of a failure domain ended")
		}
	}
	r.evacuated = revision.EvacuatedDomains()
	r.view = r.view.WithEvacuated(domains)
	for d, cancel := range r.permitWaits {
		if domains[d.endpoint.FailureDomain] {
			cancel()
		}
	}
}

// isEvacuated reports whether the dispatch's endpoint must not get requests.
func (r *Router) isEvacuated(d *dispatch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.IsEvacuated(d.endpoint.FailureDomain)
}

// evacuatedResult is the result of a dispatch that was not sent because of an evacuation.
func evacuatedResult() *result { return &result{neverOpened: true, isEvacuated: true} }

// acquireLoadPermitUnlessEvacuated is acquireLoadPermit with a wait that ends when the endpoint's failure domain is
// evacuated.
func (r *Router) acquireLoadPermitUnlessEvacuated(ctx context.Context, cl *call, d *dispatch) (release func(), failure *callError) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.permitWaits[d] = cancel
	if r.view.IsEvacuated(d.endpoint.FailureDomain) {
		cancel()
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.permitWaits, d)
	}()
	return r.acquireLoadPermit(ctx, cl, d)
}

// isEvacuated reports whether the only live endpoints are in evacuated failure domains, so that waiting is of no use.
func isEvacuated(err error) bool {
	var none *placer.NoEndpointError
	return errors.As(err, &none) && none.Live == 0 && none.Evacuated > 0
}
