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
	Models            map[string]int64
	Resident, Loading map[Adapter]int64
	// Capacity bounds the adapters that are resident or loading, and the memory of all.
	Capacity Capacity
	// MaxLoading bounds the adapters that are loading.
	MaxLoading int
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
	if step, ok := planModel(h, demands); ok {
		return step, true
	}
	wanted, ok := mostWanted(h, demands)
	if !ok || len(h.Loading) >= h.MaxLoading {
		return Step{}, false
	}
	if len(h.Resident)+len(h.Loading) < h.Capacity.AdapterSlots && h.fits(h.model(wanted.Model).AdapterMB) {
		return Step{IsLoad: true, Adapter: wanted, Version: demands[wanted].Version}, true
	}
	victim, ok := leastUseful(h, demands, wanted)
	return Step{Adapter: victim}, ok
}

// planModel loads a model that fits: one that requests wait for, or any into an engine that holds none.
func planModel(h Holding, demands map[Adapter]Demand) (Step, bool) {
	var best *Model
	for i := range h.Capacity.Models {
		m := &h.Capacity.Models[i]
		if _, held := h.Models[m.Name]; held || !h.fits(m.WeightsMB) {
			continue
		}
		waiting := modelDemand(demands, m.Name)
		if waiting == 0 && len(h.Models) > 0 {
			continue
		}
		if best == nil || waiting > modelDemand(demands, best.Name) {
			best = m
		}
	}
	if best == nil {
		return Step{}, false
	}
	return Step{IsLoad: true, Adapter: Adapter{Model: best.Name}}, true
}

func modelDemand(demands map[Adapter]Demand, model string) int {
	n := 0
	for a, d := range demands {
		if a.Model == model {
			n += d.Waiting
		}
	}
	return n
}

func (h Holding) model(name string) Model {
	for _, m := range h.Capacity.Models {
		if m.Name == name {
			return m
		}
	}
	return Model{}
}

// fits says whether the engine's memory has room for so much more.
func (h Holding) fits(mb float64) bool {
	for name := range h.Models {
		mb += h.model(name).WeightsMB
	}
	for _, held := range []map[Adapter]int64{h.Resident, h.Loading} {
		for a := range held {
			mb += h.model(a.Model).AdapterMB
		}
	}
	return mb <= h.Capacity.MemoryMB
}

// mostWanted is the adapter whose requests have waited longest in sum of those that must be loaded.
func mostWanted(h Holding, demands map[Adapter]Demand) (Adapter, bool) {
	var best Adapter
	found := false
	for adapter, d := range demands {
		if _, held := h.Models[adapter.Model]; !held || adapter.Name == "" {
			continue
		}
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
