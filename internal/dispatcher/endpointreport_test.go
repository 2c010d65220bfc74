package dispatcher_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/dispatcher"
)

// startService starts a plain service that responds with the status and header, and counts the requests.
func startService(t *testing.T, address string, status int, header, value string, received *atomic.Int64) *http.Server {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Addr: listener.Addr().String(), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.Header().Set(header, value)
		w.WriteHeader(status)
	})}
	go func() {
		// Serve returns an error when the server is closed.
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() { _ = server.Close() })
	return server
}

// TestServiceReportsAreHeeded guards against requests to a plain service that has said that it is leaving or wants none for
// a while, and against one that is never used again after it has started again.
func TestServiceReportsAreHeeded(t *testing.T) {
	for _, c := range []struct {
		status              int
		header, value, code string
	}{{http.StatusOK, "Server-Leaving", "1", "leaving"}, {http.StatusServiceUnavailable, "Retry-After", "60", "closed"}} {
		var received atomic.Int64
		first := startService(t, "127.0.0.1:0", c.status, c.header, c.value, &received)
		d, client, address := startSidecar(t, "http://"+first.Addr)
		sent := 0
		send := func() (int, string) {
			sent++
			resp, err := runAs(t, d, client, address, fmt.Sprint("request-", sent))
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			return resp.StatusCode, resp.Header.Get(dispatcher.FailureTrailer)
		}
		status, _ := send()
		assert.Equal(t, status, c.status)
		for range 5 {
			status, failure := send()
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Assert(t, strings.Contains(failure, `"Code":"`+c.code+`"`), failure)
		}
		assert.Equal(t, received.Load(), int64(1))
		if c.code == "closed" {
			continue
		}
		assert.NilError(t, first.Close())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if d.Status().State != "live" {
				return poll.Continue("the end of the service is not noticed")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
		startService(t, first.Addr, http.StatusOK, "Server-Leaving", "", &received)
		status, _ = send()
		assert.Equal(t, status, http.StatusOK)
	}
}
