package forwarder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Refusal is an answer of the entry's own.
type Refusal struct {
	Status int
	// Reason is a fixed word for logs and metrics.
	Reason  string
	Message string
	// RetryAfter is when the caller may come back; 0 gives no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// IsNotRun says whether the status promises that the request has not run and never will.
func (r *Refusal) IsNotRun() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// The refusals.
func refuseStarting() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: "starting", RetryAfter: 300 * time.Millisecond,
		Message: "this entry has no configuration yet; try again",
	}
}

func refuseRoute(host, path string) *Refusal {
	return &Refusal{
		Status: http.StatusNotFound, Reason: "no-route",
		Message: fmt.Sprintf("no route matches host %q and path %q; check both", host, path),
	}
}

func refuseKey() *Refusal {
	return &Refusal{
		Status: http.StatusUnauthorized, Reason: "unknown-key",
		Message: "the key is unknown or was withdrawn; ask the operators for a new one",
	}
}

func refuseBody(most int64) *Refusal {
	return &Refusal{
		Status: http.StatusRequestEntityTooLarge, Reason: "body-too-large",
		Message: fmt.Sprintf("the body is larger than %d bytes; send less", most),
	}
}

// longestReturn bounds the advice to come back; after a minute the limit may be another one.
const longestReturn = time.Minute

func refuseLimit(after time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusTooManyRequests, Reason: "limit", RetryAfter: min(after, longestReturn),
		Message: "the organisation is over its limit; try again later",
	}
}

func refuseFull(reason string, after time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: after,
		Message: "no endpoint can serve the request now; it has not run, try again later",
	}
}

func failGateway(reason string) *Refusal {
	return &Refusal{
		Status: http.StatusBadGateway, Reason: reason,
		Message: "the endpoint failed; the request may have run",
	}
}

func failTimeout() *Refusal {
	return &Refusal{
		Status: http.StatusGatewayTimeout, Reason: "timeout",
		Message: "the request's time is over; it may have run",
	}
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Reason    string
	Message   string
	RequestID string `json:"RequestId"`
	// IsNotRun says that the request has not run and never will.
	IsNotRun bool
}

func (r *Refusal) write(w http.ResponseWriter, idHeader, requestID string) {
	body, err := json.Marshal(refusalBody{Reason: r.Reason, Message: r.Message, RequestID: requestID, IsNotRun: r.IsNotRun()})
	if err != nil {
		// The body has only texts; an empty one still tells the status.
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if requestID != "" {
		h.Set(idHeader, requestID)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
