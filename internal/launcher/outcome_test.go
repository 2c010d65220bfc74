package launcher_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/launcher"
	"geraniumladder/internal/router"
)

// TestFailedEngineRequestIsNotCalledNotRun guards against an outcome "not-run" for a request that an engine has answered
// with an error status, which says nothing about whether it has run. A request that the engine finds invalid has not run.
func TestFailedEngineRequestIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	var status atomic.Int64
	f := startFleetWith(t, launcher.DemoConfig{WrapEngine: func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/completions") {
				http.Error(w, "failed", int(status.Load()))
				return
			}
			next.ServeHTTP(w, r)
		})
	}})
	for code, want := range map[int]string{500: "unknown", 503: "unknown", 429: "unknown", 408: "unknown", 204: "unknown", 400: "not-run"} {
		status.Store(int64(code))
		resp, text := f.do("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "draft", 3, false))
		assert.Check(t, resp.StatusCode >= 400, "%d: %s", code, text)
		assert.Check(t, resp.Header.Get(router.OutcomeHeader) == want, "%d: %s %s", code, resp.Header.Get(router.OutcomeHeader), text)
	}
}

// TestServiceStatusCarriesNoOutcome guards against a plain service's 503 that looks like a statement of geraniumladder that
// the call has not run, and against a service that makes that statement itself.
func TestServiceStatusCarriesNoOutcome(t *testing.T) {
	t.Parallel()
	f := startFleetWith(t, launcher.DemoConfig{WrapLedger: func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				next.ServeHTTP(w, r)
				return
			}
			w.Header().Set(router.OutcomeHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}})
	resp, text := f.do("POST", f.announcement.Entries[0]+bookingsPath, f.announcement.Keys["accra"], "", map[string]int{"Release": 1})
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, text)
	assert.Equal(t, resp.Header.Get(router.OutcomeHeader), "")
}
