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
	// fenceHeader carries the fencing token of an adapter request.
	fenceHeader        = "Geraniumladder-Fence"
	lastEventIDHeader  = "Last-Event-ID"
	doneEvent          = "data: [DONE]\n\n"
	finishReasonLength = "length"
	coldPath           = "/cold"
)

// Handler serves the engine's API, its faults and the request log.
func (e *Engine) Handler() http.Handler {
	x := newEcho()
	x.POST("/v1/completions", e.completionHandler(false), e.withFaults)
	x.POST("/v1/chat/completions", e.completionHandler(true), e.withFaults)
	x.GET("/v1/models", e.listModels, e.probeMiddleware)
	x.POST("/v1/load_lora_adapter", e.loadAdapter, e.withFaults)
	x.POST("/v1/unload_lora_adapter", e.unloadAdapter, e.withFaults)
	x.GET("/v1/streams/:id", e.resumeStream, e.withFaults)
	x.DELETE("/v1/streams/:id", e.cancelStream, e.withFaults)
	x.GET("/health", func(x echo.Context) error { return x.NoContent(http.StatusOK) }, e.probeMiddleware)
	registry := prometheus.NewRegistry()
	registry.MustRegister(engineCollector{e})
	x.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})), e.probeMiddleware)
	x.GET(coldPath, e.getCold)
	x.POST(coldPath, e.setCold)
	e.registerFaultRoutes(x, faultsPath)
	e.registerRequestLog(x)
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
	// ContinueFinalMessage makes the completion continue the last message instead of replying to it, as in vLLM.
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// ChatPrompt returns the prompt for chat messages, which are pairs of role and content. If continued is set, the
// completion continues the last message.
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

// contentText returns the text of a message's content, which is a string or a list of parts. Parts other than text are
// represented by their type.
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

func (q completionRequest) maxTokens() int {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func respondError(x echo.Context, status int, format string, args ...any) error {
	return x.JSON(status, newErrorBody(status, fmt.Sprintf(format, args...)))
}

func (e *Engine) completionHandler(chat bool) echo.HandlerFunc {
	return func(x echo.Context) error {
		var q completionRequest
		if err := json.NewDecoder(x.Request().Body).Decode(&q); err != nil {
			return respondError(x, http.StatusBadRequest, "the body is no completion request: %v", err)
		}
		if q.maxTokens() < 1 {
			return respondError(x, http.StatusBadRequest, "max_tokens must be at least 1, got %d", q.maxTokens())
		}
		if (chat && len(q.Messages) == 0) || (!chat && len(q.Prompt) == 0) {
			return respondError(x, http.StatusBadRequest, "the request has no prompt or messages")
		}
		if !e.acceptCold() {
			return errCrashed
		}
		id := x.Request().Header.Get(requestIDHeader)
		if id == "" {
			id = uuid.NewString()
		}
		x.Response().Header().Set(requestIDHeader, id)
		r, err := e.enqueue(completionParams{
			id: id, model: q.Model, prompt: q.prompt(chat), chat: chat, priority: q.Priority, maxTokens: q.maxTokens(),
		})
		if errors.Is(err, errNotResident) {
			return respondError(x, http.StatusNotFound, "The model `%s` does not exist.", q.Model)
		}
		if err != nil {
			return err
		}
		defer e.detach(r)
		if q.Stream {
			return e.stream(x, r, 0)
		}
		return e.respond(x, r)
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

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *sequence) response(object string, choices ...choice) completionResponse {
	if choices == nil {
		choices = []choice{}
	}
	return completionResponse{ID: r.id, Object: object, Created: r.created.Unix(), Model: r.model, Choices: choices}
}

func (r *sequence) usage(tokens int) *usage {
	return &usage{
		PromptTokens: r.promptTokens, CompletionTokens: tokens, TotalTokens: r.promptTokens + tokens,
		Details: usageDetails{CachedTokens: r.cachedTokens},
	}
}

// respond sends the complete response of a request that does not stream.
func (e *Engine) respond(x echo.Context, r *sequence) error {
	select {
	case <-r.done:
	case <-x.Request().Context().Done():
		return x.Request().Context().Err()
	}
	v := e.snapshot(r)
	if v.state == sequenceAborted {
		return respondError(x, http.StatusInternalServerError, "%s", v.reason)
	}
	text, finish := strings.Join(v.tokens, ""), finishReasonLength
	response := r.response("text_completion", choice{Text: &text, FinishReason: &finish})
	if r.chat {
		response = r.response("chat.completion", choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &finish})
	}
	response.Usage = r.usage(len(v.tokens))
	return x.JSON(http.StatusOK, response)
}

// tokenChunk returns the stream event for the token with index i.
func (r *sequence) tokenChunk(i int, token string) completionResponse {
	var finish *string
	if i+1 == r.maxTokens {
		reason := finishReasonLength
		finish = &reason
	}
	if !r.chat {
		return r.response("text_completion", choice{Text: &token, FinishReason: finish})
	}
	delta := message{Content: token}
	if i == 0 {
		delta.Role = "assistant"
	}
	return r.response("chat.completion.chunk", choice{Delta: &delta, FinishReason: finish})
}

func (r *sequence) usageChunk(tokens int) completionResponse {
	response := r.response("text_completion")
	if r.chat {
		response.Object = "chat.completion.chunk"
	}
	response.Usage = r.usage(tokens)
	return response
}

// stream sends the events that follow event number sent. Event n carries the n-th token, counted from 1; the event after
// the last token carries the usage.
func (e *Engine) stream(x echo.Context, r *sequence, sent int) error {
	w := x.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream; charset=utf-8")
	w.Header().Set(requestIDHeader, r.id)
	w.WriteHeader(http.StatusOK)
	w.Flush()
	for {
		v, err := e.waitForTokens(x.Request().Context(), r, sent)
		if err != nil {
			return nil //nolint:nilerr // The client has disconnected.
		}
		for ; sent < len(v.tokens); sent++ {
			if !writeEvent(w, sent+1, r.tokenChunk(sent, v.tokens[sent])) {
				return nil
			}
		}
		switch v.state {
		case sequenceFinished:
			if sent > len(v.tokens) || writeEvent(w, sent+1, r.usageChunk(len(v.tokens))) {
				_, _ = fmt.Fprint(w, doneEvent)
			}
		case sequenceAborted:
			body, err := json.Marshal(newErrorBody(http.StatusInternalServerError, v.reason))
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

// writeEvent writes a server-sent event. It returns false if the write fails.
func writeEvent(w io.Writer, number int, response completionResponse) bool {
	body, err := json.Marshal(response)
	if err == nil {
		_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, body)
	}
	return err == nil
}

func (e *Engine) resumeStream(x echo.Context) error {
	sent := 0
	if text := x.Request().Header.Get(lastEventIDHeader); text != "" {
		var err error
		if sent, err = strconv.Atoi(text); err != nil || sent < 0 {
			return respondError(x, http.StatusBadRequest, "%s %q is not the number of an event", lastEventIDHeader, text)
		}
	}
	r, ok := e.attach(x.Param("id"))
	if !ok {
		return respondError(x, http.StatusNotFound, "no stream %s; streams are kept for %s after their end", x.Param("id"), e.config.StreamRetention)
	}
	defer e.detach(r)
	return e.stream(x, r, sent)
}

func (e *Engine) cancelStream(x echo.Context) error {
	found, stopped := e.cancel(x.Param("id"))
	if !found {
		return respondError(x, http.StatusNotFound, "no stream %s", x.Param("id"))
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

func (e *Engine) listModels(x echo.Context) error {
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

type adapterRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// decodeAdapterRequest decodes an adapter request and checks its fencing token. If ok is false, it has sent the error
// response.
func (e *Engine) decodeAdapterRequest(x echo.Context) (o adapterRequest, ok bool, err error) {
	if json.NewDecoder(x.Request().Body).Decode(&o) != nil || o.Name == "" {
		return o, false, respondError(x, http.StatusBadRequest, "the order needs lora_name")
	}
	text := x.Request().Header.Get(fenceHeader)
	if text == "" {
		return o, true, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return o, false, respondError(x, http.StatusBadRequest, "%s %q is not a number", fenceHeader, text)
	}
	if !e.acceptFence(number) {
		return o, false, respondError(x, http.StatusPreconditionFailed, "fencing number %d is stale", number)
	}
	return o, true, nil
}

func (e *Engine) loadAdapter(x echo.Context) error {
	o, ok, err := e.decodeAdapterRequest(x)
	if !ok {
		return err
	}
	if o.Path == "" {
		return respondError(x, http.StatusBadRequest, "the order needs lora_path")
	}
	switch err := e.load(context.WithoutCancel(x.Request().Context()), o.Name, o.Path); {
	case errors.Is(err, errLoaded), errors.Is(err, errNoSlot):
		return respondError(x, http.StatusBadRequest, "The lora adapter '%s' %s.", o.Name, err)
	case err != nil:
		return respondError(x, http.StatusInternalServerError, "The lora adapter '%s' was not loaded: %s", o.Name, err)
	}
	return x.String(http.StatusOK, "Success: LoRA adapter '"+o.Name+"' added successfully.")
}

func (e *Engine) unloadAdapter(x echo.Context) error {
	o, ok, err := e.decodeAdapterRequest(x)
	if !ok {
		return err
	}
	if !e.unload(o.Name) {
		return respondError(x, http.StatusNotFound, "The lora adapter '%s' cannot be found.", o.Name)
	}
	return x.String(http.StatusOK, "Success: LoRA adapter '"+o.Name+"' removed successfully.")
}

// engineMetrics is a snapshot of the values that /metrics exports. running, waiting and resident are adapter names.
type engineMetrics struct {
	at           time.Time
	running      []string
	waiting      []string
	resident     []string
	runningCount int
	waitingCount int
	stats        EngineStats
}

// currentMetrics returns the current metrics, or the cached ones while they are younger than Faults.Lag.
func (e *Engine) currentMetrics() engineMetrics {
	lag := time.Duration(e.Faults().Lag)
	now := time.Now()
	e.state.Lock()
	defer e.state.Unlock()
	if !e.cachedMetrics.at.IsZero() && now.Sub(e.cachedMetrics.at) < lag {
		return e.cachedMetrics
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
	e.cachedMetrics = engineMetrics{
		at: now, running: names(e.running), waiting: names(e.waiting), resident: e.residentNames(),
		runningCount: len(e.running), waitingCount: len(e.waiting), stats: e.stats,
	}
	return e.cachedMetrics
}

// engineCollector exports the metrics of an engine under vLLM's names, and in addition the resident adapters.
type engineCollector struct{ engine *Engine }

// modelLabel is the label for the base model.
var modelLabel = []string{"model_name"}

var (
	descRunning = prometheus.NewDesc("vllm:num_requests_running", "Requests in the batch.", modelLabel, nil)
	descWaiting = prometheus.NewDesc("vllm:num_requests_waiting", "Requests waiting.", modelLabel, nil)
	descLora    = prometheus.NewDesc("vllm:lora_requests_info", "Adapters in use; the value is the time.",
		[]string{"max_lora", "running_lora_adapters", "waiting_lora_adapters"}, nil)
	descResident = prometheus.NewDesc("vllm:lora_resident_info", "Adapters loaded.", []string{"lora_name"}, nil)
	descPrompt   = prometheus.NewDesc("vllm:prompt_tokens_total", "Prompt tokens.", modelLabel, nil)
	descTokens   = prometheus.NewDesc("vllm:generation_tokens_total", "Tokens of answers.", modelLabel, nil)
	descQueries  = prometheus.NewDesc("vllm:prefix_cache_queries_total", "Prompt tokens looked up in the cache.", modelLabel, nil)
	descHits     = prometheus.NewDesc("vllm:prefix_cache_hits_total", "Prompt tokens found in the cache.", modelLabel, nil)
)

// Describe implements prometheus.Collector.
func (c engineCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descRunning, descWaiting, descLora, descResident, descPrompt, descTokens, descQueries, descHits} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c engineCollector) Collect(ch chan<- prometheus.Metric) {
	m := c.engine.currentMetrics()
	base := c.engine.config.BaseModel
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counter := func(d *prometheus.Desc, value int) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), base)
	}
	gauge(descRunning, float64(m.runningCount), base)
	gauge(descWaiting, float64(m.waitingCount), base)
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
