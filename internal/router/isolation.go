package router

import (
	"sync"
	"time"

	"geraniumladder/internal/isolator"
	"geraniumladder/pkg/claimer"
)

// digestLength is the length of a request's digest in evidence, of which entries exchange some tens.
const digestLength = 16

// setDigest sets the digest of a call with a body.
func (c *call) setDigest(body []byte) {
	c.digest = sync.OnceValue(func() string { return c.organisation.Name + "/" + requestDigest(c, body)[:digestLength] })
}

// refuseBlocked returns a refusal if the request has ended several endpoints that ran it.
func (r *Router) refuseBlocked(cl *call) *callError {
	stagger := func() time.Duration {
		return isolator.Stagger(r.config.Settings.VM, 1+len(r.config.Lender.EntryAddresses()))
	}
	ok, isProbe, after := r.config.Isolator.Admit(cl.digest, stagger)
	if isProbe {
		r.log.Info().Str("Request", cl.id).Str("Digest", cl.digest()).Msg("entry: blocked request is tried again")
	}
	if ok {
		return nil
	}
	failure := unavailable("request_blocked", "earlier sends of this request have ended several endpoints and it is blocked; try again later or with another content")
	failure.outcome, failure.retryAfter = claimer.NotRun, after
	return failure
}

// recordEnd makes the request a suspect if the endpoint has ended under it.
func (r *Router) recordEnd(cl *call, d dispatch, res result) {
	if res.runError == nil || res.runError.EndedRun == "" {
		return
	}
	endpoint := d.endpoint.VM + "@" + d.endpoint.Incarnation + "/" + res.runError.EndedRun
	r.log.Warn().Str("Request", cl.id).Str("Endpoint", endpoint).Str("Digest", cl.digest()).Msg("entry: endpoint ended with a request that it had not answered")
	r.config.Isolator.RecordEnds([]isolator.End{{Endpoint: endpoint, At: r.now(), Requests: []string{cl.digest()}}})
}
