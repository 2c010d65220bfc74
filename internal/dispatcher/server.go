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

// Paths that a sidecar serves to entries and operators.
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
	// EndTrailer carries the request ID if the response is complete.
	EndTrailer = "Geraniumladder-End"
	// FailureTrailer carries a wire.RunError as JSON if the response is incomplete.
	FailureTrailer = "Geraniumladder-Failure"
	// LoadTrailer carries a wire.Load as JSON.
	LoadTrailer = "Geraniumladder-Load"
	// BodyOffsetHeader carries the number of body bytes that the entry already has, in a join request.
	BodyOffsetHeader = "Geraniumladder-From"
)

// maxBodyBytes limits the size of a request body. Entries enforce their own, lower limit.
const maxBodyBytes = 64 << 20

// Handler returns the HTTP handler of the sidecar.
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
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		// The request was not received completely, so it cannot have run.
		return d.sendRefusal(c, newRefusal(h, wire.RunErrorCodeBadRequest, wire.RunErrorOutcomeNotRun, "the request broke off; send it again"))
	}
	in := inbound{method: req.Header.Get(MethodHeader), target: req.Header.Get(TargetHeader), header: stripSidecarHeaders(req.Header), body: body}
	r, refusal := d.accept(h, in)
	if refusal != nil {
		return d.sendRefusal(c, refusal)
	}
	return d.respond(c, r, 0)
}

// stripSidecarHeaders returns a copy without the headers that are meant for the sidecar.
func stripSidecarHeaders(header http.Header) http.Header {
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
		return d.sendRefusal(c, newRefusal(h, wire.RunErrorCodeWrongIncarnation, wire.RunErrorOutcomeUnknown,
			"the sidecar has restarted and does not know the call; settle it with 'geraniumladder calls settle'"))
	}
	d.mu.Lock()
	r := d.runs[j.RequestID]
	d.mu.Unlock()
	if r == nil {
		return d.sendRefusal(c, newRefusal(h, wire.RunErrorCodeLate, wire.RunErrorOutcomeUnknown,
			"the response is not kept; read the state of the call"))
	}
	from, _ := strconv.ParseInt(c.Request().Header.Get(BodyOffsetHeader), 10, 64)
	return d.respond(c, r, from)
}

// httpStatus returns the HTTP status of a refusal or failure.
func httpStatus(e *wire.RunError) int {
	switch {
	case e.Code == wire.RunErrorCodeBadRequest:
		return http.StatusBadRequest
	case e.Outcome == wire.RunErrorOutcomeNotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// sendRefusal sends a refusal or failure. It sends FailureTrailer as a header, by which entries distinguish the failure
// from a response of the endpoint with the same status.
func (d *Dispatcher) sendRefusal(c echo.Context, e *wire.RunError) error {
	text, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode the refusal")
	}
	c.Response().Header().Set(FailureTrailer, string(text))
	c.Response().Header().Set(messenger.RequestIDHeader, e.RequestID)
	return c.JSONBlob(httpStatus(e), text)
}

// respond sends the response of a run, without the first skip bytes of its body.
func (d *Dispatcher) respond(c echo.Context, r *run, skip int64) error {
	ctx := c.Request().Context()
	r.response.addReader()
	defer r.response.removeReader()
	status, header, failure, err := r.response.waitHeader(ctx)
	if err != nil {
		// The entry has closed the connection, so there is nobody to respond to.
		return nil
	}
	if failure != nil {
		return d.sendRefusal(c, failure)
	}
	out := c.Response()
	copyEndpointHeader(out.Header(), header)
	out.Header().Set(messenger.RequestIDHeader, r.header.RequestID)
	out.Header().Set("Trailer", EndTrailer+", "+FailureTrailer+", "+LoadTrailer)
	out.WriteHeader(status)
	out.Flush()
	return d.sendChunks(ctx, out, r, skip)
}

func (d *Dispatcher) sendChunks(ctx context.Context, out *echo.Response, r *run, skip int64) error {
	from := 0
	for {
		chunks, done, failure, err := r.response.next(ctx, from)
		if err != nil {
			return nil //nolint:nilerr // The entry has closed the connection.
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
			d.setTrailers(out.Header(), r, failure)
			return nil
		}
	}
}

// setTrailers sets the trailers by which the entry distinguishes a complete response from an incomplete one.
func (d *Dispatcher) setTrailers(trailer http.Header, r *run, failure *wire.RunError) {
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

// copyEndpointHeader copies the headers of an endpoint's response, except those that apply only to its connection.
func copyEndpointHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		default:
			to[name] = append([]string(nil), values...)
		}
	}
}

// Run runs the sidecar's background loops until ctx ends. Call Leave first to stop the sidecar without interrupting
// requests.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.discoverEntries(ctx)
	d.requestHeartbeat()
	loops := []looper.Loop{
		d.heartbeatLoop,
		looper.Every(expiryInterval, func(context.Context) { d.removeExpired() }),
		looper.Every(discoveryInterval, d.discoverEntries),
		d.awaitGoroutines,
	}
	if d.engine != nil {
		// The lease loop returns after the lease has been released.
		loops = append(loops, looper.Every(residencyPollInterval, d.checkResidency), d.lease.run)
	} else {
		loops = append(loops, looper.Every(residencyPollInterval, d.checkServiceRun))
	}
	return looper.Run(ctx, loops...)
}

// waitForPushes waits until no heartbeat is being sent, for at most heartbeatTimeout.
func (d *Dispatcher) waitForPushes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	for !d.entries.hasNoPushes() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// spawn runs work in a new goroutine and signals goroutineDone when it returns. awaitGoroutines receives these signals.
func (d *Dispatcher) spawn(work func(ctx context.Context)) {
	d.spawned.Add(1)
	go func() {
		work(d.work)
		d.goroutineDone <- struct{}{}
	}()
}

// awaitGoroutines receives the ends of spawned goroutines. When ctx ends, it cancels the remaining goroutines and waits
// for them.
func (d *Dispatcher) awaitGoroutines(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.stopWork)
	defer stop()
	for {
		select {
		case <-d.goroutineDone:
			d.spawned.Add(-1)
		case <-ctx.Done():
			for d.spawned.Load() > 0 {
				<-d.goroutineDone
				d.spawned.Add(-1)
			}
			return ctx.Err()
		}
	}
}

// Leave performs a planned stop: it notifies the entries and stops accepting requests. It returns when all requests
// have ended and no reader is left, after releasing the lease, or when ctx ends.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.mu.Lock()
	already := d.leaving
	d.leaving = true
	d.mu.Unlock()
	if already {
		return nil
	}
	d.log.Info().Msg("sidecar: leaving, waiting for requests to end")
	d.pushHeartbeats()
	d.waitForPushes(ctx)
	d.removeExpired()
	select {
	case <-d.drained:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests were still running; raise StopTimeout")
	}
	if d.lease != nil {
		d.lease.release(ctx)
	}
	d.log.Info().Msg("sidecar: all requests ended")
	return nil
}
