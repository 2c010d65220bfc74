package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/connector"
	"geraniumladder/internal/registrar"
	"geraniumladder/pkg/detector"
	"geraniumladder/pkg/selector"
)

const (
	// loadPatience is how long a request waits for an adapter at one endpoint before another is considered; several
	// times an undisturbed load.
	loadPatience = 1200 * time.Millisecond
	// loadPause is the time after which endpoints that all failed to get an adapter are tried again; a short part of a load.
	loadPause = 50 * time.Millisecond
	// loadReminder is the interval at which the sidecar is told again, in case a datagram was lost.
	loadReminder = 60 * time.Millisecond
	// wholeMost bounds an answer that is held as a whole before it is passed on.
	wholeMost = 8 << 20
	// discardMost bounds what is read of a refusal's body to keep its connection.
	discardMost = 64 << 10
	// fullPause is the Retry-After when endpoints are full.
	fullPause = 300 * time.Millisecond
	// strayAnswers is how many answers to other requests are passed over on one connection.
	strayAnswers = 3
	streamBuffer = 8 << 10
)

// whole is an answer that has arrived completely.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// try makes one attempt. It returns done when the caller has its answer, and a refusal when nothing is left to try.
func (x *exchange) try(ctx context.Context) (*Refusal, bool) {
	e, refusal := x.place(ctx)
	if refusal != nil {
		return refusal, false
	}
	if x.tries > 0 {
		if !x.isRepeatPaid && !x.f.mayRepeat(x.service) {
			return refuseFull("retry-budget", fullPause), false
		}
		x.isRepeatPaid = false
		x.f.config.Observer.Retry(x.organisationName())
	}
	return x.send(ctx, e)
}

// place chooses an endpoint and waits until it holds the adapter.
func (x *exchange) place(ctx context.Context) (*endpoint, *Refusal) {
	w := &want{
		service: x.service, call: &x.call, avoid: x.avoid,
		request: selector.Request{PromptTokens: x.call.PromptTokens, NeedsTokens: x.call.PromptTokens + x.call.AnswerTokens},
	}
	if len(x.sent) >= x.route.Attempts {
		w.only = x.sent
	}
	for {
		if ctx.Err() != nil || x.deadline.Sub(x.f.config.Now()) < leastRemaining {
			return nil, refuseFull("timeout-waiting", 0)
		}
		if x.call.Model.Adapter != "" {
			w.version = x.f.fleet.version(x.call.Model)
		}
		e, chosen, ok := x.f.choose(w)
		if !ok && len(w.failed) == 0 {
			return nil, refuseFull("no-endpoint", fullPause)
		}
		if !ok {
			// Each endpoint has failed to get the adapter once. They are tried again after a pause.
			w.failed = nil
			select {
			case <-time.After(loadPause):
			case <-ctx.Done():
			}
			continue
		}
		x.chosen = chosen
		if chosen.residency == selector.Resident {
			x.placed = x.f.config.Now()
			return e, nil
		}
		there, lost := x.awaitAdapter(ctx, e, w.version)
		if there {
			x.placed = x.f.config.Now()
			return e, nil
		}
		// An endpoint that is only slow to load stays eligible: moving on at once would have the adapter loaded twice,
		// and loads slow one another down.
		if lost {
			if w.failed == nil {
				w.failed = map[run]bool{}
			}
			w.failed[run{id: e.ID, born: e.Born}] = true
		}
	}
}

// awaitAdapter asks the endpoint's sidecar for the adapter and waits until it is there, the endpoint is worse than it
// seemed, or loadPatience is over.
func (x *exchange) awaitAdapter(ctx context.Context, e *endpoint, version int64) (isThere, isLost bool) {
	f := x.f.fleet
	f.mu.Lock()
	e.useOf(x.call.Model, version).waiting++
	address := e.Address
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		e.useOf(x.call.Model, version).waiting--
		f.mu.Unlock()
	}()
	x.f.config.Demand(address)
	end := time.NewTimer(loadPatience)
	defer end.Stop()
	remind := time.NewTicker(loadReminder)
	defer remind.Stop()
	for {
		f.mu.Lock()
		changed := e.changed
		there := e.residency(x.call.Model, version) == selector.Resident
		lost := e.state.IsDown || e.standing == detector.Silent || f.isGone(e)
		f.mu.Unlock()
		if there || lost {
			return there && !lost, lost
		}
		select {
		case <-changed:
		case <-remind.C:
			x.f.config.Demand(address)
		case <-end.C:
			return false, false
		case <-ctx.Done():
			return false, false
		}
	}
}

// send sends the request to the endpoint and handles its answer.
func (x *exchange) send(ctx context.Context, e *endpoint) (*Refusal, bool) {
	f := x.f.fleet
	now := x.f.config.Now()
	key := run{id: e.ID, born: e.Born}
	version := int64(0)
	if x.call.Model.Adapter != "" {
		version = f.version(x.call.Model)
	}
	f.mu.Lock()
	if f.isGone(e) {
		f.mu.Unlock()
		return nil, false
	}
	unread := 0.0
	if e.engine != nil {
		unread = max(0, x.call.PromptTokens-e.keptTokens(&x.call))
	}
	e.started(&x.call, version, unread, now)
	f.mu.Unlock()
	read := func() {
		f.mu.Lock()
		e.unread = max(0, e.unread-unread)
		f.mu.Unlock()
		unread = 0
	}
	defer func() {
		f.mu.Lock()
		e.ended(&x.call, unread)
		f.mu.Unlock()
	}()

	idle := freshIdle
	if x.route.IsIdempotent() {
		idle = anyIdle
	}
	conn, err := x.f.config.Pool.Get(ctx, e.Address, idle)
	if err != nil {
		return x.failed(ctx, e, "connect", err, true)
	}
	keep := false
	defer func() {
		if !keep {
			conn.Close()
		}
	}()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	request := &connector.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: x.f.config.Translator.EndpointHeader(x.r.Header, x.dispatch(e, version)),
	}
	if ctx.Err() != nil || x.deadline.Sub(x.f.config.Now()) < leastRemaining {
		// The caller may have left while the connection was opened, or this process may not have run since the choice.
		return refuseFull("timeout-waiting", 0), false
	}
	x.tries++
	a := x.attempt(key, conn)
	f.opened(e, a)
	defer func() {
		f.closed(e, a)
		x.isRepeatPaid = a.isGivenUp.Load()
	}()
	err = conn.Send(request)
	if errors.Is(err, connector.ErrNotSent) {
		return x.failed(ctx, e, "send", err, true)
	}
	x.sent[key] = true
	if err != nil {
		return x.lost(ctx, e, "send", err)
	}
	//nolint:bodyclose // The connection is closed or kept as a whole. Closing the body would read the rest of a stream.
	response, answer, err := x.readAnswer(conn)
	if err != nil {
		return x.lost(ctx, e, "answer", err)
	}
	if answer.IsNotRun {
		keep = connector.Discard(response.Body, discardMost) && stop()
		if keep {
			conn.Release(response)
		}
		return x.notRun(ctx, e, answer, response.StatusCode)
	}
	x.mayHaveRun = true
	if x.route.Kind == registrar.Stream && response.StatusCode == http.StatusOK {
		release := func() bool {
			keep = stop()
			return keep
		}
		return x.relay(ctx, e, a, response, release, read)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeMost+1))
	if err != nil || len(body) > wholeMost {
		return x.lost(ctx, e, "body", err)
	}
	if keep = stop(); keep {
		conn.Release(response)
	}
	return x.complete(e, &whole{status: response.StatusCode, header: response.Header, body: body})
}

func (x *exchange) dispatch(e *endpoint, version int64) Dispatch {
	d := Dispatch{
		EndpointID: e.ID, Remaining: x.deadline.Sub(x.f.config.Now()), Organisation: x.organisationName(),
		AdapterVersion: version, LastEvent: x.lastEvent,
	}
	if e.engine != nil {
		priority := x.route.Priority
		if x.organisation != nil && x.organisation.Priority != nil {
			priority = *x.organisation.Priority
		}
		d.Priority = &priority
	}
	return d
}

// readAnswer reads the head of the answer that belongs to the request. Answers to earlier requests, which a faulty
// endpoint may send late or twice, are passed over.
func (x *exchange) readAnswer(conn *connector.Conn) (*http.Response, Answer, error) {
	for range strayAnswers {
		response, err := conn.ReadAnswer(x.r.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := x.f.config.Translator.DecodeAnswer(response)
		if answer.RequestID == "" || answer.RequestID == x.call.ID {
			return response, answer, nil
		}
		x.f.config.Log.Warn().Str("Request", x.call.ID).Str("AnswerTo", answer.RequestID).
			Msg("forwarder: answer to another request passed over")
		if !connector.Discard(response.Body, wholeMost) {
			break
		}
	}
	return nil, Answer{}, errors.New("the connection carries answers to other requests")
}

// complete handles an answer that has arrived as a whole.
func (x *exchange) complete(e *endpoint, answer *whole) (*Refusal, bool) {
	isFailure := answer.status >= http.StatusInternalServerError
	x.outcome(e, isFailure, false)
	if isFailure && x.route.IsIdempotent() && !x.begun {
		x.kept = answer
		x.avoid[run{id: e.ID, born: e.Born}] = true
		x.attemptLine(e, "failed", strconv.Itoa(answer.status))
		if x.canRepeat() {
			return nil, false
		}
		x.kept = nil
	}
	if x.begun {
		// A continuation that failed can't be passed on within the answer that has begun.
		return failGateway("continuation"), false
	}
	x.pass(answer)
	return nil, true
}

func (x *exchange) canRepeat() bool { return len(x.sent) < x.route.Attempts }

// pass passes a complete answer on.
func (x *exchange) pass(answer *whole) {
	copyHeader(x.w.Header(), answer.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	x.w.WriteHeader(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		x.note("caller-left", answer.status)
		return
	}
	x.f.config.Observer.Request(x.organisationName(), "answered")
	x.f.config.Observer.FirstToken(x.organisationName(), x.f.config.Now().Sub(x.arrived))
	x.note("answered", answer.status)
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

// relayer passes one endpoint's part of a stream on, whole events only, so that it can go on at another endpoint after
// any of them.
type relayer struct {
	x        *exchange
	e        *endpoint
	a        *attempt
	response *http.Response
	flusher  *http.ResponseController
	// buffer holds what has arrived and is not a whole event yet.
	buffer []byte
	// read is called with the first event: the engine has read the prompt.
	read func()
}

// relay passes the stream on until it ends or breaks off.
func (x *exchange) relay(ctx context.Context, e *endpoint, a *attempt, response *http.Response, release func() bool, read func()) (*Refusal, bool) {
	r := &relayer{
		x: x, e: e, a: a, response: response, flusher: http.NewResponseController(x.w), buffer: make([]byte, 0, streamBuffer), read: read,
	}
	for {
		err := r.next()
		switch {
		case errors.Is(err, io.EOF) && len(r.buffer) == 0:
			if release() {
				a.conn.Release(response)
			}
			x.begin(response)
			x.f.config.Observer.Request(x.organisationName(), "answered")
			x.note("answered", response.StatusCode)
			return nil, true
		case errors.Is(err, io.EOF):
			return x.lost(ctx, e, "stream", io.ErrUnexpectedEOF)
		case errors.Is(err, errCallerLeft):
			x.note("caller-left", response.StatusCode)
			panic(http.ErrAbortHandler)
		case err != nil:
			return x.lost(ctx, e, "stream", err)
		}
	}
}

var errCallerLeft = errors.New("the caller left")

// next reads once and passes on the events that are whole.
func (r *relayer) next() error {
	if len(r.buffer) == cap(r.buffer) {
		r.buffer = append(r.buffer, make([]byte, cap(r.buffer))...)[:len(r.buffer)]
	}
	n, err := r.response.Body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.a.progressed(r.x.f.config.Now())
	if end := eventsEnd(r.buffer); end > 0 {
		if failure := r.pass(r.buffer[:end]); failure != nil {
			return failure
		}
		r.buffer = append(r.buffer[:0], r.buffer[end:]...)
	}
	return err
}

func (r *relayer) pass(events []byte) error {
	if r.read != nil {
		r.read()
		r.read = nil
		r.x.outcome(r.e, false, false)
		if r.x.firstAfter == 0 {
			r.x.firstAfter = r.x.f.config.Now().Sub(r.x.arrived)
		}
	}
	if id, ok := lastEventID(events); ok {
		r.x.lastEvent = id
	}
	r.x.begin(r.response)
	if err := r.x.write(r.flusher, events); err != nil {
		return errors.Mark(err, errCallerLeft)
	}
	return nil
}

// begin sends the head of the stream's answer once.
func (x *exchange) begin(response *http.Response) {
	if x.begun {
		return
	}
	x.begun = true
	copyHeader(x.w.Header(), response.Header)
	x.w.WriteHeader(response.StatusCode)
	x.f.config.Observer.FirstToken(x.organisationName(), x.f.config.Now().Sub(x.arrived))
}

func (x *exchange) write(flusher *http.ResponseController, events []byte) error {
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(flusher.Flush(), "write to the caller")
}

// eventsEnd is the length of the whole events at the start of the buffer.
func eventsEnd(buffer []byte) int {
	if i := bytes.LastIndex(buffer, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// lastEventID returns the ID of the last event.
func lastEventID(events []byte) (string, bool) {
	const field = "id:"
	i := bytes.LastIndex(events, []byte("\n"+field))
	switch {
	case i >= 0:
		i += 1 + len(field)
	case bytes.HasPrefix(events, []byte(field)):
		i = len(field)
	default:
		return "", false
	}
	line, _, _ := bytes.Cut(events[i:], []byte("\n"))
	return string(bytes.TrimSpace(line)), true
}

// outcome updates the belief about the endpoint.
func (x *exchange) outcome(e *endpoint, isFailure, isUnreachable bool) {
	x.f.fleet.mu.Lock()
	defer x.f.fleet.mu.Unlock()
	if isFailure {
		e.failed(x.f.config.Now(), isUnreachable)
	} else {
		e.succeeded(x.f.config.Now())
	}
}

func (x *exchange) attemptLine(e *endpoint, outcome, reason string) {
	x.f.config.Log.Info().Str("Request", x.call.ID).Str("Endpoint", e.ID).Str("Outcome", outcome).Str("Reason", reason).
		Int("Sends", x.tries).Bool("MayHaveRun", x.mayHaveRun).Dur("After", x.f.config.Now().Sub(x.arrived)).
		Msg("forwarder: attempt ended")
}

// failed handles an attempt of which nothing was sent: another endpoint may take it.
func (x *exchange) failed(ctx context.Context, e *endpoint, stage string, err error, isUnreachable bool) (*Refusal, bool) {
	if ctx.Err() != nil {
		return refuseFull("timeout-waiting", 0), false
	}
	x.outcome(e, true, isUnreachable)
	x.avoid[run{id: e.ID, born: e.Born}] = true
	x.attemptLine(e, "not-sent", stage+": "+err.Error())
	return nil, false
}

// lost handles an attempt that may have run and brought no whole answer.
func (x *exchange) lost(ctx context.Context, e *endpoint, stage string, err error) (*Refusal, bool) {
	x.mayHaveRun = true
	if ctx.Err() != nil {
		return failTimeout(), false
	}
	reason := stage
	if err != nil {
		reason += ": " + err.Error()
	}
	x.outcome(e, true, false)
	x.avoid[run{id: e.ID, born: e.Born}] = true
	x.attemptLine(e, "lost", reason)
	if !x.route.IsIdempotent() || !x.canRepeat() {
		return failGateway("endpoint-lost"), false
	}
	return nil, false
}

// notRun handles an endpoint's word that it has not run the request.
func (x *exchange) notRun(ctx context.Context, e *endpoint, answer Answer, status int) (*Refusal, bool) {
	key := run{id: e.ID, born: e.Born}
	x.attemptLine(e, "not-run", strconv.Itoa(status))
	if ctx.Err() != nil {
		return failTimeout(), false
	}
	if answer.IsMisdirected {
		// The request has not reached an endpoint that could run it, so it doesn't count as sent to one.
		delete(x.sent, key)
		x.f.fleet.misdirected(e, answer.EndpointID, x.call.Model)
		if answer.EndpointID != "" && answer.EndpointID != e.ID {
			x.avoid[key] = true
		}
		return nil, false
	}
	x.avoid[key] = true
	if !x.canRepeat() {
		return refuseFull("endpoint-full", fullPause), false
	}
	return nil, false
}
