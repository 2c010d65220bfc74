// Package selector chooses the endpoint for a request by comparing cost estimates that are based on one entry's view of
// the endpoints. It keeps no state and uses no store.
package selector

import (
	"math/rand/v2"
	"time"
)

// Residency states whether an engine holds the adapter that a request needs.
type Residency int

const (
	// Absent adapters must be loaded first.
	Absent Residency = iota
	// Loading adapters are being loaded.
	Loading
	// Resident adapters need no load. Requests without an adapter count as resident.
	Resident
)

// String returns the name of the residency for logs.
func (r Residency) String() string {
	switch r {
	case Absent:
		return "absent"
	case Loading:
		return "loading"
	case Resident:
		return "resident"
	}
	return "unknown"
}

// Candidate is an entry's view of one endpoint.
type Candidate struct {
	ID string
	// IsSameDomain endpoints are in the entry's failure domain.
	IsSameDomain bool
	// Batch is the maximum number of requests that run concurrently; at least 1.
	Batch int
	// Busy is the number of running and queued requests, including those that this entry has sent since the last report.
	Busy int
	// UnreadTokens is the number of prompt tokens sent to the engine for which prefill is pending.
	UnreadTokens float64
	// CachedPrefixTokens is the length of this request's prompt prefix that is assumed to be in the engine's prefix
	// cache.
	CachedPrefixTokens float64
	// FreeTokens is the KV cache capacity that is not held by running requests.
	FreeTokens float64
	Residency  Residency
	// IsWarm means that the engine held the adapter recently, so that it loads fast.
	IsWarm bool
	// HasFreeSlot means that an adapter slot is available without waiting for another adapter to become idle.
	HasFreeSlot bool
	// QueuedLoads is the number of adapters queued for loading.
	QueuedLoads int
	// TransferWait is the expected wait until a load that is not warm may start, because of other loads in the fleet.
	TransferWait time.Duration
	// HomeRank is the endpoint's rank for the adapter by rendezvous hashing, starting at 0.
	HomeRank int
	// FailureRate is the fraction of recent requests that failed, from 0 to 1.
	FailureRate float64
	// IsSuspect endpoints have just failed in a way that makes another failure likely.
	IsSuspect bool
	// IsCold means that the endpoint has started recently and is still slow. It is unrelated to IsWarm.
	IsCold bool
	// LacksModel engines do not hold the request's base model.
	LacksModel bool
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	PromptTokens float64
	// RequiredTokens is the KV cache capacity required for prompt and answer.
	RequiredTokens float64
}

// Config holds the parameters of the cost estimate. Zero fields take their defaults in WithDefaults. Fields named Time
// are estimates of delays; fields named Penalty only affect the comparison of endpoints.
type Config struct {
	// PrefillTokensPerMs is the prefill throughput of an engine.
	PrefillTokensPerMs float64
	// StepTimePerRequest is the delay caused by each request in the batch.
	StepTimePerRequest time.Duration
	// LoadTime is the duration of an adapter load.
	LoadTime time.Duration
	// WarmLoadTime is the duration of an adapter load at an engine that held the adapter recently.
	WarmLoadTime time.Duration
	// LoadPenalty is added for a load that is not warm, because a second copy of an adapter takes the place of another
	// adapter.
	LoadPenalty time.Duration
	// ModelLoadTime is the duration of a base model load.
	ModelLoadTime time.Duration
	// SlotWaitTime is the wait for an adapter slot at an engine whose adapters are all in use.
	SlotWaitTime time.Duration
	// QueueTimePerRequest is the wait for each request in the queue of an endpoint with a full batch. One to five times
	// this value is added if the KV cache lacks capacity for the request.
	QueueTimePerRequest time.Duration
	// CrossDomainTime is the added latency of an endpoint in another failure domain.
	CrossDomainTime time.Duration
	// HomeRankPenalty is multiplied by HomeRank and added for a load that is not warm.
	HomeRankPenalty time.Duration
	// FailurePenalty is multiplied by FailureRate and added.
	FailurePenalty time.Duration
	// SuspectPenalty is added for a suspect endpoint, which is chosen only if all others cost even more.
	SuspectPenalty time.Duration
	// ColdStartTime is the delay at an endpoint that is still cold.
	ColdStartTime time.Duration
	// CostTolerance is the maximum difference between costs that count as equal.
	CostTolerance time.Duration
}

// Defaults of Config.
const (
	DefaultPrefillTokensPerMs  = 32
	DefaultStepTimePerRequest  = 2 * time.Millisecond
	DefaultLoadTime            = 260 * time.Millisecond
	DefaultWarmLoadTime        = 50 * time.Millisecond
	DefaultLoadPenalty         = 500 * time.Millisecond
	DefaultModelLoadTime       = 2500 * time.Millisecond
	DefaultSlotWaitTime        = 1500 * time.Millisecond
	DefaultQueueTimePerRequest = 60 * time.Millisecond
	DefaultCrossDomainTime     = 3 * time.Millisecond
	DefaultHomeRankPenalty     = 15 * time.Millisecond
	DefaultFailurePenalty      = 600 * time.Millisecond
	DefaultSuspectPenalty      = 3 * time.Second
	DefaultColdStartTime       = 30 * time.Millisecond
	DefaultCostTolerance       = time.Millisecond
)

// WithDefaults returns the configuration with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	if c.PrefillTokensPerMs == 0 {
		c.PrefillTokensPerMs = DefaultPrefillTokensPerMs
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.StepTimePerRequest, DefaultStepTimePerRequest}, {&c.LoadTime, DefaultLoadTime}, {&c.LoadPenalty, DefaultLoadPenalty}, {&c.WarmLoadTime, DefaultWarmLoadTime},
		{&c.ModelLoadTime, DefaultModelLoadTime}, {&c.SlotWaitTime, DefaultSlotWaitTime}, {&c.QueueTimePerRequest, DefaultQueueTimePerRequest}, {&c.CrossDomainTime, DefaultCrossDomainTime},
		{&c.HomeRankPenalty, DefaultHomeRankPenalty}, {&c.FailurePenalty, DefaultFailurePenalty}, {&c.SuspectPenalty, DefaultSuspectPenalty},
		{&c.ColdStartTime, DefaultColdStartTime}, {&c.CostTolerance, DefaultCostTolerance},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the chosen candidate.
	Index int
	// Expected is the expected time to the first event of the response, without the penalties.
	Expected time.Duration
	// Cost is the value by which the candidates were compared.
	Cost time.Duration
}

// Choose returns the candidate with the lowest cost, and false if there are no candidates. Ties within CostTolerance are
// broken randomly, so that entries with the same view do not all choose the same endpoint.
func Choose(c Config, r Request, candidates []Candidate, rng *rand.Rand) (Choice, bool) {
	best := Choice{Index: -1}
	ties := 0
	for i := range candidates {
		expected, cost := Cost(c, r, &candidates[i])
		switch {
		case best.Index < 0 || cost < best.Cost-c.CostTolerance:
			best, ties = Choice{Index: i, Expected: expected, Cost: cost}, 1
		case cost <= best.Cost+c.CostTolerance:
			ties++
			if rng.IntN(ties) == 0 {
				best = Choice{Index: i, Expected: expected, Cost: min(cost, best.Cost)}
			}
		}
	}
	return best, best.Index >= 0
}

// Cost returns the expected time to the first event of the response and the cost by which candidates are compared. The
// cost is the expected time plus the penalties. The penalty for a warm load is WarmLoadTime.
func Cost(c Config, r Request, e *Candidate) (expected, cost time.Duration) {
	prefillTokens := e.UnreadTokens + max(0, r.PromptTokens-e.CachedPrefixTokens)
	expected = time.Duration(prefillTokens / c.PrefillTokensPerMs * float64(time.Millisecond))
	expected += time.Duration(min(e.Busy, e.Batch)) * c.StepTimePerRequest
	if excess := e.Busy + 1 - e.Batch; excess > 0 {
		expected += time.Duration(excess) * c.QueueTimePerRequest
	}
	if missing := r.RequiredTokens - e.FreeTokens; missing > 0 && r.RequiredTokens > 0 {
		expected += c.QueueTimePerRequest * time.Duration(1+4*missing/r.RequiredTokens)
	}
	if !e.IsSameDomain {
		expected += c.CrossDomainTime
	}
	if e.IsCold {
		expected += c.ColdStartTime
	}
	if e.LacksModel {
		expected += c.ModelLoadTime
	}
	switch e.Residency {
	case Absent:
		if e.IsWarm {
			expected += c.WarmLoadTime
			cost += c.WarmLoadTime
		} else {
			expected += c.LoadTime + e.TransferWait
			cost += c.LoadPenalty + time.Duration(e.HomeRank)*c.HomeRankPenalty
		}
		expected += c.LoadTime * time.Duration(e.QueuedLoads)
		if !e.HasFreeSlot {
			expected += c.SlotWaitTime
		}
	case Loading:
		expected += c.LoadTime / 2
	case Resident:
	}
	cost += expected + time.Duration(e.FailureRate*float64(c.FailurePenalty))
	if e.IsSuspect {
		cost += c.SuspectPenalty
	}
	return expected, cost
}
