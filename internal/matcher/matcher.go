// Package matcher recognises the events of one request's stream without decoding each of them as JSON. Decoding was the
// largest part of the processor time per streamed token at entry and sidecar. A Matcher stores the prefix that all
// events of a stream share. It is not safe for concurrent use.
package matcher

import "bytes"

var (
	choicesKey       = []byte(`"choices":`)
	nullFinishReason = []byte(`"finish_reason":null`)
	usageObject      = []byte(`"usage":{`)
	textKeys         = [][]byte{[]byte(`"text":"`), []byte(`"content":"`)}
	nonTextKeys      = [][]byte{[]byte(`"role"`), []byte(`"tool_calls"`), []byte(`"logprobs":{`)}
)

// Matcher stores the prefix of a stream's events, up to their choices, taken from one event that was decoded and
// checked. The zero value has no prefix and matches no event.
type Matcher struct {
	prefix []byte
}

// Learn takes the prefix from an event that was decoded and belongs to the request. It ignores events whose prefix does
// not contain both ID and model, as in {"id":"cmpl-req-1","model":"quotes@v1","choices":[...
func (m *Matcher) Learn(event []byte, requestID, model string) {
	end := bytes.Index(event, choicesKey)
	if end < 0 || m.prefix != nil {
		return
	}
	start := event[:end]
	if bytes.Contains(start, []byte(requestID+`"`)) && bytes.Contains(start, []byte(`"`+model+`"`)) {
		m.prefix = bytes.Clone(start)
	}
}

// Matches reports whether the event starts with the learned prefix and so has the same ID and model.
func (m *Matcher) Matches(event []byte) bool {
	return m.prefix != nil && bytes.HasPrefix(event, m.prefix)
}

// TokenText returns the text of an event that contains only the text of one choice, in its JSON-encoded form without
// quotes. ok is false for any other event, which the caller has to decode.
func (m *Matcher) TokenText(event []byte) (encoded []byte, ok bool) {
	if !m.Matches(event) {
		return nil, false
	}
	// Quotes within a text are escaped, so these keys cannot occur in one.
	rest := event[len(m.prefix):]
	if !bytes.Contains(rest, nullFinishReason) || bytes.Contains(rest, usageObject) {
		return nil, false
	}
	for _, part := range nonTextKeys {
		if bytes.Contains(rest, part) {
			return nil, false
		}
	}
	for _, key := range textKeys {
		if at := bytes.Index(rest, key); at >= 0 {
			return stringBody(rest[at+len(key):])
		}
	}
	return nil, false
}

// stringBody returns the bytes before the closing quote of a JSON string.
func stringBody(text []byte) ([]byte, bool) {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return text[:i], true
		}
	}
	return nil, false
}
