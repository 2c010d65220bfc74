package forwarder_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// isPromise reports whether callers take the status for a guarantee that the request has not run and will not run.
func isPromise(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// TestRejectionAfterRunIsNoPromise guards against an endpoint's 503, 429 or 408 that doesn't say that the request hasn't run
// and reaches the caller as a promise that it hasn't: the caller would send it again.
func TestRejectionAfterRunIsNoPromise(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		answer := func(c net.Conn, r *http.Request, _ int) bool {
			return respond(c, r, status, "Retry-After: 1\r\n", "failed")
		}
		for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/", "/long/"} {
			a, b := newEndpoint(t, "a", answer), newEndpoint(t, "b", answer)
			got := newFixture(t, a, b).send(t, path, "")
			assert.Equal(t, got.status, 502, "%d to %s: %v", status, path, got)
			assert.Equal(t, got.header.Get("Signed"), "", "the endpoint's signature is on another status")
			want := 1
			if path == "/again/" || path == "/resume/" {
				want = 2
			}
			assert.Equal(t, a.count()+b.count(), want, "%d to %s", status, path)
		}
		// A failure that promises nothing is forwarded, also if a rejection follows it.
		for range 4 {
			failing := newEndpoint(t, "failing", func(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 500, "", "broken") })
			got := newFixture(t, failing, newEndpoint(t, "rejecting", answer)).send(t, "/again/", "")
			assert.Assert(t, got.status == 500 || got.status == 502, "%v", got)
		}
		// Idempotent requests go on at another endpoint.
		f := newFixture(t, newEndpoint(t, "a", answer), newEndpoint(t, "b", ok))
		for range 6 {
			assert.Equal(t, f.send(t, "/again/", "").status, 200)
		}
	}
}
