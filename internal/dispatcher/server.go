package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/looper"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
)

// Pages of a sidecar for entries and operators.
const (
	RunPath    = messenger.PathPrefix + "run"
	VoidPath   = messenger.PathPrefix + "void"
	JoinPath   = messenger.PathPrefix + "join"
	StatusPath = messenger.PathPrefix + "status"
)

// Headers and trailers between entry and sidecar.
const (
	// RunHeaderName carries a wire.RunHeader as JSON.
	RunHeaderName = "Geraniumladder-Run"
	// MethodHeader and TargetHeader carry the request line of the caller's request.
	MethodHeader = "Geraniumladder-Method"
	TargetHeader = "Geraniumladder-Target"
	// EndTrailer carries the request ID when the answer is whole.
	EndTrailer = "Geraniumladder-End"
	// FailureTrailer carries a wire.RunError as JSON when the answer broke off.
	FailureTrailer = "Geraniumladder-Failure"
	// LoadTrailer carries a wire.Load as JSON.
	LoadTrailer = "Geraniumladder-Load"
	// FromHeader of a join says how many bytes of the body the entry has.
	FromHeader = "Geraniumladder-From"
)

// maxBody bounds a request's body; entries enforce their own, smaller limit.
const maxBody = 64 << 20

// Handler serves the pages of the sidecar.
func (d *Dispatcher) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", echo.WrapHandler(d.config.Meter.Handler()))
	peers := e.Group("", messenger.Middleware(d.config.Signer, d.now))
	peers.POST(RunPath, d.handleRun)
	peers.POST(VoidPath, d.handleVoid)
	peers.POST(JoinPath, d.handleJoin)
	peers.GET(StatusPath, func(c echo.Context) error { return c.JSON(http.StatusOK, d.Status()) })
	return e
}

func (d *Dispatcher) handleRun(c echo.Context) error {
	req := c.Request()
	var h wire.RunHeader
	if err := json.Unmarshal([]byte(req.Header.Get(RunHeaderName)), &h); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, RunHeaderName+" is not a run header; send it as JSON")
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		// The request broke off on its way in, so it cannot have run.
		return d.refuseHTTP(c, refuse(h, wire.RunErrorCodeBadRequest, wire.RunErrorOutcomeNotRun, "the request broke off; send it again"))
	}
	in := inbound{method: req.Header.Get(MethodHeader), target: req.Header.Get(TargetHeader), header: endpointHeader(req.Header), body: body}
	r, refusal := d.accept(h, in)
	if refusal != nil {
		return d.refuseHTTP(c, refusal)
	}
	return d.respond(c, r, 0)
}

// endpointHeader drops the headers that are meant for the sidecar.
func endpointHeader(header http.Header) http.Header {
	clean := header.Clone()
	for _, name := range []string{RunHeaderName, MethodHeader, TargetHeader, "Geraniumladder-Peer", "Content-Length", "Te", "Trailer"} {
		clean.Del(name)
	}
	return clean
}

func (d *Dispatcher) handleVoid(c echo.Context) error {
	var v wire.VoidRequest
	if err := c.Bind(&v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the void message is malformed; send a VoidRequest")
	}
	return c.JSON(http.StatusOK, d.void(v))
}

func (d *Dispatcher) handleJoin(c echo.Context) error {
	var j wire.JoinRequest
	if err := c.Bind(&j); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the join message is malformed; send a JoinRequest")
	}
	h := wire.RunHeader{RequestID: j.RequestID}
	if j.Incarnation != d.incarnation {
		return d.refuseHTTP(c, refuse(h, wire.RunErrorCodeWrongIncarnation, wire.RunErrorOutcomeUnknown,
			"the sidecar has restarted and does not know the call; settle it with 'geraniumladder calls settle'"))
	}
	d.mu.Lock()
	r := d.runs[j.RequestID]
	d.mu.Unlock()
	if r == nil {
		return d.refuseHTTP(c, refuse(h, wire.RunErrorCodeLate, wire.RunErrorOutcomeUnknown,
			"the response is not kept; read the state of the call"))
	}
	from, _ := strconv.ParseInt(c.Request().Header.Get(FromHeader), 10, 64)
	return d.respond(c, r, from)
}

// statusOf is the HTTP status of a refusal or failure.
func statusOf(e *wire.RunError) int {
	switch {
	case e.Code == wire.RunErrorCodeBadRequest:
		return http.StatusBadRequest
	case e.Outcome == wire.RunErrorOutcomeNotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// refuseHTTP answers with a refusal. The status of a run that failed is told apart from an endpoint's own answer by
// FailureTrailer being sent as a header.
func (d *Dispatcher) refuseHTTP(c echo.Context, e *wire.RunError) error {
	text, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode the refusal")
	}
	c.Response().Header().Set(FailureTrailer, string(text))
	c.Response().Header().Set(messenger.RequestIDHeader, e.RequestID)
	return c.JSONBlob(statusOf(e), text)
}

// respond sends the answer of a run, without the first skip bytes of its body.
func (d *Dispatcher) respond(c echo.Context, r *run, skip int64) error {
	ctx := c.Request().Context()
	r.answer.attach()
	defer r.answer.detach()
	status, header, failure, err := r.answer.head(ctx)
	if err != nil {
		// The entry has gone; nobody is left to answer.
		return nil
	}
	if failure != nil {
		return d.refuseHTTP(c, failure)
	}
	out := c.Response()
	copyAnswerHeader(out.Header(), header)
	out.Header().Set(messenger.RequestIDHeader, r.header.RequestID)
	out.Header().Set("Trailer", EndTrailer+", "+FailureTrailer+", "+LoadTrailer)
	out.WriteHeader(status)
	out.Flush()
	return d.sendChunks(ctx, out, r, skip)
}

func (d *Dispatcher) sendChunks(ctx context.Context, out *echo.Response, r *run, skip int64) error {
	from := 0
	for {
		chunks, done, failure, err := r.answer.next(ctx, from)
		if err != nil {
			return nil //nolint:nilerr // The entry has gone; nobody is left to answer.
		}
		for _, chunk := range chunks {
			dropped := min(skip, int64(len(chunk)))
			skip -= dropped
			if chunk = chunk[dropped:]; len(chunk) == 0 {
				continue
			}
			if _, err := out.Write(chunk); err != nil {
				return nil //nolint:nilerr // As above.
			}
		}
		from += len(chunks)
		if len(chunks) > 0 {
			out.Flush()
			continue
		}
		if done {
			d.endAnswer(out.Header(), r, failure)
			return nil
		}
	}
}

// endAnswer sets the trailers, by which the entry tells a whole answer from one that broke off.
func (d *Dispatcher) endAnswer(trailer http.Header, r *run, failure *wire.RunError) {
	d.mu.Lock()
	load, err := json.Marshal(d.currentLoad())
	d.mu.Unlock()
	if err == nil {
		trailer.Set(LoadTrailer, string(load))
	}
	if failure == nil {
		trailer.Set(EndTrailer, r.header.RequestID)
		return
	}
	if text, err := json.Marshal(failure); err == nil {
		trailer.Set(FailureTrailer, string(text))
	}
}

// copyAnswerHeader copies an endpoint's headers without those that belong to its own connection.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		default:
			to[name] = append([]string(nil), values...)
		}
	}
}

// Run does the background work of the sidecar until ctx ends. Stop the sidecar with Leave before.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.findEntries(ctx)
	d.wake()
	loops := []looper.Loop{
		d.heartbeats,
		looper.Every(tickEvery, func(context.Context) { d.tick() }),
		looper.Every(listEvery, d.findEntries),
		d.collect,
	}
	if d.engine != nil {
		// The lease's loop ends by itself after the release.
		loops = append(loops, looper.Every(reportEvery, d.readResident), d.lease.run)
	}
	return looper.Run(ctx, loops...)
}

// awaitPushes waits until each entry in reach has been told.
func (d *Dispatcher) awaitPushes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	for !d.entries.quiet() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// spawn starts work in a goroutine of its own, which reports its end on d.ends; collect reads it.
func (d *Dispatcher) spawn(work func(ctx context.Context)) {
	d.spawned.Add(1)
	go func() {
		work(d.work)
		d.ends <- struct{}{}
	}()
}

// collect reads the ends of spawned goroutines. When ctx ends it stops them and waits for the rest.
func (d *Dispatcher) collect(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.stopWork)
	defer stop()
	for {
		select {
		case <-d.ends:
			d.spawned.Add(-1)
		case <-ctx.Done():
			for d.spawned.Load() > 0 {
				<-d.ends
				d.spawned.Add(-1)
			}
			return ctx.Err()
		}
	}
}

// Leave is the planned stop: the entries are told, no new work is accepted, and Leave returns when the running
// requests have ended whole and been kept long enough for their readers, or when ctx ends.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.mu.Lock()
	already := d.leaving
	d.leaving = true
	d.mu.Unlock()
	if already {
		return nil
	}
	d.log.Info().Msg("sidecar: leaving")
	d.push()
	d.awaitPushes(ctx)
	d.tick()
	select {
	case <-d.idle:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests were still running; raise StopTimeout")
	}
	if d.lease != nil {
		d.lease.release(ctx)
	}
	d.log.Info().Msg("sidecar: all requests ended")
	return nil
}
