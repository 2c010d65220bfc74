package router

import (
	"context"
	"fmt"
	"net/http"

	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/claimer"
)

// runOnce runs a call that must not be repeated. claim is nil without an idempotency key; otherwise it is called for
// each dispatch before the call is sent and may reject it.
func (r *Router) runOnce(ctx context.Context, cl *call, sink *serviceSink, claim func(d dispatch) *callError) *callError {
	var h history
	for attempt := 1; ; attempt++ {
		endpoint, decision, failure := r.chooseEndpoint(ctx, cl, &h)
		if failure != nil {
			return failure
		}
		cl.dispatches++
		d := dispatch{endpoint: endpoint, decision: decision, attempt: attempt, runID: runID(cl)}
		if claim != nil {
			if failure := claim(d); failure != nil {
				r.recordCompletion(cl, d, false)
				return failure
			}
		}
		// The withdrawal of its key does not interrupt a call that has started, but the call must not start after it.
		if r.isKeyWithdrawn(cl) {
			r.recordCompletion(cl, d, false)
			return errKeyWithdrawnBeforeRun
		}
		res := r.sendOnce(ctx, cl, &d, sink)
		r.recordCompletion(cl, d, res == nil)
		if res == nil {
			r.config.Isolator.RecordAnswer(cl.digest)
			return nil
		}
		r.recordEnd(cl, d, *res)
		outcome, failure := r.resolveOutcome(ctx, cl, d, *res, sink)
		if failure != nil || outcome != notRun {
			return failure
		}
		if res.runError != nil && res.runError.Code == wire.RunErrorCodeVoided {
			return errTakenOver
		}
		// Every dispatch that reaches this point provably did not run, so the outcome in the history stays not-run.
		if failure := r.retryOrFail(ctx, cl, &h, d, *res); failure != nil {
			return failure
		}
	}
}

// runID returns the request ID of the next dispatch of a call that must not be repeated. A sidecar that has rejected a
// dispatch keeps its ID marked as void, so a later dispatch to the same sidecar needs another ID. All earlier
// dispatches provably did not run.
func runID(cl *call) string {
	if cl.dispatches == 1 {
		return cl.id
	}
	return fmt.Sprintf("%s-%d", cl.id, cl.dispatches)
}

func (r *Router) sendOnce(ctx context.Context, cl *call, d *dispatch, sink *serviceSink) *result {
	resp, res := r.send(ctx, cl, d, cl.body) //nolint:bodyclose // copyServiceResponse closes it.
	if resp != nil {
		res = r.copyServiceResponse(resp, cl, d, sink)
	}
	return res
}

// resolveOutcome determines the outcome of a call whose response was incomplete. notRun means that the call provably
// never runs at this sidecar and may be sent to another one.
func (r *Router) resolveOutcome(ctx context.Context, cl *call, d dispatch, res result, sink *serviceSink) (claimer.Outcome, *callError) {
	if res.failure != nil {
		return notRun, res.failure
	}
	known := claimer.DeliveryState{SendResult: sentState(res)}
	if known.SendResult == claimer.Broken && res.runError == nil {
		known.Void = r.void(ctx, d.endpoint.Address, d.endpoint.Incarnation, d.runKey(cl))
	}
	if known.Void == claimer.VoidRunning || known.Void == claimer.VoidDone {
		resp, joinResult := r.join(ctx, d.endpoint.Address, d.endpoint.Incarnation, d.runKey(cl), sink.bytes) //nolint:bodyclose // copyServiceResponse closes it.
		if resp != nil {
			joinResult = r.copyServiceResponse(resp, cl, &d, sink)
		}
		if joinResult == nil {
			return ran, nil
		}
		if joinResult.runError != nil {
			known.SendResult = sentState(*joinResult)
		}
	}
	switch outcome := claimer.AfterError(known); outcome {
	case notRun:
		return notRun, nil
	case ran:
		return ran, failed(http.StatusBadGateway, ran, "call_failed", "the call ran but its answer was lost; read the state of the call before repeating it")
	default:
		status := http.StatusBadGateway
		if ctx.Err() != nil {
			status = http.StatusGatewayTimeout
		}
		return unknown, failed(status, unknown, "outcome_unknown",
			"it is not known whether the call ran; read its state, or ask the operators to settle it, before repeating it")
	}
}

func sentState(res result) claimer.SendResult {
	switch {
	case res.neverOpened:
		return claimer.NotConnected
	case res.runError == nil:
		return claimer.Broken
	case res.runError.Outcome == wire.RunErrorOutcomeNotRun:
		return claimer.Refused
	case res.runError.Outcome == wire.RunErrorOutcomeRan:
		return claimer.Failed
	default:
		return claimer.Broken
	}
}

// void asks a sidecar to guarantee that a request never starts there. If the first message is not answered, a second
// one is sent on a new connection.
func (r *Router) void(ctx context.Context, address, incarnation, key string) claimer.VoidAnswer {
	for range 2 {
		var reply wire.VoidReply
		// The result is needed even if the caller has disconnected, so that the claim records the actual outcome.
		attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
		err := r.config.Messenger.Call(attemptCtx, address, dispatcher.VoidPath, wire.VoidRequest{RequestID: key, Incarnation: incarnation}, &reply)
		cancel()
		if err != nil {
			continue
		}
		switch reply.State {
		case wire.VoidReplyStateNotStarted:
			return claimer.VoidNotStarted
		case wire.VoidReplyStateRunning:
			return claimer.VoidRunning
		case wire.VoidReplyStateDone:
			return claimer.VoidDone
		default:
			return claimer.VoidWrongIncarnation
		}
	}
	return claimer.VoidNoResponse
}
