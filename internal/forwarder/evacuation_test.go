package forwarder_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
)

// setDomains lists the endpoints, each in the failure domain of its own ID.
func (f *fixture) setDomains(endpoints ...*endpoint) {
	list := make([]registrar.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		r := e.registered("s")
		r.Domain = e.id
		list = append(list, r)
	}
	f.SetEndpoints(list)
}

// TestEvacuatedDomainGetsNoRequests guards against a new request, a retry, a resumed stream or the use of a pooled connection
// in an evacuated failure domain, against a broken response there, against a request that is held although no endpoint is
// left, and against an evacuation that doesn't end.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	started, resume := make(chan struct{}), make(chan struct{})
	a := newEndpoint(t, "a", func(c net.Conn, r *http.Request, n int) bool {
		if r.URL.Path != "/stream/" {
			return ok(c, r, n)
		}
		streamHead(c, r)
		writeEvent(c, 1)
		close(started)
		<-resume
		return writeEvent(c, 2) && func() bool { _, err := c.Write([]byte("0\r\n\r\n")); return err == nil }()
	})
	b := newEndpoint(t, "b", func(c net.Conn, r *http.Request, n int) bool {
		switch r.URL.Path {
		case "/again/":
			return rejectNotRun(c, r, n)
		case "/resume/":
			return breakStream(c, r, n)
		}
		return ok(c, r, n)
	})
	f := newFixture(t, a, b)
	f.setDomains(a)
	assert.Equal(t, f.send(t, "/once/", "").status, 200) // leaves a pooled connection
	running := make(chan reply, 1)
	go func() { running <- f.sendCtx(t.Context(), "/stream/", "") }()
	<-started
	f.setDomains(a, b)
	before := a.count()
	f.SetEvacuated(map[string]bool{"a": true})
	for range 8 {
		assert.Equal(t, f.send(t, "/once/", "").status, 200)
	}
	assert.Equal(t, f.send(t, "/again/", "").status, 503)
	assert.Assert(t, f.send(t, "/resume/", "").err != nil)
	f.SetEvacuated(map[string]bool{"a": true, "b": true})
	none := f.send(t, "/once/", "")
	assert.Equal(t, none.status, 503)
	assert.Assert(t, none.header.Get("Retry-After") != "")
	assert.Equal(t, a.count(), before)
	close(resume)
	got := <-running
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, streamText(1, 2))
	f.SetEvacuated(map[string]bool{"b": true})
	assert.Equal(t, f.send(t, "/once/", "").status, 200)
	assert.Equal(t, a.count(), before+1)
}

// TestEvacuationWhileConnectingStopsTheSend guards against a request that is sent to an evacuated domain because the order
// arrived after the endpoint was selected.
func TestEvacuationWhileConnectingStopsTheSend(t *testing.T) {
	a := newEndpoint(t, "a", ok)
	var f *fixture
	f = newFixtureWith(t, hookedTranslator{beforeSend: func() { f.SetEvacuated(map[string]bool{"a": true}) }}, longRunningClock(), a)
	f.setDomains(a)
	assert.Equal(t, f.send(t, "/once/", "").status, 503)
	assert.Equal(t, a.count(), 0)
}

// TestEvacuationEndsTheWaitForAnAdapter guards against a request that goes on asking for an adapter in an evacuated domain
// until its load takes too long.
func TestEvacuationEndsTheWaitForAnAdapter(t *testing.T) {
	a := newEndpoint(t, "a", ok)
	var demands atomic.Int64
	f := newFixtureWithConfig(t, func(c *forwarder.Config) { c.Demand = func(string) { demands.Add(1) } }, a)
	f.useEngines()
	f.setDomains(a)
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if demands.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("the adapter is not wanted yet")
	}, poll.WithTimeout(20*time.Second))
	f.SetEvacuated(map[string]bool{"a": true})
	before := demands.Load()
	assert.Equal(t, (<-end).status, 503)
	assert.Assert(t, demands.Load() <= before+2, "%d demands after the evacuation", demands.Load()-before)
	for _, d := range f.Demands("") {
		assert.Equal(t, len(d.Message.Wanted), 0)
	}
}
