// Package emulator provides in-memory emulators of the system's external dependencies: the platform's table service,
// object store, weight store and list of VMs, model engines, and plain HTTP services.
// The state of an emulator changes only through requests to its handler and through its own methods. Each emulator can
// inject faults, such as latency, errors and crashes, which are set over HTTP under /faults.
package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/labstack/echo/v4"
)

const (
	// requestIDHeader carries the ID of a request in the request and in its response.
	requestIDHeader = "X-Request-Id"
	// maxRecordedRequests bounds the request log served at /seen.
	maxRecordedRequests = 100_000
	// maxPromptPrefix bounds the length in bytes of a prompt in the request log.
	maxPromptPrefix = 80
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 64 << 20
	// maxTrackedConnections bounds the connections that are tracked for the fault Silent.
	maxTrackedConnections = 16_384

	faultsPath     = "/faults"
	requestLogPath = "/seen"
)

// Duration is a time.Duration whose JSON form is text such as "50ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Faults configures the faults that an emulator injects. The zero value injects none.
type Faults struct {
	// Latency delays the processing of each request.
	Latency Duration
	// FailRate is the fraction of requests, 0 to 1, that fail with status 503 without being processed.
	FailRate float64
	// FailNext is the number of subsequent requests that fail with status 503 without being processed.
	FailNext int
	// RetryAfter is the Retry-After value of the responses that FailRate and FailNext cause.
	RetryAfter Duration
	// Leaving adds Server-Leaving: 1 to all responses.
	Leaving bool
	// LoseAnswerNext is the number of subsequent write requests that are processed, but whose connection is closed
	// without a response.
	LoseAnswerNext int
	// Silent makes the connections that are open when it is set permanently unresponsive: requests are read, but never
	// answered. New connections are not affected.
	Silent bool
	// SilentAll makes all connections unresponsive: requests are read, but never answered.
	SilentAll bool
	// Lag is the delay until changes appear in the list of VMs, and the maximum age of an engine's metrics.
	Lag Duration
	// Down closes every connection without a response and without processing the request.
	Down bool
	// IgnoreFence makes an engine accept adapter requests with a stale fencing token.
	IgnoreFence bool
	// LoadFailRate is the fraction of an engine's adapter loads, 0 to 1, that fail with status 500.
	LoadFailRate float64
}

// RequestRecord is the log entry of a request that an emulator received.
type RequestRecord struct {
	RequestID string `json:"RequestId"`
	Method    string
	Path      string
	Query     string
	Model     string
	// Prompt is the prompt, truncated to maxPromptPrefix bytes.
	Prompt string
	Header http.Header
	// Refused reports whether a fault prevented the request from being processed.
	Refused bool
}

// connection identifies an open TCP connection. net/http allocates the local address once for each connection, so the
// net.Addr pointer tells a connection from a later one with the same remote address.
type connection struct {
	local  net.Addr
	remote string
}

// faultInjector applies faults to the requests of one emulator and logs the requests.
type faultInjector struct {
	// isWrite reports whether a request changes state; LoseAnswerNext applies only to such requests.
	isWrite func(*http.Request) bool
	// onCrash drops the state that the emulated service does not keep across a crash. It may be nil.
	onCrash func()

	mu     sync.Mutex
	faults Faults
	rand   *rand.Rand
	// silenceEpoch is incremented each time Silent is set. Connections that were first used in an earlier epoch are
	// unresponsive.
	silenceEpoch uint64
	// connections holds the epoch in which each connection was first used.
	connections *lru.Cache[connection, uint64]
	// processCtx is cancelled and replaced when the emulated process crashes or Down is set.
	processCtx  context.Context
	killProcess context.CancelFunc
	requests    []RequestRecord
	// oldest is the index of the oldest entry once requests, a ring buffer, is full.
	oldest int
}

func newFaultInjector(seed uint64, isWrite func(*http.Request) bool, onCrash func()) *faultInjector {
	connections, err := lru.New[connection, uint64](maxTrackedConnections)
	if err != nil {
		panic(err) // Only a size below 1 is an error.
	}
	c := &faultInjector{isWrite: isWrite, onCrash: onCrash, connections: connections, rand: rand.New(rand.NewPCG(seed, seed))}
	c.processCtx, c.killProcess = context.WithCancel(context.Background())
	return c
}

// Faults returns the current faults.
func (c *faultInjector) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// SetFaults replaces the faults. The zero Faults clears them, except that connections made unresponsive by Silent
// stay so.
func (c *faultInjector) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setFaultsLocked(f)
}

func (c *faultInjector) setFaultsLocked(f Faults) {
	if f.Silent {
		c.silenceEpoch++
	}
	if f.Down && !c.faults.Down {
		c.killProcess()
		c.processCtx, c.killProcess = context.WithCancel(context.Background())
	}
	c.faults = f
}

// Crash emulates a crash and restart of the service: connections with requests in progress are closed without a
// response, and state that the service does not persist is lost.
func (c *faultInjector) Crash() {
	c.mu.Lock()
	c.killProcess()
	c.processCtx, c.killProcess = context.WithCancel(context.Background())
	c.mu.Unlock()
	if c.onCrash != nil {
		c.onCrash()
	}
}

// SeenRequests returns the logged requests, oldest first.
func (c *faultInjector) SeenRequests() []RequestRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]RequestRecord{}, c.requests[c.oldest:]...), c.requests[:c.oldest]...)
}

func (c *faultInjector) recordRequest(s RequestRecord) {
	if len(c.requests) < maxRecordedRequests {
		c.requests = append(c.requests, s)
		return
	}
	c.requests[c.oldest] = s
	c.oldest = (c.oldest + 1) % maxRecordedRequests
}

// processContext returns a context that is cancelled when the emulated process crashes or Down is set.
func (c *faultInjector) processContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processCtx
}

// bernoulli returns true with probability p.
func (c *faultInjector) bernoulli(p float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p > 0 && c.rand.Float64() < p
}

// decision holds the faults to apply to one request.
type decision struct {
	processCtx   context.Context
	down         bool
	silent       bool
	fail         bool
	dropResponse bool
	leaving      bool
	latency      time.Duration
	retryAfter   time.Duration
}

func connectionOf(r *http.Request) connection {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return connection{local: local, remote: r.RemoteAddr}
}

// decide selects the faults for a request and logs the request. Probes, such as /health, are not logged and do not
// consume faults that apply to a number of requests.
func (c *faultInjector) decide(r *http.Request, s RequestRecord, probe bool) decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := decision{processCtx: c.processCtx, down: c.faults.Down, latency: time.Duration(c.faults.Latency),
		leaving: c.faults.Leaving, retryAfter: time.Duration(c.faults.RetryAfter),
	}
	v.silent = c.isSilentLocked(connectionOf(r))
	if !v.down && !v.silent && !probe {
		switch {
		case c.faults.FailNext > 0:
			c.faults.FailNext--
			v.fail = true
		case c.faults.FailRate > 0 && c.rand.Float64() < c.faults.FailRate:
			v.fail = true
		case c.faults.LoseAnswerNext > 0 && c.isWrite(r):
			c.faults.LoseAnswerNext--
			v.dropResponse = true
		}
	}
	if !probe {
		s.Refused = v.down || v.silent || v.fail
		c.recordRequest(s)
	}
	return v
}

func (c *faultInjector) isSilentLocked(conn connection) bool {
	firstEpoch, ok := c.connections.Get(conn)
	if !ok {
		firstEpoch = c.silenceEpoch
		c.connections.Add(conn, firstEpoch)
	}
	return c.faults.SilentAll || firstEpoch < c.silenceEpoch
}

func (c *faultInjector) isSilent(conn connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilentLocked(conn)
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

// withFaults is the middleware for all routes except probes and those that control the faults or serve the request log.
func (c *faultInjector) withFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return c.intercept(next, false)
}

// probeMiddleware is the middleware for polled routes, which are not logged and do not consume counted faults.
func (c *faultInjector) probeMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return c.intercept(next, true)
}

func (c *faultInjector) intercept(next echo.HandlerFunc, probe bool) echo.HandlerFunc {
	return func(e echo.Context) error {
		r := e.Request()
		body, err := io.ReadAll(http.MaxBytesReader(e.Response(), r.Body, maxBodyBytes))
		if err != nil {
			return e.JSON(http.StatusRequestEntityTooLarge, newErrorBody(http.StatusRequestEntityTooLarge, "the body cannot be read"))
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		v := c.decide(r, recordOf(r, body, probe), probe)
		if v.down {
			abortConnection()
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if v.silent {
			<-ctx.Done()
			abortConnection()
		}
		defer context.AfterFunc(v.processCtx, cancel)()
		if sleep(ctx, v.latency) != nil {
			abortConnection()
		}
		if v.leaving {
			e.Response().Header().Set("Server-Leaving", "1")
		}
		if v.fail {
			if v.retryAfter > 0 {
				e.Response().Header().Set("Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 3, 64))
			}
			return e.JSON(http.StatusServiceUnavailable, newErrorBody(http.StatusServiceUnavailable, "a set fault makes this request fail; it was not run"))
		}
		e.SetRequest(r.WithContext(ctx))
		e.Response().Writer = &faultWriter{
			ResponseWriter: e.Response().Writer, faultInjector: c, connection: connectionOf(r), ctx: ctx, processCtx: v.processCtx, dropResponse: v.dropResponse,
		}
		if err := next(e); err != nil {
			e.Error(err)
		}
		if v.dropResponse || v.processCtx.Err() != nil {
			abortConnection()
		}
		return nil
	}
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// faultWriter discards the response when dropResponse is set, and blocks further writes once the connection has become
// unresponsive.
type faultWriter struct {
	http.ResponseWriter

	faultInjector *faultInjector
	connection    connection
	ctx           context.Context
	// processCtx is checked besides ctx, because a crash cancels processCtx first, and nothing may be written after a
	// crash.
	processCtx   context.Context
	dropResponse bool
}

var errSilent = errors.New("connection closed while it was unresponsive")

// WriteHeader implements http.ResponseWriter.
func (w *faultWriter) WriteHeader(status int) {
	if !w.dropResponse {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *faultWriter) Write(p []byte) (int, error) {
	if w.dropResponse {
		return len(p), nil
	}
	if w.faultInjector.isSilent(w.connection) {
		<-w.ctx.Done()
		return 0, errSilent
	}
	if err := errors.CombineErrors(w.ctx.Err(), w.processCtx.Err()); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *faultWriter) Flush() {
	if !w.dropResponse {
		// An error means that the connection is closed, which the next Write reports.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// recordOf returns the log entry of a request.
func recordOf(r *http.Request, body []byte, probe bool) RequestRecord {
	if probe {
		return RequestRecord{}
	}
	var fields struct {
		Model    string          `json:"model"`
		LoraName string          `json:"lora_name"`
		Prompt   json.RawMessage `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
	}
	// A body that is not a JSON object is logged without model and prompt.
	_ = json.Unmarshal(body, &fields)
	prompt := promptText(fields.Prompt)
	if prompt == "" {
		prompt = string(fields.Messages)
	}
	if len(prompt) > maxPromptPrefix {
		prompt = strings.ToValidUTF8(prompt[:maxPromptPrefix], "")
	}
	return RequestRecord{
		RequestID: r.Header.Get(requestIDHeader), Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Model: fields.Model + fields.LoraName, Prompt: prompt, Header: r.Header.Clone(),
	}
}

// errorBody is an error response of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func newErrorBody(code int, message string) errorBody {
	return errorBody{Error: errorDetail{Message: message, Type: strings.ReplaceAll(http.StatusText(code), " ", "") + "Error", Code: code}}
}

// registerFaultRoutes adds the routes that read, set and clear the faults at path, such as "/faults", and the route
// path+"/crash".
func (c *faultInjector) registerFaultRoutes(e *echo.Echo, path string) {
	e.GET(path, func(x echo.Context) error { return x.JSON(http.StatusOK, c.Faults()) })
	e.POST(path, func(x echo.Context) error {
		body, err := io.ReadAll(io.LimitReader(x.Request().Body, maxBodyBytes))
		if err != nil {
			return err
		}
		if err := c.mergeFaults(body); err != nil {
			return x.JSON(http.StatusBadRequest, newErrorBody(http.StatusBadRequest, err.Error()))
		}
		return x.JSON(http.StatusOK, c.Faults())
	})
	e.DELETE(path, func(x echo.Context) error {
		c.SetFaults(Faults{})
		return x.NoContent(http.StatusNoContent)
	})
	e.POST(path+"/crash", func(x echo.Context) error {
		c.Crash()
		return x.NoContent(http.StatusNoContent)
	})
}

// mergeFaults sets the faults that are present in a JSON object and leaves the others unchanged.
func (c *faultInjector) mergeFaults(body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults
	// Silent takes effect once, when it is set; keeping it would start another epoch.
	f.Silent = false
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return errors.Wrap(err, "not a JSON object of faults; give for example {\"Latency\":\"50ms\",\"FailNext\":2}")
	}
	c.setFaultsLocked(f)
	return nil
}

func (c *faultInjector) registerRequestLog(e *echo.Echo) {
	e.GET(requestLogPath, func(x echo.Context) error { return x.JSON(http.StatusOK, c.SeenRequests()) })
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = func(err error, x echo.Context) {
		if x.Response().Committed {
			return
		}
		status := http.StatusInternalServerError
		if httpErr := new(echo.HTTPError); errors.As(err, &httpErr) {
			status = httpErr.Code
		}
		// Fails only if the connection is closed already.
		_ = x.JSON(status, newErrorBody(status, err.Error()))
	}
	return e
}

// isWriteMethod reports whether the method of a request is one that changes state.
func isWriteMethod(r *http.Request) bool {
	return r.Method != http.MethodGet && r.Method != http.MethodHead
}

// tokenBucket is a rate limiter whose burst is the number of tokens for one second. A rate of 0 means no limit.
type tokenBucket struct {
	ratePerSecond float64
	tokens        float64
	refilledAt    time.Time
}

// take removes n tokens, or returns false if fewer are available.
func (b *tokenBucket) take(n float64, now time.Time) bool {
	if b.ratePerSecond <= 0 {
		return true
	}
	if b.refilledAt.IsZero() {
		b.tokens = b.ratePerSecond
	} else {
		b.tokens = min(b.ratePerSecond, b.tokens+now.Sub(b.refilledAt).Seconds()*b.ratePerSecond)
	}
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
