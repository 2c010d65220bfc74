// Package forwarder is the data path of an entry towards endpoints that it reaches directly: it authenticates, admits,
// chooses an endpoint, sends the request as the caller wrote it, and passes the answer on. It owns the open requests of
// one entry and that entry's view of the endpoints' load. While the platform's store is away it goes on with what it
// last knew.
package forwarder

import (
	"net/http"
	"time"

	"geraniumladder/internal/registrar"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens float64
}

// Call is what a caller's request says about itself.
type Call struct {
	ID  string
	Key string
	// Patience is how long the caller waits; 0 when it doesn't say.
	Patience time.Duration
	// Model is empty for a plain service.
	Model registrar.AdapterKey
	// PromptTokens and AnswerTokens are 0 without HasTokens.
	PromptTokens, AnswerTokens float64
	HasTokens                  bool
	// Parts are the prompt's parts in their order.
	Parts []Part
	// chains has a hash for each leading run of Parts; a Forwarder fills it in once.
	chains []uint64
	// LastEvent is the last event that the caller has of a broken stream; empty for a new one.
	LastEvent string
}

// Dispatch is what one attempt adds to the caller's request.
type Dispatch struct {
	EndpointID   string
	Remaining    time.Duration
	Organisation string
	// Priority is 0 for the most urgent; nil leaves it to the endpoint.
	Priority *int
	// AdapterVersion is the least version that may answer; 0 for any.
	AdapterVersion int64
	// LastEvent is the last event that the caller has.
	LastEvent string
}

// Answer is what the head of an endpoint's answer says about itself.
type Answer struct {
	// RequestID is that of the request which the answer belongs to; empty when the answer doesn't say.
	RequestID string
	// IsNotRun answers promise that the endpoint did not run the request.
	IsNotRun bool
	// IsMisdirected means that another endpoint has the address, or that it lacks the adapter or its version.
	IsMisdirected bool
	// EndpointID is that of the endpoint that answers; empty when the answer doesn't say.
	EndpointID string
}

// Translator reads and writes the headers of callers and endpoints.
type Translator interface {
	DecodeCall(h http.Header) Call
	// EndpointHeader returns the header for the endpoint; the caller's is not changed.
	EndpointHeader(caller http.Header, d Dispatch) http.Header
	DecodeAnswer(r *http.Response) Answer
	// RequestIDHeader names the header by which refusals name their request.
	RequestIDHeader() string
}
