package driver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/driver"
	"geraniumladder/internal/emulator"
)

func eventStream(model, text, end string) string {
	var b strings.Builder
	for _, token := range strings.SplitAfter(text, " ") {
		event, _ := json.Marshal(map[string]any{"model": model, "choices": []any{map[string]any{"text": token}}})
		_, _ = fmt.Fprintf(&b, "data: %s\n\n", event)
	}
	return b.String() + end
}

// Guards against counting wrong, broken or refused responses as successful.
func TestResponsesAreChecked(t *testing.T) {
	const done = "data: [DONE]\n\n"
	right := emulator.GenerateText("a@v1", "hello", 3)
	request := driver.Request{Kind: driver.Completion, Organisation: "o", Route: "a", Prompt: "hello", MaxTokens: 3, Stream: true, Adapters: []string{"a@v1"}}
	tests := []struct {
		name               string
		status             int
		body               string
		ok, wrong, broken  bool
		code               string
		refused, overallOK bool
	}{
		{name: "right", status: 200, body: eventStream("a@v1", right, done), ok: true, overallOK: true},
		{name: "another prompt's answer", status: 200, body: eventStream("a@v1", emulator.GenerateText("a@v1", "other", 3), done), wrong: true},
		{name: "another adapter", status: 200, body: eventStream("b@v1", emulator.GenerateText("b@v1", "hello", 3), done), wrong: true},
		{name: "a token missing", status: 200, body: eventStream("a@v1", emulator.GenerateText("a@v1", "hello", 2), done), wrong: true},
		{name: "no end mark", status: 200, body: eventStream("a@v1", right, ""), broken: true},
		{name: "error event", status: 200, body: eventStream("a@v1", right, `data: {"error":{"code":"stream_broken"}}`+"\n\n"), broken: true, code: "stream_broken"},
		{name: "key withdrawn", status: 200, body: eventStream("a@v1", right, `data: {"error":{"code":"key_withdrawn"}}`+"\n\n"), broken: true, code: "key_withdrawn", overallOK: true},
		{name: "refused", status: 429, body: `{"error":{"code":"rate_limit_exceeded"}}`, code: "rate_limit_exceeded", refused: true, overallOK: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.refused {
					w.Header().Set("Geraniumladder-Outcome", "not-run")
				}
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			var got driver.Result
			summary, err := driver.Run(context.Background(), driver.Config{
				Entries: []string{server.URL}, Verify: true, Report: func(r driver.Result) { got = r },
			}, slices.Values([]driver.Request{request}))
			assert.NilError(t, err)
			assert.Check(t, cmp.Equal(got.OK, test.ok))
			assert.Check(t, cmp.Equal(got.Wrong != "", test.wrong), got.Wrong)
			assert.Check(t, cmp.Equal(got.Broken != "", test.broken), got.Broken)
			assert.Check(t, cmp.Equal(got.Code, test.code))
			assert.Check(t, cmp.Equal(got.Refused(), test.refused))
			assert.Check(t, cmp.Equal(summary.Failure() == nil, test.overallOK))
		})
	}
}

// Guards against a comparison with the ledger that misses a doubled run, a lost acknowledgement, a booking that ran
// after not-run, or a booking that was acknowledged but did not run.
func TestBookingsAreComparedWithLedger(t *testing.T) {
	var ledgerBookings []emulator.Booking
	addBooking := func(body string, times int) {
		ledgerBookings = append(ledgerBookings, emulator.Booking{Body: json.RawMessage(body), TimesRun: times})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(ledgerBookings)
			return
		}
		text, _ := io.ReadAll(r.Body)
		body, acknowledged := string(text), true
		switch body {
		case `"once"`:
			addBooking(body, 1)
		case `"doubled"`:
			addBooking(body, 2)
		case `"lost"`:
			addBooking(body, 1)
			w.WriteHeader(http.StatusBadGateway)
			acknowledged = false
		case `"false"`:
			addBooking(body, 1)
			w.Header().Set("Geraniumladder-Outcome", "not-run")
			w.WriteHeader(http.StatusTooManyRequests)
			acknowledged = false
		}
		if acknowledged {
			_, _ = fmt.Fprintf(w, `{"Body":%s}`, body)
		}
	}))
	defer server.Close()
	var requests []driver.Request
	for n, body := range []string{`"once"`, `"doubled"`, `"lost"`, `"false"`, `"missing"`} {
		requests = append(requests, driver.Request{
			Offset: time.Duration(n) * time.Millisecond, Kind: driver.Booking, Organisation: "o", Route: "ledger", Body: body,
		})
	}
	// The requests are sent one at a time, because the handler does not lock its list of bookings.
	var got driver.Bookings
	for _, r := range requests {
		summary, err := driver.Run(context.Background(), driver.Config{Entries: []string{server.URL}, Ledger: server.URL, Verify: true},
			slices.Values([]driver.Request{r}))
		assert.NilError(t, err)
		b := summary.Bookings
		got.Sent, got.Acknowledged, got.Run = got.Sent+b.Sent, got.Acknowledged+b.Acknowledged, got.Run+b.Run
		got.Doubled, got.LostAcknowledgements = got.Doubled+b.Doubled, got.LostAcknowledgements+b.LostAcknowledgements
		got.FalseNotRun, got.Missing = got.FalseNotRun+b.FalseNotRun, got.Missing+b.Missing
	}
	assert.Equal(t, got, driver.Bookings{Sent: 5, Acknowledged: 3, Run: 4, Doubled: 1, LostAcknowledgements: 1, FalseNotRun: 1, Missing: 1})
}

// Guards against sending load to another machine because of a mistyped address, and against unbounded load.
func TestLoadIsBounded(t *testing.T) {
	_, err := driver.Run(context.Background(), driver.Config{Entries: []string{"http://192.0.2.1:80"}}, slices.Values([]driver.Request{{}}))
	assert.ErrorContains(t, err, "--allow-remote")
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	late := []driver.Request{{Offset: driver.MaxDuration + 1}}
	// If the bound is missing, Run waits for the offset; the timeout then ends the test.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = driver.Run(ctx, driver.Config{Entries: []string{server.URL}}, slices.Values(late))
	assert.ErrorContains(t, err, "use a smaller one")
	generated := 0
	for range (driver.Load{
		Rate: 1000, Count: 50, Duration: 10 * time.Millisecond, Weights: map[string]float64{"o": 1}, Models: map[string][]string{"o": {"m"}},
		PromptTokens: 1, MaxTokens: 1,
	}).Requests() {
		generated++
	}
	assert.Check(t, generated < 50)
}
