// Package selector chooses the endpoint for a request from what one entry believes of each. It owns no state and uses
// no store: candidates in, choice out.
package selector

import (
	"math/rand/v2"
	"time"
)

// Residency says whether an engine holds the adapter that a request needs.
type Residency int

const (
	// Absent adapters must be loaded first.
	Absent Residency = iota
	// Loading adapters are on their way.
	Loading
	// Resident adapters, and requests without one, need nothing.
	Resident
)

// String names the residency for logs.
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

// Candidate is what an entry believes of one endpoint.
type Candidate struct {
	ID string
	// IsNear endpoints are in the entry's failure domain.
	IsNear bool
	// Batch is the number of requests that run at once; at least 1.
	Batch int
	// Busy is the number of requests that run or wait there, this entry's own since the last report included.
	Busy int
	// UnreadTokens are prompt tokens sent there that the engine has not read yet.
	UnreadTokens float64
	// KeptTokens is the leading part of this request's prompt that the engine is believed to keep.
	KeptTokens float64
	// FreeTokens is the KV cache memory that no running request holds.
	FreeTokens float64
	Residency  Residency
	// IsWarm says that the engine held the adapter lately and loads it fast.
	IsWarm bool
	// HasRoom says that an adapter can be loaded without waiting for another to fall idle.
	HasRoom bool
	// LoadsAhead is the number of adapters that wait there to be loaded.
	LoadsAhead int
	// HomeRank is the position among the adapter's homes by rendezvous hashing, 0 being the first.
	HomeRank int
	// FailureShare is the part of recent requests that failed there, from 0 to 1.
	FailureShare float64
	// IsSuspect endpoints have just failed in a way that makes the next failure likely.
	IsSuspect bool
	IsCold    bool
	// LacksModel engines don't hold the request's base model.
	LacksModel bool
}

// Request is what the choice depends on.
type Request struct {
	PromptTokens float64
	// NeedsTokens is the memory for prompt and answer.
	NeedsTokens float64
}

// Config holds the costs by which endpoints are compared. A field that is 0 has its default.
type Config struct {
	// ReadTokensPerMs is the speed at which an engine reads prompts.
	ReadTokensPerMs float64
	// StepTime is added for each request in the batch.
	StepTime time.Duration
	// LoadTime is the time of an adapter load.
	LoadTime time.Duration
	// WarmTime is the time of a load at an engine that held the adapter lately.
	WarmTime time.Duration
	// LoadPrice is added to a load, because a second copy of an adapter takes the place of another one.
	LoadPrice time.Duration
	// ModelLoadTime is added at an engine that lacks the base model.
	ModelLoadTime time.Duration
	// FullWait is added at an engine whose adapters are all in use.
	FullWait time.Duration
	// QueueTime is the time for one place in a full endpoint's queue.
	QueueTime time.Duration
	// FarTime is added for an endpoint in another failure domain.
	FarTime time.Duration
	// HomeStep is added for each step down the list of homes.
	HomeStep time.Duration
	// FailurePrice is added in proportion to FailureShare.
	FailurePrice time.Duration
	// SuspectPrice is added to a suspect endpoint; it is used when all others are worse.
	SuspectPrice time.Duration
	ColdPrice    time.Duration
	// NearEqual is the difference up to which two costs count as equal.
	NearEqual time.Duration
}

// Defaults of Config.
const (
	DefaultReadTokensPerMs = 32
	DefaultStepTime        = 2 * time.Millisecond
	DefaultLoadTime        = 260 * time.Millisecond
	DefaultWarmTime        = 50 * time.Millisecond
	DefaultLoadPrice       = 500 * time.Millisecond
	DefaultModelLoadTime   = 2500 * time.Millisecond
	DefaultFullWait        = 1500 * time.Millisecond
	DefaultQueueTime       = 60 * time.Millisecond
	DefaultFarTime         = 3 * time.Millisecond
	DefaultHomeStep        = 15 * time.Millisecond
	DefaultFailurePrice    = 600 * time.Millisecond
	DefaultSuspectPrice    = 3 * time.Second
	DefaultColdPrice       = 30 * time.Millisecond
	DefaultNearEqual       = time.Millisecond
)

// WithDefaults returns the configuration with each field that is 0 replaced by its default.
func (c Config) WithDefaults() Config {
	if c.ReadTokensPerMs == 0 {
		c.ReadTokensPerMs = DefaultReadTokensPerMs
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.StepTime, DefaultStepTime}, {&c.LoadTime, DefaultLoadTime}, {&c.LoadPrice, DefaultLoadPrice}, {&c.WarmTime, DefaultWarmTime},
		{&c.ModelLoadTime, DefaultModelLoadTime}, {&c.FullWait, DefaultFullWait}, {&c.QueueTime, DefaultQueueTime}, {&c.FarTime, DefaultFarTime},
		{&c.HomeStep, DefaultHomeStep}, {&c.FailurePrice, DefaultFailurePrice}, {&c.SuspectPrice, DefaultSuspectPrice},
		{&c.ColdPrice, DefaultColdPrice}, {&c.NearEqual, DefaultNearEqual},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the position in the candidates.
	Index int
	// Expected is the expected time to the first event, without the prices that only compare endpoints.
	Expected time.Duration
	// Cost is what was compared.
	Cost time.Duration
}

// Choose returns the candidate with the least cost; ok is false without candidates. Among nearly equal ones it picks at
// random, so that entries with the same view don't all choose the same endpoint.
func Choose(c Config, r Request, candidates []Candidate, rng *rand.Rand) (Choice, bool) {
	best := Choice{Index: -1}
	equal := 0
	for i := range candidates {
		expected, cost := Cost(c, r, &candidates[i])
		switch {
		case best.Index < 0 || cost < best.Cost-c.NearEqual:
			best, equal = Choice{Index: i, Expected: expected, Cost: cost}, 1
		case cost <= best.Cost+c.NearEqual:
			equal++
			if rng.IntN(equal) == 0 {
				best = Choice{Index: i, Expected: expected, Cost: min(cost, best.Cost)}
			}
		}
	}
	return best, best.Index >= 0
}

// Cost returns the expected time to the first event and the cost by which the candidate is compared.
func Cost(c Config, r Request, e *Candidate) (expected, cost time.Duration) {
	unread := e.UnreadTokens + max(0, r.PromptTokens-e.KeptTokens)
	expected = time.Duration(unread / c.ReadTokensPerMs * float64(time.Millisecond))
	expected += time.Duration(min(e.Busy, e.Batch)) * c.StepTime
	if over := e.Busy + 1 - e.Batch; over > 0 {
		expected += time.Duration(over) * c.QueueTime
	}
	if missing := r.NeedsTokens - e.FreeTokens; missing > 0 && r.NeedsTokens > 0 {
		expected += c.QueueTime * time.Duration(1+4*missing/r.NeedsTokens)
	}
	if !e.IsNear {
		expected += c.FarTime
	}
	if e.IsCold {
		expected += c.ColdPrice
	}
	if e.LacksModel {
		expected += c.ModelLoadTime
	}
	switch e.Residency {
	case Absent:
		if e.IsWarm {
			expected += c.WarmTime
			cost += c.WarmTime
		} else {
			expected += c.LoadTime
			cost += c.LoadPrice + time.Duration(e.HomeRank)*c.HomeStep
		}
		expected += c.LoadTime * time.Duration(e.LoadsAhead)
		if !e.HasRoom {
			expected += c.FullWait
		}
	case Loading:
		expected += c.LoadTime / 2
	case Resident:
	}
	cost += expected + time.Duration(e.FailureShare*float64(c.FailurePrice))
	if e.IsSuspect {
		cost += c.SuspectPrice
	}
	return expected, cost
}
