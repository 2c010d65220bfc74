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
	// bookingPause is the time before a booking without a definite answer is sent again.
	bookingPause = 250 * time.Millisecond
	maxLine      = 4 << 20
)

// checkTarget refuses URLs that load must not go to.
func checkTarget(target string, allowRemote bool) error {
	if target == "" {
		return nil
	}
	parsed, err := url.Parse(target)
	if err != nil || parsed.Host == "" {
		return errors.Newf("%q is not a URL; give one such as http://127.0.0.1:8080", target)
	}
	ip := net.ParseIP(parsed.Hostname())
	if allowRemote || parsed.Hostname() == "localhost" || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return errors.Newf("%s is not a loopback address; give --allow-remote to send load to it", target)
}

// caller sends the requests of one run.
type caller struct {
	config  Config
	client  *http.Client
	started time.Time
}

// do sends a request and reads its answer. number selects the entry.
func (c *caller) do(ctx context.Context, r Request, number int) Result {
	result := Result{Request: r, Sent: time.Since(c.started)}
	idempotency := ""
	if r.Kind == Booking {
		idempotency = uuid.NewString()
	}
	for {
		result.Attempts++
		c.attempt(ctx, &result, c.config.Entries[(number+result.Attempts-1)%len(c.config.Entries)], idempotency)
		if r.Kind != Booking || result.Attempts > c.config.BookingRetries || !mayAskAgain(result) {
			break
		}
		select {
		case <-time.After(bookingPause):
		case <-ctx.Done():
		}
	}
	result.Ended = time.Since(c.started)
	result.Total = result.Ended - r.Offset
	return result
}

// mayAskAgain is true for a booking whose answer was lost or that was refused for want of room. A refusal with 429
// stays one, so that it is counted.
func mayAskAgain(r Result) bool {
	return r.Status == 0 || r.Status >= http.StatusInternalServerError || r.Broken != ""
}

func (c *caller) newRequest(ctx context.Context, r Request, entry, idempotency string) (*http.Request, error) {
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
	if idempotency != "" {
		req.Header.Set(idempotencyHeader, idempotency)
	}
	return req, nil
}

func (c *caller) attempt(ctx context.Context, result *Result, entry, idempotency string) {
	result.Status, result.Code, result.Outcome, result.OK, result.Broken = 0, "", "", false, ""
	req, err := c.newRequest(ctx, result.Request, entry, idempotency)
	if err != nil {
		result.Code = "bad_request"
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		result.Code = "no_answer"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	result.Status = resp.StatusCode
	switch {
	case resp.StatusCode >= http.StatusMultipleChoices:
		var failure failureBody
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLine))
		_ = json.Unmarshal(text, &failure)
		result.Code, result.Outcome = failure.Error.Code, resp.Header.Get(outcomeHeader)
	case result.Kind != Completion:
		c.readService(result, resp.Body)
	case result.Stream:
		c.readStream(result, resp.Body)
	default:
		c.readPlain(result, resp.Body)
	}
	result.OK = resp.StatusCode < http.StatusMultipleChoices && result.Broken == "" && result.Wrong == ""
}

type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// event is a plain completion or one event of a stream, as far as it is checked.
type event struct {
	Model   string `json:"model"`
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error *failureDetail `json:"error"`
}

func (c *caller) readService(result *Result, body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxLine))
	if err != nil {
		result.Broken = "the answer broke off: " + err.Error()
		return
	}
	var answer struct {
		Name string
		Body json.RawMessage
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		result.Broken = "the answer is not JSON: " + err.Error()
		return
	}
	if !c.config.Verify {
		return
	}
	if result.Kind == Booking && string(answer.Body) != result.Body || result.Kind == Balance && answer.Name != result.Name {
		result.Wrong = "the service answered another request"
	}
}

func (c *caller) readPlain(result *Result, body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxLine))
	if err != nil {
		result.Broken = "the answer broke off: " + err.Error()
		return
	}
	var answer event
	if err := json.Unmarshal(text, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" {
		result.Broken = "the answer is not a whole completion"
		return
	}
	result.Tokens = len(strings.Fields(answer.Choices[0].Text))
	c.check(result, answer.Model, answer.Choices[0].Text)
}

func (c *caller) readStream(result *Result, body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	var text strings.Builder
	model, last := "", time.Duration(0)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			c.check(result, model, text.String())
			return
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			result.Broken = "an event is not JSON: " + err.Error()
			return
		}
		if e.Error != nil {
			result.Broken = "the stream ended with the error " + e.Error.Code
			result.Code, result.Outcome = e.Error.Code, e.Error.Outcome
			return
		}
		if model != "" && e.Model != model {
			result.Wrong = "the adapter version changed within the stream"
		}
		model = e.Model
		if len(e.Choices) == 0 || e.Choices[0].Text == "" {
			continue
		}
		now := time.Since(c.started)
		if result.Tokens == 0 {
			result.FirstToken = now - result.Offset
		} else {
			result.between = append(result.between, now-last)
		}
		last = now
		result.Tokens++
		text.WriteString(e.Choices[0].Text)
	}
	result.Broken = "the stream ended without its end mark"
}

// check decides whether a whole answer is the request's own.
func (c *caller) check(result *Result, model, text string) {
	switch {
	case len(result.Adapters) > 0 && !slices.Contains(result.Adapters, model):
		result.Wrong = "the adapter " + model + " answered instead of " + strings.Join(result.Adapters, " or ")
	case c.config.Verify && text != emulator.Answer(model, result.Prompt, result.MaxTokens):
		result.Wrong = "the text is not the answer of " + model + " to this prompt"
	}
}

// booked is one entry of the book.
type booked struct {
	Body     json.RawMessage
	TimesRun int
}

// book reads the ledger's book.
func (c *caller) book(ctx context.Context) ([]booked, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.Ledger+"/bookings", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read the ledger's book; give the URL of a ledger stand-in")
	}
	defer func() { _ = resp.Body.Close() }()
	var all []booked
	err = json.NewDecoder(resp.Body).Decode(&all)
	return all, errors.Wrap(err, "read the ledger's book; give the URL of a ledger stand-in")
}
