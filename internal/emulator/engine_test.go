package emulator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/emulator"
)

const adapterName = "fado@3"

// withEngine runs a test with an engine in a synctest bubble, which has a fake clock.
func withEngine(t *testing.T, c emulator.EngineConfig, test func(*testing.T, *emulator.Engine, http.Handler)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(c)
		defer engine.Close()
		test(t, engine, engine.Handler())
	})
}

// completionText sends a completion request without streaming and returns the text of the response.
func completionText(t *testing.T, h http.Handler, path, body string) string {
	t.Helper()
	recorder := post(h, path, body)
	assert.Equal(t, recorder.Code, http.StatusOK, recorder.Body)
	var out struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
		}
	}
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &out))
	return out.Choices[0].Text + out.Choices[0].Message.Content
}

// completionBody returns the body of a completion request. more holds additional JSON fields, each with a comma before it.
func completionBody(model, text string, tokens int, more string) string {
	quoted, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"model":%q,"prompt":%s,"max_tokens":%d%s}`, model, quoted, tokens, more)
}

// Guards against repeated or skipped tokens when a completion is continued on another engine.
func TestAnswerContinuation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, text := rapid.String().Draw(t, "model"), rapid.String().Draw(t, "prompt")
		n, m := rapid.IntRange(0, 20).Draw(t, "n"), rapid.IntRange(0, 20).Draw(t, "m")
		first := emulator.GenerateText(model, text, n)
		assert.Equal(t, first+emulator.GenerateText(model, text+first, m), emulator.GenerateText(model, text, n+m))
		assert.Equal(t, len(strings.Fields(first)), n)
	})
}

// Guards against completions that differ from GenerateText, in the completions API and the chat API, and against
// continuations that differ from an uninterrupted completion.
func TestCompletionsMatchAnswer(t *testing.T) {
	withEngine(t, emulator.EngineConfig{Resident: []string{adapterName}}, func(t *testing.T, _ *emulator.Engine, h http.Handler) {
		const text = "Broken rosary,\n\"55\" beads & <hook>"
		full := completionText(t, h, "/v1/completions", completionBody(adapterName, text, 12, ""))
		assert.Equal(t, full, emulator.GenerateText(adapterName, text, 12))
		assert.Assert(t, full != completionText(t, h, "/v1/completions", completionBody("base", text, 12, "")))
		first := completionText(t, h, "/v1/completions", completionBody(adapterName, text, 5, ""))
		assert.Equal(t, first+completionText(t, h, "/v1/completions", completionBody(adapterName, text+first, 7, "")), full)

		chat := func(messages string, tokens int, more string) string {
			return completionText(t, h, "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"messages":[%s],"max_tokens":%d%s}`, adapterName, messages, tokens, more))
		}
		const messagesBefore = `{"role":"system","content":"s"},{"role":"user","content":[{"type":"text","text":"hi"}]}`
		full = chat(messagesBefore, 9, "")
		assert.Equal(t, full, emulator.GenerateText(adapterName, emulator.ChatPrompt(false, [2]string{"system", "s"}, [2]string{"user", "hi"}), 9))
		first = chat(messagesBefore, 4, "")
		rest := chat(messagesBefore+fmt.Sprintf(`,{"role":"assistant","content":%q}`, first), 5, `,"continue_final_message":true,"add_generation_prompt":false`)
		assert.Equal(t, first+rest, full)
	})
}

// disconnectingRecorder records a response and closes the connection once the given number of events have arrived.
type disconnectingRecorder struct {
	*httptest.ResponseRecorder

	events int
	cancel context.CancelFunc
}

func (w *disconnectingRecorder) Write(p []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(p)
	if strings.Count(w.Body.String(), "\n\n") >= w.events {
		w.cancel()
	}
	return n, err
}

// streamUntil reads a stream, closes the connection after the given number of events and returns the received events.
func streamUntil(h http.Handler, q request, events int) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &disconnectingRecorder{ResponseRecorder: httptest.NewRecorder(), events: events, cancel: cancel}
	r := httptest.NewRequestWithContext(ctx, q.method, q.path, strings.NewReader(q.body))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	h.ServeHTTP(w, r)
	return strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
}

const allEvents = 1 << 20

func startStream(h http.Handler, id string, tokens, events int) []string {
	return streamUntil(h, request{method: http.MethodPost, path: "/v1/completions",
		body: completionBody(adapterName, "p", tokens, `,"stream":true`), header: map[string]string{"X-Request-Id": id}}, events)
}

func resumeStream(h http.Handler, id string, last, events int) []string {
	return streamUntil(h, request{method: http.MethodGet, path: "/v1/streams/" + id,
		header: map[string]string{"Last-Event-ID": fmt.Sprint(last)}}, events)
}

// Guards against a stream format that OpenAI clients cannot parse.
func TestStreamFormat(t *testing.T) {
	withEngine(t, emulator.EngineConfig{Resident: []string{adapterName}}, func(t *testing.T, _ *emulator.Engine, h http.Handler) {
		events := startStream(h, "r1", 3, allEvents)
		assert.Equal(t, len(events), 5)
		assert.Equal(t, events[4], "data: [DONE]")
		text := ""
		for i, event := range events[:4] {
			data, ok := strings.CutPrefix(event, fmt.Sprintf("id: %d\ndata: ", i+1))
			assert.Assert(t, ok, event)
			var chunk struct {
				ID, Object, Model string
				Choices           []struct {
					Text         string
					FinishReason *string `json:"finish_reason"`
				}
				Usage *struct {
					CompletionTokens int `json:"completion_tokens"`
				}
			}
			assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
			assert.Equal(t, chunk.ID+" "+chunk.Object+" "+chunk.Model, "r1 text_completion "+adapterName)
			if i == 3 {
				assert.Equal(t, len(chunk.Choices), 0)
				assert.Equal(t, chunk.Usage.CompletionTokens, 3)
				break
			}
			text += chunk.Choices[0].Text
			assert.Equal(t, chunk.Choices[0].FinishReason != nil, i == 2)
		}
		assert.Equal(t, text, emulator.GenerateText(adapterName, "p", 3))
	})
}

// Guards against a resumed stream repeating or omitting events, wherever and however often it was interrupted.
func TestResumeStream(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tokens := rapid.IntRange(1, 8).Draw(r, "tokens")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 4), 1, 6).Draw(r, "cuts")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 40), 6, 6).Draw(r, "pauses")
		// The property is checked outside the synctest bubble, because a failing rapid check must not exit from within it.
		var want, got []string
		withEngine(t, emulator.EngineConfig{Resident: []string{adapterName}}, func(_ *testing.T, _ *emulator.Engine, h http.Handler) {
			want = startStream(h, "whole", tokens, allEvents)
			got = startStream(h, "cut", tokens, cuts[0])
			for i, cut := range append(cuts[1:], allEvents) {
				if len(got) > tokens {
					break
				}
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				got = append(got, resumeStream(h, "cut", len(got), cut)...)
			}
		})
		assert.Assert(r, len(got) > tokens && len(got) <= len(want), "%d events for %d tokens", len(got), tokens)
		assert.Equal(r, strings.ReplaceAll(strings.Join(got, "|"), `"cut"`, `"whole"`), strings.Join(want[:len(got)], "|"))
	})
}

// Guards against requests that run forever without a connection, and against streams evicted before StreamRetention has
// passed.
func TestDetachTimeoutAndStreamRetention(t *testing.T) {
	withEngine(t, emulator.EngineConfig{Resident: []string{adapterName}, StepTime: time.Second}, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
		last := func(events []string) string { return events[len(events)-1] }
		startStream(h, "r1", 30, 2)
		time.Sleep(4 * time.Second)
		assert.Equal(t, last(resumeStream(h, "r1", 2, 5)[:1])[:6], "id: 3\n")
		time.Sleep(8 * time.Second)
		assert.Assert(t, strings.Contains(last(resumeStream(h, "r1", 2, allEvents)), "no connection was left"))
		tokens := engine.Stats().Tokens
		assert.Assert(t, tokens < 20, "%d tokens after the connection was closed", tokens)

		startStream(h, "r2", 2, allEvents)
		time.Sleep(50 * time.Second)
		assert.Equal(t, last(resumeStream(h, "r2", 3, allEvents)), "data: [DONE]")
		time.Sleep(11 * time.Second)
		assert.Equal(t, get(h, "/v1/streams/r2").Code, http.StatusNotFound)

		startStream(h, "r3", 30, 1)
		cancel := request{method: http.MethodDelete, path: "/v1/streams/r3"}
		assert.Equal(t, serve(h, cancel).Body.String(), "{\"Cancelled\":true}\n")
		assert.Equal(t, serve(h, cancel).Body.String(), "{\"Cancelled\":false}\n")
		assert.Assert(t, strings.Contains(last(resumeStream(h, "r3", 1, allEvents)), "cancelled"))
	})
}

func load(h http.Handler, name string) int {
	return post(h, "/v1/load_lora_adapter", fmt.Sprintf(`{"lora_name":%q,"lora_path":"adapters/%s"}`, name, name)).Code
}

func unload(h http.Handler, name string) int {
	return post(h, "/v1/unload_lora_adapter", fmt.Sprintf(`{"lora_name":%q}`, name)).Code
}

// Guards against an engine holding more adapters than slots, and against not counting unloads of adapters in use.
func TestSlots(t *testing.T) {
	withEngine(t, emulator.EngineConfig{Slots: 2, LoadTime: time.Second}, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
		first := startRequest(h, request{method: http.MethodPost, path: "/v1/load_lora_adapter", body: `{"lora_name":"a","lora_path":"a"}`})
		synctest.Wait()
		assert.Equal(t, post(h, "/v1/completions", completionBody("a", "p", 1, "")).Code, http.StatusNotFound, "requests for an adapter must fail while it is loading")
		assert.Equal(t, load(h, "a"), http.StatusBadRequest)
		assert.Equal(t, load(h, "b"), http.StatusOK)
		assert.Equal(t, <-first, http.StatusOK)
		assert.Equal(t, load(h, "c"), http.StatusBadRequest)
		assert.Equal(t, unload(h, "c"), http.StatusNotFound)
		assert.Equal(t, unload(h, "a"), http.StatusOK)
		assert.Equal(t, load(h, "c"), http.StatusOK)
		assert.DeepEqual(t, engine.Resident(), []string{"b", "c"})
		assert.Equal(t, engine.Stats().UnloadedInUse, 0)

		running := startRequest(h, request{method: http.MethodPost, path: "/v1/completions", body: completionBody("b", "p", 100, "")})
		synctest.Wait()
		metrics := get(h, "/metrics").Body.String()
		for _, line := range []string{
			`vllm:num_requests_running{model_name="base"} 1`, `running_lora_adapters="b"`, `vllm:lora_resident_info{lora_name="c"} 1`,
		} {
			assert.Assert(t, strings.Contains(metrics, line), metrics)
		}
		assert.Equal(t, unload(h, "b"), http.StatusOK)
		assert.Equal(t, <-running, http.StatusInternalServerError)
		assert.Equal(t, engine.Stats().UnloadedInUse, 1)

		engine.SetFaults(emulator.Faults{LoadFailRate: 1})
		assert.Equal(t, load(h, "d"), http.StatusInternalServerError)
		assert.DeepEqual(t, engine.Resident(), []string{"c"})
	})
}

// Guards against adapters, streams or the fencing token surviving a crash, and against a load that was in progress
// taking effect after the crash.
func TestCrash(t *testing.T) {
	withEngine(t, emulator.EngineConfig{Resident: []string{adapterName}, ChecksFence: true, LoadTime: time.Second}, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
		assert.Equal(t, unloadWithFence(h, "x", 9), http.StatusNotFound)
		running := startRequest(h, request{method: http.MethodPost, path: "/v1/completions", body: completionBody(adapterName, "p", 1000, ""),
			header: map[string]string{"X-Request-Id": "r1"}})
		loading := startRequest(h, request{method: http.MethodPost, path: "/v1/load_lora_adapter", body: `{"lora_name":"a","lora_path":"a"}`})
		synctest.Wait()
		engine.Crash()
		assert.Equal(t, <-running, statusAborted)
		assert.Equal(t, <-loading, statusAborted)
		assert.DeepEqual(t, engine.Resident(), []string{})
		assert.Equal(t, get(h, "/v1/streams/r1").Code, http.StatusNotFound)
		assert.Equal(t, unloadWithFence(h, "x", 1), http.StatusNotFound)
	})
}

// unloadWithFence requests an unload with a fencing token. If the token is accepted and the adapter is not loaded, the
// status is 404.
func unloadWithFence(h http.Handler, name string, number int) int {
	return serve(h, request{method: http.MethodPost, path: "/v1/unload_lora_adapter", body: fmt.Sprintf(`{"lora_name":%q}`, name),
		header: map[string]string{"Geraniumladder-Fence": fmt.Sprint(number)}}).Code
}

// Guards against accepting adapter requests from a former token holder, and against checking tokens when that is disabled.
func TestFencingToken(t *testing.T) {
	for _, test := range []struct {
		checks, ignore bool
		stale          int
	}{{true, false, http.StatusPreconditionFailed}, {true, true, http.StatusNotFound}, {false, false, http.StatusNotFound}} {
		withEngine(t, emulator.EngineConfig{ChecksFence: test.checks}, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
			engine.SetFaults(emulator.Faults{IgnoreFence: test.ignore})
			assert.Equal(t, unloadWithFence(h, "x", 4), http.StatusNotFound)
			assert.Equal(t, unloadWithFence(h, "x", 4), http.StatusNotFound, "a holder may send several requests with its token")
			assert.Equal(t, unloadWithFence(h, "x", 3), test.stale)
			assert.Equal(t, unloadWithFence(h, "x", 5), http.StatusNotFound)
			assert.Equal(t, unload(h, "x"), http.StatusNotFound, "a request without a token must be accepted")
			stats := engine.Stats()
			assert.Equal(t, stats.FenceRefused+stats.FenceIgnored, 1)
		})
	}
}

// Guards against wrong batching: a batch has at most MaxRunning requests, chosen by priority, and a step takes longer
// with more adapters and with uncached prompt tokens.
func TestBatching(t *testing.T) {
	config := emulator.EngineConfig{Resident: []string{"a", "b"}, MaxRunning: 2, StepTime: 100 * time.Millisecond,
		AdapterCost: 0.5, PrefillTokenTime: time.Millisecond}
	withEngine(t, config, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
		began := time.Now()
		// run starts a completion of n tokens. The returned channel receives the milliseconds from began to its end.
		run := func(model, text string, n, priority int) <-chan int64 {
			done := make(chan int64, 1)
			go func() {
				post(h, "/v1/completions", completionBody(model, text, n, fmt.Sprintf(`,"priority":%d`, priority)))
				done <- time.Since(began).Milliseconds()
			}()
			synctest.Wait()
			return done
		}
		// Four requests for one model, two at a time. The waiting request with the lower priority value is scheduled first.
		first, second := run("a", "p", 10, 0), run("a", "p", 10, 0)
		late, early := run("a", "p", 10, 5), run("a", "p", 9, 1)
		<-first
		<-second
		assert.Assert(t, <-early < <-late)
		// The first request is alone in step 1, so the second one, with 10 tokens, ends in step 11 and the last one in step
		// 21.
		assert.Equal(t, engine.Stats().Steps, 21)

		began = time.Now()
		one, two := run("a", "p", 10, 0), run("b", "p", 10, 0)
		<-one
		alone := <-two
		// The first step has only one model and takes 100 ms and 1 ms for prefill. Each step with two models takes 150 ms.
		assert.Assert(t, alone > 10*145, "took %d ms", alone)

		words := strings.Repeat("word ", 160)
		began = time.Now()
		assert.Equal(t, <-run("a", words, 1, 0), int64(100+160))
		began = time.Now()
		assert.Equal(t, <-run("a", words, 1, 0), int64(100+1), "the prefix must be cached")
		began = time.Now()
		assert.Equal(t, <-run("b", words, 1, 0), int64(100+160), "a prefix cached for one adapter must not be used for another")
		assert.Equal(t, engine.Stats().CachedTokens, 160)
	})
}

// Guards against metrics that are updated before Lag has passed.
func TestMetricsLag(t *testing.T) {
	withEngine(t, emulator.EngineConfig{}, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
		engine.SetFaults(emulator.Faults{Lag: emulator.Duration(time.Minute)})
		shows := func(name string) bool { return strings.Contains(get(h, "/metrics").Body.String(), name) }
		assert.Assert(t, !shows("fresh"))
		assert.Equal(t, load(h, "fresh"), http.StatusOK)
		assert.Assert(t, !shows("fresh"))
		time.Sleep(time.Minute)
		assert.Assert(t, shows("fresh"))
	})
}

// Guards against an engine that does not fetch the weights of an adapter, or treats a failed fetch as a successful load.
func TestLoadFromWeightStore(t *testing.T) {
	platform := emulator.NewPlatform(emulator.PlatformConfig{Weights: emulator.WeightsConfig{LoadTime: time.Millisecond}})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	engine := emulator.NewEngine(emulator.EngineConfig{WeightsURL: server.URL})
	defer engine.Close()
	h := engine.Handler()
	assert.Equal(t, load(h, "a"), http.StatusOK)
	assert.Equal(t, platform.Weights.Stats().Finished, 1)
	assert.Equal(t, platform.Weights.SeenRequests()[0].Path, "/weights/adapters/a")
	platform.Weights.SetFaults(emulator.Faults{FailNext: 1})
	assert.Equal(t, load(h, "b"), http.StatusInternalServerError)
	assert.DeepEqual(t, engine.Resident(), []string{"a"})
}

// Guards against responses that a client of the OpenAI API cannot parse.
func TestOpenAIClient(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineConfig{Resident: []string{adapterName}})
	defer engine.Close()
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: adapterName, MaxTokens: openai.Int(6), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("price?")},
	}
	want := emulator.GenerateText(adapterName, emulator.ChatPrompt(false, [2]string{"user", "price?"}), 6)
	completion, err := client.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Message.Content, want)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, all.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, all.Choices[0].Message.Content, want)
	assert.Equal(t, all.Usage.CompletionTokens, int64(6))
	params.Model = "absent@1"
	_, err = client.Chat.Completions.New(t.Context(), params)
	refused := new(openai.Error)
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.StatusCode, http.StatusNotFound)
}
