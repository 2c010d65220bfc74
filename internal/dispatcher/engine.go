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

// fenceHeader carries the fencing number of an order.
const fenceHeader = "Geraniumladder-Fence"

const (
	// orderTimeout bounds one order; a load takes longer than usual when many are in flight fleet-wide.
	orderTimeout  = 30 * time.Second
	reportTimeout = 2 * time.Second
	// quietLimit is the silence on a stream after which it is read on from a new connection. The request itself
	// goes on at the engine, so a slow engine costs an extra connection and nothing else.
	quietLimit = 1500 * time.Millisecond
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// engine is the client of one model engine, which speaks the HTTP API of the vLLM OpenAI-compatible server.
type engine struct {
	url    string
	client *http.Client
}

func newEngine(url string) *engine {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		// An open connection can turn silent for good while new ones work. HTTP/1.1 has no ping to find that out, and
		// the engine is near, so each request dials.
		DisableKeepAlives: true,
	}
	return &engine{url: strings.TrimSuffix(url, "/"), client: &http.Client{Transport: transport}}
}

// resident returns the adapters that the engine holds, and false when it does not answer.
func (e *engine) resident(ctx context.Context, baseModel string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
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

func (e *engine) load(ctx context.Context, name, path string, fence int64) error {
	return e.order(ctx, "/v1/load_lora_adapter", map[string]string{"lora_name": name, "lora_path": path}, fence, true)
}

func (e *engine) unload(ctx context.Context, name string, fence int64) error {
	return e.order(ctx, "/v1/unload_lora_adapter", map[string]string{"lora_name": name}, fence, false)
}

// order sends an order and waits for its end. When the answer is late its connection may have turned silent, so the
// engine's list of models is read: the order has ended when the adapter is resident as wanted.
func (e *engine) order(ctx context.Context, path string, order map[string]string, fence int64, wanted bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	end := make(chan error, 1)
	go func() {
		_, err := e.call(ctx, http.MethodPost, path, body, fence)
		end <- err
	}()
	late := time.NewTicker(quietLimit)
	defer late.Stop()
	for {
		select {
		case err := <-end:
			return err
		case <-late.C:
		}
		resident, err := e.resident(ctx, "")
		if err == nil && slices.Contains(resident, order["lora_name"]) == wanted {
			cancel()
			<-end //nolint:errcheck // The list of models shows what the answer would have said.
			return nil
		}
	}
}

func (e *engine) call(ctx context.Context, method, path string, body []byte, fence int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request to the engine")
	}
	req.Header.Set("Content-Type", "application/json")
	if fence > 0 {
		req.Header.Set(fenceHeader, strconv.FormatInt(fence, 10))
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "the engine did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxEvent))
	if err != nil {
		return nil, errors.Wrap(err, "read the engine's answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, &engineStatusError{status: resp.StatusCode, body: string(bytes.TrimSpace(reply))}
	}
	return reply, nil
}

// engineStatusError is an answer of the engine with a status of 400 or above.
type engineStatusError struct {
	status int
	body   string
}

func (e *engineStatusError) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.status, e.body)
}

// event is one server-sent event.
type event struct {
	id  int
	raw []byte // data without the "data: " prefix
}

// stream opens a request as a stream of events, or goes on with it after event number after.
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

// cancel tells the engine that nobody wants the rest of a stream. It returns nil when the engine no longer runs it.
func (e *engine) cancel(requestID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, err := e.call(ctx, http.MethodDelete, "/v1/streams/"+requestID, nil, 0)
	var status *engineStatusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil
	}
	return err
}

// readEvents sends the events of a stream to out and closes it at the end of the body.
func readEvents(ctx context.Context, body io.Reader, out chan<- event, end chan<- error) {
	defer close(out)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	current := event{}
	for scanner.Scan() {
		line := scanner.Bytes()
		switch {
		case len(line) == 0 && current.raw != nil:
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
			current.raw = append([]byte(nil), bytes.TrimSpace(line[len("data:"):])...)
		}
	}
	end <- scanner.Err()
}

var doneMark = []byte("[DONE]")

// relay runs a model request at the engine and writes its events to the answer. It returns nil when the stream
// ended with its end mark. A connection that breaks or goes silent is replaced, and the stream goes on after
// the last event that came.
func (e *engine) relay(ctx context.Context, header wire.RunHeader, path string, body []byte, out *answer) *wire.RunError {
	r := relayer{engine: e, header: header, model: modelName(header), out: out, last: -1}
	for attempt := 0; ; attempt++ {
		before := r.last
		failure, again := r.connect(ctx, path, body)
		if !again {
			return failure
		}
		if r.last > before {
			attempt = 0
		}
		if attempt >= maxResumes || ctx.Err() != nil {
			return r.fail(wire.RunErrorCodeEngineFailed, fmt.Sprintf("the engine's stream broke off (%v) and could not be resumed; retry the request", r.broken))
		}
	}
}

// maxResumes bounds the connections that are tried in a row without a new event.
const maxResumes = 3

type relayer struct {
	engine *engine
	header wire.RunHeader
	model  string
	out    *answer
	// last is the number of the newest event relayed; -1 before the request has reached the engine.
	last    int
	started bool
	events  matcher.Matcher
	// broken is why the last connection ended, for the failure's message.
	broken error
}

func (r *relayer) fail(code wire.RunErrorCode, message string) *wire.RunError {
	outcome := wire.RunErrorOutcomeUnknown
	if r.started {
		outcome = wire.RunErrorOutcomeRan
	}
	return &wire.RunError{Code: code, Outcome: outcome, Message: message, RequestID: r.header.RequestID}
}

// connect opens one connection and relays what comes on it; again asks for another connection.
func (r *relayer) connect(ctx context.Context, path string, body []byte) (failure *wire.RunError, again bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := time.AfterFunc(r.headerLimit(), cancel)
	resp, err := r.engine.stream(ctx, engineID(r.header), path, body, r.last)
	opened.Stop()
	if err != nil {
		if r.last < 0 && messenger.NeverOpened(err) {
			return &wire.RunError{Code: wire.RunErrorCodeEngineFailed, Outcome: wire.RunErrorOutcomeNotRun,
				Message: "the engine refuses connections; retry elsewhere", RequestID: r.header.RequestID}, false
		}
		// The request may have reached the engine: ask for the stream by its ID.
		r.last = max(r.last, 0)
		return nil, true
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return r.refused(resp), false
	}
	r.last = max(r.last, 0)
	if !r.started {
		r.started = true
		r.out.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	}
	return r.pump(ctx, cancel, resp.Body)
}

// headerLimit bounds the wait for the status line of a connection. The first one may wait for the engine's own queue
// and prefill, so it gets longer before the stream is asked for by its ID.
func (r *relayer) headerLimit() time.Duration {
	if r.last < 0 {
		return 2 * quietLimit
	}
	return quietLimit
}

func (r *relayer) refused(resp *http.Response) *wire.RunError {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	message := fmt.Sprintf("the engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	if r.last >= 0 {
		return r.fail(wire.RunErrorCodeEngineFailed, message+"; the stream is lost, retry the request")
	}
	code := wire.RunErrorCodeEngineFailed
	if resp.StatusCode == http.StatusBadRequest {
		code = wire.RunErrorCodeBadRequest
	}
	return &wire.RunError{Code: code, Outcome: wire.RunErrorOutcomeNotRun, Message: message, RequestID: r.header.RequestID}
}

func (r *relayer) pump(ctx context.Context, cancel context.CancelFunc, body io.Reader) (*wire.RunError, bool) {
	events, end := make(chan event, 16), make(chan error, 1)
	go readEvents(ctx, body, events, end)
	defer func() {
		cancel()
		if err := <-end; err != nil {
			r.broken = err
		}
	}()
	quiet := time.NewTimer(quietLimit)
	defer quiet.Stop()
	for {
		select {
		case ev, ok := <-events:
			if !ok {
				return nil, true
			}
			quiet.Reset(quietLimit)
			failure, done := r.handle(ev)
			if failure != nil || done {
				return failure, false
			}
		case <-quiet.C:
			return nil, true
		case <-ctx.Done():
			return nil, true
		}
	}
}

// handle checks one event and passes it on. Events that came before, on an earlier connection, are dropped.
func (r *relayer) handle(ev event) (failure *wire.RunError, done bool) {
	if ev.id != 0 && ev.id <= r.last {
		return nil, false
	}
	if ev.id != 0 {
		r.last = ev.id
	}
	if bytes.Equal(ev.raw, doneMark) {
		r.out.write([]byte("data: [DONE]\n\n"))
		return nil, true
	}
	if failure := r.check(ev.raw); failure != nil {
		return failure, false
	}
	if r.header.Attempt > 1 {
		// The caller's answer has one ID, whichever attempts it came from.
		ev.raw = bytes.Replace(ev.raw, []byte(engineID(r.header)), []byte(r.header.RequestID), 1)
	}
	chunk := make([]byte, 0, len(ev.raw)+32)
	chunk = strconv.AppendInt(append(chunk, "id: "...), int64(r.last), 10)
	chunk = append(append(append(chunk, "\ndata: "...), ev.raw...), "\n\n"...)
	r.out.write(chunk)
	return nil, false
}

// check refuses an event of another request or model.
func (r *relayer) check(raw []byte) *wire.RunError {
	if r.events.Known(raw) {
		return nil
	}
	var head struct {
		ID    string `json:"id"`
		Model string `json:"model"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return r.fail(wire.RunErrorCodeEngineFailed, "the engine sent a malformed event; retry the request")
	}
	if head.Model != r.model || !strings.HasSuffix(head.ID, engineID(r.header)) {
		return r.fail(wire.RunErrorCodeWrongModel,
			fmt.Sprintf("the engine answered as %q for request %q; retry the request", head.Model, head.ID))
	}
	r.events.Learn(raw, engineID(r.header), r.model)
	return nil
}

// engineID names an attempt at the engine. An earlier attempt of the same request may still run there, so under a common
// ID a resume could read, and a cancel could end, the wrong one.
func engineID(header wire.RunHeader) string {
	if header.Attempt <= 1 {
		return header.RequestID
	}
	return fmt.Sprintf("attempt-%d-%s", header.Attempt, header.RequestID)
}

// modelName is what the engine calls an adapter version.
func modelName(header wire.RunHeader) string {
	if header.Adapter == "" {
		return header.BaseModel
	}
	return header.Adapter + "@" + header.Version
}
