package router

import (
	"math"
	"time"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/placer"
)

func closureKey(e placer.Endpoint) string { return e.VM + "@" + e.Incarnation }

// recordClosure records that an endpoint wants no requests for a while, and returns a failure if all want none. The sidecar
// rejects them until then; without them, neither its time nor the retry budget is spent on rejections.
func (r *Router) recordClosure(cl *call, d dispatch, rejection wire.RunError) *callError {
	e := d.endpoint
	if rejection.RetryAfterMs == nil {
		return nil
	}
	span := time.Duration(min(*rejection.RetryAfterMs, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	wasOpen, _ := r.reports.Availability(closureKey(e), now)
	r.reports = r.reports.WithClosure(closureKey(e), span, d.sentAt, now)
	r.config.Meter.EndpointReport("closed")
	if isOpen, after := r.reports.Availability(closureKey(e), now); wasOpen != isOpen {
		r.log.Info().Str("Request", cl.id).Str("Endpoint", closureKey(e)).Dur("For", after).Dur("Stated", span).Str("Source", "rejection").
			Msg("entry: endpoint said for how long it wants no requests")
	}
	if _, reopensAfter := r.closedEndpoints(r.placementRequest(cl), now); reopensAfter > 0 {
		return closedError(reopensAfter)
	}
	return nil
}

// closedEndpoints returns the VMs of the closed endpoints that could serve the request, and, if all live ones outside evacuated
// failure domains are closed, the time after which the first of them reopens. The caller holds mu.
func (r *Router) closedEndpoints(request placer.Request, now time.Duration) (vms []string, reopensAfter time.Duration) {
	if r.reports.IsEmpty() {
		return nil, 0
	}
	first := time.Duration(math.MaxInt64)
	for _, e := range r.view.Endpoints() {
		if e.State != placer.Live || e.BaseModel != request.BaseModel || e.Service != request.Service || r.view.IsEvacuated(e.FailureDomain) {
			continue
		}
		ok, after := r.reports.Availability(closureKey(e), now)
		if ok {
			first = 0
			continue
		}
		vms, first = append(vms, e.VM), min(first, after)
	}
	if len(vms) == 0 {
		return nil, 0
	}
	return vms, first
}

// closedError rejects a request because all endpoints want none until then.
func closedError(after time.Duration) *callError {
	failure := unavailable("endpoint_closed", "no endpoint takes requests now; send the request again after Retry-After")
	failure.retryAfter = after
	return failure
}
