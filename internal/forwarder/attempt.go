package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/connector"
	"geraniumladder/internal/registrar"
	"geraniumladder/pkg/detector"
	"geraniumladder/pkg/selector"
)

const (
	// adapterLoadTimeout bounds the wait for an adapter at one endpoint before another endpoint is considered. It is
	// several times the duration of an uncontended load.
	adapterLoadTimeout = 1200 * time.Millisecond
	// loadStartTimeout bounds the wait for the start of a load while the transfer budget is limited, because a load that
	// waits for a slot keeps a place from others. A start is seen within about 50 ms, or 110 ms if a datagram is lost.
	loadStartTimeout = 150 * time.Millisecond
	// loadRetryDelay is the delay before endpoints are tried again that all became unavailable during the wait for an
	// adapter. It is short compared with a load.
	loadRetryDelay = 50 * time.Millisecond
	// demandResendInterval is the interval at which the demand is sent to the sidecar again, in case a datagram was lost.
	demandResendInterval = 60 * time.Millisecond
	// maxDiscardedBody limits how much of a rejection's body is read in order to reuse the connection.
	maxDiscardedBody = 64 << 10
	// unavailableRetryAfter is the Retry-After value when no endpoint has capacity.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxMismatchedResponses limits the responses to other requests that are discarded on one connection.
	maxMismatchedResponses = 3
	streamBufferSize       = 8 << 10
	// outcomeLost is logged for an attempt that may have run and returned no complete response.
	outcomeLost = "lost"
)

// bufferedResponse is a response that has been read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptOnce makes one attempt. It returns true when the caller has its response, and a refusal when no further attempt
// is possible. If it returns nil and false, another attempt should be made.
func (x *exchange) attemptOnce(ctx context.Context) (*Refusal, bool) {
	x.isProbe = false
	if refusal := x.refuseBlocked(); refusal != nil {
		return refusal, false
	}
	e, refusal := x.acquireEndpoint(ctx)
	if refusal != nil {
		return refusal, false
	}
	if x.sendCount > 0 {
		if !x.isRetryCharged && !x.f.takeRetry(x.service) {
			return refuseUnavailable("retry-budget", unavailableRetryAfter), false
		}
		x.isRetryCharged = false
		x.f.config.Observer.Retry(x.organisationName())
	}
	return x.send(ctx, e)
}

// acquireEndpoint selects an endpoint and waits until the adapter is resident there.
func (x *exchange) acquireEndpoint(ctx context.Context) (*endpoint, *Refusal) {
	sel := &criteria{
		service: x.service, call: &x.call, homes: x.homes, excluded: x.excluded, allows: x.f.throttle.allows,
		request: selector.Request{PromptTokens: x.call.PromptTokens, RequiredTokens: x.call.PromptTokens + x.call.AnswerTokens,
			MaxPause: x.configuration.MaxPause(x.service), Tolerance: x.choiceTolerance()},
	}
	// The route limits the number of endpoints that receive the request. Once it is reached, only those endpoints may be
	// selected again.
	if len(x.sentTo) >= x.route.Attempts {
		sel.only = x.sentTo
	}
	defer x.leaveTransferQueue()
	for {
		if ctx.Err() != nil || x.deadline.Sub(x.f.config.Now()) < minRemaining {
			return nil, refuseUnavailable("timeout-waiting", 0)
		}
		if x.call.Model.Adapter != "" {
			sel.version = x.f.fleet.version(x.call.Model)
		}
		e, chosen, ok := x.f.choose(sel)
		if !ok {
			if refusal := x.awaitCandidate(ctx, sel); refusal != nil {
				return nil, refusal
			}
			continue
		}
		x.chosen = chosen
		resident, unavailable, refusal := x.awaitPlacement(ctx, e, sel.version)
		if refusal != nil {
			return nil, refusal
		}
		if resident {
			x.awaitGrantAt(ctx, e)
			x.placedAt = x.f.config.Now()
			return e, nil
		}
		// An endpoint that is merely slow to load stays eligible. Switching at once would load the adapter twice, and
		// concurrent loads slow each other down.
		if unavailable {
			if sel.becameUnavailable == nil {
				sel.becameUnavailable = map[incarnation]bool{}
			}
			sel.becameUnavailable[incarnation{id: e.ID, born: e.Born}] = true
		}
	}
}

// awaitPlacement decides whether the request is served in time, and waits until the adapter is resident at the chosen
// endpoint. If it returns neither that nor a refusal, an
// endpoint has to be selected again.
func (x *exchange) awaitPlacement(ctx context.Context, e *endpoint, version int64) (isResident, isUnavailable bool, _ *Refusal) {
	if refusal := x.refuseEarly(); refusal != nil {
		return false, false, refusal
	}
	switch x.chosen.residency {
	case selector.Resident:
		return true, false, nil
	case selector.Absent:
		if isStarted, refusal := x.awaitTransfer(ctx, e); !isStarted {
			return false, false, refusal
		}
	case selector.Loading:
	}
	x.leaveTransferQueue()
	isResident, isUnavailable = x.awaitAdapter(ctx, e, version)
	return isResident, isUnavailable, nil
}

// awaitCandidate waits for a moment if an endpoint may become a candidate soon. Otherwise it returns a refusal.
func (x *exchange) awaitCandidate(ctx context.Context, sel *criteria) *Refusal {
	switch {
	case sel.isPaced:
		if !x.awaitGrant(ctx) {
			return refuseUnavailable(reasonPaced, unavailableRetryAfter)
		}
	case sel.isLimited || len(sel.becameUnavailable) == 0:
		return x.refuseNoCandidate(sel)
	default:
		if refusal := x.refuseClosed(); refusal != nil {
			return refusal
		}
		// Every endpoint became unavailable during the wait for the adapter; retry all of them after a delay.
		pause(ctx, loadRetryDelay)
	}
	sel.becameUnavailable = nil
	return nil
}

// refuseNoCandidate returns the refusal of a request that no endpoint may get.
func (x *exchange) refuseNoCandidate(sel *criteria) *Refusal {
	if refusal := x.refuseClosed(); refusal != nil {
		return refusal
	}
	switch {
	case sel.isLimited:
		return refuseUnavailable("endpoint-limit", cmp.Or(sel.limitedFor, unavailableRetryAfter))
	case sel.isEvacuated:
		return refuseUnavailable("evacuated", evacuatedRetryAfter)
	case sel.isElsewhere:
		return refuseHomes()
	}
	return refuseUnavailable("no-endpoint", unavailableRetryAfter)
}

// awaitAdapter requests the adapter from the endpoint's sidecar and waits until it is resident, the endpoint becomes
// unavailable or gets no more requests, adapterLoadTimeout expires, or the load doesn't begin within loadStartTimeout.
func (x *exchange) awaitAdapter(ctx context.Context, e *endpoint, version int64) (isResident, isUnavailable bool) {
	f := x.f.fleet
	f.mu.Lock()
	e.usageOf(x.call.Model, version).waiting++
	e.waiting++
	address := e.Address
	f.mu.Unlock()
	isLimited := f.transfers.isLimited()
	defer func() {
		f.mu.Lock()
		u := e.usageOf(x.call.Model, version)
		u.waiting--
		e.waiting--
		if u.waiting == 0 {
			f.transfers.end(e, x.call.Model)
		}
		isWithdrawn := isLimited && e.residency(x.call.Model, version) == selector.Absent
		f.mu.Unlock()
		if isWithdrawn {
			x.f.config.Demand(address)
		}
	}()
	x.f.config.Demand(address)
	var isNotBegun <-chan time.Time
	if isLimited {
		start := time.NewTimer(loadStartTimeout)
		defer start.Stop()
		isNotBegun = start.C
	}
	timeout := time.NewTimer(adapterLoadTimeout)
	defer timeout.Stop()
	resend := time.NewTicker(demandResendInterval)
	defer resend.Stop()
	for {
		w := f.adapterWait(e, x.call.Model, version)
		switch {
		case w.isGone:
			// It is no candidate any more, so the request need not avoid it.
			return false, false
		case w.isUnavailable, w.isResident:
			return !w.isUnavailable, w.isUnavailable
		}
		select {
		case <-w.changed:
		case <-isNotBegun:
			if !w.hasBegun {
				return false, false
			}
		case <-resend.C:
			x.f.config.Demand(address)
		case <-timeout.C:
			return false, false
		case <-ctx.Done():
			return false, false
		}
	}
}

// adapterWait is the state of an endpoint for a request that waits for an adapter there.
type adapterWait struct {
	// changed is closed when the state changes.
	changed                           <-chan struct{}
	isGone, isUnavailable, isResident bool
	// hasBegun means that the adapter is being loaded, or that its base model must be loaded first.
	hasBegun bool
}

func (f *fleet) adapterWait(e *endpoint, key registrar.AdapterKey, version int64) adapterWait {
	f.mu.Lock()
	defer f.mu.Unlock()
	residency := e.residency(key, version)
	_, holdsModel := e.resident[registrar.AdapterKey{Model: key.Model}]
	return adapterWait{
		changed: e.changed, isGone: f.isGone(e), isUnavailable: e.state.IsDown || e.liveness == detector.Silent,
		isResident: residency == selector.Resident, hasBegun: residency != selector.Absent || !holdsModel,
	}
}

// send sends the request to the endpoint and handles its response.
func (x *exchange) send(ctx context.Context, e *endpoint) (*Refusal, bool) {
	f := x.f.fleet
	x.current, x.isRejected = nil, false
	now := x.f.config.Now()
	key := incarnation{id: e.ID, born: e.Born}
	version := int64(0)
	if x.call.Model.Adapter != "" {
		version = f.version(x.call.Model)
	}
	f.mu.Lock()
	if f.isGone(e) || !x.f.throttle.take(e) {
		// The endpoint has gone or closed, or another request has used its limit, since it was selected. The retry, if this
		// is one, has been charged.
		f.mu.Unlock()
		x.isRetryCharged = x.sendCount > 0
		return nil, false
	}
	pendingPrefill := 0.0
	if e.engine != nil {
		pendingPrefill = max(0, x.call.PromptTokens-e.cachedTokens(&x.call))
	}
	e.recordStart(&x.call, version, pendingPrefill, now)
	x.sent = e.sentState(&x.call, pendingPrefill, now)
	f.mu.Unlock()
	prefillDone := func() {
		f.mu.Lock()
		e.pendingPrefill = max(0, e.pendingPrefill-pendingPrefill)
		e.updateBacklog(x.f.config.Now())
		f.mu.Unlock()
		pendingPrefill = 0
	}
	defer func() {
		f.mu.Lock()
		e.recordEnd(&x.call, pendingPrefill)
		e.updateBacklog(x.f.config.Now())
		f.mu.Unlock()
	}()

	idle := maxIdleNonIdempotent
	if x.route.IsIdempotent() {
		idle = maxIdleIdempotent
	}
	conn, err := x.f.config.Pool.Get(ctx, x.chosen.address, idle, x.call.ID)
	if err != nil {
		return x.handleNotSent(ctx, e, "connect", err, true)
	}
	reuse := false
	defer func() {
		if !reuse {
			conn.Close()
		}
	}()
	// stop prevents the closing of the connection on cancellation. It returns false if that has already begun, in which
	// case the connection must not be reused.
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	request := &connector.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: x.f.config.Translator.EndpointHeader(x.r.Header, x.dispatch(e, version)),
	}
	if ctx.Err() != nil || x.deadline.Sub(x.f.config.Now()) < minRemaining {
		// The caller may have disconnected while the connection was opened, or this process may have been suspended
		// since the endpoint was selected.
		return refuseUnavailable("timeout-waiting", 0), false
	}
	if hasCallerLeft(x.r) {
		return refuseUnavailable(reasonCallerLeft, 0), false
	}
	// The parts may have been blocked while the request waited for its adapter.
	if refusal := x.refuseBlocked(); refusal != nil {
		return refusal, false
	}
	if !f.takePace(e) {
		// Another request has used the grant since the endpoint was selected.
		x.isRetryCharged = x.sendCount > 0
		return nil, false
	}
	a := x.attempt(key, conn)
	if !f.addAttempt(e, a) {
		// The endpoint has gone or closed while the connection was acquired.
		x.isRetryCharged = x.sendCount > 0
		return nil, false
	}
	x.sendCount++
	x.sentAt = x.f.config.Now()
	x.attemptEvents, x.attemptFirstEventAt, x.hasBegun, x.isProven = 0, time.Time{}, false, false
	defer func() {
		f.removeAttempt(e, a)
		x.isRetryCharged = a.isAbandoned.Load()
	}()
	x.current = a
	err = conn.Send(request)
	if errors.Is(err, connector.ErrNotSent) {
		return x.handleNotSent(ctx, e, "send", err, true)
	}
	x.sentTo[key] = true
	x.sent.at = x.f.config.Now()
	if err != nil {
		return x.handleLost(ctx, e, "send", err)
	}
	release := func(response *http.Response) {
		if reuse = stop(); reuse {
			conn.Release(response)
		}
	}
	return x.receive(ctx, e, a, release, prefillDone)
}

// receive reads and handles the response to the request that was sent. release is called once the whole response has been
// read, so that the connection may be used again.
func (x *exchange) receive(ctx context.Context, e *endpoint, a *attempt, release func(*http.Response), prefillDone func()) (*Refusal, bool) {
	//nolint:bodyclose // The connection itself is closed or released. Closing the body would read the rest of a stream.
	response, info, err := x.readResponse(e, a.conn)
	if err != nil {
		return x.handleLost(ctx, e, "answer", err)
	}
	if info.IsNotRun {
		if connector.Discard(response.Body, maxDiscardedBody) {
			release(response)
		}
		return x.handleNotRun(ctx, e, info, response.StatusCode)
	}
	x.mayHaveRun, x.hasBegun = true, true
	isUnsigned := info.IsUnsigned && response.StatusCode < http.StatusMultipleChoices
	if x.route.Kind == registrar.Stream && response.StatusCode == http.StatusOK {
		r := &relayer{
			x: x, e: e, a: a, response: response, isUnsigned: isUnsigned, buffer: make([]byte, 0, streamBufferSize), onFirstEvent: prefillDone,
		}
		return r.relay(ctx, release)
	}
	body, err := x.readAnswer(response)
	if err == nil && isUnsigned {
		err = errUnsigned
	}
	if err != nil {
		return x.handleLost(ctx, e, "body", err)
	}
	release(response)
	x.recordAnswered(response.StatusCode < http.StatusInternalServerError)
	return x.handleBuffered(e, &bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
}

func (x *exchange) dispatch(e *endpoint, version int64) Dispatch {
	d := Dispatch{
		EndpointID: e.ID, Remaining: x.deadline.Sub(x.f.config.Now()), Organisation: x.organisationName(),
		AdapterVersion: version, LastEvent: x.lastEvent,
	}
	if x.chosen.engine != nil {
		priority := x.route.Priority
		if x.organisation != nil && x.organisation.Priority != nil {
			priority = *x.organisation.Priority
		}
		d.Priority = &priority
	}
	return d
}

var errUnsigned = errors.New("the success lacks the endpoint's signature; another program may have the address")

// readResponse reads the header of the response that belongs to the request. Responses to earlier requests, which a
// faulty endpoint may send late or twice, are discarded. One without an ID may be such a response unless the connection
// has carried this request only.
func (x *exchange) readResponse(e *endpoint, conn *connector.Conn) (*http.Response, ResponseInfo, error) {
	for range maxMismatchedResponses {
		response, err := conn.ReceiveResponse(x.r.Method)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		info := x.f.config.Translator.DecodeResponse(response)
		isOwn := info.RequestID == x.call.ID || info.RequestID == "" && !conn.IsReused
		x.recordReports(e, info, isOwn)
		if isOwn {
			x.f.recordLimit(e, info)
			return response, info, nil
		}
		if info.RequestID == "" {
			break
		}
		x.f.config.Log.Warn().Str("Request", x.call.ID).Str("AnswerTo", info.RequestID).
			Msg("forwarder: response to another request discarded")
		if !connector.Discard(response.Body, minAnswerBody) {
			break
		}
	}
	return nil, ResponseInfo{}, errors.New("connection returned responses that can't be assigned to the request")
}

// handleBuffered handles a response that has been read completely.
func (x *exchange) handleBuffered(e *endpoint, response *bufferedResponse) (*Refusal, bool) {
	isFailure := response.status >= http.StatusInternalServerError
	// The endpoint would have said that it has not run the request, so the status must not reach the caller.
	isUnproven := guaranteesNotRun(response.status)
	x.recordOutcome(e, isFailure, false)
	if !isFailure && !isUnproven && !x.wroteHeader {
		x.writeBuffered(response)
		return nil, true
	}
	x.logAttempt(e, "failed", strconv.Itoa(response.status))
	canRetry := x.route.IsIdempotent() && x.hasAttemptsLeft()
	x.excluded[incarnation{id: e.ID, born: e.Born}] = true
	switch {
	case canRetry && (isUnproven || x.wroteHeader):
		return nil, false
	case canRetry:
		// finish forwards it if no later attempt succeeds.
		x.fallback = response
		return nil, false
	case x.wroteHeader:
		// The response header has been sent, so the status of a failed continuation can't be forwarded.
		return badGateway("continuation"), false
	case isUnproven:
		refusal := refuseUnprovenRejection()
		if closed := x.refuseClosed(); closed != nil {
			refusal.RetryAfter = closed.RetryAfter
		}
		return refusal, false
	}
	x.writeBuffered(response)
	return nil, true
}

func (x *exchange) hasAttemptsLeft() bool { return len(x.sentTo) < x.route.Attempts }

// writeBuffered forwards a buffered response to the caller.
func (x *exchange) writeBuffered(response *bufferedResponse) {
	copyHeader(x.w.Header(), response.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	x.w.WriteHeader(response.status)
	if err := x.writeBody(response.body); err != nil {
		x.recordDeparture(err, response.status)
		return
	}
	x.f.config.Observer.Request(x.organisationName(), "answered")
	x.f.config.Observer.FirstToken(x.organisationName(), x.f.config.Now().Sub(x.arrivedAt))
	x.logOutcome("answered", response.status)
}

var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

// relayer forwards the part of a stream that one endpoint sends. It forwards only complete events, so that the stream
// can be resumed at another endpoint after any event.
type relayer struct {
	x        *exchange
	e        *endpoint
	a        *attempt
	response *http.Response
	// isUnsigned means that the response lacks the endpoint's signature, so that nothing of it may be forwarded. It is read
	// up to the first event all the same, because an earlier end shows that the endpoint has ended.
	isUnsigned bool
	// buffer holds received bytes that don't form a complete event yet.
	buffer []byte
	// onFirstEvent is called at the first event, which shows that the engine has finished the prefill.
	onFirstEvent func()
	pauses       pauseTimer
}

// relay forwards the stream until it ends or the connection fails. release is that of receive.
func (r *relayer) relay(ctx context.Context, release func(*http.Response)) (*Refusal, bool) {
	x, response := r.x, r.response
	for {
		err := r.next()
		switch {
		case errors.Is(err, io.EOF) && r.isUnsigned && isFramed(response):
			return x.handleLost(ctx, r.e, "stream", errUnsigned)
		case errors.Is(err, io.EOF) && len(r.buffer) == 0 && (x.attemptEvents > 0 || isFramed(response)):
			release(response)
			x.recordAnswered(true)
			x.limitWrite(x.f.config.StreamStall)
			x.writeHeader(response)
			x.f.config.Observer.Request(x.organisationName(), "answered")
			x.logOutcome("answered", response.StatusCode)
			return nil, true
		case errors.Is(err, io.EOF):
			return x.handleLost(ctx, r.e, "stream", io.ErrUnexpectedEOF)
		case errors.Is(err, errCallerDisconnected):
			x.recordDeparture(err, response.StatusCode)
			panic(http.ErrAbortHandler)
		case err != nil:
			return x.handleLost(ctx, r.e, "stream", err)
		}
	}
}

// isFramed reports whether the end of the body is marked. Otherwise it ends with the connection, also if the endpoint's
// process does.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

var errCallerDisconnected = errors.New("caller disconnected")

// next reads once from the endpoint and forwards the complete events.
func (r *relayer) next() error {
	if len(r.buffer) >= maxEventBytes {
		return errEventTooLarge
	}
	if len(r.buffer) == cap(r.buffer) {
		var err error
		if r.buffer, err = r.x.held.grow(r.buffer, int64(cap(r.buffer))); err != nil {
			return err
		}
	}
	readAt := r.x.f.config.Now()
	n, err := r.response.Body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.pauses.waited += r.x.f.config.Now().Sub(readAt)
	if end := completeEventsLen(r.buffer); end > 0 {
		if r.isUnsigned {
			return errUnsigned
		}
		if r.x.wroteHeader && r.x.attemptEvents == 0 && !continues(r.buffer[:end], r.x.lastEvent) {
			return errNoContinuation
		}
		// Bytes that complete no event are no progress: a faulty endpoint may send one now and then without end.
		r.a.recordProgress(r.x.f.config.Now())
		if r.x.attemptEvents == 0 {
			r.x.attemptFirstEventAt = r.x.f.config.Now()
			r.a.hasEvents.Store(true)
		}
		events := bytes.Count(r.buffer[:end], eventEnd)
		r.observe(events)
		r.x.attemptEvents += events
		r.x.recordAnswered(false)
		if failure := r.forwardEvents(r.buffer[:end]); failure != nil {
			return failure
		}
		r.buffer = append(r.buffer[:0], r.buffer[end:]...)
	}
	return err
}

func (r *relayer) forwardEvents(events []byte) error {
	if r.onFirstEvent != nil {
		r.onFirstEvent()
		r.onFirstEvent = nil
		r.x.recordOutcome(r.e, false, false)
		if r.x.firstEventAfter == 0 {
			r.x.firstEventAfter = r.x.f.config.Now().Sub(r.x.arrivedAt)
			r.x.recordEstimate()
			r.x.recordForecast(true)
		}
	}
	r.x.lastEvent = lastEventID(events)
	r.x.writeHeader(r.response)
	if err := r.x.write(r.x.f.config.StreamStall, events); err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	return nil
}

// writeHeader sends the response header of a stream, once for all endpoints that contribute to it.
func (x *exchange) writeHeader(response *http.Response) {
	if x.wroteHeader {
		return
	}
	x.wroteHeader = true
	copyHeader(x.w.Header(), response.Header)
	x.w.WriteHeader(response.StatusCode)
	x.f.config.Observer.FirstToken(x.organisationName(), x.f.config.Now().Sub(x.arrivedAt))
}

// recordOutcome updates the endpoint's failure statistics. A rejection that says for how long is no failure.
func (x *exchange) recordOutcome(e *endpoint, isFailure, isUnreachable bool) {
	if isFailure && x.isRejected {
		return
	}
	x.f.fleet.mu.Lock()
	defer x.f.fleet.mu.Unlock()
	x.recordPaceResponse(e, isFailure)
	if isFailure {
		e.recordFailure(x.f.config.Now(), isUnreachable)
	} else {
		e.recordSuccess(x.f.config.Now())
	}
}

func (x *exchange) logAttempt(e *endpoint, outcome, reason string) {
	line := x.f.config.Log.Info().Str("Request", x.call.ID).Str("Endpoint", e.ID).Str("Outcome", outcome).Str("Reason", reason).
		Int("Sends", x.sendCount).Bool("MayHaveRun", x.mayHaveRun).Int("Events", x.attemptEvents).Strs("Parts", x.call.partIDs()).
		Dur("After", x.f.config.Now().Sub(x.arrivedAt))
	if outcome == outcomeLost {
		line = line.Str("Digest", x.digest())
	}
	if x.current != nil {
		line = line.Str("Connection", x.current.conn.LocalAddress()).Bool("IsReused", x.current.conn.IsReused)
	}
	line.Msg("forwarder: attempt ended")
}

// handleNotSent handles an attempt that failed before anything was sent, so that another endpoint may be tried.
func (x *exchange) handleNotSent(ctx context.Context, e *endpoint, stage string, err error, isUnreachable bool) (*Refusal, bool) {
	if ctx.Err() != nil {
		return refuseUnavailable("timeout-waiting", 0), false
	}
	x.recordOutcome(e, true, isUnreachable)
	if errors.Is(err, syscall.ECONNREFUSED) {
		x.f.fleet.recordRefused(e)
	}
	x.excluded[incarnation{id: e.ID, born: e.Born}] = true
	x.logAttempt(e, "not-sent", stage+": "+err.Error())
	return nil, false
}

// handleLost handles an attempt that may have run but returned no complete response.
func (x *exchange) handleLost(ctx context.Context, e *endpoint, stage string, err error) (*Refusal, bool) {
	x.mayHaveRun = true
	if ctx.Err() != nil {
		return gatewayTimeout(), false
	}
	if x.current != nil && x.current.isBlocked.Load() {
		x.logAttempt(e, outcomeLost, "the request or a part of its prompt was blocked")
		return badGateway(reasonBlockedPart), false
	}
	x.recordUnanswered(e, err)
	reason := stage
	if err != nil {
		reason += ": " + err.Error()
	}
	x.recordOutcome(e, true, false)
	x.excluded[incarnation{id: e.ID, born: e.Born}] = true
	x.logAttempt(e, outcomeLost, reason)
	if !x.route.IsIdempotent() || !x.hasAttemptsLeft() || x.wroteHeader && x.lastEvent == "" {
		return badGateway("endpoint-lost"), false
	}
	return nil, false
}

// handleNotRun handles a response by which the endpoint states that it has not run the request.
func (x *exchange) handleNotRun(ctx context.Context, e *endpoint, info ResponseInfo, status int) (*Refusal, bool) {
	key := incarnation{id: e.ID, born: e.Born}
	x.logAttempt(e, "not-run", strconv.Itoa(status))
	if ctx.Err() != nil {
		return gatewayTimeout(), false
	}
	if info.IsMisdirected {
		// The request reached no endpoint that could run it, so it doesn't count against the route's attempts.
		delete(x.sentTo, key)
		x.f.fleet.recordMisdirected(e, info.EndpointID, x.call.Model)
		if info.EndpointID != "" && info.EndpointID != e.ID {
			x.excluded[key] = true
		}
		return nil, false
	}
	x.f.fleet.recordRejected(e)
	x.excluded[key] = true
	if refusal := x.refuseClosed(); refusal != nil {
		return refusal, false
	}
	if !x.hasAttemptsLeft() {
		return refuseUnavailable("endpoint-full", unavailableRetryAfter), false
	}
	return nil, false
}
