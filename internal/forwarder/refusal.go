package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Refusal is an error response that the entry itself generates.
type Refusal struct {
	Status int
	// Reason is a fixed identifier for logs and metrics.
	Reason  string
	Message string
	// RetryAfter is the value of the Retry-After header; 0 omits the header.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// IsNotRun reports whether the status guarantees that the request has not run and will not run.
func (r *Refusal) IsNotRun() bool { return guaranteesNotRun(r.Status) }

// guaranteesNotRun reports whether callers take the status for a guarantee that the request has not run and will not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func refuseStarting() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: "starting", RetryAfter: 300 * time.Millisecond,
		Message: "this entry has no configuration yet; try again",
	}
}

// stoppingRetryAfter is short, because other entries can take the request at once.
const stoppingRetryAfter = 10 * time.Millisecond

func refuseStopping() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: "stopping", RetryAfter: stoppingRetryAfter,
		Message: "this entry is stopping and the request may last longer; it has not run, send it again on a new connection",
	}
}

func refuseNoRoute(host, path string) *Refusal {
	return &Refusal{
		Status: http.StatusNotFound, Reason: "no-route",
		Message: fmt.Sprintf("no route matches host %q and path %q; check both", host, path),
	}
}

func refuseUnauthorized() *Refusal {
	return &Refusal{
		Status: http.StatusUnauthorized, Reason: "unknown-key",
		Message: "the key is unknown or was withdrawn; ask the operators for a new one",
	}
}

func refuseBody(maxBytes int64) *Refusal {
	return &Refusal{
		Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large",
		Message: fmt.Sprintf("the body is larger than %d bytes; send less", maxBytes),
	}
}

// reasonCallerLeft ends a request whose caller has closed its connection. No response is written.
const reasonCallerLeft = "caller-left"

// reasonBlockedPart ends a request with a part of the prompt that ends endpoints.
const reasonBlockedPart = "blocked-part"

// reasonBlockedRequest ends a request that ends endpoints.
const reasonBlockedRequest = "blocked-request"

// maxRetryAfter bounds Retry-After, because the limit itself may have changed after a minute.
const maxRetryAfter = time.Minute

func refuseLimit(retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusTooManyRequests, Reason: "limit", RetryAfter: min(retryAfter, maxRetryAfter),
		Message: "the organisation is over its limit; try again later",
	}
}

func refuseUnavailable(reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter,
		Message: "no endpoint can serve the request now; it has not run, try again later",
	}
}

// homesRetryAfter is the Retry-After value when no endpoint in the home regions can serve. Another region may not help out,
// so it takes as long as it takes to restore one there.
const homesRetryAfter = time.Second

func refuseHomes() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: "home-regions", RetryAfter: homesRetryAfter,
		Message: "no endpoint in the home regions of the route and the organisation can serve the request now, and others must not; it has not run",
	}
}

func refusePart(retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reasonBlockedPart, RetryAfter: retryAfter,
		Message: "a part of the prompt has ended several endpoints and is blocked; the request has not run, try again later or without that part",
	}
}

func refuseRequest(retryAfter time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reasonBlockedRequest, RetryAfter: retryAfter,
		Message: "earlier sends of this request have ended several endpoints and it is blocked; it has not run, try again later or with another content",
	}
}

func badGateway(reason string) *Refusal {
	return &Refusal{
		Status: http.StatusBadGateway, Reason: reason,
		Message: "the endpoint failed; the request may have run",
	}
}

// refuseUnprovenRejection replaces an endpoint's rejection that doesn't state that the request has not run. Forwarded as it
// is, its status would guarantee that.
func refuseUnprovenRejection() *Refusal {
	return &Refusal{
		Status: http.StatusBadGateway, Reason: "unproven-rejection",
		Message: "the endpoint rejected the request without stating that it has not run; it may have run",
	}
}

func gatewayTimeout() *Refusal {
	return &Refusal{
		Status: http.StatusGatewayTimeout, Reason: "timeout",
		Message: "the request's time is over; it may have run",
	}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason    string
	Message   string
	RequestID string `json:"RequestId"`
	// IsNotRun guarantees that the request has not run and will not run.
	IsNotRun bool
}

func (r *Refusal) write(w http.ResponseWriter, idHeader, requestID string) {
	body, err := json.Marshal(refusalBody{Reason: r.Reason, Message: r.Message, RequestID: requestID, IsNotRun: r.IsNotRun()})
	if err != nil {
		// Unreachable, because the fields are strings and a bool. An empty body still conveys the status.
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if requestID != "" {
		h.Set(idHeader, requestID)
	}
	r.writeRetryAfter(h)
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

func (r *Refusal) writeRetryAfter(h http.Header) {
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
}
