// Package forwarder is the data path of an entry that reaches endpoints directly: it authenticates and admits a request,
// selects an endpoint, sends the request unchanged apart from its headers, and forwards the response. It owns the open
// requests of one entry and that entry's view of the endpoints' load. While the platform's store is unavailable, it
// continues with the last known configuration and endpoints.
package forwarder

import (
	"net/http"
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/pkg/attester"
)

// PromptPart is a segment of a prompt. Requests whose prompts start with the same segments can share cached prefixes.
type PromptPart struct {
	ID     string
	Tokens float64
}

// Call is the information that the headers of a caller's request carry.
type Call struct {
	ID  string
	Key string
	// CallerTimeout is the caller's timeout; 0 if the request has none.
	CallerTimeout time.Duration
	// Model is empty for a service without a model engine.
	Model registrar.AdapterKey
	// PromptTokens and AnswerTokens are 0 if HasTokens is false.
	PromptTokens, AnswerTokens float64
	HasTokens                  bool
	// Parts are the segments of the prompt in order.
	Parts []PromptPart
	// prefixHashes holds a hash of each prefix of Parts. The Forwarder computes it once.
	prefixHashes []uint64
	// sharedParts holds the IDs of the Parts that other requests may have too: all but the last. The Forwarder sets it.
	sharedParts []string
	// LastEvent is the ID of the last event that the caller received of an interrupted stream; empty for a new stream.
	LastEvent string
}

// partIDs returns the IDs of the segments of the prompt for the log.
func (c *Call) partIDs() []string {
	ids := make([]string, len(c.Parts))
	for i, p := range c.Parts {
		ids[i] = p.ID
	}
	return ids
}

// Dispatch is the information that one attempt adds to the headers of the caller's request.
type Dispatch struct {
	EndpointID   string
	Remaining    time.Duration
	Organisation string
	// Priority is 0 for the most urgent requests. If it is nil, the endpoint decides.
	Priority *int
	// AdapterVersion is the minimum adapter version that may serve the request; 0 allows any.
	AdapterVersion int64
	// LastEvent is the ID of the last event that the caller received.
	LastEvent string
}

// ResponseInfo is the information that the header of an endpoint's response carries.
type ResponseInfo struct {
	// RequestID identifies the request that the response belongs to; empty if the response doesn't name it.
	RequestID string
	// IsNotRun means that the endpoint guarantees not to have run the request.
	IsNotRun bool
	// IsMisdirected means that another endpoint has the address, or that the endpoint lacks the adapter or its version.
	IsMisdirected bool
	// IsUnsigned means that the response lacks the signature that endpoints give every answer of theirs.
	IsUnsigned bool
	// EndpointID identifies the endpoint that responded; empty if the response doesn't name it.
	EndpointID string
	// RequestLimit is the number of requests a second that the endpoint takes from all entries together, if HasLimit is
	// set.
	RequestLimit float64
	HasLimit     bool
	// Report is what the endpoint says of itself.
	attester.Report
}

// Translator decodes and encodes the headers that callers and endpoints use.
type Translator interface {
	DecodeCall(h http.Header) Call
	// EndpointHeader returns the header for the endpoint. It does not modify the caller's header.
	EndpointHeader(caller http.Header, d Dispatch) http.Header
	DecodeResponse(r *http.Response) ResponseInfo
	// RequestIDHeader returns the name of the header that carries the request ID in refusals.
	RequestIDHeader() string
}
