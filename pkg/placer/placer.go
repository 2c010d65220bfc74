package placer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Decision is the result of choosing an endpoint.
type Decision struct {
	// Endpoint is the name of the chosen endpoint's VM.
	Endpoint string
	// NeedsLoad is set if the view has the adapter as absent from the endpoint, so that the request needs a load
	// permit. It is false if a load is in flight according to the view: the request then waits for that load.
	NeedsLoad bool
	// Expected is the estimated time to the first token.
	Expected time.Duration
	// Reason is a one-word label for why the endpoint was chosen: resident, loading, home, spill, service or base; the
	// baselines also use random and least-loaded.
	Reason string
}

// Policy chooses an endpoint.
type Policy interface {
	// Choose returns a live endpoint for the request's base model or service that is not in Request.Exclude. If there
	// is none, the error is a *NoEndpointError.
	Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error)
}

// Choose calls p.Choose. The type parameter avoids converting the policy to an interface value.
func Choose[P Policy](p P, v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	return p.Choose(v, r, rng, now)
}

// NoEndpointError is returned if no endpoint can run the request at present. The request has not been run.
type NoEndpointError struct {
	BaseModel, Service string
	// Known, Live and Excluded are numbers of endpoints of the base model or service.
	Known, Live, Excluded int
	// Evacuated is the number of live endpoints in evacuated failure domains. They are not counted in Live.
	Evacuated int
}

// Error returns a message that says what is missing and what to do about it.
func (e *NoEndpointError) Error() string {
	what := fmt.Sprintf("base model %q", e.BaseModel)
	if e.Service != "" {
		what = fmt.Sprintf("service %q", e.Service)
	}
	switch {
	case e.Known == 0:
		return fmt.Sprintf("no endpoint of %s is known: start one, or correct the route's name", what)
	case e.Live == 0 && e.Evacuated > 0:
		return fmt.Sprintf("all %d live endpoints of %s are in evacuated failure domains: retry after the evacuation, or start another elsewhere", e.Evacuated, what)
	case e.Live == 0:
		return fmt.Sprintf("none of %d endpoints of %s is live: retry shortly, or start another", e.Known, what)
	default:
		return fmt.Sprintf("all %d live endpoints of %s were tried: retry shortly", e.Live, what)
	}
}

// Defaults for the fields of ExpectedTime.
const (
	DefaultLoadTime = 250 * time.Millisecond
	// DefaultLoadPenalty is added to the score of a candidate that has to load the adapter, because loads are a scarce
	// resource of the fleet: a load that saves one request less time than this delays other requests by more. Of
	// the values from 0.5 s to 4 s, those above 2 s raise p99, and those below double the number of loads of adapters
	// that are resident elsewhere.
	DefaultLoadPenalty = 2 * time.Second
	// DefaultHomeShare is the fraction of an endpoint's throughput that one adapter's demand may use before the adapter
	// gets another home.
	DefaultHomeShare = 0.3
	// DefaultSpillCandidates is the number of further endpoints, in rendezvous order, that are considered after the
	// homes in use. With 0, an adapter that is not resident anywhere has to wait for a busy home. With 2 or more, entries
	// whose stale views differ load one adapter at different endpoints.
	DefaultSpillCandidates = 1
	// DefaultPrefillRatio is the number of prompt tokens that an endpoint processes in the time of one generated token.
	DefaultPrefillRatio = 25
	// DefaultNonHomePenalty is added for an endpoint that has the adapter but isn't one of its homes at the current
	// demand. Copies beyond those that the demand needs thus become idle, and their slots are freed for other adapters.
	DefaultNonHomePenalty = 100 * time.Millisecond
	// DefaultOccupancyPenalty is added for an endpoint whose batch is full, and a proportional part of it below that.
	// It exceeds the cost of the longer steps of a larger batch, because a request also takes a batch slot from the
	// next one.
	DefaultOccupancyPenalty = 200 * time.Millisecond
	// DefaultTieTolerance is the score difference up to which candidates count as equal. Load reports are older than
	// this, so smaller differences mean nothing.
	DefaultTieTolerance = 10 * time.Millisecond
	// DefaultCrossDomainRTT is the network round-trip time to another failure domain.
	DefaultCrossDomainRTT = 3 * time.Millisecond
)

// ExpectedTime minimises the expected time to the first token, adjusted by penalties. The candidates are the endpoints
// where the adapter is resident or loading, and the adapter's homes: the first endpoints in the order of weighted
// rendezvous hashing. Zero fields take the defaults above; a negative SpillCandidates means none.
type ExpectedTime struct {
	LoadTime         time.Duration
	LoadPenalty      time.Duration
	HomeShare        float64
	SpillCandidates  int
	PrefillRatio     float64
	NonHomePenalty   time.Duration
	OccupancyPenalty time.Duration
	TieTolerance     time.Duration
	CrossDomainRTT   time.Duration
}

func (p ExpectedTime) withDefaults() ExpectedTime {
	p.LoadTime = cmp.Or(p.LoadTime, DefaultLoadTime)
	p.LoadPenalty = cmp.Or(p.LoadPenalty, DefaultLoadPenalty)
	p.HomeShare = cmp.Or(p.HomeShare, DefaultHomeShare)
	p.SpillCandidates = cmp.Or(p.SpillCandidates, DefaultSpillCandidates)
	p.PrefillRatio = cmp.Or(p.PrefillRatio, DefaultPrefillRatio)
	p.NonHomePenalty = cmp.Or(p.NonHomePenalty, DefaultNonHomePenalty)
	p.OccupancyPenalty = cmp.Or(p.OccupancyPenalty, DefaultOccupancyPenalty)
	p.TieTolerance = cmp.Or(p.TieTolerance, DefaultTieTolerance)
	p.CrossDomainRTT = cmp.Or(p.CrossDomainRTT, DefaultCrossDomainRTT)
	return p
}

// candidate is an endpoint with its expected time to the first token and its score, which is the expected time plus the
// penalties. The lowest score wins.
type candidate struct {
	e         *endpoint
	score     time.Duration
	expected  time.Duration
	needsLoad bool
	reason    string
}

// Choose implements Policy.
func (p ExpectedTime) Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	p = p.withDefaults()
	endpoints, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	candidates := make([]candidate, 0, 8)
	if r.Adapter == "" {
		reason := "base"
		if r.Service != "" {
			reason = "service"
		}
		for _, e := range endpoints {
			cost := p.timeToFirstToken(e, r)
			candidates = append(candidates, candidate{e: e, score: cost + p.occupancyPenalty(e), expected: cost, reason: reason})
		}
		return p.pick(candidates, rng), nil
	}
	key := hashName(r.Adapter)
	homesInUse := p.homes(v, r, endpoints[0], now)
	homes := topHomes(endpoints, key, homesInUse+max(0, p.SpillCandidates))
	rank := func(e *endpoint) int { return slices.IndexFunc(homes, func(h home) bool { return h.e == e }) }
	for _, e := range endpoints {
		if remaining, reason, ok := p.residentOrLoading(e, key, now); ok {
			cost := p.timeToFirstToken(e, r) + remaining
			c := candidate{e: e, score: cost + p.occupancyPenalty(e), expected: cost, reason: reason}
			if i := rank(e); i < 0 || i >= homesInUse {
				c.score += p.NonHomePenalty
			}
			candidates = append(candidates, c)
		}
	}
	for i, h := range homes {
		if slices.ContainsFunc(candidates, func(c candidate) bool { return c.e == h.e }) {
			continue
		}
		cost := p.timeToFirstToken(h.e, r) + p.LoadTime + r.PermitWait
		c := candidate{e: h.e, score: cost + p.occupancyPenalty(h.e) + p.LoadPenalty, expected: cost, needsLoad: true, reason: "home"}
		if i >= homesInUse {
			c.reason = "spill"
		}
		candidates = append(candidates, c)
	}
	return p.pick(candidates, rng), nil
}

// homes returns the number of homes that the adapter's demand requires. The throughput of sample stands for that of
// every endpoint.
func (p ExpectedTime) homes(v View, r Request, sample *endpoint, now time.Duration) int {
	demand := v.Demand(r.Adapter, now)
	return 1 + int(demand/(p.HomeShare*sample.TokensPerSecond))
}

// residentOrLoading reports whether the adapter is resident or loading at the endpoint according to the view, and returns
// the estimated remaining time of a load in flight.
func (p ExpectedTime) residentOrLoading(e *endpoint, key uint64, now time.Duration) (remaining time.Duration, reason string, ok bool) {
	if slices.Contains(e.resident, key) {
		return 0, "resident", true
	}
	// The start of a load that this entry has requested is known. At least a quarter of the load time
	// is assumed to remain, because a load may take longer than expected.
	for _, a := range e.pending {
		if a.key == key {
			return max(p.LoadTime-(now-a.since), p.LoadTime/4), "loading", true
		}
	}
	// The endpoint reports a load without its start, so that half of it is assumed to remain.
	if slices.Contains(e.loading, key) {
		return p.LoadTime / 2, "loading", true
	}
	return 0, "", false
}

// timeToFirstToken returns the expected time to the first token at an endpoint where the adapter is resident.
func (p ExpectedTime) timeToFirstToken(e *endpoint, r Request) time.Duration {
	requests, tokens := e.occupancy()
	seconds := 0.0
	if over := requests - e.MaxRunning + 1; over > 0 {
		// A batch slot becomes free each time the endpoint has generated the tokens of one request.
		seconds = float64(over) * float64(tokens) / float64(requests) / e.TokensPerSecond
	}
	prompt := r.PromptTokens
	if r.PrefixHash != "" && e.hasPrefix(r) {
		prompt = max(0, prompt-r.PrefixTokens)
	}
	seconds += float64(prompt) / (e.TokensPerSecond * p.PrefillRatio)
	cost := time.Duration(seconds * float64(time.Second))
	if r.FailureDomain != "" && r.FailureDomain != e.FailureDomain {
		cost += p.CrossDomainRTT
	}
	return cost
}

// occupancyPenalty returns OccupancyPenalty scaled by how full the endpoint's batch is.
func (p ExpectedTime) occupancyPenalty(e *endpoint) time.Duration {
	return time.Duration(float64(p.OccupancyPenalty) * min(1, occupancyRatio(e)))
}

// WaitingLoad is a load of an adapter that is waiting for a permit.
type WaitingLoad struct {
	// Requests is the number of requests waiting for the load, and StartTimeSum the sum of the times at which they
	// began to wait.
	Requests     int
	StartTimeSum time.Duration
}

// NextLoad returns the index of the load that gets the next permit: the one whose requests have the largest total
// waiting time. After a shift in popularity, the adapters with the most requests are thus loaded first, and no load
// starves, because its total keeps growing. It returns -1 if no load is waiting.
func NextLoad(waiting []WaitingLoad, now time.Duration) int {
	next, longest := -1, time.Duration(-1)
	for i, w := range waiting {
		if sum := time.Duration(w.Requests)*now - w.StartTimeSum; w.Requests > 0 && sum > longest {
			next, longest = i, sum
		}
	}
	return next
}

// pick applies power of two choices to the candidates whose scores are within TieTolerance of the best: it draws two of
// them at random and takes the less occupied one, so that entries with the same stale reports don't all choose the same
// endpoint. It overwrites the candidates slice.
func (p ExpectedTime) pick(candidates []candidate, rng *rand.Rand) Decision {
	bestScore := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) }).score
	nearBest := slices.DeleteFunc(candidates, func(c candidate) bool { return c.score > bestScore+p.TieTolerance })
	chosen := nearBest[rng.IntN(len(nearBest))]
	if len(nearBest) > 1 {
		if other := nearBest[rng.IntN(len(nearBest))]; occupancyRatio(other.e) < occupancyRatio(chosen.e) {
			chosen = other
		}
	}
	return Decision{Endpoint: chosen.e.VM, NeedsLoad: chosen.needsLoad, Expected: chosen.expected, Reason: chosen.reason}
}

// occupancyRatio returns the estimated number of requests at the endpoint divided by its batch size.
func occupancyRatio(e *endpoint) float64 {
	requests, _ := e.occupancy()
	return float64(requests) / float64(e.MaxRunning)
}

// eligible returns the live endpoints of the request's pool that are neither excluded nor in evacuated failure domains. If there are none, the error is a
// *NoEndpointError.
func (v View) eligible(r Request) ([]*endpoint, error) {
	positions := v.pools[pool{baseModel: r.BaseModel, service: r.Service}]
	members := make([]*endpoint, 0, len(positions))
	live, evacuated := 0, 0
	for _, i := range positions {
		e := v.endpoints[i]
		if e.State != Live {
			continue
		}
		if v.evacuated[e.FailureDomain] {
			evacuated++
			continue
		}
		live++
		if !slices.Contains(r.Exclude, e.VM) {
			members = append(members, e)
		}
	}
	if len(members) == 0 {
		return nil, &NoEndpointError{BaseModel: r.BaseModel, Service: r.Service, Known: len(positions), Live: live, Excluded: live, Evacuated: evacuated}
	}
	return members, nil
}

// home is a candidate home endpoint of one adapter with its rendezvous score.
type home struct {
	e     *endpoint
	score float64
}

// topHomes returns the n endpoints with the highest rendezvous scores, in descending order. Adding or removing one of m
// endpoints changes the first home of about one adapter in m.
func topHomes(endpoints []*endpoint, key uint64, n int) []home {
	n = min(n, len(endpoints))
	top := make([]home, 0, n+1)
	for _, e := range endpoints {
		h := home{e: e, score: rendezvousScore(key, e)}
		if len(top) == n && h.score <= top[n-1].score {
			continue
		}
		at := len(top)
		for at > 0 && top[at-1].score < h.score {
			at--
		}
		top = slices.Insert(top, at, h)
		top = top[:min(len(top), n)]
	}
	return top
}

// rendezvousScore returns the score of weighted rendezvous hashing, -weight / ln(u), where u is derived from the hashes
// of the adapter and the endpoint and is uniform in (0,1).
func rendezvousScore(key uint64, e *endpoint) float64 {
	u := (float64(Mix64(key^e.key)>>11) + 0.5) / (1 << 53)
	return -e.weight / math.Log(u)
}

// Mix64 mixes the bits of a 64-bit hash with the finaliser of SplitMix64. Callers that use the upper bits of FNV need
// it, because those vary little between short strings.
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
