package matcher_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/matcher"
)

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type event struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func encode(t interface{ Helper() }, id, model, text string) []byte {
	t.Helper()
	// A struct of strings and integers always encodes.
	raw, _ := json.Marshal(event{ID: "cmpl-" + id, Model: model, Choices: []choice{{Text: text}}})
	return raw
}

// Guards against accepting an event of another request or model, and against truncating or changing a text that
// contains quotes, escapes or the keys that the matcher searches for.
func TestTokenAgreesWithDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m matcher.Matcher
		m.Learn(encode(t, "req-1", "a@v1", "first"), "req-1", "a@v1")
		fragments := rapid.SampledFrom([]string{`"`, `\`, `"choices":`, `"finish_reason":null`, `"usage":{`, `"text":"`, "\n", "é", "x"})
		text := ""
		for _, part := range rapid.SliceOf(fragments).Draw(t, "parts") {
			text += part
		}
		id := rapid.SampledFrom([]string{"req-1", "req-2", "req-11"}).Draw(t, "id")
		model := rapid.SampledFrom([]string{"a@v1", "a@v2"}).Draw(t, "model")
		raw := encode(t, id, model, text)
		own := id == "req-1" && model == "a@v1"
		assert.Equal(t, m.Matches(raw), own)
		encoded, ok := m.TokenText(raw)
		if !ok {
			return
		}
		assert.Assert(t, own)
		var decoded string
		assert.NilError(t, json.Unmarshal(append(append([]byte{'"'}, encoded...), '"'), &decoded))
		assert.Equal(t, decoded, text)
	})
}

// Guards against treating an event as a plain token if it ends the stream, carries usage or has no text.
func TestOtherEventsAreDecoded(t *testing.T) {
	var m matcher.Matcher
	first := `{"id":"req-1","model":"a@v1","choices":[{"text":"x","finish_reason":null}]}`
	_, ok := m.TokenText([]byte(first))
	assert.Assert(t, !ok, "nothing was learned yet")
	m.Learn([]byte(`{"id":"req-1","choices":[],"model":"a@v1"}`), "req-1", "a@v1")
	assert.Assert(t, !m.Matches([]byte(`{"id":"req-1","choices":[],"model":"b"}`)), "learned a prefix without the model")
	m.Learn([]byte(first), "req-1", "a@v1")
	for event, want := range map[string]bool{
		first: true,
		`{"id":"req-1","model":"a@v1","choices":[{"text":"x","finish_reason":"stop"}]}`:                               false,
		`{"id":"req-1","model":"a@v1","choices":[{"text":"x","finish_reason":null}],"usage":{"prompt_tokens":1}}`:     false,
		`{"id":"req-1","model":"a@v1","choices":[]}`:                                                                  false,
		`{"id":"req-1","model":"a@v1","choices":[{"delta":{"role":"assistant","content":"x"},"finish_reason":null}]}`: false,
		`{"id":"req-1","model":"a@v1","choices":[{"delta":{"content":"x"},"finish_reason":null}]}`:                    true,
		`{"id":"req-1","model":"a@v1","choices":[{"text":"x`:                                                          false,
	} {
		_, ok := m.TokenText([]byte(event))
		assert.Equal(t, ok, want, event)
	}
}
