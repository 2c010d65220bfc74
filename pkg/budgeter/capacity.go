package budgeter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// congestionRatio is the ratio of a transfer's duration to the base duration from which the transfer counts as slowed
	// by others. Durations are measured to about 20 ms, which is 8% of a load of 250 ms.
	congestionRatio = 1.15
	// firstWindow is the number of transfers by which congestion is found, and firstCongested the number of them that
	// must be slowed. A single slow machine must not start the limit.
	firstWindow, firstCongested = 16, 6
	// gain is the weight of one transfer in the limit. With 64 transfers a second the limit follows within a second.
	gain = 1.0 / 16
	// rise is the increase of the limit by one transfer that was not slowed. It raises the limit by one a second, so that
	// the limit stays near the number at which slowing is measured.
	rise = 1.0 / 64
	// bindingFraction is the part of the limit that must have been in flight for an unslowed transfer to raise it.
	bindingFraction = 0.8
	// blockSize is the number of transfers of which baseIndex, counted from the shortest, is taken as the duration at full
	// speed, because a few durations may have been measured wrongly.
	blockSize, baseIndex = 32, 3
	// copyGap is the ratio between two successive durations of a block that separates loads from an engine's own copies,
	// which take about a tenth, from transfers. At least minTransfers durations must lie above it, so that a few very slow
	// transfers don't make all others look like copies.
	copyGap, minTransfers = 3, 8
	// minFloorFraction is the part of the base below which a duration is that of a load from a copy. The base may have been
	// measured during congestion, so that durations somewhat below it are those of transfers. One that no block has
	// confirmed within baseAge was measured during a fault and is replaced.
	minFloorFraction = 1.0 / 6
	// baseAge is how long such a duration counts. The shortest that counts is the base, which has to outlast the
	// congestion that it is compared with. maxFloors bounds their number.
	baseAge   = time.Minute
	maxFloors = 64
	// elasticityWindow is the number of transfers by which the dependence of the duration on the number in flight is
	// measured, every elasticityInterval transfers. Above maxElasticity (0 at full speed, 1 in congestion) the base has been
	// measured during congestion, and the limit is lowered by the factor elasticityStep until the true base shows.
	// minSpread is the least variance of the logarithm of the number in flight, which is a deviation of 3%.
	elasticityWindow, elasticityInterval = 64, 16
	maxElasticity                        = 0.85
	elasticityStep                       = 0.9
	minSpread                            = 0.001
)

// sample is a finished transfer.
type sample struct {
	took time.Duration
	// inFlight is the mean number of transfers in flight during this one.
	inFlight float64
}

// floor is the duration at full speed according to one block of transfers.
type floor struct {
	took, at time.Duration
}

// capacity is the learned number of transfers that the store carries at full speed. It is an immutable value.
type capacity struct {
	minLimit float64
	// limit is 0 until congestion has been measured.
	limit float64
	// base is the duration of a transfer at full speed, and 0 while it is unknown.
	base time.Duration
	// recent holds the last elasticityWindow transfers, and count is the number of all.
	recent []sample
	count  int
	// block holds the durations since the last full block, and floors are those of full blocks, oldest first.
	block  []time.Duration
	floors []floor
}

// withSample records a finished transfer.
func (c capacity) withSample(s sample, now time.Duration) capacity {
	c = c.withDuration(s.took, now)
	base := c.base
	if base == 0 || s.inFlight < 1 || float64(s.took) < minFloorFraction*float64(base) {
		return c
	}
	c.recent = append(slices.Clone(c.recent[max(0, len(c.recent)-elasticityWindow+1):]), s)
	c.count++
	if len(c.recent) == elasticityWindow && c.count%elasticityInterval == 0 {
		if inFlight, e := elasticity(c.recent); e > maxElasticity && inFlight >= max(c.minLimit, bindingFraction*c.limit) {
			c.limit = max(c.minLimit, elasticityStep*cmp.Or(c.limit, inFlight))
			return c
		}
	}
	if c.limit == 0 {
		return c.withFirst()
	}
	switch {
	case isCongested(s, base) && s.inFlight >= c.limit/2:
		// A slow transfer with few in flight shows a slow engine and says nothing of the store.
		c.limit += gain * (max(estimate(s, base), c.limit/2) - c.limit)
	case !isCongested(s, base) && s.inFlight >= bindingFraction*c.limit:
		c.limit += rise
	}
	c.limit = max(c.limit, c.minLimit)
	return c
}

// withFirst sets the limit once enough of the last transfers were slowed.
func (c capacity) withFirst() capacity {
	var estimates []float64
	for _, r := range c.recent[max(0, len(c.recent)-firstWindow):] {
		if isCongested(r, c.base) && r.inFlight >= c.minLimit {
			estimates = append(estimates, estimate(r, c.base))
		}
	}
	if len(estimates) >= firstCongested {
		slices.Sort(estimates)
		c.limit = max(c.minLimit, estimates[len(estimates)/2])
	}
	return c
}

// elasticity returns the mean number in flight and the relative change of the duration for a relative change of that
// number, or 0 if the number hardly varied.
func elasticity(list []sample) (inFlight, e float64) {
	var x, y, xx, xy float64
	n := float64(len(list))
	for _, s := range list {
		u, v := math.Log(s.inFlight), math.Log(s.took.Seconds())
		inFlight, x, y, xx, xy = inFlight+s.inFlight/n, x+u/n, y+v/n, xx+u*u/n, xy+u*v/n
	}
	if spread := xx - x*x; spread > minSpread {
		e = (xy - x*y) / spread
	}
	return inFlight, e
}

func isCongested(s sample, base time.Duration) bool {
	return float64(s.took) > congestionRatio*float64(base)
}

// estimate returns the number of transfers that the store carries at full speed, from one that was slowed: beyond that
// number each takes proportionally longer.
func estimate(s sample, base time.Duration) float64 {
	return s.inFlight * float64(base) / float64(s.took)
}

// withDuration adds the duration to the current block.
func (c capacity) withDuration(took, now time.Duration) capacity {
	c.block = append(slices.Clip(c.block), took)
	if len(c.block) < blockSize {
		return c
	}
	slices.Sort(c.block)
	transfers := withoutCopies(c.block)
	c.block = nil
	atFullSpeed := transfers[min(baseIndex, len(transfers)-1)]
	isConfirmed := len(c.floors) > 0 && now-c.floors[len(c.floors)-1].at <= baseAge
	if isConfirmed && float64(atFullSpeed) < minFloorFraction*float64(c.base) {
		return c
	}
	floors := append(slices.Clone(c.floors[max(0, len(c.floors)-maxFloors+1):]), floor{took: atFullSpeed, at: now})
	c.floors = slices.DeleteFunc(floors, func(f floor) bool { return now-f.at > baseAge })
	c.base = slices.MinFunc(c.floors, func(x, y floor) int { return cmp.Compare(x.took, y.took) }).took
	return c
}

// withoutCopies returns the sorted durations without those of loads that were taken for transfers although they used an
// engine's own copies. A sidecar can't tell them apart before it has seen several loads.
func withoutCopies(sorted []time.Duration) []time.Duration {
	for i := len(sorted) - minTransfers; i > 0; i-- {
		if sorted[i] >= copyGap*sorted[i-1] {
			return sorted[i:]
		}
	}
	return sorted
}
