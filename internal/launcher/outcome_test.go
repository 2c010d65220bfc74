package launcher_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/emulator"
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

// TestFailedResumptionStaysOutOfTheStream guards against the text of an error, or events of a run that begins anew, in the
// middle of a stream, and against one that looks complete, after an engine's stream broke off and its resumption fails.
func TestFailedResumptionStaysOutOfTheStream(t *testing.T) {
	t.Parallel()
	const prompt, tokens = "draft", 8
	want := emulator.GenerateText("accra-drafts@v1", prompt, tokens)
	event := func(id, text string) string {
		return `data: {"id":"cmpl-` + id + `","object":"text_completion","created":1,"model":"accra-drafts@v1","choices":[{"index":0,"text":"` + text + `","finish_reason":null,"logprobs":null}]}` + "\n\n"
	}
	answers := map[string]func(w http.ResponseWriter, id string){
		"500":  func(w http.ResponseWriter, _ string) { http.Error(w, "out of memory", http.StatusInternalServerError) },
		"text": func(w http.ResponseWriter, _ string) { _, _ = io.WriteString(w, "out of memory\n\n") },
		"error event": func(w http.ResponseWriter, _ string) {
			_, _ = io.WriteString(w, `data: {"error":{"message":"out of memory"}}`+"\n\ndata: [DONE]\n\n")
		},
		"nothing": func(http.ResponseWriter, string) {},
		"event without an ID": func(w http.ResponseWriter, id string) {
			_, _ = io.WriteString(w, event(id, " anew")+"data: [DONE]\n\n")
		},
		"head cut": func(w http.ResponseWriter, _ string) {
			c, _, err := http.NewResponseController(w).Hijack()
			assert.NilError(t, err)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Ty")
			_ = c.Close()
		},
	}
	var answer atomic.Pointer[func(w http.ResponseWriter, id string)]
	f := startFleetWith(t, launcher.DemoConfig{WrapEngine: func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if id, isResumed := strings.CutPrefix(r.URL.Path, "/v1/streams/"); r.Method == http.MethodGet && isResumed {
				(*answer.Load())(w, id)
				return
			}
			if r.URL.Path == "/v1/completions" {
				w = &truncatingWriter{w}
			}
			next.ServeHTTP(w, r)
		})
	}})
	for name, a := range answers {
		answer.Store(&a)
		_, text := f.do("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest("accra-drafts", prompt, tokens, true))
		got, complete, _ := readStream(t, strings.NewReader(text), nil)
		assert.Check(t, strings.HasPrefix(want, got), "%s: %q", name, got)
		assert.Check(t, !complete || got == want, "%s: looks complete: %q", name, got)
		assert.Check(t, !strings.Contains(text, "out of memory") || strings.Contains(text, `"outcome"`), "%s: %s", name, text)
	}
}
