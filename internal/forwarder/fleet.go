package forwarder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/detector"
	"geraniumladder/pkg/placer"
	"geraniumladder/pkg/selector"
)

const (
	// stateLife is how long a sidecar's report counts; it is sent at least once a second.
	stateLife = 2500 * time.Millisecond
	// failureWeight is the part of the newest outcome in an endpoint's share of failures.
	failureWeight = 0.1
	// failureHalfLife halves the share of failures of an endpoint that gets no requests, so that it is tried again.
	failureHalfLife = 3 * time.Second
	// suspectFirst and suspectMost bound the time for which an endpoint that failed is avoided; it doubles with each
	// failure in a row.
	suspectFirst = 250 * time.Millisecond
	suspectMost  = 4 * time.Second
	// keptPartsMost bounds the prompt parts remembered for one endpoint.
	keptPartsMost = 2048
	// usesMost bounds the adapters remembered for one endpoint beyond those that it holds.
	usesMost = 64
	// warmMost is the number of adapters that an engine is believed to load fast, those that it holds included.
	warmMost = 44
)

// run names one run of an endpoint. An endpoint may come back under its ID.
type run struct {
	id   string
	born int64
}

// endpoint is this entry's belief about one run of an endpoint.
type endpoint struct {
	registrar.Endpoint
	engine *registrar.Engine
	// state is the sidecar's last report; stateAt is zero without one.
	state   wire.EngineState
	stateAt time.Time
	// beats are the sidecar's reports as signs of life, and standing is what the last watch made of them.
	beats    detector.Beats
	standing detector.Standing
	// isSuperseded runs have ended, because a later one has their address. Their registration may outlive them.
	isSuperseded bool
	// attempts are the open ones.
	attempts map[*attempt]struct{}
	// resident holds the adapters that the engine is believed to hold, loading those on their way.
	resident map[registrar.AdapterKey]int64
	loading  map[registrar.AdapterKey]int64
	// used holds the resident adapters that requests of any entry use, as of the sidecar's last report.
	used map[registrar.AdapterKey]bool
	uses map[registrar.AdapterKey]*use
	// warm holds adapters that the engine held lately, with the time of the last sight: it loads them much faster.
	warm map[registrar.AdapterKey]time.Time
	// open is the number of this entry's open requests there, and sentSince that of requests sent since the report.
	open, sentSince int
	// unread is the number of prompt tokens sent there and not yet answered by a first event, othersUnread that of the
	// other entries.
	unread, othersUnread float64
	// toldUnread is what the sidecar was last told of unread.
	toldUnread float64
	// isDirty says that the sidecar should hear of unread soon.
	isDirty bool
	// failureShare is as of failureAt.
	failureShare float64
	failureAt    time.Time
	failuresRow  int
	suspectUntil time.Time
	// kept maps the parts of prompts to when they were last read there.
	kept map[partKey]time.Time
	// changed is closed and replaced when a report arrives.
	changed chan struct{}
}

// use counts this entry's requests for one adapter at one endpoint.
type use struct {
	version int64
	// waiting requests need the adapter to be loaded; open ones are at the engine. recent never falls.
	waiting, open, recent int
}

// partKey names a part of a prompt as an engine keeps it: for one model and adapter, after all earlier parts.
type partKey struct {
	adapter registrar.AdapterKey
	chain   uint64
}

// fleet is this entry's view of all endpoints.
type fleet struct {
	mu       sync.Mutex
	domain   string
	now      func() time.Time
	detector detector.Config
	// watchedAt is the time of the last watch; zero before the first.
	watchedAt time.Time
	byRun     map[run]*endpoint
	byService map[string][]*endpoint
	byAddress map[string]*endpoint
	versions  map[registrar.AdapterKey]int64
}

func newFleet(domain string, now func() time.Time) *fleet {
	return &fleet{
		domain: domain, now: now, detector: detector.Config{}.WithDefaults(), byRun: map[run]*endpoint{}, byService: map[string][]*endpoint{},
		byAddress: map[string]*endpoint{}, versions: map[registrar.AdapterKey]int64{},
	}
}

// withEndpoints replaces the list of endpoints and returns the IDs of runs that it shows to have ended. What is known of
// those that stay is kept.
func (f *fleet) withEndpoints(list []registrar.Endpoint, c *registrar.Configuration) (superseded []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.byRun
	f.byRun, f.byService, f.byAddress = map[run]*endpoint{}, map[string][]*endpoint{}, map[string]*endpoint{}
	for _, r := range list {
		key := run{id: r.ID, born: r.Born}
		e := old[key]
		if e == nil {
			e = &endpoint{
				uses: map[registrar.AdapterKey]*use{}, resident: map[registrar.AdapterKey]int64{},
				loading: map[registrar.AdapterKey]int64{}, warm: map[registrar.AdapterKey]time.Time{}, kept: map[partKey]time.Time{}, changed: make(chan struct{}),
				attempts: map[*attempt]struct{}{},
			}
		}
		if e.stateAt.IsZero() || f.now().Sub(e.stateAt) > stateLife {
			e.resident = heldAdapters(r.Models)
		}
		e.Endpoint = r
		if c != nil {
			if s := c.Service(r.Service); s != nil {
				e.engine = s.Engine
			}
		}
		f.byRun[key] = e
		if other := f.byAddress[r.Address]; other == nil || other.Born < r.Born {
			f.byAddress[r.Address] = e
		}
		f.byService[r.Service] = append(f.byService[r.Service], e)
	}
	for _, e := range f.byRun {
		if e.Born != 0 && e.Born < f.byAddress[e.Address].Born && e.supersede() {
			superseded = append(superseded, e.ID)
		}
	}
	return superseded
}

// supersede notes that a later run has the endpoint's address, and says whether that is new.
func (e *endpoint) supersede() bool {
	if e.isSuperseded {
		return false
	}
	e.isSuperseded = true
	e.announce()
	return true
}

func heldAdapters(models []registrar.HeldModel) map[registrar.AdapterKey]int64 {
	held := map[registrar.AdapterKey]int64{}
	for _, m := range models {
		held[registrar.AdapterKey{Model: m.Name}] = m.Version
		for _, a := range m.Adapters {
			held[registrar.AdapterKey{Model: m.Name, Adapter: a.Name}] = a.Version
		}
	}
	return held
}

// withVersions replaces the declared versions.
func (f *fleet) withVersions(versions map[registrar.AdapterKey]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions = versions
}

// version returns the least version that may answer for the adapter; 0 for any.
func (f *fleet) version(key registrar.AdapterKey) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[key]
}

// withState takes a sidecar's report and returns the ID of a run that it shows to have ended, if any.
func (f *fleet) withState(s wire.EngineState) (superseded string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byAddress[s.Address]
	if e == nil {
		return ""
	}
	if e.Born != 0 && s.Born != 0 && e.Born != s.Born {
		if e.Born < s.Born && e.supersede() {
			return e.ID
		}
		return ""
	}
	if s.Adapters != nil && !s.IsDown {
		now := f.now()
		for key := range e.resident {
			e.warm[key] = now
		}
		e.resident, e.loading = adapterSet(s.Adapters.Resident), adapterSet(s.Adapters.Loading)
		e.coolOldest()
		e.used = map[registrar.AdapterKey]bool{}
		for _, a := range s.Adapters.Resident {
			if a.IsUsed {
				e.used[registrar.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = true
			}
		}
	}
	e.othersUnread = max(0, float64(s.UnreadTokens)-e.toldUnread)
	e.state, e.stateAt, e.sentSince = s, f.now(), 0
	e.state.Adapters = nil
	e.beats = e.beats.WithBeat(e.stateAt, time.Duration(s.NextWithinMilliseconds)*time.Millisecond)
	e.announce()
	return ""
}

// announce wakes those who wait for a change at the endpoint.
func (e *endpoint) announce() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// coolOldest forgets the adapters seen longest ago beyond what an engine keeps at hand.
func (e *endpoint) coolOldest() {
	for len(e.warm) > warmMost {
		var oldest registrar.AdapterKey
		var at time.Time
		for key, seen := range e.warm {
			if at.IsZero() || seen.Before(at) {
				oldest, at = key, seen
			}
		}
		delete(e.warm, oldest)
	}
}

func adapterSet(names []wire.AdapterName) map[registrar.AdapterKey]int64 {
	set := make(map[registrar.AdapterKey]int64, len(names))
	for _, n := range names {
		set[registrar.AdapterKey{Model: n.Model, Adapter: n.Adapter}] = n.Version
	}
	return set
}

// want is what a choice is made for.
type want struct {
	service string
	call    *Call
	version int64
	request selector.Request
	// only, when not nil, restricts the choice.
	only map[run]bool
	// avoid holds the endpoints that have failed this request, and failed those that did not get the adapter in time.
	avoid, failed map[run]bool
}

// candidates lists the endpoints that may serve, with the costs' inputs.
func (f *fleet) candidates(w *want) ([]selector.Candidate, []*endpoint) {
	now := f.now()
	list := f.byService[w.service]
	candidates := make([]selector.Candidate, 0, len(list))
	endpoints := make([]*endpoint, 0, len(list))
	for _, e := range list {
		key := run{id: e.ID, born: e.Born}
		if e.IsLeaving || e.isSuperseded || w.avoid[key] || w.failed[key] || w.only != nil && !w.only[key] {
			continue
		}
		endpoints = append(endpoints, e)
		candidates = append(candidates, f.candidate(e, w, now))
	}
	rankHomes(candidates, w.call.Model)
	return candidates, endpoints
}

func (f *fleet) candidate(e *endpoint, w *want, now time.Time) selector.Candidate {
	fresh := !e.stateAt.IsZero() && now.Sub(e.stateAt) < stateLife
	c := selector.Candidate{
		ID: e.ID, IsNear: e.Domain == f.domain, Batch: max(1, e.Slots), Busy: e.open, UnreadTokens: e.unread,
		FreeTokens: 1e9, Residency: selector.Resident, HasRoom: true, IsCold: e.IsCold,
		FailureShare: e.failures(now), IsSuspect: now.Before(e.suspectUntil) || e.standing >= detector.Suspect,
	}
	if e.engine == nil {
		return c
	}
	c.Batch = max(1, e.engine.Batch)
	if fresh {
		c.Busy = max(e.open, e.state.Running+e.state.Waiting+e.sentSince)
		c.FreeTokens = float64(e.state.TotalTokens - e.state.UsedTokens)
		c.IsSuspect = c.IsSuspect || e.state.IsDown
		c.UnreadTokens += e.othersUnread
	}
	if _, held := e.resident[registrar.AdapterKey{Model: w.call.Model.Model}]; !held && w.call.Model.Model != "" {
		c.LacksModel, c.Residency = true, selector.Absent
	}
	if w.call.Model.Adapter != "" {
		c.Residency = e.residency(w.call.Model, w.version)
		c.HasRoom, c.LoadsAhead = e.room(w.call.Model)
		_, c.IsWarm = e.warm[w.call.Model]
	}
	c.KeptTokens = e.keptTokens(w.call)
	return c
}

// isGone says whether the endpoint leaves or is no longer listed, so that it gets nothing new.
func (f *fleet) isGone(e *endpoint) bool {
	return e.IsLeaving || e.isSuperseded || f.byRun[run{id: e.ID, born: e.Born}] != e
}

// misdirected notes that the address belongs to another endpoint by now, or that the engine lacks the adapter or its version.
func (f *fleet) misdirected(e *endpoint, answerer string, key registrar.AdapterKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answerer != "" && answerer != e.ID {
		e.suspectUntil = f.now().Add(suspectMost)
		return
	}
	delete(e.resident, key)
}

// failures is the share of failures, halved for each failureHalfLife without an outcome.
func (e *endpoint) failures(now time.Time) float64 {
	halves := float64(now.Sub(e.failureAt)) / float64(failureHalfLife)
	return e.failureShare / float64(uint(1)<<min(20, uint(max(0, halves))))
}

func (e *endpoint) residency(key registrar.AdapterKey, version int64) selector.Residency {
	if held, ok := e.resident[key]; ok && held >= version {
		return selector.Resident
	}
	if coming, ok := e.loading[key]; ok && coming >= version {
		return selector.Loading
	}
	return selector.Absent
}

// room says whether the adapter can be loaded without waiting for one in use, and how many wait to be loaded.
func (e *endpoint) room(wanted registrar.AdapterKey) (hasRoom bool, ahead int) {
	taken := len(e.loading)
	for key := range e.resident {
		if key.Adapter != "" && e.isUsed(key) {
			taken++
		}
	}
	for key, u := range e.uses {
		if key.Adapter != "" && key != wanted && u.waiting > 0 && e.residency(key, u.version) == selector.Absent {
			ahead++
		}
	}
	if _, isOutdated := e.resident[wanted]; isOutdated && e.isUsed(wanted) {
		// The new version replaces the old one only when the requests on that have ended.
		return false, ahead
	}
	return e.engine.AdapterSlots == 0 || taken+ahead < e.engine.AdapterSlots, ahead
}

func (e *endpoint) isUsed(key registrar.AdapterKey) bool {
	u := e.uses[key]
	return e.used[key] || u != nil && u.open > 0
}

// chains returns a hash for each leading run of the call's parts.
func chains(parts []Part) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, len(parts))
	for i, p := range parts {
		h.Write([]byte(p.ID))
		h.Write([]byte{','})
		out[i] = h.Sum64()
	}
	return out
}

func (e *endpoint) keptTokens(call *Call) float64 {
	if len(e.kept) == 0 {
		return 0
	}
	kept := 0.0
	for i, chain := range call.chains {
		if _, ok := e.kept[partKey{adapter: call.Model, chain: chain}]; !ok {
			break
		}
		kept += call.Parts[i].Tokens
	}
	return kept
}

// rankHomes orders the candidates by rendezvous hashing of the adapter, so that entries which don't know of one
// another's loads choose the same engine for the same adapter.
func rankHomes(candidates []selector.Candidate, key registrar.AdapterKey) {
	if key.Adapter == "" {
		return
	}
	weights := make([]uint64, len(candidates))
	for i := range candidates {
		h := fnv.New64a()
		h.Write([]byte(key.Model))
		h.Write([]byte{'/'})
		h.Write([]byte(key.Adapter))
		h.Write([]byte{'@'})
		h.Write([]byte(candidates[i].ID))
		weights[i] = placer.Mix(h.Sum64())
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	for rank, i := range order {
		candidates[i].HomeRank = rank
	}
}

// started counts a request that is about to be sent.
func (e *endpoint) started(call *Call, version int64, unread float64, now time.Time) {
	e.open++
	e.sentSince++
	e.unread += unread
	e.isDirty = e.isDirty || unread > 0
	u := e.useOf(call.Model, version)
	u.open++
	u.recent++
	for _, chain := range call.chains {
		e.kept[partKey{adapter: call.Model, chain: chain}] = now
	}
	if len(e.kept) > keptPartsMost {
		e.forgetParts(now)
	}
}

// forgetParts drops the older half of the parts by age.
func (e *endpoint) forgetParts(now time.Time) {
	total := time.Duration(0)
	for _, at := range e.kept {
		total += now.Sub(at)
	}
	mean := total / time.Duration(len(e.kept))
	for key, at := range e.kept {
		if now.Sub(at) > mean {
			delete(e.kept, key)
		}
	}
}

func (e *endpoint) useOf(key registrar.AdapterKey, version int64) *use {
	u := e.uses[key]
	if u == nil {
		u = &use{}
		e.uses[key] = u
	}
	u.version = max(u.version, version)
	return u
}

// ended counts the end of a request.
func (e *endpoint) ended(call *Call, unread float64) {
	e.open--
	e.unread = max(0, e.unread-unread)
	if u := e.uses[call.Model]; u != nil {
		u.open--
	}
}

// succeeded and failed keep the belief about the endpoint's health. A failure that says that the endpoint can't be
// reached makes it suspect at once, because the next request would fail too.
func (e *endpoint) succeeded(now time.Time) {
	e.failureShare = e.failures(now) * (1 - failureWeight)
	e.failureAt = now
	e.failuresRow = 0
	e.suspectUntil = time.Time{}
}

func (e *endpoint) failed(now time.Time, isUnreachable bool) {
	e.failureShare = e.failures(now)*(1-failureWeight) + failureWeight
	e.failureAt = now
	e.failuresRow++
	if isUnreachable || e.failuresRow > 2 {
		e.suspectUntil = now.Add(min(suspectMost, suspectFirst<<min(4, e.failuresRow)))
	}
}

// EngineDemand is what this entry asks of one engine's sidecar.
type EngineDemand struct {
	// Address is the engine's.
	Address string
	Message wire.EntryDemand
	// IsUrgent says that requests wait for an adapter.
	IsUrgent bool
}

// dirty returns the demand for the engines whose sidecars should hear of a change soon.
func (f *fleet) dirty() []EngineDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []EngineDemand
	for _, e := range f.byRun {
		if e.isDirty && e.engine != nil {
			e.isDirty = false
			list = append(list, e.demand())
		}
	}
	return list
}

// demands returns the demand for each engine, or for the one at an address. Boot, Sequence and VM are left to the caller.
func (f *fleet) demands(address string) []EngineDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []EngineDemand
	if address != "" {
		if e := f.byAddress[address]; e != nil {
			list = append(list, e.demand())
		}
		return list
	}
	for _, e := range f.byRun {
		if e.engine != nil {
			list = append(list, e.demand())
		}
	}
	return list
}

func (e *endpoint) demand() EngineDemand {
	e.toldUnread = e.unread
	d := EngineDemand{Address: e.Address, Message: wire.EntryDemand{
		EndpointID: e.ID, UnreadTokens: int64(e.unread), Wanted: []wire.AdapterDemand{}, Used: []wire.AdapterDemand{},
	}}
	for key, u := range e.uses {
		if key.Model == "" {
			continue
		}
		a := wire.AdapterDemand{Model: key.Model, Adapter: key.Adapter, Version: u.version, Open: u.waiting, Recent: u.recent}
		if u.waiting > 0 {
			d.IsUrgent = true
			d.Message.Wanted = append(d.Message.Wanted, a)
		}
		a.Open = u.open
		if _, held := e.resident[key]; held || u.open > 0 {
			d.Message.Used = append(d.Message.Used, a)
		}
	}
	return d
}

// tidy forgets the uses of adapters that are neither open nor held.
func (f *fleet) tidy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byRun {
		for key, u := range e.uses {
			if _, held := e.resident[key]; !held && u.open == 0 && u.waiting == 0 && len(e.uses) > usesMost {
				delete(e.uses, key)
			}
		}
	}
}

// isKnown says whether an endpoint has the address.
func (f *fleet) isKnown(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddress[address] != nil
}
