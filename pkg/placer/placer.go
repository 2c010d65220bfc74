package placer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Decision is the choice of an endpoint.
type Decision struct {
	// Endpoint is the VM of the endpoint.
	Endpoint string
	// NeedsLoad says that the adapter is believed to be absent, so that the request needs a load permit. It is false
	// when a load is believed to be in flight: the request joins that load.
	NeedsLoad bool
	// Expected is the expected time to the first token.
	Expected time.Duration
	// Reason says in one word why the endpoint was chosen: resident, loading, home, spill, service, base.
	Reason string
}

// Policy chooses an endpoint.
type Policy interface {
	// Choose returns a live endpoint of the request's base model or service that is not excluded, or a NoEndpointError.
	Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error)
}

// Choose calls the policy without boxing it in an interface.
func Choose[P Policy](p P, v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	return p.Choose(v, r, rng, now)
}

// NoEndpointError means that no endpoint can run the request now; it was not run.
type NoEndpointError struct {
	BaseModel, Service string
	// Known, Live and Excluded count endpoints of the base model or service.
	Known, Live, Excluded int
}

// Error names what is missing and the remedy.
func (e *NoEndpointError) Error() string {
	what := fmt.Sprintf("base model %q", e.BaseModel)
	if e.Service != "" {
		what = fmt.Sprintf("service %q", e.Service)
	}
	switch {
	case e.Known == 0:
		return fmt.Sprintf("no endpoint of %s is known: start one, or correct the route's name", what)
	case e.Live == 0:
		return fmt.Sprintf("none of %d endpoints of %s is live: retry shortly, or start another", e.Known, what)
	default:
		return fmt.Sprintf("all %d live endpoints of %s were tried: retry shortly", e.Live, what)
	}
}

// Defaults of ExpectedTime.
const (
	DefaultLoadTime = 250 * time.Millisecond
	// DefaultLoadPrice is added to the time of a load because the fleet's loads are few: a load that spares one request
	// less than this delays other requests for longer. Measured from 0.5 s to 4 s: above 2 s the p99 rises, below it
	// the loads of adapters that are resident elsewhere double.
	DefaultLoadPrice = 2 * time.Second
	// DefaultHomeShare is the part of an endpoint's speed that one adapter's demand may use before another home is used.
	DefaultHomeShare = 0.3
	// DefaultSpill is the number of endpoints considered beyond the homes in use. With 0 a cold adapter waits at a busy
	// home; with 2 or more, entries with different late views load one adapter at different endpoints.
	DefaultSpill = 1
	// DefaultPrefillSpeed is the number of prompt tokens processed in the time of one generated token.
	DefaultPrefillSpeed = 25
	// DefaultStray is added at an endpoint that holds the adapter but is none of its homes at the present demand, so that
	// copies which the demand doesn't need fall idle and their slots are used for other adapters.
	DefaultStray = 100 * time.Millisecond
	// DefaultCrowding is added at a full batch, and in proportion below. It is larger than the longer steps of a larger
	// batch cost, because a request also takes the room of the next.
	DefaultCrowding = 200 * time.Millisecond
	// DefaultNearEqual is the difference up to which two expected times count as equal; reports are late by more.
	DefaultNearEqual = 10 * time.Millisecond
	// DefaultCrossDomain is the round trip to another failure domain.
	DefaultCrossDomain = 3 * time.Millisecond
)

// ExpectedTime chooses the least expected time to the first token among the endpoints where the adapter is resident or
// loading, and its first homes by weighted rendezvous hashing. Zero fields have the defaults above; a negative Spill is none.
type ExpectedTime struct {
	LoadTime     time.Duration
	LoadPrice    time.Duration
	HomeShare    float64
	Spill        int
	PrefillSpeed float64
	Stray        time.Duration
	Crowding     time.Duration
	NearEqual    time.Duration
	CrossDomain  time.Duration
}

func (p ExpectedTime) withDefaults() ExpectedTime {
	p.LoadTime = cmp.Or(p.LoadTime, DefaultLoadTime)
	p.LoadPrice = cmp.Or(p.LoadPrice, DefaultLoadPrice)
	p.HomeShare = cmp.Or(p.HomeShare, DefaultHomeShare)
	p.Spill = cmp.Or(p.Spill, DefaultSpill)
	p.PrefillSpeed = cmp.Or(p.PrefillSpeed, DefaultPrefillSpeed)
	p.Stray = cmp.Or(p.Stray, DefaultStray)
	p.Crowding = cmp.Or(p.Crowding, DefaultCrowding)
	p.NearEqual = cmp.Or(p.NearEqual, DefaultNearEqual)
	p.CrossDomain = cmp.Or(p.CrossDomain, DefaultCrossDomain)
	return p
}

// candidate is an endpoint with its expected time, and with its score, which adds the prices and ranks.
type candidate struct {
	e        *endpoint
	score    time.Duration
	expected time.Duration
	needs    bool
	reason   string
}

// Choose implements Policy.
func (p ExpectedTime) Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	p = p.withDefaults()
	members, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	best := make([]candidate, 0, 8)
	if r.Adapter == "" {
		reason := "base"
		if r.Service != "" {
			reason = "service"
		}
		for _, e := range members {
			cost := p.wait(e, r)
			best = append(best, candidate{e: e, score: cost + p.crowding(e), expected: cost, reason: reason})
		}
		return p.pick(best, rng), nil
	}
	key := hashName(r.Adapter)
	inUse := p.homes(v, r, members[0], now)
	homes := topHomes(members, key, inUse+max(0, p.Spill))
	rank := func(e *endpoint) int { return slices.IndexFunc(homes, func(h home) bool { return h.e == e }) }
	for _, e := range members {
		if left, reason, ok := p.present(e, key, now); ok {
			cost := p.wait(e, r) + left
			c := candidate{e: e, score: cost + p.crowding(e), expected: cost, reason: reason}
			if i := rank(e); i < 0 || i >= inUse {
				c.score += p.Stray
			}
			best = append(best, c)
		}
	}
	for i, h := range homes {
		if slices.ContainsFunc(best, func(c candidate) bool { return c.e == h.e }) {
			continue
		}
		cost := p.wait(h.e, r) + p.LoadTime + r.PermitWait
		c := candidate{e: h.e, score: cost + p.crowding(h.e) + p.LoadPrice, expected: cost, needs: true, reason: "home"}
		if i >= inUse {
			c.reason = "spill"
		}
		best = append(best, c)
	}
	return p.pick(best, rng), nil
}

// homes is the number of homes that the adapter's demand needs.
func (p ExpectedTime) homes(v View, r Request, sample *endpoint, now time.Duration) int {
	demand := v.Demand(r.Adapter, now)
	return 1 + int(demand/(p.HomeShare*sample.TokensPerSecond))
}

// present returns the remaining time of a load in flight; ok is false when the adapter is believed to be absent.
func (p ExpectedTime) present(e *endpoint, key uint64, now time.Duration) (left time.Duration, reason string, ok bool) {
	if slices.Contains(e.resident, key) {
		return 0, "resident", true
	}
	for _, a := range e.asked {
		if a.key == key {
			return max(p.LoadTime-(now-a.since), p.LoadTime/4), "loading", true
		}
	}
	if slices.Contains(e.loading, key) {
		return p.LoadTime / 2, "loading", true
	}
	return 0, "", false
}

// wait is the expected time to the first token at an endpoint that has the adapter.
func (p ExpectedTime) wait(e *endpoint, r Request) time.Duration {
	requests, tokens := e.occupancy()
	seconds := 0.0
	if over := requests - e.MaxRunning + 1; over > 0 {
		// A place in the batch becomes free each time the endpoint has generated one request's tokens.
		seconds = float64(over) * float64(tokens) / float64(requests) / e.TokensPerSecond
	}
	prompt := r.PromptTokens
	if r.PrefixHash != "" && e.hasPrefix(r) {
		prompt = max(0, prompt-r.PrefixTokens)
	}
	seconds += float64(prompt) / (e.TokensPerSecond * p.PrefillSpeed)
	cost := time.Duration(seconds * float64(time.Second))
	if r.FailureDomain != "" && r.FailureDomain != e.FailureDomain {
		cost += p.CrossDomain
	}
	return cost
}

func (p ExpectedTime) crowding(e *endpoint) time.Duration {
	return time.Duration(float64(p.Crowding) * min(1, occupied(e)))
}

// WaitingLoad is an adapter's load that waits for a permit.
type WaitingLoad struct {
	// Requests wait for it, and Since is the sum of the times at which they began to.
	Requests int
	Since    time.Duration
}

// NextLoad returns the position of the load that gets the next permit: the one whose requests have waited longest in
// sum. After a shift of popularity the adapters with most requests are loaded first, and no load waits forever, because
// its sum grows. It returns -1 when none waits.
func NextLoad(waiting []WaitingLoad, now time.Duration) int {
	next, longest := -1, time.Duration(-1)
	for i, w := range waiting {
		if sum := time.Duration(w.Requests)*now - w.Since; w.Requests > 0 && sum > longest {
			next, longest = i, sum
		}
	}
	return next
}

// pick chooses the less occupied of two random candidates whose scores are near the best, so that entries with the same
// late reports don't all choose the same endpoint.
func (p ExpectedTime) pick(all []candidate, rng *rand.Rand) Decision {
	least := slices.MinFunc(all, func(a, b candidate) int { return cmp.Compare(a.score, b.score) }).score
	near := slices.DeleteFunc(all, func(c candidate) bool { return c.score > least+p.NearEqual })
	chosen := near[rng.IntN(len(near))]
	if len(near) > 1 {
		if other := near[rng.IntN(len(near))]; occupied(other.e) < occupied(chosen.e) {
			chosen = other
		}
	}
	return Decision{Endpoint: chosen.e.VM, NeedsLoad: chosen.needs, Expected: chosen.expected, Reason: chosen.reason}
}

func occupied(e *endpoint) float64 {
	requests, _ := e.occupancy()
	return float64(requests) / float64(e.MaxRunning)
}

// eligible returns the live endpoints of the request's pool that are not excluded; at least one.
func (v View) eligible(r Request) ([]*endpoint, error) {
	positions := v.pools[pool{baseModel: r.BaseModel, service: r.Service}]
	members := make([]*endpoint, 0, len(positions))
	live := 0
	for _, i := range positions {
		e := v.endpoints[i]
		if e.State != Live {
			continue
		}
		live++
		if !slices.Contains(r.Exclude, e.VM) {
			members = append(members, e)
		}
	}
	if len(members) == 0 {
		return nil, &NoEndpointError{BaseModel: r.BaseModel, Service: r.Service, Known: len(positions), Live: live, Excluded: live}
	}
	return members, nil
}

// home is an endpoint with its rendezvous score for one adapter.
type home struct {
	e     *endpoint
	score float64
}

// topHomes returns the first n endpoints by weighted rendezvous hashing, best first. The arrival or loss of one of m
// endpoints changes the first home of one adapter in m.
func topHomes(members []*endpoint, key uint64, n int) []home {
	n = min(n, len(members))
	top := make([]home, 0, n+1)
	for _, e := range members {
		h := home{e: e, score: rendezvous(key, e)}
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

// rendezvous is -weight / ln(u) for u uniform in (0,1) by adapter and endpoint.
func rendezvous(key uint64, e *endpoint) float64 {
	u := (float64(Mix(key^e.key)>>11) + 0.5) / (1 << 53)
	return -e.weight / math.Log(u)
}

// Mix spreads the bits of a hash (the finaliser of SplitMix64). The upper bits of FNV vary little between short texts.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
