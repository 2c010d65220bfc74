package registrar

import "strings"

// Endpoint is one run of a model engine or plain service, as it registered itself.
type Endpoint struct {
	// ID names this run. A run may come back under an earlier ID with a later Born.
	ID      string
	Service string
	// Address is HOST:PORT.
	Address string
	Domain  string
	// IsLeaving endpoints get no new requests.
	IsLeaving bool
	// IsCold endpoints are slow for a while after their start.
	IsCold bool
	// Slots is the number of requests that run at once; 0 when the endpoint doesn't say.
	Slots int
	// Born is the start of the run in Unix milliseconds; 0 when the endpoint doesn't say.
	Born   int64
	Models []HeldModel
}

// HeldModel is a model that an engine holds.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []HeldAdapter
}

// HeldAdapter is an adapter version that an engine holds.
type HeldAdapter struct {
	Name    string
	Version int64
}

// AdapterKey names an adapter of a model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// ParseModel splits what a request names: a model, or an adapter of a model after a slash.
func ParseModel(text string) AdapterKey {
	model, adapter, _ := strings.Cut(text, "/")
	return AdapterKey{Model: model, Adapter: adapter}
}

// String joins the parts as requests name them.
func (k AdapterKey) String() string {
	if k.Adapter == "" {
		return k.Model
	}
	return k.Model + "/" + k.Adapter
}

// Declared is a declared version of an adapter, or of a model's weights when the key names no adapter.
type Declared struct {
	Key     AdapterKey
	Version int64
}
