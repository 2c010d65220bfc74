package forwarder_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// reportTranslator also decodes what an endpoint reports of itself. beforeSend is called between the selection of the
// endpoint and the send.
type reportTranslator struct {
	translator
	beforeSend func(endpoint string)
}

func (r reportTranslator) EndpointHeader(caller http.Header, d forwarder.Dispatch) http.Header {
	if r.beforeSend != nil {
		r.beforeSend(d.EndpointID)
	}
	return r.translator.EndpointHeader(caller, d)
}

func (reportTranslator) DecodeResponse(r *http.Response) forwarder.ResponseInfo {
	info := translator{}.DecodeResponse(r)
	info.IsLeaving, info.Malformed = r.Header.Get("Leaving") != "", r.Header.Get("Malformed")
	if seconds, err := strconv.ParseFloat(r.Header.Get("Closed"), 64); err == nil {
		info.Closed, info.HasClosed = time.Duration(seconds*float64(time.Second)), true
	}
	return info
}

// reportingFleet is a Forwarder whose time the test advances. The first endpoint is preferred to the others.
type reportingFleet struct {
	*fixture
	clock  atomic.Int64
	listed []registrar.Endpoint
	log    bytes.Buffer
}

func newReportingFleet(t *testing.T, beforeSend func(string), endpoints ...*endpoint) *reportingFleet {
	t.Helper()
	r := &reportingFleet{}
	start := time.Now()
	r.fixture = newFixtureWithConfig(t, func(c *forwarder.Config) {
		c.Translator, c.Domain, c.Log = reportTranslator{beforeSend: beforeSend}, "near", zerolog.New(&r.log)
		c.Now = func() time.Time { return start.Add(time.Duration(r.clock.Load())) }
	})
	for i, e := range endpoints {
		listed := e.registered("s")
		listed.Born, listed.Domain = 7, "near"
		if i > 0 {
			listed.Domain, listed.ColdRemaining = "far", time.Hour
		}
		r.listed = append(r.listed, listed)
	}
	r.SetEndpoints(r.listed)
	// The Forwarder has run for a while.
	r.advance(time.Minute)
	return r
}

func (r *reportingFleet) advance(d time.Duration) { r.clock.Add(int64(d)) }

// firstResponse returns a handler that responds to the first request with the status, header and body, and to others with
// 200. A body that ends with "..." breaks off.
func firstResponse(status int, header, body string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, n int) bool {
		if n > 1 {
			return ok(c, r, n)
		}
		if broken, isBroken := strings.CutSuffix(body, "..."); isBroken {
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 99\r\n\r\n%s", status, r.Header.Get("Id"), header, broken)
			return err != nil
		}
		return respond(c, r, status, header, body)
	}
}

// TestReportCountsInAnyResponse guards against an endpoint that gets requests although it has said in a response of any
// kind that it wants none: new ones, retries, and those on pooled connections; and against a closure that doesn't end.
func TestReportCountsInAnyResponse(t *testing.T) {
	for _, report := range []string{"Leaving: 1\r\n", "Closed: 2\r\n"} {
		for _, first := range []func(net.Conn, *http.Request, int) bool{
			firstResponse(200, report, "done"), firstResponse(421, report, ""), firstResponse(503, "Not-Run: 1\r\n"+report, "full"),
			firstResponse(503, report, "failed"), firstResponse(503, report, "fail..."), firstResponse(200, report, "do..."),
		} {
			a, b := newEndpoint(t, "a", first), newEndpoint(t, "b", ok)
			f := newReportingFleet(t, nil, a, b)
			for range 10 {
				got := f.send(t, "/again/", "")
				assert.Equal(t, got.status, 200, "%s %v %s", report, got, f.log.String())
				f.advance(100 * time.Millisecond)
				f.SetEndpoints(f.listed)
				f.Prune()
			}
			assert.Equal(t, a.count(), 1)
			f.advance(time.Second)
			f.send(t, "/again/", "")
			isLeaving := strings.HasPrefix(report, "Leaving")
			assert.Equal(t, a.count() == 1, isLeaving, "after the closure of 2 s")
			f.listed[0].Born++
			f.SetEndpoints(f.listed)
			f.send(t, "/again/", "")
			assert.Assert(t, a.count() > 1, "the new incarnation gets no request")
		}
	}
}

// TestReportOfAnotherEndpointAtTheAddress guards against a 421 of the new endpoint at the address that counts for the old.
func TestReportOfAnotherEndpointAtTheAddress(t *testing.T) {
	a := newEndpoint(t, "a", firstResponse(421, "Answerer: new\r\nLeaving: 1\r\n", ""))
	f := newReportingFleet(t, nil, a, newEndpoint(t, "b", ok))
	f.send(t, "/again/", "")
	assert.Equal(t, len(f.Leaving()), 0)
}

// TestRunsThatCannotBeToldApart guards against an ID that is never used again because its registration doesn't say when the
// endpoint started.
func TestRunsThatCannotBeToldApart(t *testing.T) {
	a, b := newEndpoint(t, "a", firstResponse(200, "Leaving: 1\r\n", "")), newEndpoint(t, "b", ok)
	f := newReportingFleet(t, nil, a, b)
	f.listed[0].Born = 0
	f.SetEndpoints(f.listed)
	f.send(t, "/again/", "")
	f.send(t, "/again/", "")
	assert.Equal(t, a.count(), 1)
	f.SetEndpoints(f.listed[1:])
	f.SetEndpoints(f.listed)
	f.send(t, "/again/", "")
	assert.Equal(t, a.count(), 2)
}

// TestStreamIsNotResumedAtLeavingEndpoint guards against a resumed stream at an endpoint that is leaving, and against
// cutting off the stream that runs there.
func TestStreamIsNotResumedAtLeavingEndpoint(t *testing.T) {
	leaves := func(c net.Conn, r *http.Request, _ int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		return err == nil && writeEvent(c, 1) && writeEvent(c, 2) && func() bool { _, err := c.Write([]byte("0\r\n\r\n")); return err == nil }()
	}
	a, b := newEndpoint(t, "a", leaves), newEndpoint(t, "b", breakStream)
	f := newReportingFleet(t, nil, a, b)
	got := f.send(t, "/resume/", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamText(1, 2))
	assert.Assert(t, f.send(t, "/resume/", "").err != nil)
	assert.Equal(t, a.count(), 1)
}

// TestRejectionIsNoFailure guards against a rejection that makes the endpoint suspect, so that it is avoided longer than it
// asked for, and against retries of rejections beyond the budget.
func TestRejectionIsNoFailure(t *testing.T) {
	a := newEndpoint(t, "a", func(c net.Conn, r *http.Request, n int) bool {
		if n <= 40 {
			return respond(c, r, 503, "Closed: 0.1\r\n", "busy")
		}
		return ok(c, r, n)
	})
	b := newEndpoint(t, "b", ok)
	f := newReportingFleet(t, nil, a, b)
	for range 40 {
		f.send(t, "/again/", "")
		f.advance(100 * time.Millisecond)
	}
	assert.Equal(t, a.count(), 40)
	assert.Assert(t, b.count() <= 0.2*40+5, "%d retries", b.count())
	f.send(t, "/again/", "")
	assert.Equal(t, a.count(), 41, "the endpoint is avoided")
}

// TestClosedServiceIsRefusedAtOnce guards against requests that wait for a closure to end or are sent in it, and against a
// Retry-After that isn't the end of the first closure, also beside an open endpoint in an evacuated domain.
func TestClosedServiceIsRefusedAtOnce(t *testing.T) {
	for _, header := range []string{"Not-Run: 1\r\n", ""} {
		a := newEndpoint(t, "a", firstResponse(503, header+"Retry-After: 5\r\nClosed: 5\r\n", ""))
		b := newEndpoint(t, "b", firstResponse(503, header+"Retry-After: 9\r\nClosed: 9\r\n", ""))
		f := newReportingFleet(t, nil, a, b)
		evacuated := newEndpoint(t, "evacuated", ok).registered("s")
		evacuated.Domain = "evacuated"
		f.SetEndpoints(append(f.listed, evacuated))
		f.SetEvacuated(map[string]bool{"evacuated": true})
		for n := range 3 {
			got := f.send(t, "/again/", "")
			want := 503
			if n == 0 && header == "" {
				// The endpoints don't say that they haven't run the request.
				want = 502
			}
			assert.Equal(t, got.status, want)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after >= 5 && after < 5.1, "Retry-After: %v", after)
		}
		assert.Equal(t, a.count()+b.count(), 2)
		f.advance(5100 * time.Millisecond)
		assert.Equal(t, f.send(t, "/again/", "").status, 200)
		assert.Equal(t, a.count(), 2)
	}
}

// TestReportEndsWaitForAdapter guards against a request that waits for its adapter at an endpoint that has begun to leave.
func TestReportEndsWaitForAdapter(t *testing.T) {
	a, b := newEndpoint(t, "a", ok), newEndpoint(t, "b", ok)
	f := newReportingFleet(t, nil, a, b)
	f.useEngines()
	// The engines are listed from the start, because new ones are paced.
	f.SetEndpoints(f.listed)
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	f.awaitDemand(t)
	f.listed[1].Models = []registrar.HeldModel{{Name: "base", Version: 1, Adapters: []registrar.HeldAdapter{{Name: "a1", Version: 1}}}}
	f.SetEndpoints(f.listed)
	f.AddLeaving([]wire.LeavingEndpoint{{Incarnation: "a@7"}}, "other")
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(b, 1) }, poll.WithTimeout(adapterWait/2))
	assert.Equal(t, (<-end).status, 200)
	assert.Equal(t, a.count(), 0)
}

// adapterWait is the time after which a request gives up the wait for an adapter without a reason.
const adapterWait = 1200 * time.Millisecond

// TestReportBeforeSendCounts guards against a request to an endpoint that has begun to leave since it was selected, and
// against an entry that doesn't learn from another entry that an endpoint is leaving.
func TestReportBeforeSendCounts(t *testing.T) {
	a, b := newEndpoint(t, "a", ok), newEndpoint(t, "b", ok)
	var f, other *reportingFleet
	f = newReportingFleet(t, func(endpoint string) {
		if endpoint == "a" {
			f.AddLeaving(other.Leaving(), "other")
		}
	}, a, b)
	other = newReportingFleet(t, nil, newEndpoint(t, "a", firstResponse(200, "Leaving: 1\r\n", "")))
	other.send(t, "/once/", "")
	assert.Equal(t, f.send(t, "/once/", "").status, 200)
	assert.Equal(t, a.count(), 0)
	assert.Equal(t, len(f.Leaving()), 0, "what another entry said is passed on")
	other.advance(2 * time.Minute)
	assert.Equal(t, len(other.Leaving()), 0, "the message grows")
}

// TestMalformedHeadersAreLoggedNowAndThen guards against one line for each response, and against none.
func TestMalformedHeadersAreLoggedNowAndThen(t *testing.T) {
	f := newReportingFleet(t, nil, newEndpoint(t, "a", func(c net.Conn, r *http.Request, _ int) bool {
		return respond(c, r, 200, "Malformed: Retry-After\r\n", "done")
	}))
	for range 25 {
		f.send(t, "/once/", "")
		f.advance(100 * time.Millisecond)
	}
	assert.Equal(t, strings.Count(f.log.String(), "malformed header"), 3)
}

// TestPruningBesideRequests guards against a deadlock between requests, which lock the fleet before the reports, and the
// pruning of an old report of a listed endpoint.
func TestPruningBesideRequests(t *testing.T) {
	a, b := newEndpoint(t, "a", firstResponse(200, "Leaving: 1\r\n", "done")), newEndpoint(t, "b", ok)
	f := newReportingFleet(t, nil, a, b)
	f.send(t, "/again/", "")
	f.SetEndpoints(f.listed[:1])
	f.advance(2 * time.Hour)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 20000 {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/again/", nil)
			r.Host = "h"
			r.Header.Set("Key", "k")
			f.ServeHTTP(w, r)
			assert.Check(t, w.Code == 503, "%d", w.Code)
		}
	}()
	pruned := make(chan struct{})
	go func() {
		defer close(pruned)
		for {
			select {
			case <-ended:
				return
			default:
				f.Prune()
			}
		}
	}()
	select {
	case <-pruned:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock of requests and pruning")
	}
}
