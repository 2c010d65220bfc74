// Package placer chooses the endpoint for a request. It contains the production policy, ExpectedTime, and the baselines
// that it is compared with.
//
// The state is one entry's view of the endpoints, including what that entry has sent to each since its last load
// report. It is an immutable View value, which only that entry may replace. The package uses no store and thus works
// unchanged while the store is unavailable.
package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is an endpoint's state as known to the entry.
type State int

// States of an endpoint. Only live endpoints are chosen.
const (
	Starting State = iota + 1
	Live
	Suspect
	Leaving
)

// Descriptor holds an endpoint's identity, state, capacity and adapters.
type Descriptor struct {
	// VM is the endpoint's name.
	VM            string
	Address       string
	FailureDomain string
	// Exactly one of BaseModel (for a model engine) and Service (for a plain service) is set.
	BaseModel string
	Service   string
	// State defaults to the known state of the same incarnation, or to Starting.
	State State
	// Incarnation identifies one run of the sidecar. Compared as strings, incarnations are ordered by start time.
	Incarnation string
	// Slots is the number of adapters that the engine can hold at once.
	Slots int
	// MaxRunning is the maximum number of requests that run at once; at least 1.
	MaxRunning int
	// TokensPerSecond is the endpoint's throughput over all running requests; at least 1.
	TokensPerSecond float64
	// Resident and Loading are adapter names in the form ADAPTER@VERSION.
	Resident []string
	Loading  []string
}

// Load is a snapshot of an endpoint's load as reported by its sidecar.
type Load struct {
	QueuedRequests int
	QueuedTokens   int64
	Running        int
	// RunningTokens is the number of tokens that running requests have yet to generate.
	RunningTokens int64
	// Sequence increases with each report of one incarnation.
	Sequence int64
}

// Delta is a change to the set of an endpoint's resident adapters.
type Delta struct {
	// Sequence increases by 1 with each delta of one incarnation.
	Sequence       int64
	Added, Removed []string
}

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	// Adapter has the form ADAPTER@VERSION; it is empty for a plain service and for the base model itself.
	Adapter   string
	BaseModel string
	Service   string
	// Organisation is not used by the policies in this package.
	Organisation string
	PromptTokens int
	// AnswerTokens is the expected number of generated tokens.
	AnswerTokens int
	// PrefixHash identifies the shared prefix of the prompt, which is PrefixTokens long. It is empty if there is none.
	PrefixHash   string
	PrefixTokens int
	// Exclude lists the VMs of endpoints that have been tried already.
	Exclude []string
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// PermitWait is the entry's estimate of the waiting time for a load permit.
	PermitWait time.Duration
}

// tokens returns the request's cost in generated tokens. A prompt token counts as 1/DefaultPrefillRatio of one.
func (r Request) tokens() int64 { return int64(r.AnswerTokens + r.PromptTokens/DefaultPrefillRatio) }

// Endpoint is a copy of the view's record of one endpoint, for status pages.
type Endpoint struct {
	Descriptor
	Load Load
	// ReportedAt is the time of the last load report, or 0 if there has been none.
	ReportedAt time.Duration
	// Sent is the number of requests that this entry has sent since the last load report.
	Sent int
	// Open is the number of requests that this entry has sent and that have not completed.
	Open int
}

// prefixHistorySize is the number of prompt prefixes that are remembered per endpoint.
const prefixHistorySize = 16

// maxPendingLoads bounds the number of pending loads that an entry tracks per endpoint, and thereby the cost of a
// request. When it is exceeded, the oldest is forgotten; a request for that adapter then asks for another permit, which
// is returned unused.
const maxPendingLoads = 128

// endpoint is the view's record of one endpoint. It is immutable: an update replaces it.
type endpoint struct {
	Descriptor
	// key is the hash of VM, and weight the endpoint's weight in rendezvous hashing.
	key    uint64
	weight float64
	// resident and loading hold the hashes of Descriptor.Resident and Descriptor.Loading, in the same order.
	resident, loading []uint64
	// pending holds the loads that this entry has requested at the endpoint and that are not known to have ended.
	pending []pending
	load    Load
	// deltaSequence is the sequence number of the last delta, or -1 if there was none since the last descriptor.
	deltaSequence int64
	reportedAt    time.Duration
	// sent and done are the numbers of this entry's requests that were sent and that completed since the last load
	// report. open is the number of all its requests that have not completed. The fields below hold their tokens.
	sent, done, open                   int
	sentTokens, doneTokens, openTokens int64
	// recentPrefixes is a ring buffer of the prefixKeys of the requests that this entry sent last.
	recentPrefixes [prefixHistorySize]uint64
	nextPrefix     int
}

// pending is a load that this entry has requested.
type pending struct {
	key   uint64
	since time.Duration
}

// View is one entry's view of the endpoints. It is immutable: each With method returns a new value that shares most of
// its data with the old one. Recording a request copies one endpoint's record, the slice of pointers to records and one
// path of the demand trie, so its cost does not depend on the resident sets of other endpoints.
//
// The zero value is an empty view.
type View struct {
	// endpoints is sorted by VM.
	endpoints []*endpoint
	// pools maps a base model or service to the indices of its endpoints. It is rebuilt only if the membership changes.
	pools map[pool][]int32
	// demand is the decayed demand for each adapter as seen by this entry.
	demand demand
	// entries is the number of entries that share the demand; 0 counts as 1.
	entries int
	// evacuated is the set of failure domains whose endpoints are not chosen. The map is never modified.
	evacuated map[string]bool
}

// pool identifies a group of endpoints that can run the same requests.
type pool struct{ baseModel, service string }

// hashName returns the key of an adapter or VM. The probability of a collision among 53,000 adapters is 1 in 10^10, and
// a collision would only give the view a wrong residency, which the sidecar's answer corrects.
func hashName(s string) uint64 { return xxhash.Sum64String(s) }

// WithDescriptor adds an endpoint or replaces its descriptor. A newer incarnation starts with no load, no open requests
// and only the descriptor's resident adapters. A descriptor of an older incarnation is ignored.
func (v View) WithDescriptor(d Descriptor) View {
	at, known := v.find(d.VM)
	next := endpoint{key: hashName(d.VM)}
	if known {
		old := v.endpoints[at]
		switch {
		case d.Incarnation < old.Incarnation:
			return v
		case d.Incarnation == old.Incarnation:
			next = *old
			d.State = cmp.Or(d.State, old.State)
		}
	}
	d.State = cmp.Or(d.State, Starting)
	d.MaxRunning = max(d.MaxRunning, 1)
	d.TokensPerSecond = max(d.TokensPerSecond, 1)
	d.Resident, d.Loading = slices.Clone(d.Resident), slices.Clone(d.Loading)
	next.Descriptor = d
	next.weight = float64(max(d.Slots, 1))
	next.resident, next.loading = hashNames(d.Resident), hashNames(d.Loading)
	next.pending = slices.DeleteFunc(slices.Clone(next.pending), func(a pending) bool { return slices.Contains(next.resident, a.key) })
	next.deltaSequence = -1
	if known {
		poolChanged := v.endpoints[at].BaseModel != d.BaseModel || v.endpoints[at].Service != d.Service
		v = v.withRecord(at, &next)
		if poolChanged {
			v = v.withPoolsRebuilt()
		}
		return v
	}
	v.endpoints = slices.Insert(slices.Clone(v.endpoints), at, &next)
	return v.withPoolsRebuilt()
}

// WithLoad records a load report received at time now. A report of another incarnation, or one whose sequence number is
// not higher than the last, is ignored.
func (v View) WithLoad(vm, incarnation string, load Load, now time.Duration) View {
	return v.update(vm, func(e *endpoint) bool {
		if e.Incarnation != incarnation || e.reportedAt > 0 && load.Sequence <= e.load.Sequence {
			return false
		}
		e.load, e.reportedAt = load, max(now, 1)
		e.sent, e.done, e.sentTokens, e.doneTokens = 0, 0, 0, 0
		return true
	})
}

// WithResidency applies a delta to the resident adapters. An older delta or one of another incarnation is ignored. gap
// is true if a delta is missing; the caller should then request the descriptor.
func (v View) WithResidency(vm, incarnation string, d Delta) (next View, gap bool) {
	next = v.update(vm, func(e *endpoint) bool {
		if e.Incarnation != incarnation || e.deltaSequence >= 0 && d.Sequence <= e.deltaSequence {
			return false
		}
		gap = e.deltaSequence >= 0 && d.Sequence != e.deltaSequence+1
		e.deltaSequence = d.Sequence
		for _, name := range d.Removed {
			e.markAbsent(name)
		}
		for _, name := range d.Added {
			e.markResident(name)
		}
		return true
	})
	return next, gap
}

// WithResident corrects the view's residency of one adapter from the sidecar's answer: false if the sidecar asked for a
// load permit, true if it ran a request with the adapter.
func (v View) WithResident(vm, adapter string, resident bool) View {
	return v.update(vm, func(e *endpoint) bool {
		if resident {
			e.markResident(adapter)
		} else {
			e.markAbsent(adapter)
		}
		return true
	})
}

// WithSent records that this entry sent the request to the endpoint at time now.
func (v View) WithSent(vm string, r Request, now time.Duration) View {
	key := hashName(r.Adapter)
	v = v.update(vm, func(e *endpoint) bool {
		e.sent++
		e.open++
		e.sentTokens += r.tokens()
		e.openTokens += r.tokens()
		if r.Adapter != "" && !slices.Contains(e.resident, key) && !slices.Contains(e.loading, key) && !e.isPending(key) {
			old := e.pending[max(0, len(e.pending)-maxPendingLoads+1):]
			e.pending = append(slices.Clone(old), pending{key: key, since: now})
		}
		if r.PrefixHash != "" && !e.hasPrefix(r) {
			e.recentPrefixes[e.nextPrefix%prefixHistorySize] = prefixKey(r)
			e.nextPrefix++
		}
		return true
	})
	if r.Adapter != "" {
		v.demand = v.demand.add(key, float64(r.tokens()), now)
	}
	return v
}

// WithCompleted records that the request has completed at the endpoint. If ran is true, its adapter is resident there;
// otherwise a pending load of the adapter is dropped from the view.
func (v View) WithCompleted(vm string, r Request, ran bool) View {
	return v.update(vm, func(e *endpoint) bool {
		if e.open == 0 {
			return false // The request was sent to an earlier incarnation.
		}
		e.open--
		e.done++
		e.openTokens = max(0, e.openTokens-r.tokens())
		e.doneTokens += r.tokens()
		if key := hashName(r.Adapter); r.Adapter != "" && e.isPending(key) {
			if ran {
				e.markResident(r.Adapter)
			}
			e.pending = slices.DeleteFunc(slices.Clone(e.pending), func(a pending) bool { return a.key == key })
		}
		return true
	})
}

// WithState sets the endpoint's state. A state of another incarnation is ignored.
func (v View) WithState(vm, incarnation string, state State) View {
	return v.update(vm, func(e *endpoint) bool {
		if e.Incarnation != incarnation || e.State == state {
			return false
		}
		e.State = state
		return true
	})
}

// WithEntries sets the number of live entries, n. Each entry sees about 1/n of an adapter's demand.
func (v View) WithEntries(n int) View {
	v.entries = n
	return v
}

// WithEvacuated sets the failure domains whose endpoints are not chosen. The map must not be modified afterwards.
func (v View) WithEvacuated(domains map[string]bool) View {
	v.evacuated = domains
	return v
}

// IsEvacuated reports whether endpoints in the failure domain are not chosen.
func (v View) IsEvacuated(domain string) bool { return v.evacuated[domain] }

// Without removes the endpoint.
func (v View) Without(vm string) View {
	at, known := v.find(vm)
	if !known {
		return v
	}
	v.endpoints = slices.Delete(slices.Clone(v.endpoints), at, at+1)
	return v.withPoolsRebuilt()
}

// Endpoint returns a copy of one endpoint's record, or false if the endpoint is unknown.
func (v View) Endpoint(vm string) (Endpoint, bool) {
	at, known := v.find(vm)
	if !known {
		return Endpoint{}, false
	}
	return v.endpoints[at].snapshot(), true
}

// Endpoints returns copies of the records of all endpoints, sorted by VM.
func (v View) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		all = append(all, e.snapshot())
	}
	return all
}

// Len returns the number of endpoints.
func (v View) Len() int { return len(v.endpoints) }

// Demand returns the estimated demand for the adapter over all entries, in tokens per second.
func (v View) Demand(adapter string, now time.Duration) float64 {
	return v.demand.rate(hashName(adapter), now) * float64(max(v.entries, 1))
}

func (e *endpoint) snapshot() Endpoint {
	p := Endpoint{Descriptor: e.Descriptor, Load: e.load, ReportedAt: e.reportedAt, Sent: e.sent, Open: e.open}
	p.Resident, p.Loading = slices.Clone(p.Resident), slices.Clone(p.Loading)
	return p
}

func (e *endpoint) isPending(key uint64) bool {
	return slices.ContainsFunc(e.pending, func(a pending) bool { return a.key == key })
}

// markResident records that the adapter is resident and no longer loading.
func (e *endpoint) markResident(name string) {
	key := hashName(name)
	e.pending = slices.DeleteFunc(slices.Clone(e.pending), func(a pending) bool { return a.key == key })
	e.Loading, e.loading = without(e.Loading, name), without(e.loading, key)
	if !slices.Contains(e.resident, key) {
		e.Resident, e.resident = append(slices.Clone(e.Resident), name), append(slices.Clone(e.resident), key)
	}
}

// markAbsent records that the adapter is neither resident nor loading.
func (e *endpoint) markAbsent(name string) {
	key := hashName(name)
	e.pending = slices.DeleteFunc(slices.Clone(e.pending), func(a pending) bool { return a.key == key })
	e.Loading, e.loading = without(e.Loading, name), without(e.loading, key)
	e.Resident, e.resident = without(e.Resident, name), without(e.resident, key)
}

func prefixKey(r Request) uint64 { return Mix64(hashName(r.PrefixHash) ^ Mix64(hashName(r.Adapter))) }

// hasPrefix reports whether this entry has recently sent a request with the same adapter and prefix. Requests with
// different adapters cannot share a cached prefix, because the KV cache depends on the adapter.
func (e *endpoint) hasPrefix(r Request) bool {
	return slices.Contains(e.recentPrefixes[:], prefixKey(r))
}

// occupancy estimates the requests and tokens at the endpoint: the last report plus what this entry has sent since,
// minus what has completed since, but no less than what this entry has open there.
func (e *endpoint) occupancy() (requests int, tokens int64) {
	requests = max(e.load.QueuedRequests+e.load.Running+e.sent-e.done, e.open)
	tokens = max(e.load.QueuedTokens+e.load.RunningTokens+e.sentTokens-e.doneTokens, e.openTokens)
	return requests, tokens
}

func (v View) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(v.endpoints, vm, func(e *endpoint, vm string) int { return cmp.Compare(e.VM, vm) })
}

// update replaces the endpoint's record with a copy modified by f. The view is unchanged if the endpoint is unknown or
// f returns false.
func (v View) update(vm string, f func(*endpoint) bool) View {
	at, known := v.find(vm)
	if !known {
		return v
	}
	next := *v.endpoints[at]
	if !f(&next) {
		return v
	}
	return v.withRecord(at, &next)
}

// withRecord returns the view with the record at index at replaced.
func (v View) withRecord(at int, e *endpoint) View {
	v.endpoints = slices.Clone(v.endpoints)
	v.endpoints[at] = e
	return v
}

// withPoolsRebuilt returns the view with pools rebuilt from endpoints.
func (v View) withPoolsRebuilt() View {
	v.pools = make(map[pool][]int32)
	for i, e := range v.endpoints {
		p := pool{baseModel: e.BaseModel, service: e.Service}
		v.pools[p] = append(v.pools[p], int32(i))
	}
	return v
}

func hashNames(names []string) []uint64 {
	keys := make([]uint64, len(names))
	for i, n := range names {
		keys[i] = hashName(n)
	}
	return keys
}

// without returns values without value. It does not modify the slice.
func without[T comparable](values []T, value T) []T {
	if !slices.Contains(values, value) {
		return values
	}
	return slices.DeleteFunc(slices.Clone(values), func(v T) bool { return v == value })
}
