package orderer

import (
	"slices"
	"time"

	"geraniumladder/internal/wire"
)

const (
	// warmFraction is the fraction of the usual duration of a first load below which a load is taken to be warm. Warm loads
	// take about a tenth.
	warmFraction = 0.3
	// firstLoadCount is the number of first loads whose median is their usual duration, and minFirstLoads the number from
	// which it is known.
	firstLoadCount, minFirstLoads = 32, 5
	// maxWarmFirstLoads is the number of first loads in succession that may seem warm. An engine has copies of only some of
	// the adapters that its run has not held, so more show that the usual duration was measured during a fault.
	maxWarmFirstLoads = 16
	// maxUnsentTransfers bounds the finished loads that are kept while no entry receives messages.
	maxUnsentTransfers = 64
)

// loadDurations classifies loads as warm by their durations.
type loadDurations struct {
	// born identifies the engine's run. A new run starts without copies in memory.
	born int64
	// held is the set of adapters that this run of the engine has held.
	held map[Adapter]bool
	// first holds the latest durations of loads of adapters that were not in held.
	first []time.Duration
	// warmFirst counts the first loads that have seemed warm since the last one that did not.
	warmFirst int
}

// withHeld adds the adapters that the engine holds. held is shared with earlier values, which are not used again.
func (l loadDurations) withHeld(r Report) loadDurations {
	if l.born != r.Born || l.held == nil {
		l.born, l.held = r.Born, map[Adapter]bool{}
	}
	for a := range r.Resident {
		l.held[a] = true
	}
	return l
}

// withLoad records the duration of a load and reports whether the load was warm.
func (l loadDurations) withLoad(a Adapter, took time.Duration) (loadDurations, bool) {
	isWarm := false
	if len(l.first) >= minFirstLoads {
		usual := slices.Sorted(slices.Values(l.first))[len(l.first)/2]
		isWarm = float64(took) < warmFraction*float64(usual)
	}
	switch {
	case l.held[a]:
	case !isWarm:
		l.first, l.warmFirst = append(slices.Clone(l.first[max(0, len(l.first)-firstLoadCount+1):]), took), 0
	default:
		if l.warmFirst++; l.warmFirst == maxWarmFirstLoads {
			l.first, l.warmFirst = nil, 0
		}
	}
	return l, isWarm
}

// recordTransfer records a finished load for the metrics and, if it is an adapter's, for the next message.
func (o *Orderer) recordTransfer(a Adapter, took time.Duration) {
	o.config.ObserveLoad("ok", took)
	if a.Name == "" {
		return
	}
	var isWarm bool
	o.loadTimes, isWarm = o.loadTimes.withLoad(a, took)
	o.transfers = append(o.transfers[max(0, len(o.transfers)-maxUnsentTransfers+1):], wire.AdapterTransfer{
		Model: a.Model, Adapter: a.Name, Milliseconds: took.Milliseconds(), IsWarm: isWarm,
	})
}
