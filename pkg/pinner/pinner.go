// Package pinner decides which adapters the slots of one engine hold, which requests pin them, and which adapter
// is evicted for another. It owns the slots, pins and loads in flight of one engine as an immutable Slots value;
// only the sidecar of that engine may replace the value. It uses no store, so an unavailable store changes nothing.
package pinner

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Kind says what a request for an adapter leads to.
type Kind int

// The outcomes of Take.
const (
	// Run means that the adapter is resident and now pinned for the request.
	Run Kind = iota + 1
	// Load means that the caller must order the unload of Action.Evict, if set, and then the load; the request
	// is pinned to the loading slot and is returned by Loaded or LoadFailed.
	Load
	// Wait means that a load of the adapter is in flight; the request is pinned to the loading slot.
	Wait
	// NeedsPermit means that the adapter is absent and the request has no load permit. Nothing is pinned.
	NeedsPermit
	// NoRoom means that all slots are pinned or that MaxLoading loads are in flight. Nothing is pinned;
	// the request may be taken again after a Release, Loaded or LoadFailed.
	NoRoom
	// Conflict means that the request id already pins another adapter. Nothing changes.
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

// Action is the result of Take.
type Action struct {
	Kind Kind
	// Evict names the adapter to unload before the load; empty when a slot is free. Only set with Load.
	Evict string
}

// Use is what is known of the use of one resident adapter.
type Use struct {
	Name string
	// Count is the number of requests, halved for each Config.HalfLife that has passed.
	Count float64
	// Last is the time of the last request.
	Last time.Duration
}

// Eviction rates a resident adapter without pins; the adapter with the lowest worth is evicted.
type Eviction interface {
	// Worth is called with the count decayed to now.
	Worth(use Use, now time.Duration) float64
}

// LRU evicts the adapter that was used least recently.
type LRU struct{}

// Worth is the time of the last use.
func (LRU) Worth(use Use, _ time.Duration) float64 { return use.Last.Seconds() }

// AgedFrequency evicts the adapter with the smallest decayed count of requests. It is better than LRU only where requests
// for one adapter don't come in sessions (docs/design/003-placement.md).
type AgedFrequency struct{}

// Worth is the decayed count.
func (AgedFrequency) Worth(use Use, _ time.Duration) float64 { return use.Count }

// Adaptive follows the one of two policies that would have needed fewer loads for the latest requests. For each policy
// Slots keep the adapters that slots without pins would hold, and a decayed count of the requests that these miss.
type Adaptive struct {
	First, Second Eviction
	// HalfLife is that of the counts; DefaultAdaptiveHalfLife when 0.
	HalfLife time.Duration
}

// Worth is that of First; Slots choose between the two.
func (a Adaptive) Worth(use Use, now time.Duration) float64 { return a.First.Worth(use, now) }

// Defaults of Config.
const (
	// DefaultHalfLife halves the counts often enough to follow a shift of popularity within minutes.
	DefaultHalfLife = 2 * time.Minute
	// DefaultAdaptiveHalfLife is short enough to follow a shift of popularity; 30 s to 1,000 s made little difference.
	DefaultAdaptiveHalfLife = time.Minute
	// DefaultHistory is the number of evicted adapters, for each slot, whose counts are kept.
	DefaultHistory = 16
)

// Config configures Slots.
type Config struct {
	// Slots is the number of adapters that the engine can hold; at least 1.
	Slots int
	// MaxLoading bounds the loads in flight at this engine; Slots when 0.
	MaxLoading int
	// Eviction is Adaptive between LRU and AgedFrequency when nil.
	Eviction Eviction
	// HalfLife is the time in which a count of requests halves; DefaultHalfLife when 0.
	HalfLife time.Duration
	// History is the number of evicted adapters whose counts are kept; DefaultHistory for each slot when 0.
	History int
}

// slot holds one adapter.
type slot struct {
	use     Use // Count is as of Last.
	loading bool
}

// pin ties a request to the adapter it uses or waits for.
type pin struct {
	request string
	name    string
	suspect bool
}

// Slots is the state of one engine's adapter slots. It is immutable: each method returns a new value.
// The zero value has no slots; use New.
type Slots struct {
	config Config
	// slots has at most config.Slots elements and no two of the same name.
	slots []slot
	// pins is sorted by request; each names a slot's adapter.
	pins []pin
	// history holds counts of evicted adapters, at most config.History.
	history []Use
	// shadows belong to Adaptive's policies.
	shadows [2]shadow
}

// shadow is what slots without pins would hold with one policy.
type shadow struct {
	uses   []Use
	misses float64 // As of at.
	at     time.Duration
}

// New returns empty slots.
func New(c Config) Slots {
	c.Slots = max(c.Slots, 1)
	if c.MaxLoading <= 0 {
		c.MaxLoading = c.Slots
	}
	if c.Eviction == nil {
		c.Eviction = Adaptive{First: LRU{}, Second: AgedFrequency{}}
	}
	if a, ok := c.Eviction.(Adaptive); ok && a.HalfLife <= 0 {
		a.HalfLife = DefaultAdaptiveHalfLife
		c.Eviction = a
	}
	if c.HalfLife <= 0 {
		c.HalfLife = DefaultHalfLife
	}
	if c.History <= 0 {
		c.History = DefaultHistory * c.Slots
	}
	return Slots{config: c}
}

// Take pins the adapter for the request, or says what prevents it. A repeated Take of the same adapter and request
// pins only once.
func (s Slots) Take(name, request string, hasPermit bool, now time.Duration) (Slots, Action) {
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
		s.slots[i].use = s.used(s.slots[i].use, now)
		return s.shadowing(s.slots[i].use, now).withPin(at, request, name), Action{Kind: kind}
	}
	if !hasPermit {
		return s, Action{Kind: NeedsPermit}
	}
	victim, ok := s.room(now)
	if !ok {
		return s, Action{Kind: NoRoom}
	}
	fresh := slot{use: Use{Name: name, Last: now}, loading: true}
	if i := slices.IndexFunc(s.history, func(u Use) bool { return u.Name == name }); i >= 0 {
		fresh.use = s.history[i]
		s.history = slices.Delete(slices.Clone(s.history), i, i+1)
	}
	fresh.use = s.used(fresh.use, now)
	evict := ""
	s.slots = slices.Clone(s.slots)
	if victim < 0 {
		s.slots = append(s.slots, fresh)
	} else {
		evict = s.slots[victim].use.Name
		s = s.remembering(s.slots[victim].use, now)
		s.slots[victim] = fresh
	}
	return s.shadowing(fresh.use, now).withPin(at, request, name), Action{Kind: Load, Evict: evict}
}

// Loaded records that the load of the adapter has ended, and returns the requests that waited for it, sorted.
// They stay pinned and may run. It changes nothing when no such load is in flight.
func (s Slots) Loaded(name string) (Slots, []string) {
	i := s.findSlot(name)
	if i < 0 || !s.slots[i].loading {
		return s, nil
	}
	s.slots = slices.Clone(s.slots)
	s.slots[i].loading = false
	return s, s.Pinning(name)
}

// LoadFailed frees the slot of a load in flight and returns the requests that waited for it, sorted; their pins are
// gone. It changes nothing when no such load is in flight. When the caller doesn't know whether the engine unloaded
// the evicted adapter, it must read the engine's residents and call Reset.
func (s Slots) LoadFailed(name string) (Slots, []string) {
	i := s.findSlot(name)
	if i < 0 || !s.slots[i].loading {
		return s, nil
	}
	waiters := s.Pinning(name)
	s.slots = slices.Delete(slices.Clone(s.slots), i, i+1)
	s.pins = slices.DeleteFunc(slices.Clone(s.pins), func(p pin) bool { return p.name == name })
	return s, waiters
}

// Release drops the request's pin or its place among the waiters of a load. The load itself goes on.
// A suspect pin is kept: only Confirm or Reset drops it.
func (s Slots) Release(request string) Slots {
	i, ok := s.findPin(request)
	if !ok || s.pins[i].suspect {
		return s
	}
	s.pins = slices.Delete(slices.Clone(s.pins), i, i+1)
	return s
}

// Suspect marks the request's outcome at the engine as unknown: its pin stays until Confirm or Reset.
func (s Slots) Suspect(request string) Slots {
	i, ok := s.findPin(request)
	if !ok {
		return s
	}
	s.pins = slices.Clone(s.pins)
	s.pins[i].suspect = true
	return s
}

// Confirm records that the engine no longer runs the suspect request, and drops its pin.
func (s Slots) Confirm(request string) Slots {
	i, ok := s.findPin(request)
	if !ok || !s.pins[i].suspect {
		return s
	}
	s.pins = slices.Delete(slices.Clone(s.pins), i, i+1)
	return s
}

// Reset replaces what is believed of the engine with the residents that it reports; nil after a restart until it
// has reported. It returns the requests whose pins were lost, waiters of loads included, and the residents for which
// there is no slot, which the caller must unload.
func (s Slots) Reset(resident []string) (next Slots, lost, surplus []string) {
	for _, p := range s.pins {
		lost = append(lost, p.request)
	}
	old := s.slots
	next = Slots{config: s.config, history: s.history, shadows: s.shadows}
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

// Pinning returns the requests that pin the adapter or wait for its load, sorted.
func (s Slots) Pinning(name string) []string {
	var requests []string
	for _, p := range s.pins {
		if p.name == name {
			requests = append(requests, p.request)
		}
	}
	return requests
}

// Pinned returns the adapter that the request pins.
func (s Slots) Pinned(request string) (name string, ok bool) {
	i, ok := s.findPin(request)
	if !ok {
		return "", false
	}
	return s.pins[i].name, true
}

// Pins is the number of pinned requests, waiters included.
func (s Slots) Pins() int { return len(s.pins) }

// Capacity is the number of slots.
func (s Slots) Capacity() int { return s.config.Slots }

// room returns the slot to evict, or -1 for a free slot; ok is false when there is neither, or when enough loads
// are in flight.
func (s Slots) room(now time.Duration) (victim int, ok bool) {
	loading := 0
	eviction := s.eviction(now)
	victim = -1
	worst := 0.0
	for i, sl := range s.slots {
		if sl.loading {
			loading++
			continue
		}
		if s.isPinned(sl.use.Name) {
			continue
		}
		worth := eviction.Worth(s.decayed(sl.use, now), now)
		if victim < 0 || worth < worst || worth == worst && sl.use.Last < s.slots[victim].use.Last {
			victim, worst = i, worth
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

// eviction returns the policy to follow.
func (s Slots) eviction(now time.Duration) Eviction {
	a, ok := s.config.Eviction.(Adaptive)
	switch {
	case !ok:
		return s.config.Eviction
	case s.shadows[1].missesAt(now, a.HalfLife) < s.shadows[0].missesAt(now, a.HalfLife):
		return a.Second
	default:
		return a.First
	}
}

// shadowing gives the shadows the request, of which use is the record.
func (s Slots) shadowing(use Use, now time.Duration) Slots {
	a, ok := s.config.Eviction.(Adaptive)
	if !ok {
		return s
	}
	for i, eviction := range [2]Eviction{a.First, a.Second} {
		sh := s.shadows[i]
		uses := append(make([]Use, 0, s.config.Slots), sh.uses...)
		at := slices.IndexFunc(uses, func(u Use) bool { return u.Name == use.Name })
		if at < 0 {
			sh.misses, sh.at = sh.missesAt(now, a.HalfLife)+1, now
			at = s.least(uses, eviction, now)
		}
		if at == len(uses) {
			uses = append(uses, use)
		}
		uses[at] = use
		sh.uses = uses
		s.shadows[i] = sh
	}
	return s
}

// least returns the position of the least worth, or the end when there is room for another.
func (s Slots) least(uses []Use, eviction Eviction, now time.Duration) int {
	if len(uses) < s.config.Slots {
		return len(uses)
	}
	at, worst := 0, math.Inf(1)
	for i, u := range uses {
		if worth := eviction.Worth(s.decayed(u, now), now); worth < worst {
			at, worst = i, worth
		}
	}
	return at
}

func (sh shadow) missesAt(now, halfLife time.Duration) float64 {
	return sh.misses * decay(now-sh.at, halfLife)
}

// decayed returns the use with its count as of now; Last is kept.
func (s Slots) decayed(u Use, now time.Duration) Use {
	u.Count *= decay(now-u.Last, s.config.HalfLife)
	return u
}

// used adds one request at now.
func (s Slots) used(u Use, now time.Duration) Use {
	u = s.decayed(u, now)
	u.Count++
	u.Last = max(u.Last, now)
	return u
}

// remembering keeps the count of an evicted adapter, in place of the smallest one when the history is full.
func (s Slots) remembering(u Use, now time.Duration) Slots {
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

// decay is the factor that a count shrinks by in the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
