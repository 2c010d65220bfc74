// Package matcher recognises the events of one request's stream without decoding each as JSON. Decoding was the largest
// part of the processor time of a streamed token at entry and sidecar. A Matcher owns the start that the events of one
// stream share; the goroutine that reads the stream writes it.
package matcher

import "bytes"

var (
	choicesKey   = []byte(`"choices":`)
	unfinished   = []byte(`"finish_reason":null`)
	usageObject  = []byte(`"usage":{`)
	textKeys     = [][]byte{[]byte(`"text":"`), []byte(`"content":"`)}
	messageParts = [][]byte{[]byte(`"role"`), []byte(`"tool_calls"`), []byte(`"logprobs":{`)}
)

// Matcher knows the start of a stream's events, up to their choices, from one event that was decoded and checked.
// The zero value knows none.
type Matcher struct {
	prefix []byte
}

// Learn takes the start of an event that was decoded and belongs to the request. Nothing is learned from an event whose
// start does not hold both ID and model, as in {"id":"cmpl-req-1","model":"quotes@v1","choices":[...
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

// Known reports whether the event has the start that was learned, so that its ID and model are the same.
func (m *Matcher) Known(event []byte) bool {
	return m.prefix != nil && bytes.HasPrefix(event, m.prefix)
}

// Token returns the text of an event that holds one choice's text and nothing else of interest, as the inside of a JSON
// string. ok is false for any other event, which is then decoded.
func (m *Matcher) Token(event []byte) (encoded []byte, ok bool) {
	if !m.Known(event) {
		return nil, false
	}
	// Quotes within a text are escaped, so that these keys cannot be part of one.
	rest := event[len(m.prefix):]
	if !bytes.Contains(rest, unfinished) || bytes.Contains(rest, usageObject) {
		return nil, false
	}
	for _, part := range messageParts {
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

// stringBody returns the bytes up to the quote that ends a JSON string.
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
