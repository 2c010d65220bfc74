package orderer

import (
	"cmp"
	"slices"
	"time"
)

// Adapter identifies an adapter of a model, or the model itself when Name is empty.
type Adapter struct {
	Model, Name string
}

// Demand is the total demand of all entries for one adapter.
type Demand struct {
	// Version is the lowest version that satisfies the demand; 0 for any.
	Version int64
	// Waiting is the number of requests that wait for the adapter to be loaded, and Open the number that use it.
	Waiting, Open int
	// Weight is the number of recent requests, exponentially decayed.
	Weight float64
	// WaitingSince is when the oldest waiting request began to wait.
	WaitingSince time.Time
}

// Holdings is the reported contents of the engine, with their limits.
type Holdings struct {
	Models            map[string]int64
	Resident, Loading map[Adapter]int64
	Capacity          Capacity
	// MaxLoading is the number of adapters that may be loading at the same time.
	MaxLoading int
}

// Step is the load or unload of one adapter or model.
type Step struct {
	IsLoad  bool
	Adapter Adapter
	// Version is the version to load; 0 for the newest.
	Version int64
}

// Plan returns the next step, or false when none is needed or possible now. Resident and loading adapters never exceed
// the slots. An adapter in use is never unloaded, and one that requests wait for only if its version is outdated.
func Plan(h Holdings, demands map[Adapter]Demand) (Step, bool) {
	if step, ok := planModelLoad(h, demands); ok {
		return step, true
	}
	wanted, ok := nextAdapterToLoad(h, demands)
	if !ok || len(h.Loading) >= h.MaxLoading {
		return Step{}, false
	}
	if len(h.Resident)+len(h.Loading) < h.Capacity.AdapterSlots && h.fitsInMemory(h.model(wanted.Model).AdapterMB) {
		return Step{IsLoad: true, Adapter: wanted, Version: demands[wanted].Version}, true
	}
	victim, ok := chooseVictim(h, demands, wanted)
	return Step{Adapter: victim}, ok
}

// planModelLoad returns the load of the model that fits into memory and has the most waiting requests. Without waiting
// requests a model is loaded only into an engine that has none.
func planModelLoad(h Holdings, demands map[Adapter]Demand) (Step, bool) {
	var best *Model
	for i := range h.Capacity.Models {
		m := &h.Capacity.Models[i]
		if _, held := h.Models[m.Name]; held || !h.fitsInMemory(m.WeightsMB) {
			continue
		}
		waiting := waitingRequests(demands, m.Name)
		if waiting == 0 && len(h.Models) > 0 {
			continue
		}
		if best == nil || waiting > waitingRequests(demands, best.Name) {
			best = m
		}
	}
	if best == nil {
		return Step{}, false
	}
	return Step{IsLoad: true, Adapter: Adapter{Model: best.Name}}, true
}

func waitingRequests(demands map[Adapter]Demand, model string) int {
	n := 0
	for a, d := range demands {
		if a.Model == model {
			n += d.Waiting
		}
	}
	return n
}

func (h Holdings) model(name string) Model {
	for _, m := range h.Capacity.Models {
		if m.Name == name {
			return m
		}
	}
	return Model{}
}

// fitsInMemory reports whether the engine's memory has room for the given additional amount.
func (h Holdings) fitsInMemory(mb float64) bool {
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

// nextAdapterToLoad returns the adapter to load next: of those with waiting requests and without a suitable version that
// is resident or loading, the first in the order of loadsBefore. Adapters of models that are not loaded are skipped.
func nextAdapterToLoad(h Holdings, demands map[Adapter]Demand) (Adapter, bool) {
	var best Adapter
	found := false
	for adapter, d := range demands {
		if _, held := h.Models[adapter.Model]; !held || adapter.Name == "" {
			continue
		}
		if d.Waiting == 0 || hasVersion(h.Resident, adapter, d.Version) || hasVersion(h.Loading, adapter, d.Version) {
			continue
		}
		if !found || loadsBefore(adapter, d, best, demands[best]) {
			best, found = adapter, true
		}
	}
	return best, found
}

// hasVersion reports whether the adapter is held in at least the given version.
func hasVersion(held map[Adapter]int64, adapter Adapter, version int64) bool {
	v, ok := held[adapter]
	return ok && v >= version
}

// loadsBefore orders adapters by the longest wait, then by the most waiting requests, then by name.
func loadsBefore(a Adapter, d Demand, b Adapter, e Demand) bool {
	return cmp.Or(d.WaitingSince.Compare(e.WaitingSince), -cmp.Compare(d.Waiting, e.Waiting), compareAdapters(a, b)) < 0
}

func compareAdapters(a, b Adapter) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
}

// chooseVictim returns the resident adapter to unload to make room for the wanted one: the outdated version of the wanted
// adapter itself if no request uses it, or else the adapter with the lowest weight that no request uses or waits for.
func chooseVictim(h Holdings, demands map[Adapter]Demand, wanted Adapter) (Adapter, bool) {
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
