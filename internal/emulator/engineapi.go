package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// fenceHeader carries the fencing number of an order.
	fenceHeader = "Geraniumladder-Fence"
	lastEventID = "Last-Event-ID"
	doneEvent   = "data: [DONE]\n\n"
	finishLen   = "length"
)

// Handler serves the engine's API and its fault pages.
func (e *Engine) Handler() http.Handler {
	x := newEcho()
	x.POST("/v1/completions", e.complete(false), e.wrap)
	x.POST("/v1/chat/completions", e.complete(true), e.wrap)
	x.GET("/v1/models", e.models, e.probe)
	x.POST("/v1/load_lora_adapter", e.loadAdapter, e.wrap)
	x.POST("/v1/unload_lora_adapter", e.unloadAdapter, e.wrap)
	x.GET("/v1/streams/:id", e.resume, e.wrap)
	x.DELETE("/v1/streams/:id", e.cancelStream, e.wrap)
	x.GET("/health", func(x echo.Context) error { return x.NoContent(http.StatusOK) }, e.probe)
	registry := prometheus.NewRegistry()
	registry.MustRegister(engineCollector{e})
	x.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})), e.probe)
	e.registerPages(x, pageFaults)
	e.registerSeen(x)
	return x
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Priority            int             `json:"priority"`
	// ContinueFinalMessage continues the last message in place of answering it, as in vLLM.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// ChatPrompt returns the prompt that the engine makes of chat messages, given as pairs of role and content.
// With continued set the answer continues the last message.
func ChatPrompt(continued bool, pairs ...[2]string) string {
	var b strings.Builder
	for i, p := range pairs {
		b.WriteString("<" + p[0] + ">" + p[1])
		if !continued || i+1 < len(pairs) {
			b.WriteByte('\n')
		}
	}
	if !continued {
		b.WriteString("<assistant>")
	}
	return b.String()
}

// contentText returns the text of a message's content, which is a string or a list of parts.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return string(raw)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type == "text" {
			b.WriteString(p.Text)
		} else {
			b.WriteString("<" + p.Type + ">")
		}
	}
	return b.String()
}

func (q completionRequest) prompt(chat bool) string {
	if !chat {
		return promptText(q.Prompt)
	}
	pairs := make([][2]string, 0, len(q.Messages))
	for _, m := range q.Messages {
		pairs = append(pairs, [2]string{m.Role, contentText(m.Content)})
	}
	return ChatPrompt(q.ContinueFinalMessage, pairs...)
}

func (q completionRequest) max() int {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func refuse(x echo.Context, status int, format string, args ...any) error {
	return x.JSON(status, failure(status, fmt.Sprintf(format, args...)))
}

func (e *Engine) complete(chat bool) echo.HandlerFunc {
	return func(x echo.Context) error {
		var q completionRequest
		if err := json.NewDecoder(x.Request().Body).Decode(&q); err != nil {
			return refuse(x, http.StatusBadRequest, "the body is no completion request: %v", err)
		}
		if q.max() < 1 {
			return refuse(x, http.StatusBadRequest, "max_tokens must be at least 1, got %d", q.max())
		}
		if (chat && len(q.Messages) == 0) || (!chat && len(q.Prompt) == 0) {
			return refuse(x, http.StatusBadRequest, "the request has no prompt or messages")
		}
		id := x.Request().Header.Get(requestIDHeader)
		if id == "" {
			id = uuid.NewString()
		}
		x.Response().Header().Set(requestIDHeader, id)
		r, err := e.begin(completion{
			id: id, model: q.Model, prompt: q.prompt(chat), chat: chat, priority: q.Priority, max: q.max(),
		})
		if errors.Is(err, errNotResident) {
			return refuse(x, http.StatusNotFound, "The model `%s` does not exist.", q.Model)
		}
		if err != nil {
			return err
		}
		defer e.detach(r)
		if q.Stream {
			return e.stream(x, r, 0)
		}
		return e.whole(x, r)
	}
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *sequence) answer(object string, choices ...choice) completionAnswer {
	if choices == nil {
		choices = []choice{}
	}
	return completionAnswer{ID: r.id, Object: object, Created: r.created.Unix(), Model: r.model, Choices: choices}
}

func (r *sequence) usage(tokens int) *usage {
	return &usage{
		PromptTokens: r.promptN, CompletionTokens: tokens, TotalTokens: r.promptN + tokens,
		Details: usageDetails{CachedTokens: r.cachedN},
	}
}

// whole answers a request without a stream.
func (e *Engine) whole(x echo.Context, r *sequence) error {
	select {
	case <-r.done:
	case <-x.Request().Context().Done():
		return x.Request().Context().Err()
	}
	v := e.look(r)
	if v.state == runStopped {
		return refuse(x, http.StatusInternalServerError, "%s", v.reason)
	}
	text, finish := strings.Join(v.tokens, ""), finishLen
	answer := r.answer("text_completion", choice{Text: &text, FinishReason: &finish})
	if r.chat {
		answer = r.answer("chat.completion", choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &finish})
	}
	answer.Usage = r.usage(len(v.tokens))
	return x.JSON(http.StatusOK, answer)
}

// chunk returns the event of the i-th token, counted from 0.
func (r *sequence) chunk(i int, token string) completionAnswer {
	var finish *string
	if i+1 == r.max {
		reason := finishLen
		finish = &reason
	}
	if !r.chat {
		return r.answer("text_completion", choice{Text: &token, FinishReason: finish})
	}
	delta := message{Content: token}
	if i == 0 {
		delta.Role = "assistant"
	}
	return r.answer("chat.completion.chunk", choice{Delta: &delta, FinishReason: finish})
}

func (r *sequence) usageChunk(tokens int) completionAnswer {
	answer := r.answer("text_completion")
	if r.chat {
		answer.Object = "chat.completion.chunk"
	}
	answer.Usage = r.usage(tokens)
	return answer
}

// stream sends the events after number sent. Event n is the n-th token; the event after the last token gives the usage.
func (e *Engine) stream(x echo.Context, r *sequence, sent int) error {
	w := x.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream; charset=utf-8")
	w.Header().Set(requestIDHeader, r.id)
	w.WriteHeader(http.StatusOK)
	w.Flush()
	for {
		v, err := e.await(x.Request().Context(), r, sent)
		if err != nil {
			return nil //nolint:nilerr // The client has gone; nobody is left to tell.
		}
		for ; sent < len(v.tokens); sent++ {
			if !writeEvent(w, sent+1, r.chunk(sent, v.tokens[sent])) {
				return nil
			}
		}
		switch v.state {
		case runFinished:
			if sent > len(v.tokens) || writeEvent(w, sent+1, r.usageChunk(len(v.tokens))) {
				_, _ = fmt.Fprint(w, doneEvent)
			}
		case runStopped:
			body, err := json.Marshal(failure(http.StatusInternalServerError, v.reason))
			if err == nil {
				_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
			}
		default:
			w.Flush()
			continue
		}
		w.Flush()
		return nil
	}
}

// writeEvent returns false when the connection takes no more.
func writeEvent(w io.Writer, number int, answer completionAnswer) bool {
	body, err := json.Marshal(answer)
	if err == nil {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, body)
	}
	return err == nil
}

func (e *Engine) resume(x echo.Context) error {
	sent := 0
	if text := x.Request().Header.Get(lastEventID); text != "" {
		var err error
		if sent, err = strconv.Atoi(text); err != nil || sent < 0 {
			return refuse(x, http.StatusBadRequest, "%s %q is not the number of an event", lastEventID, text)
		}
	}
	r, ok := e.attach(x.Param("id"))
	if !ok {
		return refuse(x, http.StatusNotFound, "no stream %s; streams are kept for %s after their end", x.Param("id"), e.config.Keep)
	}
	defer e.detach(r)
	return e.stream(x, r, sent)
}

func (e *Engine) cancelStream(x echo.Context) error {
	found, stopped := e.cancel(x.Param("id"))
	if !found {
		return refuse(x, http.StatusNotFound, "no stream %s", x.Param("id"))
	}
	return x.JSON(http.StatusOK, struct{ Cancelled bool }{stopped})
}

type modelCard struct {
	ID      string  `json:"id"`
	Object  string  `json:"object"`
	Created int64   `json:"created"`
	OwnedBy string  `json:"owned_by"`
	Root    string  `json:"root"`
	Parent  *string `json:"parent"`
}

func (e *Engine) models(x echo.Context) error {
	card := func(name, root string, parent *string) modelCard {
		return modelCard{ID: name, Object: "model", Created: time.Now().Unix(), OwnedBy: "vllm", Root: root, Parent: parent}
	}
	e.state.Lock()
	cards := []modelCard{card(e.config.BaseModel, e.config.BaseModel, nil)}
	for _, name := range e.residentNames() {
		cards = append(cards, card(name, e.resident[name].path, &e.config.BaseModel))
	}
	e.state.Unlock()
	return x.JSON(http.StatusOK, struct {
		Object string      `json:"object"`
		Data   []modelCard `json:"data"`
	}{"list", cards})
}

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// order reads an order and applies its fencing number. It has answered when ok is false.
func (e *Engine) order(x echo.Context) (o adapterOrder, ok bool, err error) {
	if json.NewDecoder(x.Request().Body).Decode(&o) != nil || o.Name == "" {
		return o, false, refuse(x, http.StatusBadRequest, "the order needs lora_name")
	}
	text := x.Request().Header.Get(fenceHeader)
	if text == "" {
		return o, true, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return o, false, refuse(x, http.StatusBadRequest, "%s %q is not a number", fenceHeader, text)
	}
	if !e.checkFence(number) {
		return o, false, refuse(x, http.StatusPreconditionFailed, "fencing number %d is stale", number)
	}
	return o, true, nil
}

func (e *Engine) loadAdapter(x echo.Context) error {
	o, ok, err := e.order(x)
	if !ok {
		return err
	}
	if o.Path == "" {
		return refuse(x, http.StatusBadRequest, "the order needs lora_path")
	}
	switch err := e.load(context.WithoutCancel(x.Request().Context()), o.Name, o.Path); {
	case errors.Is(err, errLoaded), errors.Is(err, errNoSlot):
		return refuse(x, http.StatusBadRequest, "The lora adapter '%s' %s.", o.Name, err)
	case err != nil:
		return refuse(x, http.StatusInternalServerError, "The lora adapter '%s' was not loaded: %s", o.Name, err)
	}
	return x.String(http.StatusOK, "Success: LoRA adapter '"+o.Name+"' added successfully.")
}

func (e *Engine) unloadAdapter(x echo.Context) error {
	o, ok, err := e.order(x)
	if !ok {
		return err
	}
	if !e.unload(o.Name) {
		return refuse(x, http.StatusNotFound, "The lora adapter '%s' cannot be found.", o.Name)
	}
	return x.String(http.StatusOK, "Success: LoRA adapter '"+o.Name+"' removed successfully.")
}

// engineMetrics is what /metrics shows.
type engineMetrics struct {
	at       time.Time
	running  []string
	waiting  []string
	resident []string
	runningN int
	waitingN int
	stats    EngineStats
}

// metrics returns the present figures, or earlier ones while they are younger than the fault Lag.
func (e *Engine) metrics() engineMetrics {
	lag := time.Duration(e.Faults().Lag)
	now := time.Now()
	e.state.Lock()
	defer e.state.Unlock()
	if !e.shown.at.IsZero() && now.Sub(e.shown.at) < lag {
		return e.shown
	}
	names := func(runs []*sequence) []string {
		var all []string
		for _, r := range runs {
			if r.model != e.config.BaseModel {
				all = append(all, r.model)
			}
		}
		slices.Sort(all)
		return slices.Compact(all)
	}
	e.shown = engineMetrics{
		at: now, running: names(e.running), waiting: names(e.waiting), resident: e.residentNames(),
		runningN: len(e.running), waitingN: len(e.waiting), stats: e.stats,
	}
	return e.shown
}

// engineCollector shows an engine's figures under the names that vLLM gives them, and the resident adapters.
type engineCollector struct{ engine *Engine }

// byModel labels a figure with the base model.
var byModel = []string{"model_name"}

var (
	descRunning = prometheus.NewDesc("vllm:num_requests_running", "Requests in the batch.", byModel, nil)
	descWaiting = prometheus.NewDesc("vllm:num_requests_waiting", "Requests waiting.", byModel, nil)
	descLora    = prometheus.NewDesc("vllm:lora_requests_info", "Adapters in use; the value is the time.",
		[]string{"max_lora", "running_lora_adapters", "waiting_lora_adapters"}, nil)
	descResident = prometheus.NewDesc("vllm:lora_resident_info", "Adapters loaded.", []string{"lora_name"}, nil)
	descPrompt   = prometheus.NewDesc("vllm:prompt_tokens_total", "Prompt tokens.", byModel, nil)
	descTokens   = prometheus.NewDesc("vllm:generation_tokens_total", "Tokens of answers.", byModel, nil)
	descQueries  = prometheus.NewDesc("vllm:prefix_cache_queries_total", "Prompt tokens looked up in the cache.", byModel, nil)
	descHits     = prometheus.NewDesc("vllm:prefix_cache_hits_total", "Prompt tokens found in the cache.", byModel, nil)
)

// Describe implements prometheus.Collector.
func (c engineCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descRunning, descWaiting, descLora, descResident, descPrompt, descTokens, descQueries, descHits} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c engineCollector) Collect(ch chan<- prometheus.Metric) {
	m := c.engine.metrics()
	base := c.engine.config.BaseModel
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counter := func(d *prometheus.Desc, value int) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), base)
	}
	gauge(descRunning, float64(m.runningN), base)
	gauge(descWaiting, float64(m.waitingN), base)
	gauge(descLora, float64(m.at.Unix()), strconv.Itoa(c.engine.config.Slots),
		strings.Join(m.running, ","), strings.Join(m.waiting, ","))
	for _, name := range m.resident {
		gauge(descResident, 1, name)
	}
	counter(descPrompt, m.stats.PromptTokens)
	counter(descTokens, m.stats.Tokens)
	counter(descQueries, m.stats.PromptTokens)
	counter(descHits, m.stats.CachedTokens)
}
