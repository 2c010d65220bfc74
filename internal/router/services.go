package router

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// forwardService runs a call to a plain service.
func (r *Router) forwardService(ctx context.Context, req *http.Request, cl *call, sink *serviceSink) *callError {
	if failure := r.refuseBlocked(cl); failure != nil {
		return failure
	}
	if cl.repeatable {
		return r.runRepeatable(ctx, cl, sink)
	}
	key := req.Header.Get("Idempotency-Key")
	if key == "" {
		return r.runOnce(ctx, cl, sink, nil)
	}
	return r.runClaimed(ctx, cl, key, sink)
}

// runRepeatable runs a repeatable call and retries it on another endpoint if one fails before the response has started.
func (r *Router) runRepeatable(ctx context.Context, cl *call, sink *serviceSink) *callError {
	var h history
	for attempt := 1; ; attempt++ {
		endpoint, decision, failure := r.chooseEndpoint(ctx, cl, &h)
		if failure != nil {
			return failure
		}
		d := dispatch{endpoint: endpoint, decision: decision, attempt: attempt}
		resp, res := r.send(ctx, cl, &d, cl.body) //nolint:bodyclose // copyServiceResponse closes it.
		if resp != nil {
			res = r.copyServiceResponse(resp, cl, &d, sink)
		}
		if res != nil && sink.started && res.runError == nil {
			resp, res = r.join(ctx, d.endpoint.Address, d.endpoint.Incarnation, d.runKey(cl), sink.bytes) //nolint:bodyclose // As above.
			if resp != nil {
				res = r.copyServiceResponse(resp, cl, &d, sink)
			}
		}
		r.recordCompletion(cl, d, res == nil)
		if res == nil {
			r.config.Isolator.RecordAnswer(cl.digest)
			return nil
		}
		r.recordEnd(cl, d, *res)
		if sink.started {
			return failed(http.StatusBadGateway, ran, "answer_broken", "the service's answer broke off; send the request again")
		}
		h.recordResult(*res, false)
		if failure := r.retryOrFail(ctx, cl, &h, d, *res); failure != nil {
			return h.withOutcome(failure)
		}
		if failure := r.refuseBlocked(cl); failure != nil {
			return h.withOutcome(failure)
		}
	}
}

// copyServiceResponse forwards a service's response to the caller. It returns nil if the response was complete.
func (r *Router) copyServiceResponse(resp *http.Response, cl *call, d *dispatch, sink *serviceSink) *result {
	defer func() { _ = resp.Body.Close() }()
	sink.begin(resp.StatusCode, resp.Header, cl.id)
	buffer := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			sink.write(buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			return r.readTrailers(resp, nil, cl, d, true)
		}
		if err != nil {
			return r.readTrailers(resp, err, cl, d, false)
		}
	}
}
