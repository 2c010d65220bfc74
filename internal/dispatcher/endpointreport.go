package dispatcher

import (
	"context"
	"math/bits"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/attester"
)

const (
	messageLeaving = "the endpoint is leaving; send the request elsewhere"
	messageClosed  = "the endpoint wants no requests for a while; send the request elsewhere, or again after that time"
)

// reportReader is a transport that reads what the endpoint reports of itself in each response, whether the rest of the
// response arrives or not.
type reportReader struct {
	http.RoundTripper
	dispatcher *Dispatcher
}

func (d *Dispatcher) reading(next http.RoundTripper) http.RoundTripper {
	return reportReader{RoundTripper: next, dispatcher: d}
}

// RoundTrip implements http.RoundTripper.
func (r reportReader) RoundTrip(req *http.Request) (*http.Response, error) {
	sentAt := r.dispatcher.elapsed()
	resp, err := r.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	r.dispatcher.recordReport(attester.Decode(resp.StatusCode, resp.Header), req.Header.Get("X-Request-Id"), sentAt)
	return resp, nil
}

// recordReport applies a report. All requests pass this sidecar, so that it alone keeps them from the endpoint.
func (d *Dispatcher) recordReport(report attester.Report, request string, sentAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if report.Malformed != "" {
		d.config.Meter.EndpointReport("malformed")
		// A faulty endpoint adds the header to every response, so that the lines become rarer.
		if d.malformed++; bits.OnesCount(d.malformed) == 1 {
			d.log.Warn().Str("Request", request).Str("Header", report.Malformed).Uint("Count", d.malformed).Msg("sidecar: malformed header of a response ignored")
		}
	}
	now := d.elapsed()
	if report.HasClosed {
		before := d.closedFor()
		d.reports = d.reports.WithClosure(d.endpointRun, report.Closed, sentAt, now)
		d.config.Meter.EndpointReport("closed")
		if (before > 0) != (d.closedFor() > 0) {
			d.log.Info().Str("Request", request).Dur("For", d.closedFor()).Dur("Stated", report.Closed).Dur("Was", before).
				Msg("sidecar: endpoint said for how long it wants no requests")
		}
		if d.closedFor() > 0 {
			d.rejectWaiting(wire.RunErrorCodeClosed, messageClosed)
		}
	}
	switch wasLeaving := d.reports.IsLeaving(d.endpointRun); {
	case report.IsLeaving && !wasLeaving:
		d.reports = d.reports.WithLeaving(attester.Leaving[int]{Endpoint: d.endpointRun, At: now}, true)
		d.config.Meter.EndpointReport("leaving")
		d.log.Info().Str("Request", request).Int("Run", d.endpointRun).Msg("sidecar: endpoint said that it is leaving")
		d.rejectWaiting(wire.RunErrorCodeLeaving, messageLeaving)
		d.requestHeartbeat()
	case !report.IsLeaving && wasLeaving && len(d.reports.Leaving(sentAt)) == 0:
		// A leaving endpoint says so in all its responses, and this one is to a later request.
		d.beginEndpointRun()
	}
}

// beginEndpointRun records that the endpoint has started again. The caller holds the lock.
func (d *Dispatcher) beginEndpointRun() {
	d.reports = d.reports.Without(d.endpointRun)
	d.endpointRun++
	d.log.Info().Int("Run", d.endpointRun).Msg("sidecar: endpoint has started again")
	d.requestHeartbeat()
}

// closedFor returns the time for which the endpoint wants no requests. The caller holds the lock.
func (d *Dispatcher) closedFor() time.Duration {
	_, after := d.reports.Availability(d.endpointRun, d.elapsed())
	return after
}

// newClosedRefusal refuses a request while the endpoint is closed. The caller holds the lock.
func (d *Dispatcher) newClosedRefusal(h wire.RunHeader) *wire.RunError {
	refusal := newRefusal(h, wire.RunErrorCodeClosed, wire.RunErrorOutcomeNotRun, messageClosed)
	milliseconds := max(0, d.closedFor()).Milliseconds() + 1
	refusal.RetryAfterMs = &milliseconds
	return refusal
}

// checkServiceRun detects the end of a plain service that is leaving. No request is sent to it, so that only the refusal of
// a connection shows its end.
func (d *Dispatcher) checkServiceRun(ctx context.Context) {
	d.mu.Lock()
	isLeaving := d.reports.IsLeaving(d.endpointRun)
	d.mu.Unlock()
	if !isLeaving {
		return
	}
	target, err := url.Parse(d.service.url)
	if err != nil {
		d.log.Warn().Err(err).Msg("sidecar: malformed URL of the service")
		return
	}
	conn, err := (&net.Dialer{Timeout: residencyPollInterval}).DialContext(ctx, "tcp", target.Host)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.beginEndpointRun()
	}
}
