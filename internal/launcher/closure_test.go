package launcher_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/emulator"
)

// orders returns the number of completions and adapter loads that the engine has received.
func orders(e *emulator.Engine) int {
	n := 0
	for _, r := range e.SeenRequests() {
		if r.Method == http.MethodPost {
			n++
		}
	}
	return n
}

// TestEngineReportsAreHeeded guards against requests to an engine that has said in a response that it wants none, against a
// rejection that doesn't say when the first engine reopens, and against an engine that isn't used after its closure or by its
// next run.
func TestEngineReportsAreHeeded(t *testing.T) {
	f := startFleet(t)
	text := ""
	send := func() (resp *http.Response) {
		resp, text = f.do("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "draft", 3, false))
		return resp
	}
	received := func() (n int) {
		for _, e := range f.Engines() {
			n += orders(e)
		}
		return n
	}
	assert.Equal(t, send().StatusCode, http.StatusOK)

	for _, e := range f.Engines() {
		e.SetFaults(emulator.Faults{FailRate: 1, RetryAfter: emulator.Duration(4 * time.Second)})
	}
	f.eventually("all engines are closed", func() bool { return send() != nil && strings.Contains(text, "endpoint_closed") })
	before, began := received(), time.Now()
	resp := send()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	assert.NilError(t, err)
	assert.Assert(t, after > 1 && after <= 4, "Retry-After: %d", after)
	for range 10 {
		assert.Equal(t, send().StatusCode, http.StatusServiceUnavailable)
	}
	if time.Since(began) < 2*time.Second {
		assert.Equal(t, received(), before)
	}
	for _, e := range f.Engines() {
		e.SetFaults(emulator.Faults{})
	}
	f.eventually("the closures end", func() bool { return send().StatusCode == http.StatusOK })

	for i, e := range f.Engines() {
		e.SetFaults(emulator.Faults{Leaving: i < len(f.Engines())-1})
	}
	f.eventually("the engines have said that they leave", func() bool {
		starting := 0
		for _, s := range f.Sidecars() {
			if s.Dispatcher().Status().State == "starting" {
				starting++
			}
		}
		return send().StatusCode == http.StatusOK && starting == len(f.Engines())-1
	})
	last := f.Engines()[len(f.Engines())-1]
	before = received() - orders(last)
	for range 10 {
		assert.Equal(t, send().StatusCode, http.StatusOK)
	}
	assert.Equal(t, received()-orders(last), before)
	for _, e := range f.Engines() {
		e.SetFaults(emulator.Faults{Leaving: e == last})
	}
	f.eventually("the next runs are used", func() bool { return send().StatusCode == http.StatusOK && received()-orders(last) > before })
}

// TestClosedEnginesBesideAnEvacuation guards against a request that is held because an engine that gets no requests isn't
// closed.
func TestClosedEnginesBesideAnEvacuation(t *testing.T) {
	f := startFleet(t)
	f.evacuate("domain-a")
	for i, e := range f.Engines() {
		if i%3 != 0 {
			e.SetFaults(emulator.Faults{FailRate: 1, RetryAfter: emulator.Duration(time.Minute)})
		}
	}
	f.eventually("the request is rejected", func() bool {
		_, text := f.do("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "draft", 3, false))
		return strings.Contains(text, "endpoint_closed")
	})
}
