package meter_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/meter"
)

// Guards against a renamed metric or a changed unit. The burn report and operators' alarms depend on both.
func TestHandlerServesDocumentedNames(t *testing.T) {
	m, err := meter.New(meter.Config{Role: "entry", VM: "n1"})
	assert.NilError(t, err)
	m.Request("acme", "ok")
	m.Refusal("acme", "over-rate")
	m.FirstToken("acme", 450*time.Millisecond)
	m.BetweenTokens("acme", 80*time.Millisecond)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	page := recorder.Body.String()
	for _, want := range []string{
		`geraniumladder_requests_total{Organisation="acme",Outcome="ok"`,
		`geraniumladder_refusals_total{Organisation="acme",Reason="over-rate"`,
		`geraniumladder_first_token_seconds_bucket{Organisation="acme",`,
		`le="0.45"} 1`,
		`geraniumladder_between_tokens_seconds_count{Organisation="acme"`,
	} {
		assert.Check(t, cmp.Contains(page, want))
	}
}

// Guards against a histogram without a bucket boundary at an objective's threshold, at which the burn report counts
// good events, and against a metric that was renamed but is still read under its old name.
func TestTotalsIncludeObjectiveBounds(t *testing.T) {
	m, err := meter.New(meter.Config{Role: "entry", VM: "n1"})
	assert.NilError(t, err)
	m.Request("acme", "ok")
	m.Request("", "not-run")
	m.Refusal("acme", "rate_limit_exceeded")
	m.Tokens("acme", "prompt", 3)
	m.Tokens("acme", "answer", 4)
	m.FirstToken("acme", 450*time.Millisecond)
	m.FirstToken("acme", 451*time.Millisecond)
	m.BetweenTokens("acme", 71*time.Millisecond)
	totals, err := m.Totals()
	assert.NilError(t, err)
	assert.Equal(t, len(totals), 1)
	got := totals["acme"]
	assert.DeepEqual(t, got.Requests, map[string]int64{"ok": 1})
	assert.DeepEqual(t, got.Refusals, map[string]int64{"rate_limit_exceeded": 1})
	assert.Equal(t, got.Tokens, int64(7))
	assert.Equal(t, got.FirstToken.Total, int64(2))
	assert.Check(t, cmp.Contains(got.FirstToken.Buckets, meter.Bucket{UpperBound: 450 * time.Millisecond, Count: 1}))
	assert.Check(t, cmp.Contains(got.BetweenTokens.Buckets, meter.Bucket{UpperBound: 71 * time.Millisecond, Count: 1}))
}
