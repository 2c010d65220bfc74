package placer

import (
	"math/rand/v2"
	"time"
)

// Random chooses a live endpoint uniformly at random. It is a baseline.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	endpoints, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	return newDecision(endpoints[rng.IntN(len(endpoints))], r, now, "random"), nil
}

// LeastLoaded chooses the endpoint with the lowest occupancy ratio and ignores where the adapter is resident. Ties are
// broken at random. It is a baseline.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	endpoints, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	chosen, ties := endpoints[0], 1
	for _, e := range endpoints[1:] {
		switch a, b := occupancyRatio(e), occupancyRatio(chosen); {
		case a < b:
			chosen, ties = e, 1
		case a == b:
			if ties++; rng.IntN(ties) == 0 {
				chosen = e
			}
		}
	}
	return newDecision(chosen, r, now, "least-loaded"), nil
}

// RendezvousHash chooses the adapter's first home endpoint and ignores its load. It is a baseline.
type RendezvousHash struct{}

// Choose implements Policy.
func (RendezvousHash) Choose(v View, r Request, _ *rand.Rand, now time.Duration) (Decision, error) {
	endpoints, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	return newDecision(topHomes(endpoints, hashName(r.Adapter), 1)[0].e, r, now, "home"), nil
}

// BoundedHash implements consistent hashing with bounded loads: it chooses the first of the adapter's homes whose
// occupancy is at most Bound times the mean. It is a baseline.
type BoundedHash struct {
	// Bound defaults to 1.25.
	Bound float64
}

// Choose implements Policy.
func (p BoundedHash) Choose(v View, r Request, _ *rand.Rand, now time.Duration) (Decision, error) {
	endpoints, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	if p.Bound == 0 {
		p.Bound = 1.25
	}
	total := 1
	for _, e := range endpoints {
		requests, _ := e.occupancy()
		total += requests
	}
	limit := p.Bound * float64(total) / float64(len(endpoints))
	homes := topHomes(endpoints, hashName(r.Adapter), len(endpoints))
	for _, h := range homes {
		if requests, _ := h.e.occupancy(); float64(requests+1) <= max(limit, 1) {
			return newDecision(h.e, r, now, "home"), nil
		}
	}
	return newDecision(homes[0].e, r, now, "home"), nil
}

// newDecision returns the decision for endpoint e. The expected time is computed with the defaults of ExpectedTime.
func newDecision(e *endpoint, r Request, now time.Duration, reason string) Decision {
	p := ExpectedTime{}.withDefaults()
	d := Decision{Endpoint: e.VM, Expected: p.timeToFirstToken(e, r), Reason: reason}
	if r.Adapter == "" {
		return d
	}
	remaining, _, residentOrLoading := p.residentOrLoading(e, hashName(r.Adapter), now)
	if !residentOrLoading {
		d.NeedsLoad = true
		remaining = p.LoadTime + r.PermitWait
	}
	d.Expected += remaining
	return d
}
