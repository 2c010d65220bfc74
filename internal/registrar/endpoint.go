package registrar

import (
	"strings"
	"time"
)

// Endpoint is one run of a model engine or plain service, as it registered itself.
type Endpoint struct {
	// ID identifies this run. A later run may reuse the ID, with a later Born.
	ID      string
	Service string
	// Address is HOST:PORT.
	Address string
	// Domain is the failure domain.
	Domain string
	// IsLeaving endpoints receive no new requests.
	IsLeaving bool
	// ColdRemaining is how long the endpoint, when it registered this, was still cold: slow and able to take few requests.
	ColdRemaining time.Duration
	// Slots is the number of requests that the endpoint processes concurrently; 0 when it is not reported.
	Slots int
	// Born is the start of the run in Unix milliseconds; 0 when it is not reported.
	Born   int64
	Models []HeldModel
}

// HeldModel is a model that an engine has loaded.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []HeldAdapter
}

// HeldAdapter is an adapter version that an engine has loaded.
type HeldAdapter struct {
	Name    string
	Version int64
}

// AdapterKey identifies an adapter of a model, or the model itself when Adapter is empty.
type AdapterKey struct {
	Model   string
	Adapter string
}

// ParseModel parses the model name of a request, which is MODEL or MODEL/ADAPTER.
func ParseModel(text string) AdapterKey {
	model, adapter, _ := strings.Cut(text, "/")
	return AdapterKey{Model: model, Adapter: adapter}
}

// String returns the key in the form that ParseModel parses.
func (k AdapterKey) String() string {
	if k.Adapter == "" {
		return k.Model
	}
	return k.Model + "/" + k.Adapter
}

// DeclaredAdapterVersion is the version that operators have declared for an adapter, or for a model's weights when the
// key has no adapter.
type DeclaredAdapterVersion struct {
	Key     AdapterKey
	Version int64
}
