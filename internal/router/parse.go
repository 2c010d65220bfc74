package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
)

// estimateTokens estimates the number of tokens of a text for limits and queues: one per four bytes, rounded up, plus
// one. The engine's own count is not known before the request has run.
func estimateTokens(bytes int) int { return (bytes+3)/4 + 1 }

// modelRequest is the parsed body of a completion request.
type modelRequest struct {
	fields map[string]json.RawMessage
	route  string
	chat   bool
	stream bool
	// includeUsage is set if a streaming caller requested a usage event.
	includeUsage bool
	// singleChoice is set if the request asks for a single choice that consists of text only, so that its stream can be
	// continued on another endpoint and aggregated for a caller that did not request a stream.
	singleChoice bool
	prompt       string
	messages     []json.RawMessage
	maxTokens    int
	promptTokens int
	// receivedTokens is the number of response tokens received so far.
	receivedTokens int
}

// parseModelRequest parses and validates the body of a completion request.
func parseModelRequest(body []byte, chat bool, maxAnswer int) (*modelRequest, *callError) {
	m := &modelRequest{chat: chat, maxTokens: maxAnswer, singleChoice: true}
	if err := json.Unmarshal(body, &m.fields); err != nil {
		return nil, invalid(http.StatusBadRequest, "bad_json", "the body is not a JSON object: %v; correct it", err)
	}
	var failure *callError
	read := func(name string, into any) bool {
		raw, given := m.fields[name]
		if !given || bytes.Equal(raw, []byte("null")) || failure != nil {
			return false
		}
		if err := json.Unmarshal(raw, into); err != nil {
			failure = invalid(http.StatusBadRequest, "bad_field", "the field %q has the wrong type; see docs/callers.md", name)
			return false
		}
		return true
	}
	if !read("model", &m.route) && failure == nil {
		return nil, invalid(http.StatusBadRequest, "no_model", "the field \"model\" is missing; name a route listed by GET /v1/models")
	}
	read("stream", &m.stream)
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	read("stream_options", &options)
	m.includeUsage = options.IncludeUsage
	read("max_tokens", &m.maxTokens)
	read("max_completion_tokens", &m.maxTokens)
	n := 1
	read("n", &n)
	for _, name := range []string{"best_of", "logprobs", "top_logprobs", "echo", "tools", "functions", "suffix"} {
		if raw, given := m.fields[name]; given && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("false")) {
			m.singleChoice = false
		}
	}
	m.singleChoice = m.singleChoice && n == 1
	if chat {
		if !read("messages", &m.messages) && failure == nil {
			failure = invalid(http.StatusBadRequest, "no_messages", "the field \"messages\" is missing; send a list of messages")
		}
	} else if !read("prompt", &m.prompt) && failure == nil {
		failure = invalid(http.StatusBadRequest, "no_prompt", "the field \"prompt\" is missing; send a text")
	}
	if failure == nil && (m.maxTokens < 1 || n < 1) {
		failure = invalid(http.StatusBadRequest, "bad_max_tokens", "\"max_tokens\" and \"n\" must be at least 1")
	}
	if failure != nil {
		return nil, failure
	}
	m.promptTokens = estimateTokens(len(m.prompt))
	for _, message := range m.messages {
		m.promptTokens += estimateTokens(len(message))
	}
	m.maxTokens *= n
	return m, nil
}

// promptPrefix returns a hash that identifies the start of the prompt, which may be in an engine's prefix cache. The
// hash is empty for a short prompt.
func (m *modelRequest) promptPrefix() (hash string, tokens int) {
	start := []byte(m.prompt)
	if m.chat && len(m.messages) > 0 {
		start = m.messages[0]
	}
	if len(start) < maxPrefixBytes/4 {
		return "", 0
	}
	h := fnv.New64a()
	_, _ = h.Write(start[:min(len(start), maxPrefixBytes)])
	return fmt.Sprintf("%016x", h.Sum64()), estimateTokens(len(start))
}

// engineBody returns the request body for the engine. It always requests a stream of the given adapter version and
// continues after the text already sent to the caller.
func (m *modelRequest) engineBody(model string, priority int, sent string, sentTokens int) ([]byte, error) {
	fields := make(map[string]any, len(m.fields)+6)
	for name, raw := range m.fields {
		fields[name] = raw
	}
	fields["model"], fields["stream"], fields["priority"] = model, true, priority
	fields["stream_options"] = map[string]bool{"include_usage": true}
	limit := "max_tokens"
	if _, given := m.fields["max_completion_tokens"]; given {
		limit = "max_completion_tokens"
	}
	n := 1
	if raw, given := m.fields["n"]; given {
		_ = json.Unmarshal(raw, &n)
	}
	fields[limit] = max(1, m.maxTokens/max(n, 1)-sentTokens)
	if sent == "" {
		return json.Marshal(fields)
	}
	if !m.chat {
		fields["prompt"] = m.prompt + sent
		return json.Marshal(fields)
	}
	partial, err := json.Marshal(map[string]string{"role": "assistant", "content": sent})
	if err != nil {
		return nil, err
	}
	fields["messages"] = append(append([]json.RawMessage(nil), m.messages...), partial)
	fields["continue_final_message"], fields["add_generation_prompt"] = true, false
	return json.Marshal(fields)
}
