package router

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/claimer"
	"geraniumladder/pkg/placer"
)

// Aliases of the outcomes.
const (
	notRun  = claimer.NotRun
	ran     = claimer.Ran
	unknown = claimer.Unknown
)

const (
	// endpointWaitTimeout bounds the wait for an endpoint while none can accept the request.
	endpointWaitTimeout  = 5 * time.Second
	endpointPollInterval = 25 * time.Millisecond
	// maxDispatches bounds the dispatches of one request, including those repeated after a correction such as
	// needs-permit.
	maxDispatches = 12
	// maxPermitHold bounds how long a load permit is held. An adapter load takes 250 ms while few are in flight.
	maxPermitHold = 2 * time.Second
	// voidTimeout bounds one void message, which is sent on a connection known to work or on a new one.
	voidTimeout = 3 * time.Second
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// correctionDelay is the delay before the next dispatch if a sidecar rejected the last one only because this
	// entry's information was outdated.
	correctionDelay = 20 * time.Millisecond
)

// dispatch is one attempt to run a request at a sidecar.
type dispatch struct {
	endpoint placer.Endpoint
	decision placer.Decision
	attempt  int
	permit   string
	claimKey string
	// runID is the request ID of the run at the sidecar; the call's ID if empty.
	runID string
	// bytes is the number of body bytes processed, at which a join on a new connection continues.
	bytes int64
	// sentAt is when the request was sent, on the router's clock.
	sentAt time.Duration
}

// runKey identifies the run at the sidecar.
func (d dispatch) runKey(cl *call) string {
	if cl.repeatable {
		return fmt.Sprintf("%s/%d", cl.id, d.attempt)
	}
	return cmp.Or(d.runID, cl.id)
}

// result describes the end of a dispatch that did not return the complete response.
type result struct {
	// runError is the error reported by the sidecar; nil if the connection broke.
	runError *wire.RunError
	// neverOpened is set if no connection was opened.
	neverOpened bool
	// isEvacuated is set, together with neverOpened, if the endpoint's failure domain was evacuated before the request
	// was sent.
	isEvacuated bool
	// failure ends the request regardless of the outcome.
	failure *callError
}

// history accumulates the results of a request's dispatches.
type history struct {
	// excluded names the endpoints to avoid.
	excluded []string
	// loadFailed counts failed adapter loads; one retry on another endpoint is allowed.
	loadFailed int
	// outcome is what to report if the request is abandoned now. It changes only from notRun to unknown to ran, because
	// a later dispatch does not undo an earlier one.
	outcome claimer.Outcome
}

// recordResult records the end of a dispatch. responseStarted means that part of the response has arrived.
func (h *history) recordResult(res result, responseStarted bool) {
	switch {
	case responseStarted || h.outcome == ran || res.runError != nil && res.runError.Outcome == wire.RunErrorOutcomeRan:
		h.outcome = ran
	case res.neverOpened || res.failure != nil || res.runError != nil && res.runError.Outcome == wire.RunErrorOutcomeNotRun:
	default:
		h.outcome = unknown
	}
}

// withOutcome returns the failure. If the failure says not-run although an earlier dispatch ran or may have run, the
// outcome is replaced by that of the history.
func (h *history) withOutcome(failure *callError) *callError {
	if failure.outcome != notRun || h.outcome == notRun || h.outcome == "" {
		return failure
	}
	corrected := *failure
	corrected.outcome = h.outcome
	return &corrected
}

// chooseEndpoint chooses an endpoint and records the request in the view. If no endpoint can accept the request, it
// waits for one.
func (r *Router) chooseEndpoint(ctx context.Context, cl *call, h *history) (placer.Endpoint, placer.Decision, *callError) {
	request := r.placementRequest(cl)
	waitDeadline := r.now().Add(min(endpointWaitTimeout, cl.remaining(r.now())))
	for {
		r.mu.Lock()
		now := r.elapsed()
		closed, reopensAfter := r.closedEndpoints(request, now)
		request.Exclude = slices.Concat(closed, h.excluded)
		decision, err := placer.Choose(placer.ExpectedTime{}, r.view, request, r.rng, now)
		if err == nil {
			endpoint, _ := r.view.Endpoint(decision.Endpoint)
			r.view = r.view.WithSent(decision.Endpoint, request, now)
			r.mu.Unlock()
			return endpoint, decision, nil
		}
		r.mu.Unlock()
		switch {
		case isEvacuated(err):
			return placer.Endpoint{}, placer.Decision{}, h.withOutcome(unavailable("evacuated", err.Error()))
		case reopensAfter > 0:
			return placer.Endpoint{}, placer.Decision{}, h.withOutcome(closedError(reopensAfter))
		}
		if r.now().After(waitDeadline) {
			return placer.Endpoint{}, placer.Decision{}, h.withOutcome(unavailable("no_endpoint", err.Error()))
		}
		// No endpoint is left: consider the excluded ones again, since their states may have changed.
		h.excluded = nil
		if failure := r.sleep(ctx, endpointPollInterval); failure != nil {
			return placer.Endpoint{}, placer.Decision{}, h.withOutcome(failure)
		}
	}
}

func (r *Router) placementRequest(cl *call) placer.Request {
	return placer.Request{
		Adapter: cl.modelName(), BaseModel: cl.baseModel, Service: cl.route.Service, Organisation: cl.organisation.Name,
		PromptTokens: cl.promptTokens, AnswerTokens: cl.answerTokens, PrefixHash: cl.prefixHash, PrefixTokens: cl.prefixTokens,
		FailureDomain: r.config.Settings.FailureDomain,
	}
}

// recordCompletion records in the view that a request has left an endpoint.
func (r *Router) recordCompletion(cl *call, d dispatch, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = r.view.WithCompleted(d.endpoint.VM, r.placementRequest(cl), ran)
}

// sleep waits for the given time. It returns a failure if the call ends first.
func (r *Router) sleep(ctx context.Context, wait time.Duration) *callError {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return r.contextError(ctx, notRun)
	}
}

// contextError returns the failure that corresponds to the end of a call's context.
func (r *Router) contextError(ctx context.Context, outcome claimer.Outcome) *callError {
	if cause := (*callError)(nil); errors.As(context.Cause(ctx), &cause) {
		withdrawn := *cause
		withdrawn.outcome = outcome
		return &withdrawn
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failed(http.StatusGatewayTimeout, outcome, "deadline_exceeded", "the route's deadline passed; send the request again or raise the Deadline")
	}
	return failed(499, outcome, "caller_gone", "the caller closed the connection")
}

// forwardModel runs a model request. If an endpoint fails, it retries on another one, and continues a broken stream
// after the text already sent.
func (r *Router) forwardModel(ctx context.Context, cl *call, sink *modelSink) *callError {
	var h history
	for attempt := 1; ; attempt++ {
		if failure := r.refuseBlocked(cl); failure != nil {
			return h.withOutcome(failure)
		}
		endpoint, decision, failure := r.chooseEndpoint(ctx, cl, &h)
		if failure != nil {
			return failure
		}
		d := dispatch{endpoint: endpoint, decision: decision, attempt: attempt}
		res := r.runModel(ctx, cl, &d, sink)
		if res == nil {
			r.config.Isolator.RecordAnswer(cl.digest)
			sink.end()
			return nil
		}
		r.recordEnd(cl, d, *res)
		h.recordResult(*res, sink.tokens > 0)
		if sink.tokens > 0 && !cl.model.singleChoice {
			return failed(http.StatusBadGateway, ran, "stream_broken", "the stream broke off and cannot be continued; send the request again")
		}
		if failure := r.retryOrFail(ctx, cl, &h, d, *res); failure != nil {
			return h.withOutcome(failure)
		}
		sink.restart()
	}
}

// retryOrFail decides how to proceed after a dispatch that did not return the complete response. It returns nil to try
// again.
func (r *Router) retryOrFail(ctx context.Context, cl *call, h *history, d dispatch, res result) *callError {
	switch {
	case ctx.Err() != nil:
		return r.contextError(ctx, notRun)
	case res.failure != nil:
		return res.failure
	case d.attempt >= maxDispatches:
		return unavailable("no_endpoint", "no endpoint could run the request; send it again")
	case res.isEvacuated:
		// Nothing was sent, and the endpoint is not chosen again.
		return nil
	}
	if res.runError != nil {
		switch res.runError.Code { //nolint:exhaustive // The others mean that the endpoint failed.
		case wire.RunErrorCodeBadRequest:
			return invalid(http.StatusBadRequest, "rejected_by_endpoint", "%s", res.runError.Message)
		case wire.RunErrorCodeNeedsPermit:
			r.mu.Lock()
			r.view = r.view.WithResident(d.endpoint.VM, cl.modelName(), false)
			r.mu.Unlock()
			return nil
		case wire.RunErrorCodeStaleRevision:
			r.config.Follower.RecordFreshness(wire.Freshness{Revision: cl.revision.Number() + 1, AgeMs: -1})
			return r.sleep(ctx, 5*correctionDelay)
		case wire.RunErrorCodeLeaving, wire.RunErrorCodeStarting, wire.RunErrorCodeWrongIncarnation:
			h.excluded = append(h.excluded, d.endpoint.VM)
			return r.sleep(ctx, correctionDelay)
		case wire.RunErrorCodeClosed:
			if failure := r.recordClosure(cl, d, *res.runError); failure != nil {
				return failure
			}
		case wire.RunErrorCodeLoadFailed:
			if h.loadFailed++; h.loadFailed > 1 {
				return unavailable("load_failed", "the adapter could not be loaded on two endpoints; send the request again")
			}
		}
	}
	h.excluded = append(h.excluded, d.endpoint.VM)
	if h.outcome == ran && d.attempt == 1 {
		// The lost endpoint no longer processes the stream, so continuing it once on another endpoint adds no load.
		return nil
	}
	return r.waitForRetry(ctx, cl, d.attempt)
}

// waitForRetry consumes retry budget and waits for the backoff time.
func (r *Router) waitForRetry(ctx context.Context, cl *call, attempt int) *callError {
	r.mu.Lock()
	var allowed bool
	r.retryBudget, allowed = r.retryBudget.Allow(r.elapsed())
	wait, inTime := r.retryBudget.Backoff(attempt, r.rng, cl.remaining(r.now()))
	r.mu.Unlock()
	if !allowed {
		return unavailable("retry_budget", "too many requests are being retried; send the request again later")
	}
	if !inTime {
		return unavailable("deadline_near", "no time is left for a retry; send the request again")
	}
	r.config.Meter.Retry(cl.organisation.Name)
	return r.sleep(ctx, wait)
}

// runModel sends a model request to a sidecar and forwards its events. It returns nil if the response was complete.
func (r *Router) runModel(ctx context.Context, cl *call, d *dispatch, sink *modelSink) *result {
	release, failure := r.acquireLoadPermitUnlessEvacuated(ctx, cl, d)
	if failure != nil {
		r.recordCompletion(cl, *d, false)
		if r.isEvacuated(d) && ctx.Err() == nil {
			return evacuatedResult()
		}
		return &result{failure: failure}
	}
	defer release()
	body, err := cl.model.engineBody(cl.modelName(), cl.route.Priority, sink.sentText(), sink.tokens)
	if err != nil {
		return &result{failure: invalid(http.StatusBadRequest, "bad_json", "the body cannot be encoded again: %v", err)}
	}
	resp, res := r.send(ctx, cl, d, body) //nolint:bodyclose // readStream closes it.
	for rejoined := false; ; rejoined = true {
		if resp != nil {
			release()
			res = r.readStream(resp, cl, d, sink)
			if res == nil {
				r.recordCompletion(cl, *d, true)
				return nil
			}
		}
		if rejoined || res.runError != nil || res.neverOpened || res.failure != nil || ctx.Err() != nil {
			r.recordCompletion(cl, *d, resp != nil)
			return res
		}
		// The connection broke, but the sidecar may still be processing the request.
		resp, res = r.join(ctx, d.endpoint.Address, d.endpoint.Incarnation, d.runKey(cl), d.bytes) //nolint:bodyclose // As above.
	}
}

// acquireLoadPermit acquires a load permit if the adapter is assumed not to be resident. Requests for an adapter whose
// load this entry has already requested at the same endpoint wait for that load instead of acquiring another permit,
// because loads are the scarcest resource. release returns the permit and may be called twice.
func (r *Router) acquireLoadPermit(ctx context.Context, cl *call, d *dispatch) (release func(), failure *callError) {
	if cl.adapter == "" {
		return func() {}, nil
	}
	key := d.endpoint.VM + "/" + cl.modelName()
	r.mu.Lock()
	loadStarted, pending := r.pendingLoads[key]
	if !pending && d.decision.NeedsLoad {
		r.pendingLoads[key] = make(chan struct{})
	}
	r.mu.Unlock()
	if pending {
		r.config.Meter.Stall(cl.organisation.Name)
		select {
		case <-loadStarted:
			return func() {}, nil
		case <-ctx.Done():
			return nil, r.contextError(ctx, notRun)
		}
	}
	if !d.decision.NeedsLoad {
		return func() {}, nil
	}
	r.config.Meter.Stall(cl.organisation.Name)
	permit, err := r.config.Lender.Permit(ctx)
	if err != nil {
		r.signalLoadStarted(key)
		if ctx.Err() != nil {
			return nil, r.contextError(ctx, notRun)
		}
		return nil, unavailable("no_load_permit", "the fleet's budget of adapter loads is used up; send the request again")
	}
	d.permit = permit.ID
	expiry := time.AfterFunc(maxPermitHold, permit.Release)
	return sync.OnceFunc(func() {
		r.signalLoadStarted(key)
		if expiry.Stop() {
			permit.Release()
		}
	}), nil
}

// signalLoadStarted unblocks the requests that wait for a load.
func (r *Router) signalLoadStarted(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if loadStarted, pending := r.pendingLoads[key]; pending {
		close(loadStarted)
		delete(r.pendingLoads, key)
	}
}

// runHeader returns the description of the request for the sidecar.
func (r *Router) runHeader(cl *call, d *dispatch) wire.RunHeader {
	return wire.RunHeader{
		RequestID: cmp.Or(d.runID, cl.id), Attempt: d.attempt, Entry: r.config.Settings.VM, Incarnation: d.endpoint.Incarnation,
		Revision: r.config.Follower.Current().Number(), Organisation: cl.organisation.Name, Weight: cl.organisation.Weight,
		Adapter: cl.adapter, Version: cl.version, BaseModel: cl.baseModel, WeightPath: cl.weightPath, Priority: cl.route.Priority,
		RemainingMs: cl.remaining(r.now()).Milliseconds(), PromptTokens: cl.promptTokens, AnswerTokens: cl.answerTokens,
		PrefixHash: cl.prefixHash, Repeatable: cl.repeatable, PermitID: d.permit, ClaimKey: d.claimKey,
	}
}

// send sends a request to a sidecar. It returns the response, or how the dispatch failed.
func (r *Router) send(ctx context.Context, cl *call, d *dispatch, body []byte) (*http.Response, *result) {
	header, err := json.Marshal(r.runHeader(cl, d))
	if err != nil {
		return nil, &result{failure: invalid(http.StatusBadRequest, "bad_request", "the request cannot be encoded: %v", err)}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, dispatcher.RunPath, bytes.NewReader(body))
	if err != nil {
		return nil, &result{failure: invalid(http.StatusBadRequest, "bad_request", "the request cannot be built: %v", err)}
	}
	for name, values := range cl.header {
		req.Header[name] = values
	}
	req.Header.Set(dispatcher.RunHeaderName, string(header))
	req.Header.Set(dispatcher.MethodHeader, cl.method)
	req.Header.Set(dispatcher.TargetHeader, cl.target)
	id := cmp.Or(d.runID, cl.id)
	req.Header.Set(messenger.RequestIDHeader, id)
	if r.isEvacuated(d) {
		return nil, evacuatedResult()
	}
	d.sentAt = r.elapsed()
	return r.openResponse(req, id, d.endpoint.Address)
}

// join requests the remainder of a run's response from a sidecar, on another connection if the last one broke.
func (r *Router) join(ctx context.Context, address, incarnation, key string, from int64) (*http.Response, *result) {
	body, err := json.Marshal(wire.JoinRequest{RequestID: key, Incarnation: incarnation})
	if err != nil {
		return nil, &result{failure: invalid(http.StatusBadRequest, "bad_request", "the join cannot be encoded: %v", err)}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, dispatcher.JoinPath, bytes.NewReader(body))
	if err != nil {
		return nil, &result{failure: invalid(http.StatusBadRequest, "bad_request", "the join cannot be built: %v", err)}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(dispatcher.BodyOffsetHeader, strconv.FormatInt(from, 10))
	requestID, _, _ := strings.Cut(key, "/")
	return r.openResponse(req, requestID, address)
}

// openResponse sends a request and reads the response headers. requestID is the ID that the response must carry.
func (r *Router) openResponse(req *http.Request, requestID, address string) (*http.Response, *result) {
	resp, err := r.config.Messenger.Do(req, address)
	if err != nil {
		return nil, &result{neverOpened: messenger.IsDialError(err)}
	}
	if text := resp.Header.Get(dispatcher.FailureTrailer); text != "" {
		defer func() { _ = resp.Body.Close() }()
		var runError wire.RunError
		if err := json.Unmarshal([]byte(text), &runError); err != nil {
			return nil, &result{}
		}
		return nil, &result{runError: &runError}
	}
	if resp.Header.Get(messenger.RequestIDHeader) != requestID {
		// The response belongs to another request or is not from a sidecar, so the outcome of this request is unknown.
		_ = resp.Body.Close()
		return nil, &result{}
	}
	return resp, nil
}

// readStream forwards the events of a response to the caller. It returns nil if the response was complete.
func (r *Router) readStream(resp *http.Response, cl *call, d *dispatch, sink *modelSink) *result {
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	// Only complete events are counted, so that a join does not start in the middle of one.
	pending := int64(0)
	var data []byte
	for scanner.Scan() {
		line := scanner.Bytes()
		pending += int64(len(line)) + 1
		switch {
		case bytes.HasPrefix(line, []byte("data:")):
			data = append([]byte(nil), bytes.TrimSpace(line[len("data:"):])...)
		case len(line) == 0 && data != nil:
			if failure := sink.event(data); failure != nil {
				return &result{runError: &wire.RunError{Code: wire.RunErrorCodeWrongModel, Outcome: wire.RunErrorOutcomeRan, Message: failure.message}}
			}
			d.bytes += pending
			pending, data = 0, nil
		}
	}
	return r.readTrailers(resp, scanner.Err(), cl, d, sink.doneReceived)
}

// readTrailers evaluates the trailers of a response, which distinguish a complete response from a truncated one.
func (r *Router) readTrailers(resp *http.Response, err error, cl *call, d *dispatch, complete bool) *result {
	if text := resp.Trailer.Get(dispatcher.LoadTrailer); text != "" {
		var load wire.Load
		if json.Unmarshal([]byte(text), &load) == nil {
			r.mu.Lock()
			r.view = r.view.WithLoad(d.endpoint.VM, d.endpoint.Incarnation, placerLoad(load), r.elapsed())
			r.mu.Unlock()
		}
	}
	if text := resp.Trailer.Get(dispatcher.FailureTrailer); text != "" {
		var runError wire.RunError
		if json.Unmarshal([]byte(text), &runError) == nil {
			return &result{runError: &runError}
		}
	}
	if err == nil && complete && resp.Trailer.Get(dispatcher.EndTrailer) == cmp.Or(d.runID, cl.id) {
		return nil
	}
	return &result{}
}

// errTakenOver means that another entry has taken over a claimed call, by voiding this entry's dispatch or by writing the
// claim row first.
var errTakenOver = unavailable("voided", "the call was taken over by a retry; send it again")
