package router

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"geraniumladder/internal/messenger"
	"geraniumladder/pkg/claimer"
)

// OutcomeHeader is the header that states whether a rejected or failed request ran.
const OutcomeHeader = "Geraniumladder-Outcome"

// callError is a rejection or failure as returned to the caller.
type callError struct {
	status  int
	outcome claimer.Outcome
	// kind is the error type of the OpenAI API, and code a short identifier.
	kind, code string
	// message describes the error and the remedy.
	message string
	// retryAfter is set if a later retry may succeed.
	retryAfter time.Duration
	// reason is the label in the metrics; code if empty.
	reason string
}

func (e *callError) Error() string { return e.message }

const (
	kindInvalid     = "invalid_request_error"
	kindKey         = "authentication_error"
	kindPermission  = "permission_error"
	kindRate        = "rate_limit_error"
	kindUnavailable = "service_unavailable_error"
	kindServer      = "server_error"
)

func invalid(status int, code, format string, args ...any) *callError {
	return &callError{status: status, outcome: claimer.NotRun, kind: kindInvalid, code: code, message: fmt.Sprintf(format, args...)}
}

// unavailable returns a rejection with a temporary cause.
func unavailable(code, message string) *callError {
	return &callError{
		status: http.StatusServiceUnavailable, outcome: claimer.NotRun, kind: kindUnavailable, code: code,
		message: message, retryAfter: time.Second,
	}
}

// failed returns a failure that occurred while the request was being forwarded.
func failed(status int, outcome claimer.Outcome, code, message string) *callError {
	return &callError{status: status, outcome: outcome, kind: kindServer, code: code, message: message}
}

var errKeyWithdrawn = &callError{
	status: http.StatusUnauthorized, outcome: claimer.Ran, kind: kindKey, code: "key_withdrawn",
	message: "the key was withdrawn while the request ran; ask the operators for a new key",
}

// errKeyWithdrawnBeforeRun applies to a call that has not started when its key is withdrawn.
var errKeyWithdrawnBeforeRun = &callError{
	status: http.StatusUnauthorized, outcome: claimer.NotRun, kind: kindKey, code: "key_withdrawn",
	message: "the key was withdrawn before the call started; ask the operators for a new key",
}

// errorBody is the error format of the OpenAI API, extended by the outcome and the request ID.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Param     *string `json:"param"`
	Code      string  `json:"code"`
	Outcome   string  `json:"outcome"`
	RequestID string  `json:"request_id"`
}

func (e *callError) body(requestID string) []byte {
	// Encoding cannot fail: the struct holds only strings.
	text, _ := json.Marshal(errorBody{errorDetail{
		Message: e.message, Type: e.kind, Code: e.code, Outcome: string(e.outcome), RequestID: requestID,
	}})
	return text
}

// write sends the error as the response.
func (e *callError) write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(messenger.RequestIDHeader, requestID)
	header.Set(OutcomeHeader, string(e.outcome))
	if e.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	if e.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(e.status)
	_, _ = w.Write(e.body(requestID))
}
