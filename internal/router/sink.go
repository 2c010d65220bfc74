package router

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"geraniumladder/internal/matcher"
	"geraniumladder/internal/messenger"
)

// chunk is one event of a completion stream, reduced to the fields used here.
type chunk struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Created int64           `json:"created"`
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// modelSink combines the events of one or more engine streams into one response to the caller.
type modelSink struct {
	w       http.ResponseWriter
	flush   func()
	call    *call
	router  *Router
	started bool
	// doneReceived is set once the stream's [DONE] event has arrived.
	doneReceived bool
	// encoded is the response text so far, as the contents of a JSON string; tokens is its number of tokens.
	encoded      []byte
	tokens       int
	eventMatcher matcher.Matcher
	// start is the number of tokens received from earlier streams of this request.
	start int
	// finishEvent is the event with the finish reason, held back so that the usage can be added to it.
	finishEvent []byte
	// heldBytes is the length of the part of encoded that arrived with finishEvent and was not sent to the caller yet.
	heldBytes    int
	finishReason string
	usage        *usage
	created      int64
	// line is a buffer that is reused for each event written.
	line      []byte
	lastToken time.Time
}

func newModelSink(w http.ResponseWriter, cl *call, r *Router) *modelSink {
	controller := http.NewResponseController(w)
	return &modelSink{w: w, call: cl, router: r, flush: func() { _ = controller.Flush() }}
}

func (s *modelSink) hasStarted() bool { return s.started }

// restart prepares for another stream, which continues after the text already sent.
func (s *modelSink) restart() {
	if s.heldBytes > 0 {
		// The last token was held back with its event, so the next stream must repeat it.
		s.encoded = s.encoded[:len(s.encoded)-s.heldBytes]
		s.tokens--
		s.call.model.receivedTokens = s.tokens
		s.heldBytes = 0
	}
	s.start, s.doneReceived, s.finishEvent = s.tokens, false, nil
}

// begin sends the headers of a streamed response.
func (s *modelSink) begin() {
	if s.started || !s.call.model.stream {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(messenger.RequestIDHeader, s.call.id)
	s.w.WriteHeader(http.StatusOK)
}

// event processes one event of the stream. It returns an error if the event belongs to another request.
func (s *modelSink) event(raw []byte) *callError {
	if bytes.Equal(raw, []byte("[DONE]")) {
		s.doneReceived = true
		return nil
	}
	if s.call.model.stream {
		if text, ok := s.eventMatcher.TokenText(raw); ok {
			s.addToken(text)
			s.write(raw)
			return nil
		}
	}
	var c chunk
	if err := json.Unmarshal(raw, &c); err != nil || c.Model != s.call.modelName() || !strings.HasSuffix(c.ID, s.call.id) {
		return failed(http.StatusBadGateway, ran, "crossed_answer", "the endpoint sent another request's answer; send the request again")
	}
	s.eventMatcher.Learn(raw, s.call.id, s.call.modelName())
	s.created = c.Created
	if c.Usage != nil {
		s.usage = &usage{PromptTokens: c.Usage.PromptTokens - s.start, CompletionTokens: s.start + c.Usage.CompletionTokens}
		s.usage.TotalTokens = s.usage.PromptTokens + s.usage.CompletionTokens
	}
	if len(c.Choices) == 0 {
		return nil
	}
	text := c.Choices[0].Text + c.Choices[0].Delta.Content
	start := len(s.encoded)
	if text != "" {
		// Encoding a string cannot fail.
		quoted, _ := json.Marshal(text)
		s.addToken(quoted[1 : len(quoted)-1])
	}
	if c.Choices[0].FinishReason != nil && s.call.model.singleChoice {
		s.finishReason, s.finishEvent, s.heldBytes = *c.Choices[0].FinishReason, raw, len(s.encoded)-start
		return nil
	}
	if s.call.model.stream {
		s.write(raw)
	}
	return nil
}

// addToken counts a token and appends its text, which is the contents of a JSON string.
func (s *modelSink) addToken(text []byte) {
	if len(text) == 0 {
		return
	}
	now := s.router.now()
	if s.tokens == 0 {
		s.router.config.Meter.FirstToken(s.call.organisation.Name, now.Sub(s.call.arrived))
	} else {
		s.router.config.Meter.BetweenTokens(s.call.organisation.Name, now.Sub(s.lastToken))
	}
	s.lastToken = now
	s.tokens++
	s.call.model.receivedTokens = s.tokens
	s.encoded = append(s.encoded, text...)
}

// sentText returns the response text so far. Each part was a complete JSON string, so their concatenation decodes too.
func (s *modelSink) sentText() string {
	quoted := append(append([]byte{'"'}, s.encoded...), '"')
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		s.router.log.Error().Err(err).Str("RequestId", s.call.id).Msg("entry: could not decode the text of a response")
	}
	return text
}

func (s *modelSink) write(raw []byte) {
	s.begin()
	s.line = append(append(append(s.line[:0], "data: "...), raw...), "\n\n"...)
	_, _ = s.w.Write(s.line)
	s.flush()
}

// end completes the response.
func (s *modelSink) end() {
	if s.usage != nil && s.usage.CompletionTokens > 0 {
		s.call.model.receivedTokens = min(s.usage.CompletionTokens, s.call.model.maxTokens)
	}
	if !s.call.model.stream {
		s.writeJSON()
		return
	}
	if s.finishEvent != nil {
		if s.usage != nil && !s.call.model.includeUsage {
			s.finishEvent = withUsage(s.finishEvent, s.usage)
		}
		s.write(s.finishEvent)
	}
	if s.usage != nil && s.call.model.includeUsage {
		s.write(s.usageEvent())
	}
	s.write([]byte("[DONE]"))
}

// withUsage adds the usage to an event, for callers that did not request a separate usage event.
func withUsage(event []byte, u *usage) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(event, &fields) != nil {
		return event
	}
	// Encoding cannot fail: usage holds only numbers.
	fields["usage"], _ = json.Marshal(u)
	if text, err := json.Marshal(fields); err == nil {
		return text
	}
	return event
}

// completionResponse holds the fields that streamed and other responses have in common.
type completionResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage"`
}

func (s *modelSink) usageEvent() []byte {
	object := "text_completion"
	if s.call.model.chat {
		object = "chat.completion.chunk"
	}
	text, _ := json.Marshal(s.newCompletion(object, []any{}))
	return text
}

func (s *modelSink) newCompletion(object string, choices []any) completionResponse {
	prefix := "cmpl-"
	if s.call.model.chat {
		prefix = "chatcmpl-"
	}
	return completionResponse{ID: prefix + s.call.id, Object: object, Created: s.created, Model: s.call.modelName(), Choices: choices, Usage: s.usage}
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason string  `json:"finish_reason"`
	Logprobs     *string `json:"logprobs"`
}

type chatChoice struct {
	Index        int    `json:"index"`
	Message      delta  `json:"message"`
	FinishReason string `json:"finish_reason"`
}

// writeJSON sends the complete response at once, for a caller that did not request a stream.
func (s *modelSink) writeJSON() {
	response := s.newCompletion("text_completion", []any{textChoice{Text: s.sentText(), FinishReason: s.finishReason}})
	if s.call.model.chat {
		response = s.newCompletion("chat.completion", []any{
			chatChoice{Message: delta{Role: "assistant", Content: s.sentText()}, FinishReason: s.finishReason},
		})
	}
	// Encoding cannot fail: the response holds only strings and numbers.
	text, _ := json.Marshal(response)
	s.started = true
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(messenger.RequestIDHeader, s.call.id)
	s.w.WriteHeader(http.StatusOK)
	_, _ = s.w.Write(text)
}

// abort tells a streaming caller that the response is incomplete, by an error event without a [DONE] event.
func (s *modelSink) abort(failure *callError) {
	if s.call.model.stream {
		s.write(failure.body(s.call.id))
	}
}

// serviceSink forwards the response of a plain service to the caller.
type serviceSink struct {
	w       http.ResponseWriter
	started bool
	// status, header and body are what was sent to the caller; body is nil unless keepBody is set.
	status   int
	header   http.Header
	keepBody bool
	body     []byte
	// bytes is the number of body bytes sent.
	bytes int64
}

func (s *serviceSink) hasStarted() bool { return s.started }

func (s *serviceSink) begin(status int, header http.Header, requestID string) {
	if s.started {
		return
	}
	s.started, s.status, s.header = true, status, http.Header{}
	for name, values := range header {
		if strings.HasPrefix(name, "Geraniumladder-") || name == "Trailer" {
			continue
		}
		s.header[name] = values
		s.w.Header()[name] = values
	}
	s.w.Header().Set(messenger.RequestIDHeader, requestID)
	s.w.WriteHeader(status)
}

func (s *serviceSink) write(part []byte) {
	s.bytes += int64(len(part))
	if s.keepBody {
		s.body = append(s.body, part...)
	}
	_, _ = s.w.Write(part)
	_ = http.NewResponseController(s.w).Flush()
}
