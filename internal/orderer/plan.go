package orderer

import (
	"cmp"
	"slices"
	"time"
)

// Adapter names an adapter of a model.
type Adapter struct {
	Model, Name string
}

// Demand is what the entries together ask of one adapter.
type Demand struct {
	// Version is the least version that serves; 0 for any.
	Version int64
	// Waiting requests need the adapter to be loaded; Open ones run.
	Waiting, Open int
	// Weight is the number of recent requests, halved with time.
	Weight float64
	// Since is when the oldest of the waiting began to wait.
	Since time.Time
}

// Holding is what the engine holds, as it reported.
type Holding struct {
	Resident, Loading map[Adapter]int64
	// Slots bounds the adapters that are resident or loading, MaxLoading those that are loading.
	Slots, MaxLoading int
}

// Step is the next order for the engine.
type Step struct {
	IsLoad  bool
	Adapter Adapter
	// Version is the version to load; 0 for the newest.
	Version int64
}

// Plan returns the next order, or false when there is nothing to do now. Resident and loading adapters never exceed the
// slots, and an adapter that a request uses or waits for is not unloaded.
func Plan(h Holding, demands map[Adapter]Demand) (Step, bool) {
	wanted, ok := mostWanted(h, demands)
	if !ok || len(h.Loading) >= h.MaxLoading {
		return Step{}, false
	}
	if len(h.Resident)+len(h.Loading) < h.Slots {
		return Step{IsLoad: true, Adapter: wanted, Version: demands[wanted].Version}, true
	}
	victim, ok := leastUseful(h, demands, wanted)
	return Step{Adapter: victim}, ok
}

// mostWanted is the adapter whose requests have waited longest in sum of those that must be loaded.
func mostWanted(h Holding, demands map[Adapter]Demand) (Adapter, bool) {
	var best Adapter
	found := false
	for adapter, d := range demands {
		if d.Waiting == 0 || isThere(h.Resident, adapter, d.Version) || isThere(h.Loading, adapter, d.Version) {
			continue
		}
		if !found || comesFirst(adapter, d, best, demands[best]) {
			best, found = adapter, true
		}
	}
	return best, found
}

func isThere(held map[Adapter]int64, adapter Adapter, version int64) bool {
	v, ok := held[adapter]
	return ok && v >= version
}

func comesFirst(a Adapter, d Demand, b Adapter, e Demand) bool {
	return cmp.Or(d.Since.Compare(e.Since), -cmp.Compare(d.Waiting, e.Waiting), compareAdapters(a, b)) < 0
}

func compareAdapters(a, b Adapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
}

// leastUseful is the resident adapter to unload for the wanted one: an outdated version of the wanted one itself when
// nothing uses it, else the one with the least weight that no request uses.
func leastUseful(h Holding, demands map[Adapter]Demand, wanted Adapter) (Adapter, bool) {
	if _, ok := h.Resident[wanted]; ok && demands[wanted].Open == 0 {
		return wanted, true
	}
	candidates := make([]Adapter, 0, len(h.Resident))
	for adapter := range h.Resident {
		if d := demands[adapter]; adapter != wanted && d.Open == 0 && d.Waiting == 0 {
			candidates = append(candidates, adapter)
		}
	}
	if len(candidates) == 0 {
		return Adapter{}, false
	}
	return slices.MinFunc(candidates, func(a, b Adapter) int {
		return cmp.Or(cmp.Compare(demands[a].Weight, demands[b].Weight), compareAdapters(a, b))
	}), true
}
