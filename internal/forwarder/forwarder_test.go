package forwarder_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/connector"
	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/retrier"
)

// translator uses a set of headers defined for these tests.
type translator struct{}

func (translator) RequestIDHeader() string { return "Id" }

func (translator) DecodeCall(h http.Header) forwarder.Call {
	ms, err := strconv.Atoi(h.Get("Patience"))
	if err != nil {
		ms = 0
	}
	return forwarder.Call{
		ID: h.Get("Id"), Key: h.Get("Key"), CallerTimeout: time.Duration(ms) * time.Millisecond,
		Model: registrar.ParseModel(h.Get("Uses")), LastEvent: h.Get("Last"),
	}
}

func (translator) EndpointHeader(caller http.Header, d forwarder.Dispatch) http.Header {
	h := caller.Clone()
	h.Del("Key")
	h.Set("Endpoint", d.EndpointID)
	h.Set("Remaining", strconv.FormatInt(d.Remaining.Milliseconds(), 10))
	h.Set("Organisation", d.Organisation)
	if d.LastEvent != "" {
		h.Set("Last", d.LastEvent)
	}
	return h
}

func (translator) DecodeResponse(r *http.Response) forwarder.ResponseInfo {
	return forwarder.ResponseInfo{
		RequestID: r.Header.Get("Id"), IsNotRun: r.Header.Get("Not-Run") != "" || r.StatusCode == 421, IsMisdirected: r.StatusCode == 421,
		EndpointID: r.Header.Get("Answerer"), IsUnsigned: r.Header.Get("Unsigned") != "",
	}
}

// hookedTranslator calls a function between the selection of the endpoint and the send.
type hookedTranslator struct {
	translator
	beforeSend func()
}

func (h hookedTranslator) EndpointHeader(caller http.Header, d forwarder.Dispatch) http.Header {
	h.beforeSend()
	return h.translator.EndpointHeader(caller, d)
}

// admitter admits requests, or rejects all if rejects is set, or those before the end of reportAfter more calls.
type admitter struct {
	rejects     bool
	reportAfter atomic.Int64
}

func (a *admitter) Admit(*registrar.Organisation, float64) (bool, time.Duration) {
	return !a.rejects && a.reportAfter.Add(-1) < 0, time.Second
}

func (a *admitter) AwaitsReport(*registrar.Organisation, float64) bool { return !a.rejects }

func (a *admitter) LimitState(*registrar.Organisation) forwarder.LimitState {
	return forwarder.LimitState{}
}

func (a *admitter) Refund(*registrar.Organisation, float64) {}

type observer struct{}

func (observer) Request(string, string)           {}
func (observer) Refusal(string, string)           {}
func (observer) Retry(string)                     {}
func (observer) EndpointReport(string)            {}
func (observer) FirstToken(string, time.Duration) {}
func (observer) Delay(time.Duration)              {}
func (observer) Estimate(string, float64)         {}
func (observer) Admission(string, string)         {}

// endpoint is an HTTP endpoint whose responses a test writes to the raw connection.
type endpoint struct {
	t        *testing.T
	id       string
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	closed   int
}

// newEndpoint starts an endpoint. handler writes the response to the n-th request and reports whether to keep the
// connection.
func newEndpoint(t *testing.T, id string, handler func(c net.Conn, r *http.Request, n int) bool) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endpoint{t: t, id: id, listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c, handler)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, handler func(net.Conn, *http.Request, int) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			e.mu.Lock()
			e.closed++
			e.mu.Unlock()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.requests = append(e.requests, r)
		e.bodies = append(e.bodies, string(body))
		n := len(e.requests)
		e.mu.Unlock()
		if !handler(c, r, n) {
			return
		}
	}
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func (e *endpoint) registered(service string) registrar.Endpoint {
	return registrar.Endpoint{ID: e.id, Service: service, Address: e.listener.Addr().String(), Slots: 4}
}

func respond(c net.Conn, r *http.Request, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: 1\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
	return err == nil
}

func ok(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 200, "", "done") }

func rejectNotRun(c net.Conn, r *http.Request, _ int) bool {
	return respond(c, r, 503, "Not-Run: 1\r\n", "full")
}

// dropResponse closes the connection without a response.
func dropResponse(net.Conn, *http.Request, int) bool { return false }

type fixture struct {
	*forwarder.Forwarder
	server   *httptest.Server
	admitter *admitter
}

// longRunningClock returns a clock whose first reading, the start of the process, is one hour in the past.
func longRunningClock() func() time.Time {
	var isStarted atomic.Bool
	return func() time.Time {
		if isStarted.Swap(true) {
			return time.Now()
		}
		return time.Now().Add(-time.Hour)
	}
}

// newFixture starts a Forwarder with routes of each kind to the endpoints of one service.
func newFixture(t *testing.T, endpoints ...*endpoint) *fixture {
	t.Helper()
	return newFixtureWith(t, translator{}, longRunningClock(), endpoints...)
}

func newFixtureWith(t *testing.T, headers forwarder.Translator, now func() time.Time, endpoints ...*endpoint) *fixture {
	t.Helper()
	return newFixtureWithConfig(t, func(c *forwarder.Config) { c.Translator, c.Now = headers, now }, endpoints...)
}

func newFixtureWithConfig(t *testing.T, change func(c *forwarder.Config), endpoints ...*endpoint) *fixture {
	t.Helper()
	a := &admitter{}
	config := forwarder.Config{
		VM: "entry", Translator: translator{}, Pool: connector.New(connector.Config{}), Admitter: a, Observer: observer{},
		Demand: func(string) {}, Retry: retrier.Config{Ratio: 0.2, Constant: 5, Window: 10 * time.Second}, EntryCount: func() int { return 1 },
		Now: longRunningClock(), Seed: 1, Log: zerolog.Nop(),
	}
	change(&config)
	f := forwarder.New(config)
	targets := []registrar.Target{{Service: "s", Weight: 1}}
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 1,
		Routes: []registrar.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: registrar.Once, Timeout: 5 * time.Second, Targets: targets, Attempts: 2},
			{Name: "again", Host: "h", Prefix: "/again/", Kind: registrar.Repeatable, Timeout: 5 * time.Second, Targets: targets, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: registrar.Stream, Timeout: 5 * time.Second, Targets: targets, Attempts: 2},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: registrar.Stream, Timeout: 5 * time.Second, Targets: targets, Attempts: 2, Resumable: true},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: registrar.Once, Timeout: 100 * time.Millisecond, Targets: targets, Attempts: 1},
			{Name: "long", Host: "h", Prefix: "/long/", Kind: registrar.Once, Timeout: time.Minute, Targets: targets, Attempts: 1},
			{Name: "longstream", Host: "h", Prefix: "/longstream/", Kind: registrar.Stream, Timeout: time.Minute, Targets: targets, Attempts: 1},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: registrar.Repeatable, Timeout: time.Second, Targets: targets, Attempts: 1, Open: true},
		},
		Services:      []registrar.Service{{Name: "s"}},
		Organisations: []registrar.Organisation{{Name: "o", Rate: 1, Burst: 1}},
		Keys:          map[string]string{"k": "o"},
		Limits:        registrar.Limits{BodyBytes: 1000},
	}))
	list := make([]registrar.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, e.registered("s"))
	}
	f.SetEndpoints(list)
	server := httptest.NewUnstartedServer(f)
	server.Config.ConnContext = forwarder.WithCallerConn
	server.Start()
	t.Cleanup(server.Close)
	return &fixture{Forwarder: f, server: server, admitter: a}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) send(t *testing.T, path, body string, header ...string) reply {
	t.Helper()
	return f.sendCtx(t.Context(), path, body, header...)
}

func (f *fixture) sendCtx(ctx context.Context, path, body string, header ...string) reply {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = "h"
	r.Header.Set("Id", "id-"+path)
	r.Header.Set("Key", "k")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// TestRequestArrivesAsItWasSent guards against a modified path, query or body, against forwarding the caller's key to an
// endpoint, and against a deadline that exceeds the remaining time.
func TestRequestArrivesAsItWasSent(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	f := newFixture(t, e)
	got := f.send(t, "/once/a%2fb/?q=%20x", "the\x00body", "Patience", "3000")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "done")
	assert.Equal(t, got.header.Get("Signed"), "1")
	assert.Equal(t, e.requests[0].RequestURI, "/once/a%2fb/?q=%20x")
	assert.Equal(t, e.bodies[0], "the\x00body")
	assert.Equal(t, e.requests[0].Header.Get("Key"), "")
	assert.Equal(t, e.requests[0].Header.Get("Organisation"), "o")
	assert.Equal(t, e.requests[0].Header.Get("Endpoint"), "e")
	remaining, err := strconv.Atoi(e.requests[0].Header.Get("Remaining"))
	assert.NilError(t, err)
	assert.Assert(t, remaining > 0 && remaining <= 3000)
}

// TestRefusalStatus guards against running a request that must be refused, and against a wrong status of the refusal.
func TestRefusalStatus(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	f := newFixture(t, e)
	assert.Equal(t, f.send(t, "/nowhere/", "").status, 404)
	assert.Equal(t, f.send(t, "/once/", "", "Key", "wrong").status, 401)
	assert.Equal(t, f.send(t, "/once/", strings.Repeat("x", 1001)).status, 413)
	f.admitter.rejects = true
	limited := f.send(t, "/once/", "")
	assert.Equal(t, limited.status, 429)
	assert.Assert(t, limited.header.Get("Retry-After") != "")
	assert.Equal(t, e.count(), 0)
	assert.Equal(t, f.send(t, "/open/", "", "Key", "").status, 200)
}

// TestRequestWaitsForItsEntrysReport guards against a rejection of an organisation within its limit because this entry has
// yet to tell the others what it has admitted, and against waiting for a report that doesn't come.
func TestRequestWaitsForItsEntrysReport(t *testing.T) {
	f := newFixture(t, newEndpoint(t, "e", ok))
	f.admitter.reportAfter.Store(3)
	assert.Equal(t, f.send(t, "/once/", "").status, 200)
	f.admitter.reportAfter.Store(1 << 40)
	assert.Equal(t, f.send(t, "/once/", "").status, 429)
}

// TestMissingConfigurationIs503 guards against 401 or 404 from an entry that has no configuration yet.
func TestMissingConfigurationIs503(t *testing.T) {
	f := forwarder.New(forwarder.Config{Translator: translator{}, Observer: observer{}, Now: time.Now, Log: zerolog.Nop()})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/once/", nil))
	assert.Equal(t, w.Code, 503)
}

// TestOlderConfigurationIsIgnored guards against an older configuration that replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t)
	older := registrar.NewConfiguration(registrar.ConfigurationParts{Version: 0})
	assert.Assert(t, !f.SetConfiguration(older))
	assert.Equal(t, f.Configuration().Version(), int64(1))
}

// TestLostResponseIsNotRetriedUnlessIdempotent guards against running a request, such as a booking, twice, and against a
// status that says it has not run.
func TestLostResponseIsNotRetriedUnlessIdempotent(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		a, b := newEndpoint(t, "a", dropResponse), newEndpoint(t, "b", dropResponse)
		got := newFixture(t, a, b).send(t, path, "")
		assert.Equal(t, got.status, 502, path)
		assert.Equal(t, a.count()+b.count(), 1, path)
	}
}

// TestLostResponseIsRetriedIfIdempotent guards against failing an idempotent request although another endpoint would
// respond.
func TestLostResponseIsRetriedIfIdempotent(t *testing.T) {
	a, b := newEndpoint(t, "a", dropResponse), newEndpoint(t, "b", ok)
	f := newFixture(t, a, b)
	for range 4 {
		assert.Equal(t, f.send(t, "/again/", "").status, 200)
	}
}

// TestServerErrorIsRetriedIfIdempotent guards against forwarding a server error although a retry may succeed, and against
// replacing the endpoint's own error response if no retry succeeds.
func TestServerErrorIsRetriedIfIdempotent(t *testing.T) {
	fails := func(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 500, "", "error") }
	a, b := newEndpoint(t, "a", fails), newEndpoint(t, "b", fails)
	got := newFixture(t, a, b).send(t, "/again/", "")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.header.Get("Signed"), "1")
	assert.Equal(t, a.count(), 1)
	assert.Equal(t, b.count(), 1)
	c := newEndpoint(t, "c", fails)
	assert.Equal(t, newFixture(t, c).send(t, "/once/", "").status, 500)
	assert.Equal(t, c.count(), 1)
}

// TestNotRunIsRetriedElsewhere guards against refusing a request that one endpoint rejected while another has capacity.
func TestNotRunIsRetriedElsewhere(t *testing.T) {
	full, free := newEndpoint(t, "full", rejectNotRun), newEndpoint(t, "free", ok)
	f := newFixture(t, full, free)
	for range 4 {
		assert.Equal(t, f.send(t, "/once/", "").status, 200)
	}
	got := newFixture(t, newEndpoint(t, "e", rejectNotRun)).send(t, "/once/", "")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestMisdirectedRequestIsRetriedElsewhere guards against refusing a non-idempotent request because another endpoint had
// taken over the address, and against sending further requests there.
func TestMisdirectedRequestIsRetriedElsewhere(t *testing.T) {
	other := newEndpoint(t, "gone", func(c net.Conn, r *http.Request, _ int) bool {
		return respond(c, r, 421, "Answerer: other\r\n", "")
	})
	live := newEndpoint(t, "live", ok)
	f := newFixture(t, other, live)
	for range 6 {
		assert.Equal(t, f.send(t, "/once/", "").status, 200)
	}
	assert.Assert(t, other.count() <= 2, "%d requests", other.count())
}

// TestSupersededIncarnationGetsNoRequests guards against sending requests to an ended incarnation of an endpoint that is
// still registered. The newer incarnation at its address rejects them, and each costs a retry.
func TestSupersededIncarnationGetsNoRequests(t *testing.T) {
	e := newEndpoint(t, "later", func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Endpoint") != "later" {
			return respond(c, r, 421, "", "another")
		}
		return respond(c, r, 200, "", "done")
	})
	f := newFixture(t, e)
	earlier, later := e.registered("s"), e.registered("s")
	earlier.ID, earlier.Born, later.Born = "earlier", 1, 2
	for _, list := range [][]registrar.Endpoint{{earlier, later}, {later, earlier}} {
		f.SetEndpoints(list)
		for range 10 {
			assert.Equal(t, f.send(t, "/once/", "").status, 200)
		}
	}
	assert.Equal(t, e.count(), 20)
	// The sidecar reports the later incarnation before it is registered.
	other := newFixture(t, e)
	other.SetEndpoints([]registrar.Endpoint{earlier})
	other.SetState(wire.EngineState{Address: earlier.Address, Born: 2})
	assert.Equal(t, other.send(t, "/once/", "").status, 503)
	assert.Equal(t, e.count(), 20)
}

// TestOddRegistrationShutsNothingOutForGood guards against an endpoint that gets no requests any more because another
// program, or a clock that was set back, once registered a later start at its address.
func TestOddRegistrationShutsNothingOutForGood(t *testing.T) {
	e := newEndpoint(t, "sound", ok)
	start := time.Now()
	var passed atomic.Int64
	f := newFixtureWith(t, translator{}, func() time.Time { return start.Add(time.Hour + time.Duration(passed.Load())) }, e)
	sound, odd := e.registered("s"), e.registered("s")
	sound.Born, odd.ID, odd.Born = 1, "odd", 2
	tick := func() int {
		passed.Add(int64(time.Second))
		f.Prune()
		return f.send(t, "/once/", "").status
	}
	f.SetEndpoints([]registrar.Endpoint{sound, odd})
	for range 10 {
		tick()
	}
	f.SetEndpoints([]registrar.Endpoint{sound})
	// Until then the registration can be that of an endpoint which has ended.
	assert.Equal(t, tick(), 503)
	for range 5 {
		tick()
	}
	assert.Equal(t, tick(), 200)
	// Reports of the engine's sidecar keep an earlier incarnation out for as long as they come.
	for range 10 {
		f.SetState(wire.EngineState{Address: sound.Address, Born: 2})
		assert.Equal(t, tick(), 503)
	}
}

// TestConnectFailureIsRetriedElsewhere guards against failing a request because one endpoint refuses connections.
func TestConnectFailureIsRetriedElsewhere(t *testing.T) {
	live := newEndpoint(t, "live", ok)
	f := newFixture(t, live)
	gone := registrar.Endpoint{ID: "gone", Service: "s", Address: refusingAddress(t), Slots: 4}
	f.SetEndpoints([]registrar.Endpoint{gone, live.registered("s")})
	for range 4 {
		assert.Equal(t, f.send(t, "/once/", "").status, 200)
	}
}

// refusingAddress returns an address that refuses connections. Its port is bound until the test ends, so that no other
// process can listen there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address, ok := bound.(*syscall.SockaddrInet4)
	assert.Assert(t, ok)
	return fmt.Sprint("127.0.0.1:", address.Port)
}

// TestRetryBudgetLimitsRetries guards against retries that multiply the load when endpoints fail every request.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	fails := func(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 500, "", "error") }
	a, b := newEndpoint(t, "a", fails), newEndpoint(t, "b", fails)
	f := newFixture(t, a, b)
	const requests = 40
	for range requests {
		f.send(t, "/again/", "")
	}
	repeats := a.count() + b.count() - requests
	assert.Assert(t, repeats <= 0.2*requests+5, "%d repeats", repeats)
}

// TestRetryBudgetRampsUpAfterRestart guards against entries that restart together, don't know of each other yet, and
// each spend the constant of the whole fleet in a window in which their previous processes already spent theirs.
func TestRetryBudgetRampsUpAfterRestart(t *testing.T) {
	fails := func(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 500, "", "error") }
	a, b := newEndpoint(t, "a", fails), newEndpoint(t, "b", fails)
	const entries, requests, constant = 10, 5, 60
	for range entries {
		now := time.Now()
		fresh := forwarder.New(forwarder.Config{
			Translator: translator{}, Pool: connector.New(connector.Config{}), Admitter: &admitter{}, Observer: observer{},
			Demand: func(string) {}, Retry: retrier.Config{Ratio: 0.2, Constant: constant, Window: 10 * time.Second},
			EntryCount: func() int { return 1 }, Now: func() time.Time { return now }, Seed: 1, Log: zerolog.Nop(),
		})
		fresh.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
			Version: 1, Services: []registrar.Service{{Name: "s"}},
			Routes: []registrar.Route{{
				Name: "again", Host: "h", Prefix: "/", Kind: registrar.Repeatable, Timeout: 5 * time.Second, Attempts: 2, Open: true,
				Targets: []registrar.Target{{Service: "s", Weight: 1}},
			}},
		}))
		fresh.SetEndpoints([]registrar.Endpoint{a.registered("s"), b.registered("s")})
		for range requests {
			r := httptest.NewRequest(http.MethodGet, "http://h/", nil)
			fresh.ServeHTTP(httptest.NewRecorder(), r)
		}
	}
	repeats := a.count() + b.count() - entries*requests
	assert.Assert(t, repeats <= 0.2*entries*requests, "%d repeats", repeats)
}

// TestMismatchedResponsesAreDiscarded guards against a caller that gets the response to another request.
func TestMismatchedResponsesAreDiscarded(t *testing.T) {
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
		if n > 1 {
			// A second response to the previous request precedes the response to this one.
			if _, err := fmt.Fprint(c, "HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"); err != nil {
				return false
			}
		}
		return respond(c, r, 200, "", "right")
	})
	f := newFixture(t, e)
	for range 3 {
		got := f.send(t, "/again/", "")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "right")
	}
}

// TestAnswerWithoutIDIsNotTakenOnReusedConnection guards against a caller that gets the late answer to another request
// because that answer names no request.
func TestAnswerWithoutIDIsNotTakenOnReusedConnection(t *testing.T) {
	var mu sync.Mutex
	used := map[net.Conn]bool{}
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		isReused := used[c]
		used[c] = true
		mu.Unlock()
		if isReused {
			if _, err := fmt.Fprint(c, "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwrong"); err != nil {
				return false
			}
		}
		return respond(c, r, 200, "", "right")
	})
	f := newFixture(t, e)
	for n, want := range []int{200, 502, 200, 502} {
		got := f.send(t, "/once/", "", "Id", strconv.Itoa(n))
		assert.Equal(t, got.status, want)
		assert.Assert(t, got.body != "wrong")
	}
}

// TestExtraBytesPreventReuse guards against treating bytes after a response as the next response.
func TestExtraBytesPreventReuse(t *testing.T) {
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
		body := "done"
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 4\r\n\r\n%sHTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra", r.Header.Get("Id"), body)
		return err == nil
	})
	f := newFixture(t, e)
	for range 3 {
		got := f.send(t, "/again/", "")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "done")
	}
}

// writeEvent writes one event of a stream in its own chunk.
func writeEvent(c net.Conn, id int) bool {
	text := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

func streamHead(c net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	return err == nil
}

func streamText(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return text.String()
}

// breakStream sends three events and a part of the fourth, and closes the connection.
func breakStream(c net.Conn, r *http.Request, _ int) bool {
	streamHead(c, r)
	for id := 1; id <= 3; id++ {
		writeEvent(c, id)
	}
	_, _ = fmt.Fprint(c, "10\r\nid: 4\ndata: pi")
	return false
}

// resumeStream sends the events after the last one that the request names, up to the sixth.
func resumeStream(c net.Conn, r *http.Request, _ int) bool {
	last, err := strconv.Atoi(r.Header.Get("Last"))
	if err != nil {
		last = 0
	}
	streamHead(c, r)
	for id := last + 1; id <= 6; id++ {
		writeEvent(c, id)
	}
	_, err = fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// TestResumableStreamContinuesElsewhere guards against missing, duplicated or truncated events when a stream is resumed at
// another endpoint.
func TestResumableStreamContinuesElsewhere(t *testing.T) {
	a, b := newEndpoint(t, "a", breakStream), newEndpoint(t, "b", resumeStream)
	f := newFixture(t, a, b)
	for range 4 {
		got := f.send(t, "/resume/", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, streamText(1, 6))
	}
	assert.Assert(t, a.count() > 0)
}

// TestBrokenStreamDoesNotLookComplete guards against a truncated stream that looks complete, and against retrying a stream
// that isn't resumable.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	a, b := newEndpoint(t, "a", breakStream), newEndpoint(t, "b", breakStream)
	got := newFixture(t, a, b).send(t, "/stream/", "")
	assert.Assert(t, got.err != nil, "the stream looks complete: %q", got.body)
	assert.Equal(t, got.body, streamText(1, 3))
	assert.Equal(t, a.count()+b.count(), 1)
}

// unframedStream writes a stream that has neither a length nor chunks and ends with its connection.
func unframedStream(text string) func(c net.Conn, r *http.Request, _ int) bool {
	return func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), text)
		return false
	}
}

// TestUnframedStreamEndsWithItsConnection guards against a whole stream without a length that looks broken off, and
// against one that looks whole although its endpoint ended before or inside an event.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	whole := newFixture(t, newEndpoint(t, "whole", unframedStream(streamText(1, 6)))).send(t, "/stream/", "")
	assert.NilError(t, whole.err)
	assert.Equal(t, whole.body, streamText(1, 6))

	inside := newFixture(t, newEndpoint(t, "inside", unframedStream(streamText(1, 3)+"id: 4\ndata: pi"))).send(t, "/stream/", "")
	assert.Assert(t, inside.err != nil, "the stream looks complete: %q", inside.body)
	assert.Equal(t, inside.body, streamText(1, 3))

	empty := newFixture(t, newEndpoint(t, "empty", unframedStream(""))).send(t, "/stream/", "")
	assert.Equal(t, empty.status, 502, "the stream looks complete: %q", empty.body)
}

// TestCallerDisconnectClosesEndpointConnection guards against endpoints that continue to work for disconnected callers.
func TestCallerDisconnectClosesEndpointConnection(t *testing.T) {
	begun := make(chan struct{})
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
		streamHead(c, r)
		writeEvent(c, 1)
		close(begun)
		return true
	})
	f := newFixture(t, e)
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan reply)
	go func() { end <- f.sendCtx(ctx, "/stream/", "") }()
	<-begun
	cancel()
	<-end
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.closed > 0 {
			return poll.Success()
		}
		return poll.Continue("the connection is still open")
	}, poll.WithTimeout(20*time.Second))
}

// TestRouteTimeout guards against holding a request past its route's timeout, and against reporting "not run" for a
// request that an endpoint may be running.
func TestRouteTimeout(t *testing.T) {
	e := newEndpoint(t, "e", func(c net.Conn, _ *http.Request, _ int) bool {
		var one [1]byte
		_, err := c.Read(one[:])
		return err == nil
	})
	assert.Equal(t, newFixture(t, e).send(t, "/short/", "").status, 504)
	assert.Equal(t, newFixture(t).send(t, "/short/", "").status, 503)
}

// useEngines replaces the routes by one to model engines with adapters, for requests to /model/.
func (f *fixture) useEngines() {
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2,
		Routes: []registrar.Route{{
			Name: "model", Host: "h", Prefix: "/model/", Kind: registrar.Once, Timeout: 20 * time.Second, Attempts: 1, Open: true,
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
		Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 4, AdapterSlots: 2}}},
	}))
}

// awaitDemand waits until an adapter is wanted at an endpoint.
func (f *fixture) awaitDemand(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if slices.ContainsFunc(f.Demands(""), func(d forwarder.EngineDemand) bool { return len(d.Message.Wanted) == 1 }) {
			return poll.Success()
		}
		return poll.Continue("the adapter is not wanted yet")
	}, poll.WithTimeout(20*time.Second))
}

// TestAdapterIsAwaited guards against sending a request to an engine that lacks the adapter, and against not sending it
// once the adapter is resident.
func TestAdapterIsAwaited(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	f := newFixture(t, e)
	key := registrar.AdapterKey{Model: "base", Adapter: "a1"}
	f.useEngines()
	f.SetEndpoints([]registrar.Endpoint{e.registered("s")})
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", key.String()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, d := range f.Demands("") {
			if len(d.Message.Wanted) == 1 && d.Message.Wanted[0].Adapter == "a1" {
				return poll.Success()
			}
		}
		return poll.Continue("the adapter is not wanted yet")
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, e.count(), 0)
	f.SetState(wire.EngineState{
		Address:  e.listener.Addr().String(),
		Adapters: &wire.EngineAdapters{Resident: []wire.AdapterName{{Model: "base", Version: 1}, {Model: "base", Adapter: "a1", Version: 1}}},
	})
	got := <-end
	assert.Equal(t, got.status, 200)
}

// TestWaitingRequestAvoidsLeavingEndpoint guards against sending a request to the engine at which it waited for its
// adapter, although the engine has started to leave in the meantime.
func TestWaitingRequestAvoidsLeavingEndpoint(t *testing.T) {
	leaving, remaining := newEndpoint(t, "leaver", ok), newEndpoint(t, "stays", ok)
	f := newFixture(t, leaving)
	f.useEngines()
	held := []registrar.HeldModel{{Name: "base", Version: 1, Adapters: []registrar.HeldAdapter{{Name: "a1", Version: 1}}}}
	first := leaving.registered("s")
	f.SetEndpoints([]registrar.Endpoint{first})
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	f.awaitDemand(t)
	second := remaining.registered("s")
	second.Models = held
	first.IsLeaving = true
	f.SetEndpoints([]registrar.Endpoint{first, second})
	f.SetState(wire.EngineState{
		Address:  first.Address,
		Adapters: &wire.EngineAdapters{Resident: []wire.AdapterName{{Model: "base", Version: 1}, {Model: "base", Adapter: "a1", Version: 1}}},
	})
	got := <-end
	assert.Equal(t, got.status, 200)
	assert.Equal(t, leaving.count(), 0)
	assert.Equal(t, remaining.count(), 1)
}

// TestLeavingEntryClosesConnections guards against callers that keep connections to an entry that is shutting down.
func TestLeavingEntryClosesConnections(t *testing.T) {
	f := newFixture(t, newEndpoint(t, "e", ok))
	f.Leave()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/once/", bytes.NewReader(nil))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("Key", "k")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, response.Close)
}

// BenchmarkStreamedEvent measures the cost of one stream event from an endpoint through the entry to a caller, all in one
// process. The cost of the entry is the difference from BenchmarkDirectEvent.
func BenchmarkStreamedEvent(b *testing.B) {
	address, next := eventSource(b)
	f := forwarder.New(forwarder.Config{
		Translator: translator{}, Pool: connector.New(connector.Config{}), Admitter: &admitter{}, Observer: observer{},
		Demand: func(string) {}, EntryCount: func() int { return 1 }, Now: time.Now, Seed: 1, Log: zerolog.Nop(),
	})
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 1,
		Routes: []registrar.Route{{
			Name: "stream", Host: "h", Prefix: "/", Kind: registrar.Stream, Timeout: time.Hour, Attempts: 1, Open: true,
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
		Services: []registrar.Service{{Name: "s"}},
	}))
	f.SetEndpoints([]registrar.Endpoint{{ID: "e", Service: "s", Address: address}})
	server := httptest.NewServer(f)
	defer server.Close()
	readEvents(b, server.Listener.Addr().String(), next)
}

// BenchmarkDirectEvent measures the cost of one stream event without an entry.
func BenchmarkDirectEvent(b *testing.B) {
	address, next := eventSource(b)
	readEvents(b, address, next)
}

const benchmarkEvent = "id: 1234\ndata: 012345678901234567890123456789\n\n"

// eventSource starts an endpoint that sends one event for each value sent on the returned channel.
func eventSource(b *testing.B) (string, chan struct{}) {
	b.Helper()
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(benchmarkEvent), benchmarkEvent))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	next := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		streamHead(c, r)
		for range next {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
		_, _ = c.Write([]byte("0\r\n\r\n"))
	}()
	return l.Addr().String(), next
}

func readEvents(b *testing.B, address string, next chan struct{}) {
	b.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(b, err)
	next <- struct{}{}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(b, err)
	buffer := make([]byte, len(benchmarkEvent))
	_, err = io.ReadFull(response.Body, buffer)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		next <- struct{}{}
		if _, err := io.ReadFull(response.Body, buffer); err != nil {
			b.Fatal(err)
		}
	}
	close(next)
}

// TestExpiredRequestIsNotSentAfterPause guards against sending a request whose deadline passed while the entry was
// suspended between the selection of the endpoint and the send.
func TestExpiredRequestIsNotSentAfterPause(t *testing.T) {
	for _, path := range []string{"/once/", "/again/"} {
		e := newEndpoint(t, "e", ok)
		paused := &atomic.Int64{}
		f := newFixtureWith(t, hookedTranslator{beforeSend: func() { paused.Add(int64(time.Minute)) }}, func() time.Time {
			return time.Now().Add(time.Duration(paused.Load()))
		}, e)
		assert.Equal(t, f.send(t, path, "").status, 503, path)
		assert.Equal(t, e.count(), 0, path)
	}
}

// TestSilentEndpointAttemptsAreAbandoned guards against idempotent requests that wait for an endpoint on a stopped VM until
// their deadlines, and against retrying a request that is not idempotent or whose endpoint still sends heartbeats.
func TestSilentEndpointAttemptsAreAbandoned(t *testing.T) {
	const heartbeat = 20 * time.Millisecond
	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	stopped := newEndpoint(t, "stopped", func(net.Conn, *http.Request, int) bool {
		<-unblock
		return false
	})
	other := newEndpoint(t, "other", ok)
	f := newFixture(t, stopped)
	both := []registrar.Endpoint{stopped.registered("s"), other.registered("s")}
	report := func(e *endpoint) {
		f.SetState(wire.EngineState{Address: e.listener.Addr().String(), NextWithinMilliseconds: heartbeat.Milliseconds()})
	}
	report(stopped)
	replies := make(chan reply, 2)
	go func() { replies <- f.sendCtx(t.Context(), "/once/", "", "Patience", "2500") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(stopped, 1) })
	go func() { replies <- f.sendCtx(t.Context(), "/again/", "", "Patience", "4900") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(stopped, 2) })
	f.SetEndpoints(both)
	end := time.Now().Add(4 * time.Second)
	for len(replies) == 0 && time.Now().Before(end) {
		report(other)
		f.CheckLiveness()
		time.Sleep(heartbeat / 2)
	}
	assert.Equal(t, (<-replies).status, 200)
	assert.Equal(t, other.count(), 1)
	assert.Equal(t, (<-replies).status, 504)
	assert.Equal(t, other.count(), 1)
}

func hasRequestCount(e *endpoint, n int) poll.Result {
	if e.count() == n {
		return poll.Success()
	}
	return poll.Continue("%d of %d requests", e.count(), n)
}

// TestChangedRetryBudgetApplies guards against a retry budget that keeps its initial configuration.
func TestChangedRetryBudgetApplies(t *testing.T) {
	a, b := newEndpoint(t, "a", dropResponse), newEndpoint(t, "b", dropResponse)
	f := newFixture(t, a, b)
	f.SetRetry(retrier.Config{Ratio: 1e-9, Constant: 1e-9, Window: 10 * time.Second})
	assert.Equal(t, f.send(t, "/again/", "").status, 502)
	assert.Equal(t, a.count()+b.count(), 1)
	f.SetRetry(retrier.Config{Ratio: 0.2, Constant: 5, Window: 10 * time.Second})
	assert.Equal(t, f.send(t, "/again/", "").status, 502)
	assert.Equal(t, a.count()+b.count(), 3)
}

// TestOverloadedEntryRejectsAtOnce guards against an entry that goes on accepting requests while it is seconds behind,
// and against one that goes on rejecting after it has caught up.
func TestOverloadedEntryRejectsAtOnce(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	var clock atomic.Int64
	start := time.Now()
	f := newFixtureWith(t, translator{}, func() time.Time { return start.Add(time.Duration(clock.Load())) }, e)
	measure := func(delay time.Duration) {
		for range 10 {
			clock.Add(int64(50 * time.Millisecond))
			f.RecordDelay(delay)
		}
	}
	measure(500 * time.Millisecond)
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		got := f.send(t, path, "")
		assert.Equal(t, got.status, 503, path)
		assert.Equal(t, got.header.Get("Retry-After"), "0.500", path)
		assert.Assert(t, strings.Contains(got.body, `"IsNotRun":true`), got.body)
	}
	assert.Equal(t, e.count(), 0)
	measure(time.Millisecond)
	assert.Equal(t, f.send(t, "/once/", "").status, 200)
}

// TestDelayCountsAgainstTheDeadline guards against an entry that is behind and gives an endpoint the whole of the caller's
// time, of which the request has already spent the delay in the entry's queue.
func TestDelayCountsAgainstTheDeadline(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	f := newFixture(t, e)
	f.RecordDelay(90 * time.Millisecond)
	assert.Equal(t, f.send(t, "/once/", "", "Patience", "3000").status, 200)
	remaining, err := strconv.Atoi(e.requests[0].Header.Get("Remaining"))
	assert.NilError(t, err)
	assert.Assert(t, remaining <= 2910, remaining)
}

// deafContext hides the caller's departure from the request's context, as in an entry that is too far behind to see it.
type deafContext struct{ context.Context }

func (deafContext) Done() <-chan struct{} { return nil }
func (deafContext) Err() error            { return nil }

// TestRequestOfDepartedCallerIsNotSent guards against sending a request whose caller has closed its connection, although
// the entry has not been told so yet.
func TestRequestOfDepartedCallerIsNotSent(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	var caller net.Conn
	ended := make(chan struct{})
	f := newFixtureWith(t, hookedTranslator{beforeSend: func() {
		_ = caller.Close()
		time.Sleep(50 * time.Millisecond)
	}}, longRunningClock(), e)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		f.ServeHTTP(w, r.WithContext(deafContext{r.Context()}))
	}))
	server.Config.ConnContext = forwarder.WithCallerConn
	server.Start()
	t.Cleanup(server.Close)
	caller, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(caller, "POST /once/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	<-ended
	assert.Equal(t, e.count(), 0)
}

// writeWithoutEnd writes the piece until the connection is closed, but not more than a reader with limits would take.
func writeWithoutEnd(c net.Conn, written *atomic.Int64, piece string) bool {
	block := []byte(strings.Repeat(piece, 1+(32<<10)/len(piece)))
	for written.Load() < 64<<20 {
		n, err := c.Write(block)
		written.Add(int64(n))
		if err != nil {
			return false
		}
	}
	return false
}

// TestEndlessAnswersAreCutOff guards against an endpoint that sends bytes without end, in the head, the body or an event,
// which would fill the entry's memory.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	for name, start := range map[string]string{
		"head":             "HTTP/1.1 200 OK\r\nA: ",
		"unframed body":    "HTTP/1.1 200 OK\r\n\r\n",
		"declared body":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
		"event":            "HTTP/1.1 200 OK\r\n\r\ndata: ",
		"chunk size":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		"trailers":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
		"other's response": "HTTP/1.1 200 OK\r\nId: other\r\n\r\n",
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			var written atomic.Int64
			e := newEndpoint(t, "e", func(c net.Conn, _ *http.Request, _ int) bool {
				if _, err := io.WriteString(c, start); err != nil {
					return false
				}
				return writeWithoutEnd(c, &written, "a")
			})
			f := newFixture(t, e)
			got := f.send(t, path, "")
			assert.Assert(t, got.err != nil || got.status == 502, "%s %s: %d", name, path, got.status)
			assert.Assert(t, written.Load() < 32<<20, "%s %s: %d bytes were taken", name, path, written.Load())
		}
	}
}

// TestEndlessAnswersTogetherAreBounded guards against many answers without end that each stay within their own limit and
// together fill the entry's memory, so that it ends with the requests of all callers. Ordinary answers pass meanwhile.
func TestEndlessAnswersTogetherAreBounded(t *testing.T) {
	// Each answer stays below its own limit. All but maxHeld of them exceed the memory together.
	const requests, answerMemory, answer = 40, 1 << 20, 300 << 10
	const maxHeld = answerMemory / (answer - 64<<10)
	for _, path := range []string{"/long/", "/longstream/"} {
		ctx, cancel := context.WithCancel(t.Context())
		endless := newEndpoint(t, "endless", func(c net.Conn, r *http.Request, _ int) bool {
			if r.Header.Get("Small") != "" {
				return respond(c, r, 200, "", streamText(1, 1))
			}
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ndata: "+strings.Repeat("a", answer))
			<-ctx.Done()
			return err == nil && false
		})
		f := newFixtureWithConfig(t, func(c *forwarder.Config) { c.AnswerMemory = answerMemory }, endless)
		var cut atomic.Int64
		var replies sync.WaitGroup
		for n := range requests {
			replies.Add(1)
			go func() {
				defer replies.Done()
				if f.sendCtx(ctx, path, "", "Id", strconv.Itoa(n)).status == http.StatusBadGateway {
					cut.Add(1)
				}
			}()
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if cut.Load() >= requests-maxHeld {
				return poll.Success()
			}
			return poll.Continue("%d of %d answers are cut off", cut.Load(), requests)
		}, poll.WithTimeout(30*time.Second))
		assert.Equal(t, f.send(t, path, "", "Id", "small", "Small", "1").status, 200)
		cancel()
		replies.Wait()
	}
}

// TestBytesAfterAnAnswerReachNobody guards against the bytes that an endpoint sends after a complete answer, at once or
// late, becoming part of the next answer on the connection. Callers may give their requests the same ID or none.
func TestBytesAfterAnAnswerReachNobody(t *testing.T) {
	for _, ids := range [][]string{{"same", "same", "same", "same"}, {"1", "2", "3", "4"}, {"", "", "", ""}, {"1", "", "2", "1"}} {
		for _, late := range []time.Duration{0, 50 * time.Millisecond} {
			e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
				if !respond(c, r, 200, "", "answer "+strconv.Itoa(n)) {
					return false
				}
				time.Sleep(late)
				return respond(c, r, 200, "", "second copy")
			})
			f := newFixture(t, e)
			for n, id := range ids {
				got := f.send(t, "/once/", "", "Id", id)
				assert.Equal(t, got.status, 200)
				assert.Equal(t, got.body, "answer "+strconv.Itoa(n+1), "requests %q", ids)
				time.Sleep(2 * late)
			}
		}
	}
}

// TestLateCopyOfAnswerIsNotTakenForTheNext guards against the second copy of an answer, sent in front of the next answer
// on the connection, being taken for that one: after a rejection, the request would run twice.
func TestLateCopyOfAnswerIsNotTakenForTheNext(t *testing.T) {
	for _, id := range []string{"id", ""} {
		for _, path := range []string{"/once/", "/stream/", "/again/"} {
			var runs atomic.Int64
			copies := map[net.Conn]func() bool{}
			var mu sync.Mutex
			e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
				mu.Lock()
				late := copies[c]
				delete(copies, c)
				mu.Unlock()
				if late != nil && !late() {
					return false
				}
				if n%2 == 0 {
					runs.Add(1)
					return respond(c, r, 200, "", streamText(n, n))
				}
				mu.Lock()
				copies[c] = func() bool { return respond(c, r, 421, "", "") }
				mu.Unlock()
				return respond(c, r, 421, "", "")
			})
			f := newFixture(t, e)
			for n := range 3 {
				got := f.send(t, path, "", "Id", id)
				assert.Equal(t, got.status, 200, "request %d with the ID %q to %s: %s", n, id, path, got.body)
				assert.Equal(t, got.body, streamText(2*n+2, 2*n+2))
				assert.Equal(t, runs.Load(), int64(n+1), "request %d with the ID %q to %s", n, id, path)
			}
		}
	}
}

// TestTricklingStreamIsAbandonedAtSilentEndpoint guards against a stream at a silent endpoint that seems alive because it
// sends a byte now and then, and never an event. It must go on elsewhere.
func TestTricklingStreamIsAbandonedAtSilentEndpoint(t *testing.T) {
	const heartbeat = 20 * time.Millisecond
	trickling := newEndpoint(t, "trickling", func(c net.Conn, r *http.Request, _ int) bool {
		streamHead(c, r)
		for {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(heartbeat)
		}
	})
	other := newEndpoint(t, "other", func(c net.Conn, r *http.Request, _ int) bool {
		streamHead(c, r)
		_, err := io.WriteString(c, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")
		return err == nil
	})
	f := newFixture(t, trickling)
	f.SetState(wire.EngineState{Address: trickling.listener.Addr().String(), NextWithinMilliseconds: heartbeat.Milliseconds()})
	replies := make(chan reply, 1)
	go func() { replies <- f.sendCtx(t.Context(), "/resume/", "", "Patience", "4900") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(trickling, 1) })
	f.SetEndpoints([]registrar.Endpoint{trickling.registered("s"), other.registered("s")})
	end := time.Now().Add(4 * time.Second)
	for len(replies) == 0 && time.Now().Before(end) {
		f.SetState(wire.EngineState{Address: other.listener.Addr().String(), NextWithinMilliseconds: heartbeat.Milliseconds()})
		f.CheckLiveness()
		time.Sleep(heartbeat / 2)
	}
	got := <-replies
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "id: 1\ndata: a\n\n")
}
