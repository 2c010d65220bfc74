package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/matcher"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
)

// fencingTokenHeader carries the fencing token of an order.
const fencingTokenHeader = "Geraniumladder-Fence"

const (
	// orderTimeout bounds one load or unload order. Loads take longer than usual when many run at the same time across
	// the fleet.
	orderTimeout = 30 * time.Second
	queryTimeout = 2 * time.Second
	// streamIdleTimeout is the time without data after which a stream is resumed on a new connection. The request keeps
	// running at the engine, so a slow engine only costs an extra connection.
	streamIdleTimeout = 1500 * time.Millisecond
	// maxEventBytes is the maximum size of one stream event and of one control response.
	maxEventBytes = 1 << 20
)

// engine is a client for one model engine. It uses the HTTP API of vLLM's OpenAI-compatible server.
type engine struct {
	url    string
	client *http.Client
	ends   *endObserver
}

func newEngine(url string, wrap func(http.RoundTripper) http.RoundTripper) *engine {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		// An open connection can stop delivering data for good while new connections work, and HTTP/1.1 has no ping to
		// detect this. The engine is close by, so each request opens its own connection.
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &engine{url: strings.TrimSuffix(url, "/"), client: &http.Client{Transport: wrap(transport)}, ends: newEndObserver(url)}
}

// resident returns the adapters loaded at the engine.
func (e *engine) resident(ctx context.Context, baseModel string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	body, err := e.call(ctx, http.MethodGet, "/v1/models", nil, 0)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrap(err, "decode the engine's list of models")
	}
	var names []string
	for _, m := range list.Data {
		if m.ID != baseModel {
			names = append(names, m.ID)
		}
	}
	return names, nil
}

func (e *engine) load(ctx context.Context, name, path string, fencingToken int64) error {
	return e.order(ctx, "/v1/load_lora_adapter", map[string]string{"lora_name": name, "lora_path": path}, fencingToken, true)
}

func (e *engine) unload(ctx context.Context, name string, fencingToken int64) error {
	return e.order(ctx, "/v1/unload_lora_adapter", map[string]string{"lora_name": name}, fencingToken, false)
}

// order sends a load or unload order and waits for it to complete. If the response is late, its connection may be
// stalled, so the engine's list of models is polled: the order has completed once the residency of the adapter is as
// wanted.
func (e *engine) order(ctx context.Context, path string, order map[string]string, fencingToken int64, wanted bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode the load or unload order")
	}
	end := make(chan error, 1)
	go func() {
		_, err := e.call(ctx, http.MethodPost, path, body, fencingToken)
		end <- err
	}()
	poll := time.NewTicker(streamIdleTimeout)
	defer poll.Stop()
	for {
		select {
		case err := <-end:
			return err
		case <-poll.C:
		}
		resident, err := e.resident(ctx, "")
		if err == nil && slices.Contains(resident, order["lora_name"]) == wanted {
			cancel()
			<-end //nolint:errcheck // The list of models has shown the outcome.
			return nil
		}
	}
}

func (e *engine) call(ctx context.Context, method, path string, body []byte, fencingToken int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request to the engine")
	}
	req.Header.Set("Content-Type", "application/json")
	if fencingToken > 0 {
		req.Header.Set(fencingTokenHeader, strconv.FormatInt(fencingToken, 10))
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "the engine did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the engine's response")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, &engineStatusError{status: resp.StatusCode, body: string(bytes.TrimSpace(reply))}
	}
	return reply, nil
}

// engineStatusError is an engine response with a status of 400 or above.
type engineStatusError struct {
	status int
	body   string
}

func (e *engineStatusError) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.status, e.body)
}

// event is a server-sent event.
type event struct {
	id   int
	data []byte // without the "data: " prefix
}

// stream starts a request as an event stream, or, if after is not negative, resumes its stream following that event ID.
func (e *engine) stream(ctx context.Context, requestID, path string, body []byte, after int) (*http.Response, error) {
	method := http.MethodPost
	if after >= 0 {
		method, path, body = http.MethodGet, "/v1/streams/"+requestID, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, e.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request to the engine")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(messenger.RequestIDHeader, requestID)
	if after >= 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(after))
	}
	return e.client.Do(req)
}

// cancel asks the engine to stop a request. It returns nil if the engine has stopped it or does not know it.
func (e *engine) cancel(requestID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	_, err := e.call(ctx, http.MethodDelete, "/v1/streams/"+requestID, nil, 0)
	var status *engineStatusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil
	}
	return err
}

// readEvents sends the events of a stream to out and closes out at the end of the body.
func readEvents(ctx context.Context, body io.Reader, out chan<- event, end chan<- error) {
	defer close(out)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	current := event{}
	for scanner.Scan() {
		line := scanner.Bytes()
		switch {
		case len(line) == 0 && current.data != nil:
			select {
			case out <- current:
			case <-ctx.Done():
				end <- ctx.Err()
				return
			}
			current = event{}
		case bytes.HasPrefix(line, []byte("id:")):
			current.id, _ = strconv.Atoi(string(bytes.TrimSpace(line[len("id:"):])))
		case bytes.HasPrefix(line, []byte("data:")):
			current.data = append([]byte(nil), bytes.TrimSpace(line[len("data:"):])...)
		}
	}
	end <- scanner.Err()
}

var doneMarker = []byte("[DONE]")

// relay runs a model request at the engine and writes its events to the response. It returns nil if the stream ended
// with its end marker. A broken or stalled connection is replaced, and the stream resumes after the last event
// received. A failure says whether the engine has ended.
func (e *engine) relay(ctx context.Context, header wire.RunHeader, path string, body []byte, out *response) *wire.RunError {
	began := time.Now()
	return e.ends.observe(ctx, began, e.relayResumed(ctx, header, path, body, out))
}

func (e *engine) relayResumed(ctx context.Context, header wire.RunHeader, path string, body []byte, out *response) *wire.RunError {
	r := relayer{engine: e, header: header, model: modelName(header), out: out, lastEventID: -1}
	for resumes := 0; ; resumes++ {
		before := r.lastEventID
		failure, again := r.connect(ctx, path, body)
		if !again {
			return failure
		}
		if r.lastEventID > before {
			resumes = 0
		}
		if resumes >= maxResumes || ctx.Err() != nil {
			return r.fail(wire.RunErrorCodeEngineFailed, fmt.Sprintf("the engine's stream broke off (%v) and could not be resumed; retry the request", r.lastError))
		}
	}
}

// maxResumes limits the consecutive connection attempts without a new event.
const maxResumes = 3

type relayer struct {
	engine *engine
	header wire.RunHeader
	model  string
	out    *response
	// lastEventID is the ID of the newest event relayed, 0 if the request may have reached the engine but no event has been
	// relayed, and -1 before that.
	lastEventID int
	// isResumed is set once the stream goes on after lastEventID on a new connection, and isUnnumbered once an event without
	// an ID has been relayed, so that the place to go on from isn't known.
	isResumed, isUnnumbered bool
	started                 bool
	eventMatcher            matcher.Matcher
	// lastError is the error that ended the last connection, for the failure message.
	lastError error
}

func (r *relayer) fail(code wire.RunErrorCode, message string) *wire.RunError {
	outcome := wire.RunErrorOutcomeUnknown
	if r.started {
		outcome = wire.RunErrorOutcomeRan
	}
	return &wire.RunError{Code: code, Outcome: outcome, Message: message, RequestID: r.header.RequestID}
}

// connect opens one connection and relays its events. again reports whether another connection should be tried.
func (r *relayer) connect(ctx context.Context, path string, body []byte) (failure *wire.RunError, again bool) {
	r.isResumed = r.lastEventID >= 0
	if r.isResumed && r.isUnnumbered {
		return r.fail(wire.RunErrorCodeEngineFailed, "the engine's stream broke off and can't be resumed, because its events have no IDs; retry the request"), false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headerTimer := time.AfterFunc(r.headerTimeout(), cancel)
	resp, err := r.engine.stream(ctx, engineRequestID(r.header), path, body, r.lastEventID)
	headerTimer.Stop()
	if err != nil {
		if r.lastEventID < 0 && messenger.IsDialError(err) {
			return &wire.RunError{Code: wire.RunErrorCodeEngineFailed, Outcome: wire.RunErrorOutcomeNotRun,
				Message: "the engine refuses connections; retry elsewhere", RequestID: r.header.RequestID}, false
		}
		// The request may have reached the engine, so the next attempt resumes the stream by its ID.
		r.lastEventID = max(r.lastEventID, 0)
		return nil, true
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return r.statusFailure(resp), false
	}
	r.lastEventID = max(r.lastEventID, 0)
	if !r.started {
		r.started = true
		r.out.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	}
	return r.relayEvents(ctx, cancel, resp.Body)
}

// headerTimeout bounds the wait for the response header of a connection. The first connection may have to wait for the
// engine's own queue and for prefill, so it gets more time before the stream is resumed by its ID.
func (r *relayer) headerTimeout() time.Duration {
	if r.lastEventID < 0 {
		return 2 * streamIdleTimeout
	}
	return streamIdleTimeout
}

func (r *relayer) statusFailure(resp *http.Response) *wire.RunError {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	message := fmt.Sprintf("the engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	if r.lastEventID >= 0 {
		return r.fail(wire.RunErrorCodeEngineFailed, message+"; the stream is lost, retry the request")
	}
	if !isInvalidRequest(resp.StatusCode) {
		return r.fail(wire.RunErrorCodeEngineFailed, message)
	}
	code := wire.RunErrorCodeEngineFailed
	if resp.StatusCode == http.StatusBadRequest {
		code = wire.RunErrorCodeBadRequest
	}
	return &wire.RunError{Code: code, Outcome: wire.RunErrorOutcomeNotRun, Message: message, RequestID: r.header.RequestID}
}

// isInvalidRequest reports whether an engine answers with the status before it runs a request, because the request itself
// can't be run. An engine may give any other status, including 408, 429 and 503, after it has begun to run the request.
func isInvalidRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

func (r *relayer) relayEvents(ctx context.Context, cancel context.CancelFunc, body io.Reader) (*wire.RunError, bool) {
	events, end := make(chan event, 16), make(chan error, 1)
	go readEvents(ctx, body, events, end)
	defer func() {
		cancel()
		if err := <-end; err != nil {
			r.lastError = err
		}
	}()
	idleTimer := time.NewTimer(streamIdleTimeout)
	defer idleTimer.Stop()
	for {
		select {
		case ev, ok := <-events:
			if !ok {
				return nil, true
			}
			idleTimer.Reset(streamIdleTimeout)
			failure, done := r.handle(ev)
			if failure != nil || done {
				return failure, false
			}
		case <-idleTimer.C:
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

// handle validates one event and forwards it. Events already received on an earlier connection are skipped.
func (r *relayer) handle(ev event) (failure *wire.RunError, done bool) {
	if ev.id != 0 && ev.id <= r.lastEventID {
		return nil, false
	}
	if ev.id != 0 {
		r.lastEventID = ev.id
	}
	if bytes.Equal(ev.data, doneMarker) {
		r.out.write([]byte("data: [DONE]\n\n"))
		return nil, true
	}
	if failure := r.validate(ev.data); failure != nil {
		return failure, false
	}
	if ev.id == 0 {
		if r.isResumed {
			return r.fail(wire.RunErrorCodeEngineFailed, "the engine resumed the stream with an event without an ID; retry the request"), false
		}
		r.isUnnumbered = true
	}
	if r.header.Attempt > 1 {
		// All attempts of a request must show the caller the same ID.
		ev.data = bytes.Replace(ev.data, []byte(engineRequestID(r.header)), []byte(r.header.RequestID), 1)
	}
	chunk := make([]byte, 0, len(ev.data)+32)
	chunk = strconv.AppendInt(append(chunk, "id: "...), int64(r.lastEventID), 10)
	chunk = append(append(append(chunk, "\ndata: "...), ev.data...), "\n\n"...)
	r.out.write(chunk)
	return nil, false
}

// validate rejects an event of another request or model.
func (r *relayer) validate(raw []byte) *wire.RunError {
	if r.eventMatcher.Matches(raw) {
		return nil
	}
	var head struct {
		ID    string `json:"id"`
		Model string `json:"model"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return r.fail(wire.RunErrorCodeEngineFailed, "the engine sent a malformed event; retry the request")
	}
	if head.Model != r.model || !strings.HasSuffix(head.ID, engineRequestID(r.header)) {
		return r.fail(wire.RunErrorCodeWrongModel,
			fmt.Sprintf("the engine answered as %q for request %q; retry the request", head.Model, head.ID))
	}
	r.eventMatcher.Learn(raw, engineRequestID(r.header), r.model)
	return nil
}

// engineRequestID returns the ID of an attempt at the engine. An earlier attempt of the same request may still be
// running there, so with a shared ID a resume could read the wrong attempt and a cancellation could stop it.
func engineRequestID(header wire.RunHeader) string {
	if header.Attempt <= 1 {
		return header.RequestID
	}
	return fmt.Sprintf("attempt-%d-%s", header.Attempt, header.RequestID)
}

// modelName returns the engine's name for an adapter version or for the base model.
func modelName(header wire.RunHeader) string {
	if header.Adapter == "" {
		return header.BaseModel
	}
	return header.Adapter + "@" + header.Version
}
