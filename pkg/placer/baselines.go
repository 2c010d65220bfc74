package placer

import (
	"math/rand/v2"
	"time"
)

// Random chooses any live endpoint. It is a baseline.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	members, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	return decide(members[rng.IntN(len(members))], r, now, "random"), nil
}

// LeastLoaded chooses the least occupied endpoint, wherever the adapter is. It is a baseline.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(v View, r Request, rng *rand.Rand, now time.Duration) (Decision, error) {
	members, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	chosen, ties := members[0], 1
	for _, e := range members[1:] {
		switch a, b := occupied(e), occupied(chosen); {
		case a < b:
			chosen, ties = e, 1
		case a == b:
			if ties++; rng.IntN(ties) == 0 {
				chosen = e
			}
		}
	}
	return decide(chosen, r, now, "least-loaded"), nil
}

// RendezvousHash chooses the adapter's first home, whatever its load. It is a baseline.
type RendezvousHash struct{}

// Choose implements Policy.
func (RendezvousHash) Choose(v View, r Request, _ *rand.Rand, now time.Duration) (Decision, error) {
	members, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	return decide(topHomes(members, hashName(r.Adapter), 1)[0].e, r, now, "home"), nil
}

// BoundedHash chooses the first of the adapter's homes whose occupancy is at most Bound times the mean. It is a
// baseline (consistent hashing with bounded loads).
type BoundedHash struct {
	// Bound is 1.25 when 0.
	Bound float64
}

// Choose implements Policy.
func (p BoundedHash) Choose(v View, r Request, _ *rand.Rand, now time.Duration) (Decision, error) {
	members, err := v.eligible(r)
	if err != nil {
		return Decision{}, err
	}
	if p.Bound == 0 {
		p.Bound = 1.25
	}
	total := 1
	for _, e := range members {
		requests, _ := e.occupancy()
		total += requests
	}
	limit := p.Bound * float64(total) / float64(len(members))
	homes := topHomes(members, hashName(r.Adapter), len(members))
	for _, h := range homes {
		if requests, _ := h.e.occupancy(); float64(requests+1) <= max(limit, 1) {
			return decide(h.e, r, now, "home"), nil
		}
	}
	return decide(homes[0].e, r, now, "home"), nil
}

// decide describes the choice of e with the default costs.
func decide(e *endpoint, r Request, now time.Duration, reason string) Decision {
	p := ExpectedTime{}.withDefaults()
	d := Decision{Endpoint: e.VM, Expected: p.wait(e, r), Reason: reason}
	if r.Adapter == "" {
		return d
	}
	left, _, present := p.present(e, hashName(r.Adapter), now)
	if !present {
		d.NeedsLoad = true
		left = p.LoadTime + r.PermitWait
	}
	d.Expected += left
	return d
}
