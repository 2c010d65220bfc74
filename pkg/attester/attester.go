// Package attester holds what endpoints have reported of themselves in their responses, and decides from that whether an
// endpoint may be used.
//
// The load pattern: an endpoint that leaves, or that wants no requests for a while, says so in a response, long before a
// registration or a health check shows it. A sender that goes on until then sends requests that are rejected, or that end
// with the endpoint; one that takes the rejections for failures avoids the endpoint longer than it asked for.
//
// An endpoint that leaves stays unusable: only another incarnation, which has another key, is usable again. A closure ends
// by itself, and the one that answers the newest request counts.
//
// The package has no clock, no goroutines and uses no store. Times are on the owner's monotonic clock.
package attester

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of an Attester. Zero fields take their defaults in New.
type Config struct {
	// MaxClosure bounds how long one report closes an endpoint. A single faulty response can't close it for longer.
	MaxClosure time.Duration
	// Retention is how long an incarnation that is no longer listed is known to have been leaving.
	Retention time.Duration
}

// Defaults of Config.
const (
	DefaultMaxClosure = 10 * time.Minute
	DefaultRetention  = time.Hour
)

// report is what one incarnation has reported.
type report struct {
	// isLeaving never becomes false, and leavingAt is the time of the first report that set it.
	isLeaving bool
	leavingAt time.Duration
	// isShared means that the other processes are told. What they have told isn't passed on, because its age grows inexact
	// on the way.
	isShared bool
	// closedUntil is the end of the closure that was reported last, in the response to a request sent at closureAskedAt; 0 if
	// there was none.
	closedUntil, closureAskedAt time.Duration
}

// Attester is one process's view of the reports. It is an immutable value. K identifies an incarnation of an endpoint.
type Attester[K cmp.Ordered] struct {
	config  Config
	reports map[K]report
}

// New returns an Attester without reports.
func New[K cmp.Ordered](c Config) Attester[K] {
	c.MaxClosure = cmp.Or(c.MaxClosure, DefaultMaxClosure)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	return Attester[K]{config: c}
}

// Leaving is a report that an incarnation is leaving.
type Leaving[K cmp.Ordered] struct {
	Endpoint K
	At       time.Duration
}

// WithLeaving records that the endpoint is leaving. isShared means that Leaving returns it for the other processes.
func (a Attester[K]) WithLeaving(l Leaving[K], isShared bool) Attester[K] {
	r := a.reports[l.Endpoint]
	if r.isLeaving && (r.isShared || !isShared) {
		return a
	}
	if !r.isLeaving {
		r.leavingAt = l.At
	}
	r.isLeaving, r.isShared = true, isShared
	return a.with(l.Endpoint, r)
}

// WithClosure records that the endpoint wants no requests from this process for the span, as the response to a request sent
// at askedAt says. A span of 0 reopens the endpoint. Responses arrive in any order: one to an earlier request than that of
// the closure in force may be from an earlier closure, so it can't shorten the one in force.
func (a Attester[K]) WithClosure(endpoint K, span, askedAt, now time.Duration) Attester[K] {
	r := a.reports[endpoint]
	until := now + min(max(0, span), a.config.MaxClosure)
	if isEarlier := askedAt < r.closureAskedAt && now < r.closedUntil; isEarlier {
		r.closedUntil = max(r.closedUntil, until)
	} else {
		r.closedUntil, r.closureAskedAt = until, askedAt
	}
	return a.with(endpoint, r)
}

func (a Attester[K]) with(endpoint K, r report) Attester[K] {
	next := make(map[K]report, len(a.reports)+1)
	maps.Copy(next, a.reports)
	next[endpoint] = r
	a.reports = next
	return a
}

// IsEmpty reports whether no endpoint has reported anything, so that all may be used.
func (a Attester[K]) IsEmpty() bool { return len(a.reports) == 0 }

// Availability reports whether the endpoint may be used. If not, it returns the time after which it may be, or 0 if the
// endpoint is leaving and won't be usable again.
func (a Attester[K]) Availability(endpoint K, now time.Duration) (ok bool, after time.Duration) {
	if a.IsEmpty() {
		return true, 0
	}
	switch r := a.reports[endpoint]; {
	case r.isLeaving:
		return false, 0
	case now < r.closedUntil:
		return false, r.closedUntil - now
	}
	return true, 0
}

// IsLeaving reports whether the endpoint is known to be leaving.
func (a Attester[K]) IsLeaving(endpoint K) bool { return a.reports[endpoint].isLeaving }

// Leaving returns the endpoints of which the other processes should be told that they have been leaving since the given
// time or later.
func (a Attester[K]) Leaving(since time.Duration) []Leaving[K] {
	var list []Leaving[K]
	for endpoint, r := range a.reports {
		if r.isShared && r.leavingAt >= since {
			list = append(list, Leaving[K]{Endpoint: endpoint, At: r.leavingAt})
		}
	}
	slices.SortFunc(list, func(x, y Leaving[K]) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return list
}

// Without removes the reports of the endpoint.
func (a Attester[K]) Without(endpoint K) Attester[K] {
	if _, ok := a.reports[endpoint]; ok {
		a.reports = maps.Clone(a.reports)
		delete(a.reports, endpoint)
	}
	return a
}

// WithoutExpired removes the closures that have ended, and the reports of leaving incarnations that are no longer listed
// and were received more than Retention ago.
func (a Attester[K]) WithoutExpired(isListed func(K) bool, now time.Duration) Attester[K] {
	isExpired := func(endpoint K, r report) bool {
		if r.isLeaving {
			return now-r.leavingAt > a.config.Retention && !isListed(endpoint)
		}
		return now >= r.closedUntil
	}
	next := maps.Clone(a.reports)
	maps.DeleteFunc(next, isExpired)
	if len(next) < len(a.reports) {
		a.reports = next
	}
	return a
}

// Policy decides whether an endpoint may be used, in the form of Attester.Availability.
type Policy[K cmp.Ordered] func(a Attester[K], endpoint K, now time.Duration) (ok bool, after time.Duration)

// Heed is the policy in force: it does what the endpoints have asked for.
func Heed[K cmp.Ordered](a Attester[K], endpoint K, now time.Duration) (bool, time.Duration) {
	return a.Availability(endpoint, now)
}

// Ignore is the baseline: it uses every endpoint at any time, as before the reports were read.
func Ignore[K cmp.Ordered](Attester[K], K, time.Duration) (bool, time.Duration) { return true, 0 }

// Report is what one response says of the endpoint that sent it.
type Report struct {
	// IsLeaving means that the endpoint is leaving and takes no new requests.
	IsLeaving bool
	// Closed is the time for which the endpoint wants no requests from the receiver's VM, if HasClosed is set.
	Closed    time.Duration
	HasClosed bool
	// Malformed names the header that was ignored because its value is malformed; empty if there was none.
	Malformed string
}

const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
)

// Decode returns the report of a response with the status and header. Retry-After counts only with status 503.
func Decode(status int, h http.Header) Report {
	var r Report
	switch h.Get(headerLeaving) {
	case "1":
		r.IsLeaving = true
	case "", "0":
	default:
		r.Malformed = headerLeaving
	}
	if text := h.Get(headerRetryAfter); text != "" && status == http.StatusServiceUnavailable {
		var err error
		if r.Closed, err = ParseSeconds(text); err != nil {
			r.Malformed = headerRetryAfter
		}
		r.HasClosed = err == nil
	}
	return r
}

// ParseSeconds parses the number of seconds of a Retry-After header, which may have a fraction. A date is an error,
// because the processes' clocks may differ by any amount. A number that is too large for a Duration gives the largest one.
func ParseSeconds(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil && !math.IsInf(seconds, 1):
		return 0, errors.Wrap(err, "parse the seconds; state a number")
	case math.IsNaN(seconds), math.Signbit(seconds), err == nil && math.IsInf(seconds, 0):
		return 0, errors.Newf("%q is no span; state a number of seconds from 0 up", text)
	case seconds >= math.MaxInt64/float64(time.Second):
		return math.MaxInt64, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
