package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumladder/internal/emulator"
)

const (
	idempotencyHeader = "Idempotency-Key"
	outcomeHeader     = "Geraniumladder-Outcome"
	// bookingRetryDelay is the delay before a booking without a definite response is retried.
	bookingRetryDelay = 250 * time.Millisecond
	maxResponseSize   = 4 << 20
)

// validateTarget rejects invalid URLs, and non-loopback ones unless allowRemote is set. An empty target is valid.
func validateTarget(target string, allowRemote bool) error {
	if target == "" {
		return nil
	}
	parsed, err := url.Parse(target)
	if err != nil || parsed.Host == "" {
		return errors.Newf("invalid URL %q; expected one such as http://127.0.0.1:8080", target)
	}
	ip := net.ParseIP(parsed.Hostname())
	if allowRemote || parsed.Hostname() == "localhost" || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return errors.Newf("%s is not a loopback address; set --allow-remote to send load to it", target)
}

// sender sends the requests of one run.
type sender struct {
	config  Config
	client  *http.Client
	started time.Time
}

// send sends a request, retrying a booking if necessary, and reads the response. entryIndex selects the entry of the
// first attempt; each retry goes to the next entry.
func (s *sender) send(ctx context.Context, r Request, entryIndex int) Result {
	result := Result{Request: r, Sent: time.Since(s.started)}
	idempotencyKey := ""
	if r.Kind == Booking {
		idempotencyKey = uuid.NewString()
	}
	for {
		result.Attempts++
		s.attempt(ctx, &result, s.config.Entries[(entryIndex+result.Attempts-1)%len(s.config.Entries)], idempotencyKey)
		if r.Kind != Booking || result.Attempts > s.config.BookingRetries || !shouldRetryBooking(result) {
			break
		}
		select {
		case <-time.After(bookingRetryDelay):
		case <-ctx.Done():
		}
	}
	result.Ended = time.Since(s.started)
	result.Total = result.Ended - r.Offset
	return result
}

// shouldRetryBooking reports whether a booking got no response, an incomplete response, or a server error such as a
// refusal for lack of capacity. A 429 is not retried, so that it is counted as a refusal.
func shouldRetryBooking(r Result) bool {
	return r.Status == 0 || r.Status >= http.StatusInternalServerError || r.Broken != ""
}

func (s *sender) newRequest(ctx context.Context, r Request, entry, idempotencyKey string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/completions", []byte(r.Body)
	switch r.Kind {
	case Booking:
		path = "/services/" + url.PathEscape(r.Route) + "/bookings"
	case Balance:
		method, path, body = http.MethodGet, "/services/"+url.PathEscape(r.Route)+"/balances/"+url.PathEscape(r.Name), nil
	default:
		var err error
		body, err = json.Marshal(map[string]any{"model": r.Route, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "stream": r.Stream})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if idempotencyKey != "" {
		req.Header.Set(idempotencyHeader, idempotencyKey)
	}
	return req, nil
}

func (s *sender) attempt(ctx context.Context, result *Result, entry, idempotencyKey string) {
	result.Status, result.Code, result.Outcome, result.OK, result.Broken = 0, "", "", false, ""
	req, err := s.newRequest(ctx, result.Request, entry, idempotencyKey)
	if err != nil {
		result.Code = "bad_request"
		return
	}
	resp, err := s.client.Do(req)
	if err != nil {
		result.Code = "no_answer"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	result.Status = resp.StatusCode
	switch {
	case resp.StatusCode >= http.StatusMultipleChoices:
		var failure errorResponse
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
		_ = json.Unmarshal(text, &failure)
		result.Code, result.Outcome = failure.Error.Code, resp.Header.Get(outcomeHeader)
	case result.Kind != Completion:
		s.readServiceResponse(result, resp.Body)
	case result.Stream:
		s.readStream(result, resp.Body)
	default:
		s.readCompletion(result, resp.Body)
	}
	result.OK = resp.StatusCode < http.StatusMultipleChoices && result.Broken == "" && result.Wrong == ""
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// completion holds the checked fields of a non-streamed completion or of one event of a stream.
type completion struct {
	Model   string `json:"model"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

func (s *sender) readServiceResponse(result *Result, body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxResponseSize))
	if err != nil {
		result.Broken = "the answer broke off: " + err.Error()
		return
	}
	var response struct {
		Name string
		Body json.RawMessage
	}
	if err := json.Unmarshal(text, &response); err != nil {
		result.Broken = "the answer is not JSON: " + err.Error()
		return
	}
	if !s.config.Verify {
		return
	}
	if result.Kind == Booking && string(response.Body) != result.Body || result.Kind == Balance && response.Name != result.Name {
		result.Wrong = "the service answered another request"
	}
}

func (s *sender) readCompletion(result *Result, body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxResponseSize))
	if err != nil {
		result.Broken = "the answer broke off: " + err.Error()
		return
	}
	var response completion
	if err := json.Unmarshal(text, &response); err != nil || len(response.Choices) != 1 || response.Choices[0].FinishReason == "" {
		result.Broken = "the answer is not a whole completion"
		return
	}
	result.Tokens = len(strings.Fields(response.Choices[0].Text))
	s.checkCompletion(result, response.Model, response.Choices[0].Text)
}

func (s *sender) readStream(result *Result, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseSize)
	var text strings.Builder
	model, lastTokenAt := "", time.Duration(0)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			s.checkCompletion(result, model, text.String())
			return
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			result.Broken = "an event is not JSON: " + err.Error()
			return
		}
		if chunk.Error != nil {
			result.Broken = "the stream ended with the error " + chunk.Error.Code
			result.Code, result.Outcome = chunk.Error.Code, chunk.Error.Outcome
			return
		}
		if model != "" && chunk.Model != model {
			result.Wrong = "the adapter version changed within the stream"
		}
		model = chunk.Model
		if len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
			continue
		}
		now := time.Since(s.started)
		if result.Tokens == 0 {
			result.FirstToken = now - result.Offset
		} else {
			result.betweenTokens = append(result.betweenTokens, now-lastTokenAt)
		}
		lastTokenAt = now
		result.Tokens++
		text.WriteString(chunk.Choices[0].Text)
	}
	result.Broken = "the stream ended without its end mark"
}

// checkCompletion sets result.Wrong if a complete response comes from another adapter or is not the expected text.
func (s *sender) checkCompletion(result *Result, model, text string) {
	switch {
	case len(result.Adapters) > 0 && !slices.Contains(result.Adapters, model):
		result.Wrong = "the adapter " + model + " answered instead of " + strings.Join(result.Adapters, " or ")
	case s.config.Verify && text != emulator.GenerateText(model, result.Prompt, result.MaxTokens):
		result.Wrong = "the text is not the answer of " + model + " to this prompt"
	}
}

// ledgerBooking is one booking stored by the ledger.
type ledgerBooking struct {
	Body     json.RawMessage
	TimesRun int
}

// ledgerBookings reads all bookings stored by the ledger.
func (s *sender) ledgerBookings(ctx context.Context) ([]ledgerBooking, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.config.Ledger+"/bookings", nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read the ledger's bookings; --ledger must be the URL of a ledger stand-in")
	}
	defer func() { _ = resp.Body.Close() }()
	var bookings []ledgerBooking
	err = json.NewDecoder(resp.Body).Decode(&bookings)
	return bookings, errors.Wrap(err, "read the ledger's bookings; --ledger must be the URL of a ledger stand-in")
}
