// Package emulator holds stand-ins for what the system meets outside itself: the platform's table service, object
// store, weight store and list of VMs, model engines, and plain services.
// Each stand-in owns its state, in memory, and only requests to its handler and its own methods write it. Stand-ins
// use no store; each plays an unavailable service itself while a fault is set on its fault page.
package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/labstack/echo/v4"
)

const (
	// requestIDHeader names the request that an answer belongs to.
	requestIDHeader = "X-Request-Id"
	// maxSeen bounds the list of requests on the page /seen.
	maxSeen = 100_000
	// maxPromptPrefix bounds the part of a prompt that /seen shows.
	maxPromptPrefix = 80
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 64 << 20
	// maxConnections bounds the connections whose first use is remembered for the fault Silent.
	maxConnections = 16_384

	pageFaults = "/faults"
	pageSeen   = "/seen"
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

// Faults is how a stand-in misbehaves. The zero value is a healthy service.
type Faults struct {
	// Latency delays each request before its work.
	Latency Duration
	// FailRate is the share of requests, 0 to 1, that are answered with 503 and not run.
	FailRate float64
	// FailNext is how many of the next requests are answered with 503 and not run.
	FailNext int
	// LoseAnswerNext is how many of the next writing requests are run and then lose their answer: the connection closes.
	LoseAnswerNext int
	// Silent makes the connections that are in use when it is set unresponsive for good: they accept and read, and
	// never answer. New connections work.
	Silent bool
	// SilentAll makes every connection accept and read, and never answer.
	SilentAll bool
	// Lag delays what the list of VMs shows and is the largest age of an engine's metrics.
	Lag Duration
	// Down closes every connection without an answer and runs nothing.
	Down bool
	// IgnoreFence makes an engine accept orders with a stale fencing number.
	IgnoreFence bool
	// LoadFailRate is the share of an engine's adapter loads, 0 to 1, that fail with 500.
	LoadFailRate float64
}

// Seen is a request that reached a stand-in.
type Seen struct {
	RequestID string `json:"RequestId"`
	Method    string
	Path      string
	Query     string
	Model     string
	// Prompt is the first part of the prompt.
	Prompt string
	Header http.Header
	// Refused is true for a request that a fault kept from being run.
	Refused bool
}

// connection identifies an open connection: net/http hands the same local address value to all its requests.
type connection struct {
	local  net.Addr
	remote string
}

// control applies faults to the requests of one stand-in and records what reached it.
type control struct {
	// writes tells which requests change state; LoseAnswerNext applies to these.
	writes func(*http.Request) bool
	// forget drops the state that the real service loses when it crashes; it may be nil.
	forget func()

	mu     sync.Mutex
	faults Faults
	rand   *rand.Rand
	// era counts how often Silent was set. A connection first used in an earlier era is silent.
	era         uint64
	connections *lru.Cache[connection, uint64]
	// life ends when the stand-in crashes, and is then replaced.
	life context.Context
	end  context.CancelFunc
	seen []Seen
	// oldest is the position in seen of the oldest entry once it holds maxSeen.
	oldest int
}

func newControl(seed uint64, writes func(*http.Request) bool, forget func()) *control {
	connections, err := lru.New[connection, uint64](maxConnections)
	if err != nil {
		panic(err) // Only a size below 1 is an error.
	}
	c := &control{writes: writes, forget: forget, connections: connections, rand: rand.New(rand.NewPCG(seed, seed))}
	c.life, c.end = context.WithCancel(context.Background())
	return c
}

// Faults returns the faults in force.
func (c *control) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// SetFaults replaces the faults; the zero Faults ends all but the silence of connections already silent.
func (c *control) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(f)
}

func (c *control) set(f Faults) {
	if f.Silent {
		c.era++
	}
	if f.Down && !c.faults.Down {
		c.end()
		c.life, c.end = context.WithCancel(context.Background())
	}
	c.faults = f
}

// Crash closes all connections in use without an answer and drops the state that the real service loses in a crash.
func (c *control) Crash() {
	c.mu.Lock()
	c.end()
	c.life, c.end = context.WithCancel(context.Background())
	c.mu.Unlock()
	if c.forget != nil {
		c.forget()
	}
}

// SeenRequests returns the requests that reached the stand-in, oldest first.
func (c *control) SeenRequests() []Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]Seen{}, c.seen[c.oldest:]...), c.seen[:c.oldest]...)
}

func (c *control) record(s Seen) {
	if len(c.seen) < maxSeen {
		c.seen = append(c.seen, s)
		return
	}
	c.seen[c.oldest] = s
	c.oldest = (c.oldest + 1) % maxSeen
}

// lifetime ends when the stand-in crashes.
func (c *control) lifetime() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.life
}

// chance is true with the given probability.
func (c *control) chance(p float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p > 0 && c.rand.Float64() < p
}

// verdict is what the faults make of one request.
type verdict struct {
	life    context.Context
	down    bool
	silent  bool
	fail    bool
	lose    bool
	latency time.Duration
}

func connectionOf(r *http.Request) connection {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return connection{local: local, remote: r.RemoteAddr}
}

// judge decides about a request. Requests of a probe, such as /health, leave the counted faults to others.
func (c *control) judge(r *http.Request, s Seen, probe bool) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := verdict{life: c.life, down: c.faults.Down, latency: time.Duration(c.faults.Latency)}
	v.silent = c.isSilent(connectionOf(r))
	if !v.down && !v.silent && !probe {
		switch {
		case c.faults.FailNext > 0:
			c.faults.FailNext--
			v.fail = true
		case c.faults.FailRate > 0 && c.rand.Float64() < c.faults.FailRate:
			v.fail = true
		case c.faults.LoseAnswerNext > 0 && c.writes(r):
			c.faults.LoseAnswerNext--
			v.lose = true
		}
	}
	if !probe {
		s.Refused = v.down || v.silent || v.fail
		c.record(s)
	}
	return v
}

func (c *control) isSilent(conn connection) bool {
	born, ok := c.connections.Get(conn)
	if !ok {
		born = c.era
		c.connections.Add(conn, born)
	}
	return c.faults.SilentAll || born < c.era
}

func (c *control) silentNow(conn connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent(conn)
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// wrap is the middleware by which all requests but those for the fault and record pages pass.
func (c *control) wrap(next echo.HandlerFunc) echo.HandlerFunc { return c.guard(next, false) }

// probe is the middleware for pages that are polled: they are not recorded and use up no counted fault.
func (c *control) probe(next echo.HandlerFunc) echo.HandlerFunc { return c.guard(next, true) }

func (c *control) guard(next echo.HandlerFunc, probe bool) echo.HandlerFunc {
	return func(e echo.Context) error {
		r := e.Request()
		body, err := io.ReadAll(http.MaxBytesReader(e.Response(), r.Body, maxBodyBytes))
		if err != nil {
			return e.JSON(http.StatusRequestEntityTooLarge, failure(http.StatusRequestEntityTooLarge, "the body cannot be read"))
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		v := c.judge(r, seenOf(r, body, probe), probe)
		if v.down {
			abort()
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if v.silent {
			<-ctx.Done()
			abort()
		}
		defer context.AfterFunc(v.life, cancel)()
		if sleep(ctx, v.latency) != nil {
			abort()
		}
		if v.fail {
			return e.JSON(http.StatusServiceUnavailable, failure(http.StatusServiceUnavailable, "a set fault makes this request fail; it was not run"))
		}
		e.SetRequest(r.WithContext(ctx))
		e.Response().Writer = &faultWriter{
			ResponseWriter: e.Response().Writer, control: c, connection: connectionOf(r), ctx: ctx, life: v.life, lose: v.lose,
		}
		if err := next(e); err != nil {
			e.Error(err)
		}
		if v.lose || v.life.Err() != nil {
			abort()
		}
		return nil
	}
}

// sleep waits for d or the end of ctx.
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

// faultWriter drops a lost answer, and holds back the rest of an answer when its connection turns silent.
type faultWriter struct {
	http.ResponseWriter

	control    *control
	connection connection
	ctx        context.Context
	// life ends earlier than ctx in a crash, and nothing is written after it.
	life context.Context
	lose bool
}

var errSilent = errors.New("the connection was closed while it was silent")

// WriteHeader implements http.ResponseWriter.
func (w *faultWriter) WriteHeader(status int) {
	if !w.lose {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *faultWriter) Write(p []byte) (int, error) {
	if w.lose {
		return len(p), nil
	}
	if w.control.silentNow(w.connection) {
		<-w.ctx.Done()
		return 0, errSilent
	}
	if err := errors.CombineErrors(w.ctx.Err(), w.life.Err()); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *faultWriter) Flush() {
	if !w.lose {
		// The connection may be closed already, which the next Write reports.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// seenOf describes a request for the page /seen.
func seenOf(r *http.Request, body []byte, probe bool) Seen {
	if probe {
		return Seen{}
	}
	var fields struct {
		Model    string          `json:"model"`
		LoraName string          `json:"lora_name"`
		Prompt   json.RawMessage `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
	}
	// A body that is no JSON object is recorded without model and prompt.
	_ = json.Unmarshal(body, &fields)
	prompt := promptText(fields.Prompt)
	if prompt == "" {
		prompt = string(fields.Messages)
	}
	if len(prompt) > maxPromptPrefix {
		prompt = strings.ToValidUTF8(prompt[:maxPromptPrefix], "")
	}
	return Seen{
		RequestID: r.Header.Get(requestIDHeader), Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Model: fields.Model + fields.LoraName, Prompt: prompt, Header: r.Header.Clone(),
	}
}

// failureBody is an error in the shape of the OpenAI API.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func failure(code int, message string) failureBody {
	return failureBody{Error: failureDetail{Message: message, Type: strings.ReplaceAll(http.StatusText(code), " ", "") + "Error", Code: code}}
}

// registerPages adds the fault pages under path, as in "/faults".
func (c *control) registerPages(e *echo.Echo, path string) {
	e.GET(path, func(x echo.Context) error { return x.JSON(http.StatusOK, c.Faults()) })
	e.POST(path, func(x echo.Context) error {
		body, err := io.ReadAll(io.LimitReader(x.Request().Body, maxBodyBytes))
		if err != nil {
			return err
		}
		if err := c.merge(body); err != nil {
			return x.JSON(http.StatusBadRequest, failure(http.StatusBadRequest, err.Error()))
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

// merge sets the faults that a JSON object names and leaves the others.
func (c *control) merge(body []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults
	// Silent acts once, when it is set.
	f.Silent = false
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return errors.Wrap(err, "not a JSON object of faults; give for example {\"Latency\":\"50ms\",\"FailNext\":2}")
	}
	c.set(f)
	return nil
}

func (c *control) registerSeen(e *echo.Echo) {
	e.GET(pageSeen, func(x echo.Context) error { return x.JSON(http.StatusOK, c.SeenRequests()) })
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
		if refused := new(echo.HTTPError); errors.As(err, &refused) {
			status = refused.Code
		}
		// The connection may be closed already; nobody is left to tell.
		_ = x.JSON(status, failure(status, err.Error()))
	}
	return e
}

// writesByMethod tells that a request changes state by its method.
func writesByMethod(r *http.Request) bool {
	return r.Method != http.MethodGet && r.Method != http.MethodHead
}

// rate is a token bucket that holds at most one second of its rate. It is unlimited at rate 0.
type rate struct {
	perSecond float64
	level     float64
	at        time.Time
}

// take returns false when fewer than n tokens are left.
func (b *rate) take(n float64, now time.Time) bool {
	if b.perSecond <= 0 {
		return true
	}
	if b.at.IsZero() {
		b.level = b.perSecond
	} else {
		b.level = min(b.perSecond, b.level+now.Sub(b.at).Seconds()*b.perSecond)
	}
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
