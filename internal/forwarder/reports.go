package forwarder

import (
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/attester"
)

const (
	// leavingShareTime is how long the other entries are told that an endpoint is leaving. By then its registration says so
	// or has been removed.
	leavingShareTime = time.Minute
	// malformedLogInterval bounds the log lines about malformed headers, which a faulty endpoint adds to every response.
	malformedLogInterval = time.Second
)

// Kinds of reports, for Observer.EndpointReport.
const (
	reportLeaving   = "leaving"
	reportClosed    = "closed"
	reportMalformed = "malformed"
)

// reports holds what the endpoints have reported of themselves in responses. It is safe for concurrent use.
type reports struct {
	clock
	observer Observer
	log      zerolog.Logger

	// mu is locked after the fleet's.
	mu    sync.Mutex
	state attester.Attester[string]
	// malformed counts the malformed headers since the last log line about one, which was written at malformedLoggedAt.
	malformed         int
	malformedLoggedAt time.Duration
}

func newReports(c clock, o Observer, log zerolog.Logger) *reports {
	return &reports{clock: c, observer: o, log: log, state: attester.New[string](attester.Config{}), malformedLoggedAt: -malformedLogInterval}
}

// isOpen reports whether the endpoint takes new requests, as far as its own reports say.
func (r *reports) isOpen(e *endpoint) bool {
	ok, _ := r.availability(e)
	return ok
}

func (r *reports) availability(e *endpoint) (ok bool, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return attester.Heed(r.state, e.key, r.elapsed())
}

// recordLeaving records that the endpoint is leaving and reports whether that is new. source is what said so.
func (r *reports) recordLeaving(key string, at time.Duration, isShared bool, request, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := !r.state.IsLeaving(key)
	r.state = r.state.WithLeaving(attester.Leaving[string]{Endpoint: key, At: at}, isShared)
	if isNew {
		r.observer.EndpointReport(reportLeaving)
		r.log.Info().Str("Request", request).Str("Endpoint", key).Str("Source", source).Msg("forwarder: endpoint said that it is leaving")
	}
	return isNew
}

// recordClosure records that the endpoint wants no requests for the span, as it answered to a request sent at askedAt. A closure that an earlier response has named
// already is not logged.
func (r *reports) recordClosure(e *endpoint, span time.Duration, request string, askedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	wasOpen, before := r.state.Availability(e.key, now)
	r.state = r.state.WithClosure(e.key, span, askedAt.Sub(r.start), now)
	isOpen, after := r.state.Availability(e.key, now)
	r.observer.EndpointReport(reportClosed)
	if wasOpen != isOpen || math.Abs(float64(after-before)) > significantChange*float64(after) {
		r.log.Info().Str("Request", request).Str("Endpoint", e.key).Dur("For", after).Dur("Stated", span).Dur("Was", before).Str("Source", "response").
			Msg("forwarder: endpoint said for how long it wants no requests")
	}
}

// recordMalformed counts a malformed header.
func (r *reports) recordMalformed(e *endpoint, header, request string) {
	r.observer.EndpointReport(reportMalformed)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.malformed++
	if now := r.elapsed(); now-r.malformedLoggedAt >= malformedLogInterval {
		r.log.Warn().Str("Request", request).Str("Endpoint", e.key).Str("Header", header).Int("Count", r.malformed).
			Msg("forwarder: malformed header of a response ignored")
		r.malformed, r.malformedLoggedAt = 0, now
	}
}

// leaving returns what the other entries need to know.
func (r *reports) leaving() []wire.LeavingEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.state.Leaving(r.elapsed() - leavingShareTime)
	list := make([]wire.LeavingEndpoint, len(known))
	for i, l := range known {
		list[i] = wire.LeavingEndpoint{Incarnation: l.Endpoint, AgeMilliseconds: r.ageMilliseconds(l.At)}
	}
	return list
}

// forget removes the reports of an endpoint whose runs can't be told apart.
func (r *reports) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = r.state.Without(key)
}

// prune removes what no longer counts. listed holds the keys of the listed endpoints. The caller doesn't hold the fleet's
// lock, and prune doesn't take it, because it is locked before that of the reports.
func (r *reports) prune(listed map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = r.state.WithoutExpired(func(key string) bool { return listed[key] }, r.elapsed())
}

// recordReports records what a response says of the endpoint that sent it. That may be another one at the address. isOwn
// means that the response belongs to the request: a late one to another request says nothing about the present, except that
// its sender is leaving.
func (x *exchange) recordReports(e *endpoint, info ResponseInfo, isOwn bool) {
	r := x.f.reports
	if info.Malformed != "" {
		r.recordMalformed(e, info.Malformed, x.call.ID)
	}
	if !info.IsLeaving && !info.HasClosed {
		return
	}
	responder := x.f.fleet.responder(e, info.EndpointID)
	if responder == nil {
		return
	}
	if info.HasClosed && isOwn {
		x.isRejected = true
		r.recordClosure(responder, info.Closed, x.call.ID, x.sentAt)
	}
	isNew := info.IsLeaving && r.recordLeaving(responder.key, r.elapsed(), responder.Born != 0, x.call.ID, "response")
	if isNew && x.f.config.OnEvidence != nil {
		x.f.config.OnEvidence()
	}
}

// responder returns the endpoint that a response to a request for e comes from, or nil if that one isn't known.
func (f *fleet) responder(e *endpoint, id string) *endpoint {
	if id == "" || id == e.ID {
		return e
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if other := f.byAddress[e.Address]; other != nil && other.ID == id {
		return other
	}
	return nil
}

// keys returns the keys of the listed endpoints.
func (f *fleet) keys() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(f.byIncarnation))
	for _, e := range f.byIncarnation {
		listed[e.key] = true
	}
	return listed
}

// reopensAfter returns the time after which the first endpoint of the service takes requests again, or false if one takes
// them now or none will.
func (f *fleet) reopensAfter(service string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, isClosed := time.Duration(math.MaxInt64), false
	for _, e := range f.byService[service] {
		if e.IsLeaving || e.isSuperseded || f.evacuated[e.Domain] {
			continue
		}
		ok, after := f.reports.availability(e)
		if ok {
			return 0, false
		}
		if after > 0 {
			first, isClosed = min(first, after), true
		}
	}
	return first, isClosed
}

// refuseClosed returns a refusal if all endpoints of the service are closed.
func (x *exchange) refuseClosed() *Refusal {
	after, isClosed := x.f.fleet.reopensAfter(x.service)
	if !isClosed {
		return nil
	}
	// Callers are told whole milliseconds.
	return refuseUnavailable("endpoint-closed", after.Truncate(time.Millisecond)+time.Millisecond)
}

// Leaving returns the endpoints that said in responses to this entry that they are leaving, for the other entries.
func (f *Forwarder) Leaving() []wire.LeavingEndpoint { return f.reports.leaving() }

// AddLeaving adds the endpoints that said to the entry on another VM that they are leaving.
func (f *Forwarder) AddLeaving(list []wire.LeavingEndpoint, vm string) {
	for _, l := range list {
		f.reports.recordLeaving(l.Incarnation, f.reports.timeOfAge(l.AgeMilliseconds), false, "", vm)
	}
}
