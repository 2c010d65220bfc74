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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// translator is the product's own set of headers for these tests.
type translator struct{}

func (translator) RequestIDHeader() string { return "Id" }

func (translator) DecodeCall(h http.Header) forwarder.Call {
	ms, err := strconv.Atoi(h.Get("Patience"))
	if err != nil {
		ms = 0
	}
	return forwarder.Call{
		ID: h.Get("Id"), Key: h.Get("Key"), Patience: time.Duration(ms) * time.Millisecond,
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

func (translator) DecodeAnswer(r *http.Response) forwarder.Answer {
	return forwarder.Answer{
		RequestID: r.Header.Get("Id"), IsNotRun: r.Header.Get("Not-Run") != "" || r.StatusCode == 421, IsMisdirected: r.StatusCode == 421,
		EndpointID: r.Header.Get("Answerer"),
	}
}

type admitter struct{ refuses bool }

func (a *admitter) Admit(*registrar.Organisation, float64) (bool, time.Duration) {
	return !a.refuses, time.Second
}

func (a *admitter) Standing(*registrar.Organisation) forwarder.Standing { return forwarder.Standing{} }

func (a *admitter) Refund(*registrar.Organisation, float64) {}

type observer struct{}

func (observer) Request(string, string)           {}
func (observer) Refusal(string, string)           {}
func (observer) Retry(string)                     {}
func (observer) FirstToken(string, time.Duration) {}

// endpoint is an endpoint whose connections a test answers by hand.
type endpoint struct {
	t        *testing.T
	id       string
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	closed   int
}

// newEndpoint starts an endpoint; answer writes what comes back to the n-th request and says whether to go on reading.
func newEndpoint(t *testing.T, id string, answer func(c net.Conn, r *http.Request, n int) bool) *endpoint {
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
			go e.serve(c, answer)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, answer func(net.Conn, *http.Request, int) bool) {
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
		if !answer(c, r, n) {
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

func refuses(c net.Conn, r *http.Request, _ int) bool {
	return respond(c, r, 503, "Not-Run: 1\r\n", "full")
}

// drops takes the request and loses its answer.
func drops(net.Conn, *http.Request, int) bool { return false }

type fixture struct {
	*forwarder.Forwarder
	server   *httptest.Server
	admitter *admitter
}

// longRunning is the clock of a process that started an hour before its second look at it.
func longRunning() func() time.Time {
	var isStarted atomic.Bool
	return func() time.Time {
		if isStarted.Swap(true) {
			return time.Now()
		}
		return time.Now().Add(-time.Hour)
	}
}

// newFixture serves routes of each kind to the endpoints of one service.
func newFixture(t *testing.T, endpoints ...*endpoint) *fixture {
	t.Helper()
	return newFixtureWith(t, translator{}, longRunning(), endpoints...)
}

func newFixtureWith(t *testing.T, headers forwarder.Translator, now func() time.Time, endpoints ...*endpoint) *fixture {
	t.Helper()
	a := &admitter{}
	f := forwarder.New(forwarder.Config{
		VM: "entry", Translator: headers, Pool: connector.New(connector.Config{}), Admitter: a, Observer: observer{},
		Demand: func(string) {}, Retry: retrier.Config{Ratio: 0.2, Constant: 5, Window: 10 * time.Second}, Entries: func() int { return 1 },
		Now: now, Seed: 1, Log: zerolog.Nop(),
	})
	targets := []registrar.Target{{Service: "s", Weight: 1}}
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 1,
		Routes: []registrar.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: registrar.Once, Timeout: 5 * time.Second, Targets: targets, Attempts: 2},
			{Name: "again", Host: "h", Prefix: "/again/", Kind: registrar.Repeatable, Timeout: 5 * time.Second, Targets: targets, Attempts: 2},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: registrar.Stream, Timeout: 5 * time.Second, Targets: targets, Attempts: 2},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: registrar.Stream, Timeout: 5 * time.Second, Targets: targets, Attempts: 2, Resumable: true},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: registrar.Once, Timeout: 100 * time.Millisecond, Targets: targets, Attempts: 1},
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
	server := httptest.NewServer(f)
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

// TestRequestArrivesAsItWasSent guards against a changed path, query or body, against the key at an endpoint, and
// against a deadline that is longer than what is left.
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

// TestOwnAnswers guards against a request that runs though it may not, and against a wrong reason.
func TestOwnAnswers(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	f := newFixture(t, e)
	assert.Equal(t, f.send(t, "/nowhere/", "").status, 404)
	assert.Equal(t, f.send(t, "/once/", "", "Key", "wrong").status, 401)
	assert.Equal(t, f.send(t, "/once/", strings.Repeat("x", 1001)).status, 413)
	f.admitter.refuses = true
	limited := f.send(t, "/once/", "")
	assert.Equal(t, limited.status, 429)
	assert.Assert(t, limited.header.Get("Retry-After") != "")
	assert.Equal(t, e.count(), 0)
	assert.Equal(t, f.send(t, "/open/", "", "Key", "").status, 200)
}

// TestNoConfigurationIsNoRefusal guards against 401 or 404 from an entry that knows no configuration yet.
func TestNoConfigurationIsNoRefusal(t *testing.T) {
	f := forwarder.New(forwarder.Config{Translator: translator{}, Observer: observer{}, Now: time.Now, Log: zerolog.Nop()})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/once/", nil))
	assert.Equal(t, w.Code, 503)
}

// TestConfigurationNeverGoesBack guards against an older configuration that replaces a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	older := registrar.NewConfiguration(registrar.ConfigurationParts{Version: 0})
	assert.Assert(t, !f.SetConfiguration(older))
	assert.Equal(t, f.Configuration().Version(), int64(1))
}

// TestLostAnswerOfOnceIsNotSentAgain guards against a booking that runs twice, and against a refusal that says that it
// has not run.
func TestLostAnswerOfOnceIsNotSentAgain(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		a, b := newEndpoint(t, "a", drops), newEndpoint(t, "b", drops)
		got := newFixture(t, a, b).send(t, path, "")
		assert.Equal(t, got.status, 502, path)
		assert.Equal(t, a.count()+b.count(), 1, path)
	}
}

// TestLostAnswerOfRepeatableGoesElsewhere guards against a lookup that fails although another endpoint would answer.
func TestLostAnswerOfRepeatableGoesElsewhere(t *testing.T) {
	a, b := newEndpoint(t, "a", drops), newEndpoint(t, "b", ok)
	f := newFixture(t, a, b)
	for range 4 {
		assert.Equal(t, f.send(t, "/again/", "").status, 200)
	}
}

// TestFailureOfRepeatableGoesElsewhere guards against a failure that is passed on although a repeat may succeed, and
// against the loss of the endpoint's own answer when none does.
func TestFailureOfRepeatableGoesElsewhere(t *testing.T) {
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

// TestNotRunGoesElsewhere guards against a refusal while another endpoint is free.
func TestNotRunGoesElsewhere(t *testing.T) {
	full, free := newEndpoint(t, "full", refuses), newEndpoint(t, "free", ok)
	f := newFixture(t, full, free)
	for range 4 {
		assert.Equal(t, f.send(t, "/once/", "").status, 200)
	}
	got := newFixture(t, newEndpoint(t, "e", refuses)).send(t, "/once/", "")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestReusedAddressGoesElsewhere guards against a refusal of a request that may be sent to one endpoint only and met
// another one at its address, and against a request that is sent there again and again.
func TestReusedAddressGoesElsewhere(t *testing.T) {
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

// TestSupersededRunGetsNothing guards against requests for an earlier run of an endpoint whose registration has outlived
// it: the later run at its address turns them away, and each counts as a repeat.
func TestSupersededRunGetsNothing(t *testing.T) {
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
	// The sidecar knows of the later run before the registration does.
	other := newFixture(t, e)
	other.SetEndpoints([]registrar.Endpoint{earlier})
	other.SetState(wire.EngineState{Address: earlier.Address, Born: 2})
	assert.Equal(t, other.send(t, "/once/", "").status, 503)
	assert.Equal(t, e.count(), 20)
}

// TestClosedPortIsNotRun guards against a failure for a request that never reached an endpoint.
func TestClosedPortIsNotRun(t *testing.T) {
	gone, live := newEndpoint(t, "gone", ok), newEndpoint(t, "live", ok)
	assert.NilError(t, gone.listener.Close())
	f := newFixture(t, gone, live)
	for range 4 {
		assert.Equal(t, f.send(t, "/once/", "").status, 200)
	}
}

// TestBudgetBoundsRepeats guards against repeats that multiply the load when an endpoint fails everything.
func TestBudgetBoundsRepeats(t *testing.T) {
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

// TestRestartedEntriesKeepTheBudget guards against entries that restart together and, not knowing of one another yet,
// each spend the whole fleet's constant in a window in which their earlier processes have spent theirs.
func TestRestartedEntriesKeepTheBudget(t *testing.T) {
	fails := func(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 500, "", "error") }
	a, b := newEndpoint(t, "a", fails), newEndpoint(t, "b", fails)
	const entries, requests, constant = 10, 5, 60
	for range entries {
		now := time.Now()
		fresh := forwarder.New(forwarder.Config{
			Translator: translator{}, Pool: connector.New(connector.Config{}), Admitter: &admitter{}, Observer: observer{},
			Demand: func(string) {}, Retry: retrier.Config{Ratio: 0.2, Constant: constant, Window: 10 * time.Second},
			Entries: func() int { return 1 }, Now: func() time.Time { return now }, Seed: 1, Log: zerolog.Nop(),
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

// TestStrayAnswersArePassedOver guards against a caller that gets the answer to another request.
func TestStrayAnswersArePassedOver(t *testing.T) {
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
		if n > 1 {
			// A second answer to the request before arrives where the next one is due.
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

// TestExtraBytesEndTheConnection guards against bytes after an answer that are taken for the next answer.
func TestExtraBytesEndTheConnection(t *testing.T) {
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

// event writes one event of a stream in its own chunk.
func event(c net.Conn, id int) bool {
	text := fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

func streamHead(c net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	return err == nil
}

func pieces(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return text.String()
}

// breaksOff sends some events and a part of the next one, and resets.
func breaksOff(c net.Conn, r *http.Request, _ int) bool {
	streamHead(c, r)
	for id := 1; id <= 3; id++ {
		event(c, id)
	}
	_, _ = fmt.Fprint(c, "10\r\nid: 4\ndata: pi")
	return false
}

// goesOn sends the events after the last one that the request names, up to the sixth.
func goesOn(c net.Conn, r *http.Request, _ int) bool {
	last, err := strconv.Atoi(r.Header.Get("Last"))
	if err != nil {
		last = 0
	}
	streamHead(c, r)
	for id := last + 1; id <= 6; id++ {
		event(c, id)
	}
	_, err = fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// TestResumableStreamGoesOn guards against a piece that is missing, doubled or cut when a stream moves to another endpoint.
func TestResumableStreamGoesOn(t *testing.T) {
	a, b := newEndpoint(t, "a", breaksOff), newEndpoint(t, "b", goesOn)
	f := newFixture(t, a, b)
	for range 4 {
		got := f.send(t, "/resume/", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, pieces(1, 6))
	}
	assert.Assert(t, a.count() > 0)
}

// TestBrokenStreamDoesNotLookComplete guards against a stream that ends early and looks whole, and against one that may
// run once and is sent again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	a, b := newEndpoint(t, "a", breaksOff), newEndpoint(t, "b", breaksOff)
	got := newFixture(t, a, b).send(t, "/stream/", "")
	assert.Assert(t, got.err != nil, "the stream looks complete: %q", got.body)
	assert.Equal(t, got.body, pieces(1, 3))
	assert.Equal(t, a.count()+b.count(), 1)
}

// TestCallerWhoLeavesFreesItsPlace guards against endpoints that work on for callers that have left.
func TestCallerWhoLeavesFreesItsPlace(t *testing.T) {
	begun := make(chan struct{})
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
		streamHead(c, r)
		event(c, 1)
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

// TestTimeoutIsFinal guards against a request that is held past its route's timeout, and against "not run" for one that
// an endpoint may be running.
func TestTimeoutIsFinal(t *testing.T) {
	e := newEndpoint(t, "e", func(c net.Conn, _ *http.Request, _ int) bool {
		var one [1]byte
		_, err := c.Read(one[:])
		return err == nil
	})
	assert.Equal(t, newFixture(t, e).send(t, "/short/", "").status, 504)
	assert.Equal(t, newFixture(t).send(t, "/short/", "").status, 503)
}

// TestAdapterIsAwaited guards against a request that is sent to an engine which lacks its adapter, and against one that
// isn't sent once the adapter is there.
func TestAdapterIsAwaited(t *testing.T) {
	e := newEndpoint(t, "e", ok)
	f := newFixture(t, e)
	key := registrar.AdapterKey{Model: "base", Adapter: "a1"}
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2,
		Routes: []registrar.Route{{
			Name: "model", Host: "h", Prefix: "/model/", Kind: registrar.Once, Timeout: 20 * time.Second, Attempts: 1, Open: true,
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
		Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 4, AdapterSlots: 2}}},
	}))
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

// TestLeaverGetsNoneThatWaited guards against a request that waited for its adapter at an engine and is sent there
// although the engine has begun to leave meanwhile.
func TestLeaverGetsNoneThatWaited(t *testing.T) {
	leaver, stays := newEndpoint(t, "leaver", ok), newEndpoint(t, "stays", ok)
	f := newFixture(t, leaver)
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2,
		Routes: []registrar.Route{{
			Name: "model", Host: "h", Prefix: "/model/", Kind: registrar.Once, Timeout: 20 * time.Second, Attempts: 1, Open: true,
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
		Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 4, AdapterSlots: 2}}},
	}))
	held := []registrar.HeldModel{{Name: "base", Version: 1, Adapters: []registrar.HeldAdapter{{Name: "a1", Version: 1}}}}
	first := leaver.registered("s")
	f.SetEndpoints([]registrar.Endpoint{first})
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.Demands("")[0].Message.Wanted) == 1 {
			return poll.Success()
		}
		return poll.Continue("the adapter is not wanted yet")
	}, poll.WithTimeout(20*time.Second))
	second := stays.registered("s")
	second.Models = held
	first.IsLeaving = true
	f.SetEndpoints([]registrar.Endpoint{first, second})
	f.SetState(wire.EngineState{
		Address:  first.Address,
		Adapters: &wire.EngineAdapters{Resident: []wire.AdapterName{{Model: "base", Version: 1}, {Model: "base", Adapter: "a1", Version: 1}}},
	})
	got := <-end
	assert.Equal(t, got.status, 200)
	assert.Equal(t, leaver.count(), 0)
	assert.Equal(t, stays.count(), 1)
}

// TestLeavingEntrySaysSo guards against callers that keep connections to an entry that stops.
func TestLeavingEntrySaysSo(t *testing.T) {
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

// BenchmarkStreamedEvent measures what one event of a stream costs from an endpoint through the entry to a caller, all
// three on one machine. The entry's part is the difference to BenchmarkDirectEvent.
func BenchmarkStreamedEvent(b *testing.B) {
	address, next := eventSource(b)
	f := forwarder.New(forwarder.Config{
		Translator: translator{}, Pool: connector.New(connector.Config{}), Admitter: &admitter{}, Observer: observer{},
		Demand: func(string) {}, Entries: func() int { return 1 }, Now: time.Now, Seed: 1, Log: zerolog.Nop(),
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

// BenchmarkDirectEvent measures the same without an entry.
func BenchmarkDirectEvent(b *testing.B) {
	address, next := eventSource(b)
	readEvents(b, address, next)
}

const benchmarkEvent = "id: 1234\ndata: 012345678901234567890123456789\n\n"

// eventSource is an endpoint that sends one event for each receipt from the channel.
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

// stoppingTranslator lets the entry stand still for a minute just before each send.
type stoppingTranslator struct {
	translator
	still *atomic.Int64
}

func (t stoppingTranslator) EndpointHeader(caller http.Header, d forwarder.Dispatch) http.Header {
	t.still.Add(int64(time.Minute))
	return t.translator.EndpointHeader(caller, d)
}

// TestWokenEntrySendsNothingOld guards against a request that reaches an endpoint though its time ran out while the
// entry stood still between the choice and the send.
func TestWokenEntrySendsNothingOld(t *testing.T) {
	for _, path := range []string{"/once/", "/again/"} {
		e := newEndpoint(t, "e", ok)
		still := &atomic.Int64{}
		f := newFixtureWith(t, stoppingTranslator{still: still}, func() time.Time {
			return time.Now().Add(time.Duration(still.Load()))
		}, e)
		assert.Equal(t, f.send(t, path, "").status, 503, path)
		assert.Equal(t, e.count(), 0, path)
	}
}

// TestSilentEndpointLosesWhatCanMove guards against requests that wait until their callers leave for an endpoint whose VM
// has stopped, and against a move of one that may not run twice or of one whose endpoint is heard.
func TestSilentEndpointLosesWhatCanMove(t *testing.T) {
	const beat = 20 * time.Millisecond
	waits := make(chan struct{})
	t.Cleanup(func() { close(waits) })
	stopped := newEndpoint(t, "stopped", func(net.Conn, *http.Request, int) bool {
		<-waits
		return false
	})
	other := newEndpoint(t, "other", ok)
	f := newFixture(t, stopped)
	both := []registrar.Endpoint{stopped.registered("s"), other.registered("s")}
	report := func(e *endpoint) {
		f.SetState(wire.EngineState{Address: e.listener.Addr().String(), NextWithinMilliseconds: beat.Milliseconds()})
	}
	report(stopped)
	replies := make(chan reply, 2)
	go func() { replies <- f.sendCtx(t.Context(), "/once/", "", "Patience", "2500") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return isCount(stopped, 1) })
	go func() { replies <- f.sendCtx(t.Context(), "/again/", "", "Patience", "4900") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return isCount(stopped, 2) })
	f.SetEndpoints(both)
	end := time.Now().Add(4 * time.Second)
	for len(replies) == 0 && time.Now().Before(end) {
		report(other)
		f.Watch()
		time.Sleep(beat / 2)
	}
	assert.Equal(t, (<-replies).status, 200)
	assert.Equal(t, other.count(), 1)
	assert.Equal(t, (<-replies).status, 504)
	assert.Equal(t, other.count(), 1)
}

func isCount(e *endpoint, n int) poll.Result {
	if e.count() == n {
		return poll.Success()
	}
	return poll.Continue("%d of %d requests", e.count(), n)
}

// TestChangedBudgetBinds guards against a budget of repeats that stays as it was at the start.
func TestChangedBudgetBinds(t *testing.T) {
	a, b := newEndpoint(t, "a", drops), newEndpoint(t, "b", drops)
	f := newFixture(t, a, b)
	f.SetRetry(retrier.Config{Ratio: 1e-9, Constant: 1e-9, Window: 10 * time.Second})
	assert.Equal(t, f.send(t, "/again/", "").status, 502)
	assert.Equal(t, a.count()+b.count(), 1)
	f.SetRetry(retrier.Config{Ratio: 0.2, Constant: 5, Window: 10 * time.Second})
	assert.Equal(t, f.send(t, "/again/", "").status, 502)
	assert.Equal(t, a.count()+b.count(), 3)
}
