// Package selector chooses the endpoint for a request by comparing cost estimates that are based on one entry's view of
// the endpoints. It keeps no state and uses no store.
package selector

import (
	"math"
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
	// Speed is the engine's speed relative to the service's common speed; 0 means 1.
	Speed float64
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	PromptTokens float64
	// RequiredTokens is the KV cache capacity required for prompt and answer.
	RequiredTokens float64
	// MaxPause is the objective for the pauses between the events of streams on the same engines; 0 without one.
	MaxPause time.Duration
	// Tolerance is the difference between the costs of resident candidates that counts as equal, if it is above
	// CostTolerance.
	Tolerance time.Duration
}

// Config holds the parameters of the cost estimate. Zero fields take their defaults in WithDefaults. Fields named Time
// are estimates of delays; fields named Penalty only affect the comparison of endpoints.
type Config struct {
	// PrefillTokensPerMs is the prefill throughput of an engine, with the time of the steps in which it reads.
	PrefillTokensPerMs float64
	// PrefillStepTokens is the maximum number of prompt tokens that an engine reads in one step.
	PrefillStepTokens float64
	// EventTime is the time in which an engine generates the EventTokens tokens of one event while it reads no prompt.
	EventTime   time.Duration
	EventTokens float64
	// StepTimePerRequest is the increase of EventTime caused by each request in the batch.
	StepTimePerRequest time.Duration
	// BusyPenalty is added for each request in the batch, in order to spread requests.
	BusyPenalty time.Duration
	// SlowedStreamWeight is the cost of delaying a running stream in proportion to the time for which the request's
	// prompt slows it, and LateStreamWeight that of a delay that makes the stream's pauses exceed their objective. Both
	// apply only to requests with a MaxPause.
	SlowedStreamWeight, LateStreamWeight float64
	// MaxStreamPenalty bounds the cost of slowing other streams. It is below SuspectPenalty, so that a slow engine is
	// preferred to a failing one.
	MaxStreamPenalty time.Duration
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
	DefaultPrefillStepTokens   = 1024
	DefaultEventTime           = 30 * time.Millisecond
	DefaultEventTokens         = 6
	DefaultStepTimePerRequest  = 100 * time.Microsecond
	DefaultBusyPenalty         = 1900 * time.Microsecond
	DefaultSlowedStreamWeight  = 0.02
	DefaultLateStreamWeight    = 0.8
	DefaultMaxStreamPenalty    = 2500 * time.Millisecond
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
	for _, n := range []struct {
		field *float64
		value float64
	}{
		{&c.PrefillTokensPerMs, DefaultPrefillTokensPerMs}, {&c.PrefillStepTokens, DefaultPrefillStepTokens}, {&c.EventTokens, DefaultEventTokens},
		{&c.SlowedStreamWeight, DefaultSlowedStreamWeight}, {&c.LateStreamWeight, DefaultLateStreamWeight},
	} {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.StepTimePerRequest, DefaultStepTimePerRequest}, {&c.EventTime, DefaultEventTime}, {&c.BusyPenalty, DefaultBusyPenalty},
		{&c.MaxStreamPenalty, DefaultMaxStreamPenalty}, {&c.LoadTime, DefaultLoadTime}, {&c.LoadPenalty, DefaultLoadPenalty}, {&c.WarmLoadTime, DefaultWarmLoadTime},
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
	// Fastest is the lowest expected time of all candidates.
	Fastest time.Duration
	// Cost is the value by which the candidates were compared.
	Cost time.Duration
}

// Choose returns the candidate with the lowest cost, and false if there are no candidates. Ties within the tolerance are
// broken randomly, so that entries with the same view do not all choose the same endpoint.
//
// The reports on which the view rests are some hundred milliseconds old where there are many entries. The load of the
// cheapest engine has then often been raised by another entry already, so that the request's tolerance spreads requests
// better than the lowest cost. It applies only where no adapter is loaded, because loads are worth concentrating.
func Choose(c Config, r Request, candidates []Candidate, rng *rand.Rand) (Choice, bool) {
	costs := make([]time.Duration, len(candidates))
	best, fastest := -1, time.Duration(math.MaxInt64)
	for i := range candidates {
		var expected time.Duration
		expected, costs[i] = Cost(&c, &r, &candidates[i])
		fastest = min(fastest, expected)
		if best < 0 || costs[i] < costs[best] {
			best = i
		}
	}
	if best < 0 {
		return Choice{Index: -1}, false
	}
	chosen, ties, lowest, hasNear := best, 0, costs[best], false
	for i, cost := range costs {
		tolerance := c.CostTolerance
		if candidates[best].Residency == Resident && candidates[i].Residency == Resident {
			tolerance = max(tolerance, r.Tolerance)
		}
		isNear := candidates[i].IsSameDomain
		if cost > lowest+tolerance || hasNear && !isNear {
			continue
		}
		if isNear && !hasNear {
			// The requests and responses of equal candidates should not cross a failure-domain border.
			hasNear, ties = true, 0
		}
		ties++
		if ties == 1 || rng.IntN(ties) == 0 {
			chosen = i
		}
	}
	expected, _ := Cost(&c, &r, &candidates[chosen])
	return Choice{Index: chosen, Expected: expected, Fastest: fastest, Cost: lowest}, true
}

// Cost returns the expected time to the first event of the response and the cost by which candidates are compared. The
// cost is the expected time plus the penalties. The penalty for a warm load is WarmLoadTime.
func Cost(c *Config, r *Request, e *Candidate) (expected, cost time.Duration) {
	speed := e.Speed
	if speed <= 0 {
		speed = 1
	}
	ownTokens := max(0, r.PromptTokens-e.CachedPrefixTokens)
	running := min(e.Busy, e.Batch)
	expected = atSpeed((e.UnreadTokens+ownTokens)/c.PrefillTokensPerMs, speed)
	expected += time.Duration(float64(c.EventTime+time.Duration(running)*c.StepTimePerRequest) / speed)
	cost = time.Duration(float64(running) * float64(c.BusyPenalty) / speed)
	if r.MaxPause > 0 {
		cost += streamPenalty(c, r.MaxPause, e.UnreadTokens, ownTokens, running, speed)
	}
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

// atSpeed returns the time that takes ms milliseconds at the common speed.
func atSpeed(ms, speed float64) time.Duration {
	return time.Duration(ms / speed * float64(time.Millisecond))
}

// PrefillDelayMs returns the number of milliseconds by which the reading of prompt tokens delays the steps of a running
// stream. It is less than the time in which the tokens are read, because the steps run anyway.
func (c *Config) PrefillDelayMs(tokens float64) float64 {
	read := 1 / c.PrefillTokensPerMs
	step := float64(c.EventTime) / float64(time.Millisecond) / c.EventTokens
	// At least half of the time is that of the tokens, also while the two are learned from different responses.
	return tokens * max(read/2, read-step/c.PrefillStepTokens)
}

const (
	// safePause is the part of MaxPause up to which no stream is expected to be late, and pauseRange the further part
	// within which all of them become late, because the tokens of an event and the load vary.
	safePause  = 0.7
	pauseRange = 0.5
)

// streamPenalty returns the cost of delaying the streams that run on the engine. While an engine reads a long prompt, each
// of the steps for a stream's next event takes as long as the reading of PrefillStepTokens. With 6 tokens per event and
// 1,024 prompt tokens per step, the pause is 190 ms at 32 tokens per ms and 350 ms on an engine of half the speed.
func streamPenalty(c *Config, maxPause time.Duration, unreadTokens, ownTokens float64, running int, speed float64) time.Duration {
	delayTokens := min(unreadTokens+ownTokens, c.EventTokens*c.PrefillStepTokens)
	pause := time.Duration(float64(c.EventTime+time.Duration(running)*c.StepTimePerRequest)/speed) + atSpeed(c.PrefillDelayMs(delayTokens), speed)
	lateness := min(1, max(0, (float64(pause)/float64(maxPause)-safePause)/pauseRange))
	weight := c.SlowedStreamWeight + c.LateStreamWeight*lateness
	slowed := atSpeed(ownTokens/c.PrefillTokensPerMs, speed)
	return min(c.MaxStreamPenalty, time.Duration(weight*float64(running)*float64(slowed)))
}
