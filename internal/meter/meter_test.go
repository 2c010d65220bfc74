package meter_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/meter"
)

// Guards against a renamed metric or unit, on which the burn report and the operators' alarms depend.
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
