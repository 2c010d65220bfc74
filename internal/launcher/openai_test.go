package launcher_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/emulator"
)

// Guards against responses, streams or errors that the official OpenAI client library cannot parse.
func TestOpenAIClientLibrary(t *testing.T) {
	f := startFleet(t)
	client := openai.NewClient(option.WithBaseURL(f.announcement.Entries[0]+"/v1"), option.WithAPIKey(f.announcement.Keys["accra"]))
	route := f.announcement.Routes.Model["accra"]
	want := emulator.GenerateText("accra-drafts@v1", emulator.ChatPrompt(false, [2]string{"user", "a quote"}), 5)
	params := openai.ChatCompletionNewParams{
		Model: route, MaxTokens: openai.Int(5), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a quote")},
	}

	completion, err := client.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, want)
	assert.Equal(t, completion.Usage.CompletionTokens, int64(5))

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text, want)

	models, err := client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 2)

	params.Model = f.announcement.Routes.Model["vunidawa"]
	_, err = client.Chat.Completions.New(t.Context(), params)
	var apiErr *openai.Error
	assert.Assert(t, errors.As(err, &apiErr), "%v", err)
	assert.Equal(t, apiErr.StatusCode, http.StatusForbidden)
	assert.Equal(t, apiErr.Code, "route_not_allowed")
}
