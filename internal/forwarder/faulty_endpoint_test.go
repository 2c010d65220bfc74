package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/registrar"
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

// TestFailedContinuationStaysOutOfTheStream guards against a stream that goes on with the text or the head of an error, or
// that looks complete, because the endpoint at which it should go on answers with something else than its rest.
func TestFailedContinuationStaysOutOfTheStream(t *testing.T) {
	head := "HTTP/1.1 200 X\r\nId: id-/resume/\r\nSigned: 1\r\n"
	for name, answer := range map[string]string{
		"500":                    "HTTP/1.1 500 X\r\nId: id-/resume/\r\nContent-Length: 9\r\n\r\nid: 4\n\n!!",
		"503":                    "HTTP/1.1 503 X\r\nId: id-/resume/\r\nContent-Length: 4\r\n\r\nfull",
		"503 not run":            "HTTP/1.1 503 X\r\nId: id-/resume/\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"404":                    "HTTP/1.1 404 X\r\nId: id-/resume/\r\nContent-Length: 4\r\n\r\nnone",
		"206":                    "HTTP/1.1 206 X\r\nId: id-/resume/\r\nContent-Length: 20\r\n\r\nid: 4\ndata: piece-4\n",
		"204":                    "HTTP/1.1 204 X\r\nId: id-/resume/\r\n\r\n",
		"head cut":               "HTTP/1.1 200 X\r\nId: id-/resume/\r\nSig",
		"no head":                "error: out of memory\n\n",
		"nothing":                "",
		"no events, unframed":    head + "\r\n",
		"text, unframed":         head + "\r\nerror",
		"text":                   head + "Content-Length: 5\r\n\r\nerror",
		"text like an event":     head + "Content-Length: 13\r\n\r\ndata: error\n\n",
		"text and a blank line":  head + "Content-Length: 8\r\n\r\nerror!\n\n",
		"answer inside":          head + "Content-Length: 70\r\n\r\nHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerrorid: 4\ndata: piece-4\n\n0123456789",
		"begins anew":            head + "Content-Length: 120\r\n\r\n" + streamText(1, 6),
		"begins anew, unframed":  head + "\r\n" + streamText(1, 6),
		"repeats the last event": head + "Content-Length: 80\r\n\r\n" + streamText(3, 6),
	} {
		other := newEndpoint(t, "other", func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = fmt.Fprint(c, answer)
			return false
		})
		for try := 0; other.count() == 0; try++ {
			assert.Assert(t, try < 50, "%s: no continuation was sent", name)
			got := newFixture(t, newEndpoint(t, "breaking", breakStream), other).send(t, "/resume/", "")
			if other.count() == 0 || got.status != 200 {
				continue
			}
			assert.Check(t, got.err != nil || !strings.Contains(got.body, "piece"), "%s: the stream looks complete: %q", name, got.body)
			assert.Check(t, strings.HasPrefix(streamText(1, 3), got.body), "%s: %q", name, got.body)
		}
	}
}

// TestEarlierRefusalIsNotTakenForTheNextAnswer guards against a refusal that an endpoint writes once more on a kept
// connection: taken for the answer to the next request, that one would be called not run, or run again elsewhere.
func TestEarlierRefusalIsNotTakenForTheNextAnswer(t *testing.T) {
	for _, hasID := range []bool{true, false} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			for _, path := range []string{"/once/", "/stream/", "/again/"} {
				var mu sync.Mutex
				runs, refusals := map[string]int{}, map[net.Conn]string{}
				handler := func(c net.Conn, r *http.Request, _ int) bool {
					mu.Lock()
					refusal := refusals[c]
					if refusal == "" {
						id := ""
						if hasID {
							id = "Id: " + r.Header.Get("Id") + "\r\n"
						}
						refusal = "HTTP/1.1 503 X\r\n" + id + "Not-Run: 1\r\nClosed: 5\r\nContent-Length: 4\r\n\r\nfull"
						refusals[c] = refusal
						mu.Unlock()
						_, err := fmt.Fprint(c, refusal)
						return err == nil
					}
					runs[r.Header.Get("Id")]++
					mu.Unlock()
					time.Sleep(delay)
					_, err := fmt.Fprint(c, refusal)
					time.Sleep(delay)
					return err == nil && respond(c, r, 200, "", streamText(1, 1))
				}
				f := newFixture(t, newEndpoint(t, "a", handler), newEndpoint(t, "b", handler))
				reached := 0
				for n := range 12 {
					id := fmt.Sprint(n)
					got := f.send(t, path, "", "Id", id)
					mu.Lock()
					ran := runs[id]
					mu.Unlock()
					reached += ran
					assert.Assert(t, ran == 0 || !isPromise(got.status), "request %d to %s ran and got %v", n, path, got)
					assert.Assert(t, ran <= 1 || path == "/again/", "request %d to %s ran %d times", n, path, ran)
					assert.Assert(t, got.status != 200 || got.body == streamText(1, 1))
				}
				assert.Assert(t, reached >= 3, "only %d requests ran", reached)
			}
		}
	}
}

// TestAnswerCutInItsHeadIsNoAnswer guards against an answer that ends inside its head, or inside its framed body, and
// reaches the caller as a whole one.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	body := streamText(1, 1)
	for framing, rest := range map[string]string{
		"length":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"unframed": "Keep-Alive: timeout=5\r\n\r\n",
	} {
		for _, path := range []string{"/once/", "/stream/", "/resume/"} {
			answer := "HTTP/1.1 200 OK\r\nId: id-" + path + "\r\nSigned: 1\r\n" + rest
			sent := 0
			e := newEndpoint(t, "e", func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = fmt.Fprint(c, answer[:sent])
				return false
			})
			for sent = range len(answer) {
				// A new entry, because the endpoint's failures count.
				got := newFixture(t, e).send(t, path, "")
				isCut := got.status == 502 || got.err != nil
				assert.Assert(t, isCut, "%s to %s cut after %q: %v", framing, path, answer[:sent], got)
			}
		}
	}
}

// TestCopyOfClosureDoesNotCloseAgain guards against an endpoint that is left out once more because it sends a copy of an
// earlier rejection, which said for how long it wanted no requests then and names no request.
func TestCopyOfClosureDoesNotCloseAgain(t *testing.T) {
	const closure = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nClosed: 5\r\nContent-Length: 4\r\n\r\nfull"
	a := newEndpoint(t, "a", func(c net.Conn, r *http.Request, n int) bool {
		if n > 2 {
			return ok(c, r, n)
		}
		_, err := fmt.Fprint(c, closure)
		return err == nil && (n == 1 || ok(c, r, n))
	})
	f := newReportingFleet(t, nil, a)
	assert.Equal(t, f.send(t, "/again/", "", "Id", "1").status, 503)
	f.advance(5100 * time.Millisecond)
	assert.Equal(t, f.send(t, "/again/", "", "Id", "2").status, 502)
	assert.Equal(t, a.count(), 2)
	f.advance(time.Second)
	assert.Equal(t, f.send(t, "/again/", "", "Id", "3").status, 200, "the endpoint is left out")
}

// TestUnsignedSuccessIsNoAnswer guards against a success without the endpoint's signature that reaches the caller, whole or
// as a part of a stream. The request may have run.
func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	for _, status := range []int{200, 201, 204} {
		for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
			foreign := newEndpoint(t, "foreign", func(c net.Conn, r *http.Request, _ int) bool {
				return respond(c, r, status, "Unsigned: 1\r\n", streamText(1, 1))
			})
			f := newFixture(t, foreign)
			got := f.send(t, path, "")
			assert.Equal(t, got.status, 502, "%d to %s", status, path)
			f.SetEndpoints([]registrar.Endpoint{foreign.registered("s"), newEndpoint(t, "sound", ok).registered("s")})
			if path == "/again/" {
				assert.Equal(t, f.send(t, path, "").body, "done")
			}
		}
	}
	foreign := newEndpoint(t, "foreign", func(c net.Conn, r *http.Request, _ int) bool {
		return respond(c, r, 200, "Unsigned: 1\r\n", streamText(4, 6))
	})
	for range 6 {
		got := newFixture(t, newEndpoint(t, "breaking", breakStream), foreign).send(t, "/resume/", "")
		assert.Assert(t, got.err != nil && strings.HasPrefix(streamText(1, 3), got.body) || got.status == 502, "%v", got)
	}
	// An error needs no signature: it is the status that callers act on.
	failing := newEndpoint(t, "failing", func(c net.Conn, r *http.Request, _ int) bool { return respond(c, r, 500, "Unsigned: 1\r\n", "") })
	assert.Equal(t, newFixture(t, failing).send(t, "/once/", "").status, 500)
}
