// Package pinner manages the adapter slots of one engine: which adapters they hold, which requests pin them, and which
// adapter is evicted to make room for another.
//
// The state consists of the slots, the pins and the loads in flight of one engine. It is an immutable Slots value,
// which only the sidecar of that engine may replace. The package uses no store and thus works unchanged while the store
// is unavailable.
package pinner

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Kind is the outcome of a request for an adapter.
type Kind int

// The outcomes of Acquire.
const (
	// Run means that the adapter is resident and now pinned for the request.
	Run Kind = iota + 1
	// Load means that the caller must have the engine unload Action.Evict, if set, and then load the adapter. The
	// request pins the loading slot and is returned by Loaded or LoadFailed.
	Load
	// Wait means that a load of the adapter is in flight. The request pins the loading slot.
	Wait
	// NeedsPermit means that the adapter is absent and the request has no load permit. Nothing is pinned.
	NeedsPermit
	// NoRoom means that all slots are pinned or that MaxLoading loads are in flight. Nothing is pinned. The caller may
	// retry after a Release, Loaded or LoadFailed.
	NoRoom
	// Conflict means that the request already pins another adapter. Nothing changes.
	Conflict
)

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"none", "run", "load", "wait", "needs-permit", "no-room", "conflict"}
	if k < 0 || int(k) >= len(names) {
		return "none"
	}
	return names[k]
}

// Action is the result of Acquire.
type Action struct {
	Kind Kind
	// Evict is the adapter to unload before the load, or empty if a slot is free. It is only set with Load.
	Evict string
}

// Use holds the usage statistics of one adapter.
type Use struct {
	Name string
	// Count is the number of requests, decayed exponentially with Config.HalfLife.
	Count float64
	// Last is the time of the last request.
	Last time.Duration
}

// EvictionPolicy is an eviction policy. Among the resident adapters without pins, the one with the lowest score is
// evicted.
type EvictionPolicy interface {
	// Score returns the score of an adapter. use.Count is decayed to now.
	Score(use Use, now time.Duration) float64
}

// LRU evicts the least recently used adapter.
type LRU struct{}

// Score returns the time of the last use.
func (LRU) Score(use Use, _ time.Duration) float64 { return use.Last.Seconds() }

// AgedFrequency evicts the adapter with the lowest decayed request count (LFU with ageing). It beats LRU only if the
// requests for one adapter don't arrive in sessions (docs/design/003-placement.md).
type AgedFrequency struct{}

// Score returns the decayed request count.
func (AgedFrequency) Score(use Use, _ time.Duration) float64 { return use.Count }

// Adaptive uses whichever of two policies would have needed fewer loads for recent requests. For each policy, Slots
// simulates a shadow cache: the adapters that the slots would hold without pins, and a decayed count of its misses.
type Adaptive struct {
	First, Second EvictionPolicy
	// HalfLife is the half-life of the miss counts. It defaults to DefaultAdaptiveHalfLife.
	HalfLife time.Duration
}

// Score returns the score of First. Slots doesn't call it, but selects First or Second itself.
func (a Adaptive) Score(use Use, now time.Duration) float64 { return a.First.Score(use, now) }

// Defaults for Config and Adaptive.
const (
	// DefaultHalfLife is short enough for the counts to follow a shift in popularity within minutes.
	DefaultHalfLife = 2 * time.Minute
	// DefaultAdaptiveHalfLife is short enough to follow a shift in popularity. The choice is not
	// critical: between 30 s and 1,000 s the results hardly differ.
	DefaultAdaptiveHalfLife = time.Minute
	// DefaultHistoryPerSlot is the number of evicted adapters per slot whose counts are kept.
	DefaultHistoryPerSlot = 16
)

// Config configures Slots.
type Config struct {
	// Slots is the number of adapters that the engine can hold; at least 1.
	Slots int
	// MaxLoading bounds the loads in flight at this engine. It defaults to Slots.
	MaxLoading int
	// EvictionPolicy defaults to Adaptive with LRU and AgedFrequency.
	EvictionPolicy EvictionPolicy
	// HalfLife is the half-life of the request counts. It defaults to DefaultHalfLife.
	HalfLife time.Duration
	// History is the number of evicted adapters whose counts are kept. It defaults to DefaultHistoryPerSlot times
	// Slots.
	History int
}

// slot holds one adapter.
type slot struct {
	use     Use // use.Count is decayed to use.Last.
	loading bool
}

// pin associates a request with the adapter that it uses or waits for. An adapter with pins is not evicted.
type pin struct {
	request string
	name    string
	suspect bool
}

// Slots is the state of one engine's adapter slots. It is immutable: methods that change it return a new value.
// Use New; the zero value has no slots.
type Slots struct {
	config Config
	// slots has at most config.Slots elements and no two of the same name.
	slots []slot
	// pins is sorted by request. Each pin refers to an adapter in slots.
	pins []pin
	// history holds the usage statistics of evicted adapters, at most config.History.
	history []Use
	// shadowCaches belong to the two policies of Adaptive.
	shadowCaches [2]shadowCache
}

// shadowCache simulates the content of the slots under one policy, without pins.
type shadowCache struct {
	uses   []Use
	misses float64 // decayed to at
	at     time.Duration
}

// New returns Slots with all slots empty.
func New(c Config) Slots {
	c.Slots = max(c.Slots, 1)
	if c.MaxLoading <= 0 {
		c.MaxLoading = c.Slots
	}
	if c.EvictionPolicy == nil {
		c.EvictionPolicy = Adaptive{First: LRU{}, Second: AgedFrequency{}}
	}
	if a, ok := c.EvictionPolicy.(Adaptive); ok && a.HalfLife <= 0 {
		a.HalfLife = DefaultAdaptiveHalfLife
		c.EvictionPolicy = a
	}
	if c.HalfLife <= 0 {
		c.HalfLife = DefaultHalfLife
	}
	if c.History <= 0 {
		c.History = DefaultHistoryPerSlot * c.Slots
	}
	return Slots{config: c}
}

// Acquire pins the adapter for the request, or returns the reason why it can't. It is idempotent for the same adapter
// and request.
func (s Slots) Acquire(name, request string, hasPermit bool, now time.Duration) (Slots, Action) {
	at, pinned := s.findPin(request)
	if pinned && s.pins[at].name != name {
		return s, Action{Kind: Conflict}
	}
	if i := s.findSlot(name); i >= 0 {
		kind := Run
		if s.slots[i].loading {
			kind = Wait
		}
		if pinned {
			return s, Action{Kind: kind}
		}
		s.slots = slices.Clone(s.slots)
		s.slots[i].use = s.recordUse(s.slots[i].use, now)
		return s.withShadowAccess(s.slots[i].use, now).withPin(at, request, name), Action{Kind: kind}
	}
	if !hasPermit {
		return s, Action{Kind: NeedsPermit}
	}
	victim, ok := s.findVictim(now)
	if !ok {
		return s, Action{Kind: NoRoom}
	}
	newSlot := slot{use: Use{Name: name, Last: now}, loading: true}
	if i := slices.IndexFunc(s.history, func(u Use) bool { return u.Name == name }); i >= 0 {
		newSlot.use = s.history[i]
		s.history = slices.Delete(slices.Clone(s.history), i, i+1)
	}
	newSlot.use = s.recordUse(newSlot.use, now)
	evict := ""
	s.slots = slices.Clone(s.slots)
	if victim < 0 {
		s.slots = append(s.slots, newSlot)
	} else {
		evict = s.slots[victim].use.Name
		s = s.withHistory(s.slots[victim].use, now)
		s.slots[victim] = newSlot
	}
	return s.withShadowAccess(newSlot.use, now).withPin(at, request, name), Action{Kind: Load, Evict: evict}
}

// Loaded records that the load of the adapter has succeeded, and returns the requests that were waiting for it, sorted.
// They keep their pins and may run. It changes nothing if no such load is in flight.
func (s Slots) Loaded(name string) (Slots, []string) {
	i := s.findSlot(name)
	if i < 0 || !s.slots[i].loading {
		return s, nil
	}
	s.slots = slices.Clone(s.slots)
	s.slots[i].loading = false
	return s, s.PinnedBy(name)
}

// LoadFailed frees the slot of a load in flight and returns the requests that were waiting for it, sorted. Their pins
// are removed. It changes nothing if no such load is in flight. If the caller doesn't know whether the engine unloaded
// the evicted adapter, it must query the engine's resident adapters and call Reset.
func (s Slots) LoadFailed(name string) (Slots, []string) {
	i := s.findSlot(name)
	if i < 0 || !s.slots[i].loading {
		return s, nil
	}
	waiters := s.PinnedBy(name)
	s.slots = slices.Delete(slices.Clone(s.slots), i, i+1)
	s.pins = slices.DeleteFunc(slices.Clone(s.pins), func(p pin) bool { return p.name == name })
	return s, waiters
}

// Release removes the request's pin, also while the request is waiting for a load. The load itself continues. A suspect
// pin is kept until ConfirmEnded or Reset.
func (s Slots) Release(request string) Slots {
	i, ok := s.findPin(request)
	if !ok || s.pins[i].suspect {
		return s
	}
	s.pins = slices.Delete(slices.Clone(s.pins), i, i+1)
	return s
}

// MarkSuspect records that the request's outcome at the engine is unknown. Its pin is kept until ConfirmEnded or Reset.
func (s Slots) MarkSuspect(request string) Slots {
	i, ok := s.findPin(request)
	if !ok {
		return s
	}
	s.pins = slices.Clone(s.pins)
	s.pins[i].suspect = true
	return s
}

// ConfirmEnded records that the engine no longer runs the suspect request, and removes its pin.
func (s Slots) ConfirmEnded(request string) Slots {
	i, ok := s.findPin(request)
	if !ok || !s.pins[i].suspect {
		return s
	}
	s.pins = slices.Delete(slices.Clone(s.pins), i, i+1)
	return s
}

// Reset replaces the slots with the resident adapters that the engine reports, or with none (nil) after a restart until
// the engine has reported. It returns the requests whose pins were lost, including those waiting for loads, and the
// surplus adapters for which there is no slot, which the caller must unload.
func (s Slots) Reset(resident []string) (next Slots, lost, surplus []string) {
	for _, p := range s.pins {
		lost = append(lost, p.request)
	}
	old := s.slots
	next = Slots{config: s.config, history: s.history, shadowCaches: s.shadowCaches}
	for _, name := range resident {
		switch {
		case next.findSlot(name) >= 0:
		case len(next.slots) == s.config.Slots:
			surplus = append(surplus, name)
		default:
			use := Use{Name: name}
			if i := slices.IndexFunc(old, func(o slot) bool { return o.use.Name == name }); i >= 0 {
				use = old[i].use
			}
			next.slots = append(next.slots, slot{use: use})
		}
	}
	return next, lost, surplus
}

// Resident returns the names of the loaded adapters, sorted.
func (s Slots) Resident() []string { return s.names(false) }

// Loading returns the names of the adapters being loaded, sorted.
func (s Slots) Loading() []string { return s.names(true) }

// IsResident reports whether the adapter is loaded.
func (s Slots) IsResident(name string) bool {
	i := s.findSlot(name)
	return i >= 0 && !s.slots[i].loading
}

// PinnedBy returns the requests that pin the adapter or wait for its load, sorted.
func (s Slots) PinnedBy(name string) []string {
	var requests []string
	for _, p := range s.pins {
		if p.name == name {
			requests = append(requests, p.request)
		}
	}
	return requests
}

// PinnedAdapter returns the adapter that the request pins, if any.
func (s Slots) PinnedAdapter(request string) (name string, ok bool) {
	i, ok := s.findPin(request)
	if !ok {
		return "", false
	}
	return s.pins[i].name, true
}

// Pins returns the number of requests that hold a pin, including those waiting for loads.
func (s Slots) Pins() int { return len(s.pins) }

// Capacity returns the number of slots.
func (s Slots) Capacity() int { return s.config.Slots }

// findVictim returns the index of the slot to evict, or -1 if a slot is free. ok is false if no slot is free and none
// can be evicted, or if MaxLoading loads are in flight.
func (s Slots) findVictim(now time.Duration) (victim int, ok bool) {
	loading := 0
	eviction := s.eviction(now)
	victim = -1
	lowest := 0.0
	for i, sl := range s.slots {
		if sl.loading {
			loading++
			continue
		}
		if s.isPinned(sl.use.Name) {
			continue
		}
		score := eviction.Score(s.decayed(sl.use, now), now)
		if victim < 0 || score < lowest || score == lowest && sl.use.Last < s.slots[victim].use.Last {
			victim, lowest = i, score
		}
	}
	if loading >= s.config.MaxLoading {
		return 0, false
	}
	if len(s.slots) < s.config.Slots {
		return -1, true
	}
	return victim, victim >= 0
}

// eviction returns the current eviction policy. With Adaptive, it is the policy whose shadow cache had fewer misses.
func (s Slots) eviction(now time.Duration) EvictionPolicy {
	a, ok := s.config.EvictionPolicy.(Adaptive)
	switch {
	case !ok:
		return s.config.EvictionPolicy
	case s.shadowCaches[1].missesAt(now, a.HalfLife) < s.shadowCaches[0].missesAt(now, a.HalfLife):
		return a.Second
	default:
		return a.First
	}
}

// withShadowAccess records a request, with the adapter's updated usage, in the shadow caches.
func (s Slots) withShadowAccess(use Use, now time.Duration) Slots {
	a, ok := s.config.EvictionPolicy.(Adaptive)
	if !ok {
		return s
	}
	for i, eviction := range [2]EvictionPolicy{a.First, a.Second} {
		sh := s.shadowCaches[i]
		uses := append(make([]Use, 0, s.config.Slots), sh.uses...)
		at := slices.IndexFunc(uses, func(u Use) bool { return u.Name == use.Name })
		if at < 0 {
			sh.misses, sh.at = sh.missesAt(now, a.HalfLife)+1, now
			at = s.evictionIndex(uses, eviction, now)
		}
		if at == len(uses) {
			uses = append(uses, use)
		}
		uses[at] = use
		sh.uses = uses
		s.shadowCaches[i] = sh
	}
	return s
}

// evictionIndex returns the index of the adapter with the lowest score, or len(uses) if there is a free slot.
func (s Slots) evictionIndex(uses []Use, eviction EvictionPolicy, now time.Duration) int {
	if len(uses) < s.config.Slots {
		return len(uses)
	}
	at, lowest := 0, math.Inf(1)
	for i, u := range uses {
		if score := eviction.Score(s.decayed(u, now), now); score < lowest {
			at, lowest = i, score
		}
	}
	return at
}

// missesAt returns the decayed miss count at now.
func (sh shadowCache) missesAt(now, halfLife time.Duration) float64 {
	return sh.misses * decay(now-sh.at, halfLife)
}

// decayed returns the usage with its count decayed to now. Last is unchanged.
func (s Slots) decayed(u Use, now time.Duration) Use {
	u.Count *= decay(now-u.Last, s.config.HalfLife)
	return u
}

// recordUse returns the usage with one request at time now added.
func (s Slots) recordUse(u Use, now time.Duration) Use {
	u = s.decayed(u, now)
	u.Count++
	u.Last = max(u.Last, now)
	return u
}

// withHistory keeps the usage of an evicted adapter. If the history is full, it replaces the entry with the lowest
// count, unless that of the evicted adapter is lower still.
func (s Slots) withHistory(u Use, now time.Duration) Slots {
	if len(s.history) < s.config.History {
		s.history = append(slices.Clone(s.history), u)
		return s
	}
	least, count := -1, s.decayed(u, now).Count
	for i, h := range s.history {
		if c := s.decayed(h, now).Count; c <= count {
			least, count = i, c
		}
	}
	if least >= 0 {
		s.history = slices.Clone(s.history)
		s.history[least] = u
	}
	return s
}

// withPin inserts a pin at index at.
func (s Slots) withPin(at int, request, name string) Slots {
	pins := make([]pin, 0, len(s.pins)+1)
	pins = append(append(pins, s.pins[:at]...), pin{request: request, name: name})
	s.pins = append(pins, s.pins[at:]...)
	return s
}

func (s Slots) findSlot(name string) int {
	return slices.IndexFunc(s.slots, func(sl slot) bool { return sl.use.Name == name })
}

func (s Slots) findPin(request string) (int, bool) {
	return slices.BinarySearchFunc(s.pins, request, func(p pin, r string) int { return strings.Compare(p.request, r) })
}

func (s Slots) isPinned(name string) bool {
	return slices.ContainsFunc(s.pins, func(p pin) bool { return p.name == name })
}

func (s Slots) names(loading bool) []string {
	names := []string{}
	for _, sl := range s.slots {
		if sl.loading == loading {
			names = append(names, sl.use.Name)
		}
	}
	slices.Sort(names)
	return names
}

// decay returns the factor by which a count decays in the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
