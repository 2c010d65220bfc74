package forwarder

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/budgeter"
	"geraniumladder/pkg/detector"
	"geraniumladder/pkg/estimator"
	"geraniumladder/pkg/pacer"
	"geraniumladder/pkg/placer"
	"geraniumladder/pkg/selector"
	"geraniumladder/pkg/throttler"
)

const (
	// stateTTL is how long a sidecar's report is valid. Sidecars report at least once a second.
	stateTTL = 2500 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the moving average of an endpoint's failure rate.
	failureWeight = 0.1
	// failureHalfLife is the time in which the failure rate of an endpoint without requests decays by half, so that the
	// endpoint is tried again.
	failureHalfLife = 3 * time.Second
	// minSuspectTime and maxSuspectTime bound the time for which a failed endpoint is avoided. The time doubles with each
	// consecutive failure.
	minSuspectTime = 250 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// maxCachedPrefixes limits the prompt prefixes tracked for one endpoint.
	maxCachedPrefixes = 2048
	// maxIdleUsage is the number of usage records of one endpoint above which those of idle adapters that aren't
	// resident are dropped.
	maxIdleUsage = 64
	// initialCopyCount is the number of adapters, resident ones included, that an engine is expected to load fast until
	// loads have shown another number.
	initialCopyCount = 44
	// maxFirstRound bounds the random number of the first round of grants.
	maxFirstRound = 1 << 40
)

// incarnation identifies one incarnation of an endpoint. An endpoint may restart under the same ID.
type incarnation struct {
	id   string
	born int64
}

// String returns the name of the incarnation in messages between entries.
func (i incarnation) String() string { return i.id + "@" + strconv.FormatInt(i.born, 10) }

// endpoint is this entry's view of one incarnation of an endpoint.
//
// Its fields are guarded by the fleet's lock, but for ID, Born and key, which never change. What a request needs of the
// others without the lock, it takes with it when it chooses the endpoint (placement).
type endpoint struct {
	// ID and Born hide those of the registration, which is overwritten when it changes.
	ID   string
	Born int64
	registrar.Endpoint
	engine *registrar.Engine
	// state is the sidecar's last report, and stateAt the time of its receipt; zero without a report.
	state   wire.EngineState
	stateAt time.Time
	// heartbeats records the sidecar's reports as heartbeats, and liveness is the result of the last liveness check.
	heartbeats detector.Heartbeats
	liveness   detector.Liveness
	// probes are those of the endpoint itself, made while its sidecar is overdue.
	probes detector.Probes
	supersession
	// key identifies the incarnation in messages between entries.
	key string
	// hasEnded means that this incarnation is known to have ended, and lost holds the attempts that it had not answered
	// when their connections ended, until that is known.
	hasEnded bool
	lost     []lostAttempt
	endChecks
	// attempts are the attempts in progress.
	attempts map[*attempt]struct{}
	// resident maps the adapters that the engine is expected to hold to their versions, and loading those being loaded.
	resident map[registrar.AdapterKey]int64
	loading  map[registrar.AdapterKey]int64
	// inUse holds the resident adapters that requests of any entry use, according to the sidecar's last report.
	inUse map[registrar.AdapterKey]bool
	usage map[registrar.AdapterKey]*adapterUsage
	// copies holds recently resident adapters, of which the engine loads the last copyCount much faster. copyCount is
	// shared by the engines of the service.
	copies    budgeter.Copies[registrar.AdapterKey]
	copyCount *budgeter.CopyCount
	// open is the number of this entry's open requests at the endpoint. sentSinceReport is the number of requests sent
	// since the sidecar's last report.
	open, sentSinceReport int
	// waiting is the sum of the waiting requests of usage.
	waiting int
	// pendingPrefill is the number of prompt tokens that this entry has sent and for which no first event has arrived.
	// othersPendingPrefill is that of the other entries.
	pendingPrefill, othersPendingPrefill float64
	// reportedPrefill is the value of pendingPrefill that was last sent to the sidecar.
	reportedPrefill float64
	// isDirty means that pendingPrefill has grown and should be sent to the sidecar soon.
	isDirty bool
	// steadyDemandAt is when the demand was last sent because of the time alone; zero before the first.
	steadyDemandAt time.Time
	// isDemandIdle is set if the demand that was last sent is idle. The sidecar counts one that isn't until it gets another.
	isDemandIdle bool
	// failureRate is the moving average of failures at the time failureAt.
	failureRate         float64
	failureAt           time.Time
	consecutiveFailures int
	suspectUntil        time.Time
	// cached maps the prompt prefixes that the engine is expected to have in its cache to the time of their last use.
	cached map[prefixKey]time.Time
	// speed is the engine's learned speed, and backlog the estimate of its unread prompt tokens.
	speed   estimator.Engine
	backlog estimator.Backlog
	pace    endpointPace
	// changed is closed and replaced when the endpoint's state changes.
	changed chan struct{}
}

// adapterUsage counts this entry's requests for one adapter at one endpoint.
type adapterUsage struct {
	version int64
	// waiting requests wait for the adapter to be loaded, and open ones are at the engine. sentTotal counts all requests
	// sent and never decreases; it is reported as AdapterDemand.Recent.
	waiting, open, sentTotal int
}

// prefixKey identifies a prompt prefix in an engine's cache, which depends on the model and the adapter.
type prefixKey struct {
	adapter registrar.AdapterKey
	hash    uint64
}

// fleet is this entry's view of all endpoints.
type fleet struct {
	mu       sync.Mutex
	domain   string
	now      func() time.Time
	detector detector.Config
	// checkedAt is the time of the last liveness check; zero before the first.
	checkedAt time.Time
	// isProbed is set if endpoints can be probed, and probing is the number of probes in progress.
	isProbed bool
	probing  int
	// endChecking is the number of checks in progress whether an endpoint has ended.
	endChecking   int
	byIncarnation map[incarnation]*endpoint
	byService     map[string][]*endpoint
	byAddress     map[string]*endpoint
	versions      map[registrar.AdapterKey]int64
	// evacuated is the set of failure domains whose endpoints get no requests.
	evacuated map[string]bool
	// copyCounts holds the learned number of fast loading adapters by service.
	copyCounts map[string]*budgeter.CopyCount
	// defaults is the configuration of the cost estimate before anything is learned, and estimates holds what each service
	// has taught.
	defaults  selector.Config
	estimates map[string]*estimator.Service
	// crashes holds the crashes that takeCrashes has not returned yet.
	crashes []endpointCrash
	// reports holds what the endpoints have reported in responses.
	reports *reports
	// transfers is locked after mu.
	transfers *transfers
	// start is the origin of the times of pacing, and listedAt the time of the first list of endpoints; zero before.
	start, listedAt time.Time
	vm              string
	log             zerolog.Logger
	// demandOf counts the requests for each service, and shares divides the rates of cold endpoints without a sidecar.
	demandOf map[string]*serviceDemand
	// mostlyPaced holds the services of whose endpoints more than half are paced, as of the last liveness check.
	mostlyPaced map[string]bool
	shares      throttler.Throttler[string]
	rng         *rand.Rand
}

// newFleet returns a view without endpoints.
func newFleet(c *Config, r *reports) *fleet {
	return &fleet{
		isProbed: c.Probe != nil, start: c.Now(), vm: c.VM, log: c.Log, demandOf: map[string]*serviceDemand{}, mostlyPaced: map[string]bool{}, rng: rand.New(rand.NewPCG(c.Seed, c.Seed>>2)),
		shares: throttler.New[string](throttler.Config{MaxUsers: pacer.FallbackUsers}, c.VM, 0),
		domain: c.Domain, now: c.Now, detector: detector.Config{}.WithDefaults(), byIncarnation: map[incarnation]*endpoint{}, byService: map[string][]*endpoint{},
		byAddress: map[string]*endpoint{}, versions: map[registrar.AdapterKey]int64{}, reports: r,
		transfers: newTransfers(r.clock), copyCounts: map[string]*budgeter.CopyCount{},
		defaults: c.Selector, estimates: map[string]*estimator.Service{},
	}
}

// setEndpoints replaces the list of endpoints and returns the IDs of the incarnations that the new list supersedes. The
// state of endpoints that remain is kept.
func (f *fleet) setEndpoints(list []registrar.Endpoint, c *registrar.Configuration) (superseded []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, oldByAddress := f.byIncarnation, f.byAddress
	now := f.now()
	if f.listedAt.IsZero() && len(list) > 0 {
		f.listedAt = now
	}
	f.byIncarnation, f.byService, f.byAddress = map[incarnation]*endpoint{}, map[string][]*endpoint{}, map[string]*endpoint{}
	for _, r := range list {
		key := incarnation{id: r.ID, born: r.Born}
		e := old[key]
		if e == nil {
			e = f.newEndpoint(key, r.Service, oldByAddress[r.Address])
		}
		if e.stateAt.IsZero() || f.now().Sub(e.stateAt) > stateTTL {
			e.resident = heldAdapters(r.Models)
		}
		e.Endpoint = r
		if c != nil {
			e.setService(c.Service(r.Service), now)
		}
		e.pace.setListed(old[key] == nil && e.engine != nil && e.pace.hasSlowStart && now.Sub(f.listedAt) >= fleetStartTime, now)
		f.byIncarnation[key] = e
		if other := f.byAddress[r.Address]; other == nil || other.Born < r.Born {
			f.byAddress[r.Address] = e
		}
		f.byService[r.Service] = append(f.byService[r.Service], e)
	}
	for _, e := range f.byIncarnation {
		if e.Born != 0 && e.Born < f.byAddress[e.Address].Born && f.supersede(e) {
			superseded = append(superseded, e.ID)
		}
	}
	f.forgetUnlisted(old)
	return superseded
}

// newEndpoint returns the view of a new incarnation. previous is the one that had the address, or nil.
func (f *fleet) newEndpoint(key incarnation, service string, previous *endpoint) *endpoint {
	e := &endpoint{
		ID: key.id, Born: key.born, usage: map[registrar.AdapterKey]*adapterUsage{}, resident: map[registrar.AdapterKey]int64{},
		loading: map[registrar.AdapterKey]int64{}, copyCount: f.copyCount(service), cached: map[prefixKey]time.Time{}, changed: make(chan struct{}),
		attempts: map[*attempt]struct{}{}, key: key.String(), pace: endpointPace{holder: pacer.NewHolder(f.rng.Int64N(maxFirstRound))},
	}
	e.backlog = e.backlog.WithRate(f.now(), f.defaults.PrefillTokensPerMs)
	if previous != nil {
		e.copies = previous.copies.WithRestart()
	}
	return e
}

// forgetUnlisted marks the incarnations that are no longer listed as ended if a later one has their address or they have cut
// off requests lately, and drops the reports of those whose successor can't be told from them.
func (f *fleet) forgetUnlisted(old map[incarnation]*endpoint) {
	for key, e := range old {
		if f.byIncarnation[key] != nil {
			continue
		}
		if next := f.byAddress[e.Address]; next != nil && next.Born > e.Born || len(e.lost) > 0 {
			f.markEnded(e)
		}
		if key.born == 0 {
			f.reports.forget(e.key)
		}
	}
}

// setService applies the configuration of the endpoint's service, which is nil if it isn't configured.
func (e *endpoint) setService(s *registrar.Service, now time.Time) {
	if s != nil {
		e.engine = s.Engine
	}
	e.pace.setRegistration(&e.Endpoint, s, now)
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

// setVersions replaces the declared adapter versions.
func (f *fleet) setVersions(versions map[registrar.AdapterKey]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions = versions
}

// version returns the minimum version of the adapter that may serve requests; 0 allows any.
func (f *fleet) version(key registrar.AdapterKey) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[key]
}

// setState applies a sidecar's report and returns the ID of the incarnation that the report supersedes, if any.
func (f *fleet) setState(s wire.EngineState) (superseded string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byAddress[s.Address]
	if e == nil {
		return ""
	}
	if e.Born != 0 && s.Born != 0 && e.Born != s.Born {
		if e.Born < s.Born && f.supersede(e) {
			return e.ID
		}
		return ""
	}
	f.transfers.observe(e, &s)
	e.recordLoads(s.Transfers)
	if s.Adapters != nil && !s.IsDown {
		e.resident, e.loading = adapterSet(s.Adapters.Resident), adapterSet(s.Adapters.Loading)
		e.copies = e.copies.WithHeld(e.resident)
		e.inUse = map[registrar.AdapterKey]bool{}
		for _, a := range s.Adapters.Resident {
			if a.IsUsed {
				e.inUse[registrar.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = true
			}
		}
	}
	if s.IsDown {
		f.markEnded(e)
	} else {
		e.hasEnded = false
	}
	if e.pace.setPace(s.Pace, f.vm, f.now()) {
		f.log.Info().Str("Endpoint", e.ID).Bool("IsPaced", e.pace.isPaced).Bool("IsCold", e.pace.isCold(f.now())).
			Msg("forwarder: pacing of endpoint changed")
	}
	e.othersPendingPrefill = max(0, float64(s.UnreadTokens)-e.reportedPrefill)
	e.state, e.stateAt, e.sentSinceReport = s, f.now(), 0
	f.setSharedSpeed(e, s.Speed)
	e.state.Adapters = nil
	e.heartbeats = e.heartbeats.WithHeartbeat(e.stateAt, time.Duration(s.NextWithinMilliseconds)*time.Millisecond)
	e.notifyChanged()
	return ""
}

// notifyChanged wakes the goroutines that wait for a change of the endpoint.
func (e *endpoint) notifyChanged() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// copyCount returns the number of fast loading adapters of the service's engines.
func (f *fleet) copyCount(service string) *budgeter.CopyCount {
	n := f.copyCounts[service]
	if n == nil {
		n = new(budgeter.CopyCount)
		*n = initialCopyCount
		f.copyCounts[service] = n
	}
	return n
}

// recordLoads learns from finished loads of which adapters the engine has copies.
func (e *endpoint) recordLoads(list []wire.AdapterTransfer) {
	for _, x := range list {
		e.copies, *e.copyCount = e.copies.WithLoad(registrar.AdapterKey{Model: x.Model, Adapter: x.Adapter}, x.IsWarm, *e.copyCount)
	}
}

// isWarm reports whether the engine is expected to load the adapter without the weight store.
func (e *endpoint) isWarm(key registrar.AdapterKey) bool {
	return e.copies.Includes(key, *e.copyCount)
}

func adapterSet(names []wire.AdapterName) map[registrar.AdapterKey]int64 {
	set := make(map[registrar.AdapterKey]int64, len(names))
	for _, n := range names {
		set[registrar.AdapterKey{Model: n.Model, Adapter: n.Adapter}] = n.Version
	}
	return set
}

// criteria are the inputs for the selection of an endpoint.
type criteria struct {
	service string
	call    *Call
	version int64
	request selector.Request
	// only restricts the selection to these endpoints if it is not nil.
	only map[incarnation]bool
	// excluded holds the endpoints that have failed or rejected this request, and becameUnavailable those that became
	// unavailable while the request waited for its adapter.
	excluded, becameUnavailable map[incarnation]bool
	// allows reports whether the limit that an endpoint has named allows another request, and if not, after which time it
	// does; 0 if that is unknown.
	allows func(e *endpoint) (ok, isDue bool, after time.Duration)
	// isLimited is set if an endpoint was left out because of its limit, and limitedFor to the shortest known time after
	// which one takes a request.
	isLimited  bool
	limitedFor time.Duration
	// isEvacuated is set if an endpoint was left out because its failure domain is evacuated.
	isEvacuated bool
	// homes restricts the selection to regions, and isElsewhere is set if an endpoint was left out because of that.
	homes       homes
	isElsewhere bool
	// isPaced is set if an endpoint was left out because it is paced and this entry holds no grant for it.
	isPaced bool
	// isCounted means that the request has been counted as demand on its service.
	isCounted bool
	// due is the index of a candidate that should get a request in order to learn whether its limit is still in force;
	// -1 if there is none.
	due int
}

// candidates returns the endpoints that may serve the request, with the inputs of the cost function.
func (f *fleet) candidates(sel *criteria) ([]selector.Candidate, []*endpoint) {
	now := f.now()
	sel.isLimited, sel.limitedFor, sel.isEvacuated, sel.isElsewhere, sel.isPaced, sel.due = false, 0, false, false, false, -1
	if !sel.isCounted {
		sel.isCounted = true
		f.recordServiceDemand(sel.service, now)
	}
	list := f.byService[sel.service]
	candidates := make([]selector.Candidate, 0, len(list))
	endpoints := make([]*endpoint, 0, len(list))
	for _, e := range list {
		key := incarnation{id: e.ID, born: e.Born}
		if sel.excluded[key] || sel.becameUnavailable[key] || sel.only != nil && !sel.only[key] {
			continue
		}
		if !sel.homes.allow(e.Domain) {
			sel.isElsewhere = true
			continue
		}
		if !f.takesRequests(e) {
			sel.isEvacuated = sel.isEvacuated || f.evacuated[e.Domain]
			continue
		}
		if f.paceOf(e, now) == closed {
			sel.isPaced = true
			continue
		}
		ok, isDue, after := sel.allows(e)
		if !ok {
			sel.isLimited = true
			if after > 0 && (sel.limitedFor == 0 || after < sel.limitedFor) {
				sel.limitedFor = after
			}
			continue
		}
		c := f.candidate(e, sel, now)
		if isDue && c.Residency == selector.Resident && !c.IsSuspect {
			sel.due = len(candidates)
		}
		endpoints = append(endpoints, e)
		candidates = append(candidates, c)
	}
	rankByRendezvous(candidates, sel.call.Model)
	return candidates, endpoints
}

func (f *fleet) candidate(e *endpoint, sel *criteria, now time.Time) selector.Candidate {
	fresh := !e.stateAt.IsZero() && now.Sub(e.stateAt) < stateTTL
	// Without a recent report from the sidecar, the free KV cache is unknown and assumed to suffice for any request.
	c := selector.Candidate{
		ID: e.ID, IsSameDomain: e.Domain == f.domain, Batch: max(1, e.Slots), Busy: e.open, UnreadTokens: e.pendingPrefill,
		FreeTokens: 1e9, Residency: selector.Resident, HasFreeSlot: true, IsCold: now.Before(e.pace.coldUntil),
		Speed: e.speed.Speed(now), FailureRate: e.currentFailureRate(now), IsSuspect: now.Before(e.suspectUntil) || e.liveness >= detector.Suspect,
	}
	if e.engine == nil {
		return c
	}
	c.Batch = max(1, e.engine.Batch)
	c.UnreadTokens = e.unreadTokens(now)
	if fresh {
		c.Busy = max(e.open, e.state.Running+e.state.Waiting+e.sentSinceReport)
		c.FreeTokens = float64(e.state.TotalTokens - e.state.UsedTokens)
		c.IsSuspect = c.IsSuspect || e.state.IsDown
	}
	if _, held := e.resident[registrar.AdapterKey{Model: sel.call.Model.Model}]; !held && sel.call.Model.Model != "" {
		c.LacksModel, c.Residency = true, selector.Absent
	}
	if sel.call.Model.Adapter != "" {
		c.Residency = e.residency(sel.call.Model, sel.version)
		c.HasFreeSlot, c.QueuedLoads = e.adapterSlot(sel.call.Model)
		c.IsWarm = e.isWarm(sel.call.Model)
		if c.Residency == selector.Absent && !c.IsWarm {
			c.TransferWait = f.transfers.wait(e, sel.call.Model)
		}
	}
	c.CachedPrefixTokens = e.cachedTokens(sel.call)
	return c
}

// takesRequests reports whether the endpoint gets new requests: it isn't leaving, superseded, closed or in an evacuated
// failure domain.
func (f *fleet) takesRequests(e *endpoint) bool {
	return !e.IsLeaving && !e.isSuperseded && !f.evacuated[e.Domain] && f.reports.isOpen(e)
}

// isGone reports whether the endpoint gets no new requests any more or is no longer listed.
func (f *fleet) isGone(e *endpoint) bool {
	return !f.takesRequests(e) || f.byIncarnation[incarnation{id: e.ID, born: e.Born}] != e
}

// recordMisdirected records that another endpoint now has the address, or that the engine lacks the adapter or its
// version.
func (f *fleet) recordMisdirected(e *endpoint, responder string, key registrar.AdapterKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if responder != "" && responder != e.ID {
		e.suspectUntil = f.now().Add(maxSuspectTime)
		return
	}
	delete(e.resident, key)
}

// currentFailureRate returns the failure rate, halved for each failureHalfLife without an outcome.
func (e *endpoint) currentFailureRate(now time.Time) float64 {
	halves := float64(now.Sub(e.failureAt)) / float64(failureHalfLife)
	return e.failureRate / float64(uint(1)<<min(20, uint(max(0, halves))))
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

// adapterSlot reports whether the adapter can be loaded without waiting for a slot in use, and how many other adapters
// are queued for loading.
func (e *endpoint) adapterSlot(wanted registrar.AdapterKey) (isAvailable bool, queuedLoads int) {
	taken := len(e.loading)
	for key := range e.resident {
		if key.Adapter != "" && e.isInUse(key) {
			taken++
		}
	}
	for key, u := range e.waitingUsage() {
		if u.waiting > 0 && key.Adapter != "" && key != wanted && e.residency(key, u.version) == selector.Absent {
			queuedLoads++
		}
	}
	if _, isOutdated := e.resident[wanted]; isOutdated && e.isInUse(wanted) {
		// The new version replaces the old one only after the requests that use the old one have ended.
		return false, queuedLoads
	}
	return e.engine.AdapterSlots == 0 || taken+queuedLoads < e.engine.AdapterSlots, queuedLoads
}

// waitingUsage returns the usage records if any request waits, and otherwise none, because there may be many of idle
// adapters.
func (e *endpoint) waitingUsage() map[registrar.AdapterKey]*adapterUsage {
	if e.waiting == 0 {
		return nil
	}
	return e.usage
}

func (e *endpoint) isInUse(key registrar.AdapterKey) bool {
	u := e.usage[key]
	return e.inUse[key] || u != nil && u.open > 0
}

// prefixHashes returns a hash of each prefix of the parts.
func prefixHashes(parts []PromptPart) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, len(parts))
	for i, p := range parts {
		h.Write([]byte(p.ID))
		h.Write([]byte{','})
		out[i] = h.Sum64()
	}
	return out
}

func (e *endpoint) cachedTokens(call *Call) float64 {
	if len(e.cached) == 0 {
		return 0
	}
	cached := 0.0
	for i, hash := range call.prefixHashes {
		if _, ok := e.cached[prefixKey{adapter: call.Model, hash: hash}]; !ok {
			break
		}
		cached += call.Parts[i].Tokens
	}
	return cached
}

// rankByRendezvous ranks the candidates by rendezvous hashing of the adapter, so that entries that don't know of each
// other's adapter loads select the same engine for the same adapter.
func rankByRendezvous(candidates []selector.Candidate, key registrar.AdapterKey) {
	if key.Adapter == "" {
		return
	}
	// The weights are the rendezvous scores. The candidate with the highest one has rank 0.
	weights := make([]uint64, len(candidates))
	for i := range candidates {
		h := fnv.New64a()
		h.Write([]byte(key.Model))
		h.Write([]byte{'/'})
		h.Write([]byte(key.Adapter))
		h.Write([]byte{'@'})
		h.Write([]byte(candidates[i].ID))
		weights[i] = placer.Mix64(h.Sum64())
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

// recordStart counts a request that is about to be sent.
func (e *endpoint) recordStart(call *Call, version int64, pendingPrefill float64, now time.Time) {
	e.open++
	e.sentSinceReport++
	e.pendingPrefill += pendingPrefill
	e.isDirty = e.isDirty || pendingPrefill > 0
	e.updateBacklog(now)
	u := e.usageOf(call.Model, version)
	u.open++
	u.sentTotal++
	for _, hash := range call.prefixHashes {
		e.cached[prefixKey{adapter: call.Model, hash: hash}] = now
	}
	if len(e.cached) > maxCachedPrefixes {
		e.evictOldPrefixes(now)
	}
}

// evictOldPrefixes removes the prefixes whose age is above the mean.
func (e *endpoint) evictOldPrefixes(now time.Time) {
	total := time.Duration(0)
	for _, at := range e.cached {
		total += now.Sub(at)
	}
	mean := total / time.Duration(len(e.cached))
	for key, at := range e.cached {
		if now.Sub(at) > mean {
			delete(e.cached, key)
		}
	}
}

func (e *endpoint) usageOf(key registrar.AdapterKey, version int64) *adapterUsage {
	u := e.usage[key]
	if u == nil {
		u = &adapterUsage{}
		e.usage[key] = u
	}
	u.version = max(u.version, version)
	return u
}

// recordEnd removes a request from the counts. pendingPrefill is the part of its prompt that was still pending.
func (e *endpoint) recordEnd(call *Call, pendingPrefill float64) {
	e.open--
	e.pendingPrefill = max(0, e.pendingPrefill-pendingPrefill)
	if u := e.usage[call.Model]; u != nil {
		u.open--
	}
}

// recordSuccess and recordFailure update the failure rate of the endpoint. A failure to connect makes the endpoint
// suspect at once, because the next request would fail too.
func (e *endpoint) recordSuccess(now time.Time) {
	e.failureRate = e.currentFailureRate(now) * (1 - failureWeight)
	e.failureAt = now
	e.consecutiveFailures = 0
	e.suspectUntil = time.Time{}
}

func (e *endpoint) recordFailure(now time.Time, isUnreachable bool) {
	e.failureRate = e.currentFailureRate(now)*(1-failureWeight) + failureWeight
	e.failureAt = now
	e.consecutiveFailures++
	if isUnreachable || e.consecutiveFailures > 2 {
		e.suspectUntil = now.Add(min(maxSuspectTime, minSuspectTime<<min(4, e.consecutiveFailures)))
	}
}

// EngineDemand is this entry's demand on one engine, as sent to its sidecar.
type EngineDemand struct {
	// Address is the address of the engine.
	Address string
	Message wire.EntryDemand
	// IsUrgent means that requests wait for an adapter.
	IsUrgent bool
}

// dirtyDemands returns the demands that have changed and should be sent soon.
func (f *fleet) dirtyDemands() []EngineDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []EngineDemand
	for _, e := range f.byIncarnation {
		if e.engine != nil && (e.isDirty || f.isPaceDue(e, f.now())) {
			e.isDirty = false
			list = append(list, f.demand(e))
		}
	}
	return list
}

// demands returns the demand on each engine, or on the one at the address if it is not empty. The caller of demands fills
// in Boot, Sequence and VM.
func (f *fleet) demands(address string) []EngineDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []EngineDemand
	if address != "" {
		if e := f.byAddress[address]; e != nil {
			list = append(list, f.demand(e))
		}
		return list
	}
	for _, e := range f.byIncarnation {
		if e.engine != nil {
			list = append(list, f.demand(e))
		}
	}
	return list
}

// steadyDemands returns the demands that are sent because of the time alone. Those without requests are returned once in
// idleInterval, unless the sidecar still counts requests or isn't heard of: it may have restarted and know no entry.
func (f *fleet) steadyDemands(idleInterval time.Duration) []EngineDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var list []EngineDemand
	for _, e := range f.byIncarnation {
		if e.engine == nil {
			continue
		}
		wasIdle := e.isDemandIdle
		if d := f.demand(e); !wasIdle || !e.isDemandIdle || e.liveness != detector.Heard || now.Sub(e.steadyDemandAt) >= idleInterval {
			e.steadyDemandAt = now
			list = append(list, d)
		}
	}
	return list
}

// speedPrecision is the number of steps of a told speed between 0 and 1. More digits would be a fifth of an idle demand.
const speedPrecision = 1000

func (f *fleet) demand(e *endpoint) EngineDemand {
	e.reportedPrefill = e.pendingPrefill
	d := EngineDemand{Address: e.Address, Message: wire.EntryDemand{
		EndpointID: e.ID, UnreadTokens: int64(e.pendingPrefill), Speed: math.Round(e.speed.OwnSpeed(f.now())*speedPrecision) / speedPrecision,
		Wanted: []wire.AdapterDemand{}, Used: []wire.AdapterDemand{}, Pace: f.paceDemand(e),
	}}
	for key, u := range e.usage {
		if key.Model == "" {
			continue
		}
		a := wire.AdapterDemand{Model: key.Model, Adapter: key.Adapter, Version: u.version, Open: u.waiting, Recent: u.sentTotal}
		if u.waiting > 0 {
			d.IsUrgent = true
			d.Message.Wanted = append(d.Message.Wanted, a)
		}
		a.Open = u.open
		if _, held := e.resident[key]; held || u.open > 0 {
			d.Message.Used = append(d.Message.Used, a)
		}
	}
	e.isDemandIdle = d.Message.IsIdle()
	return d
}

// pruneUsage removes the usage records of adapters that are neither resident nor in use, at endpoints that have more
// than maxIdleUsage records.
func (f *fleet) pruneUsage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byIncarnation {
		for key, u := range e.usage {
			if _, held := e.resident[key]; !held && u.open == 0 && u.waiting == 0 && len(e.usage) > maxIdleUsage {
				delete(e.usage, key)
			}
		}
	}
}

// hasAddress reports whether a listed endpoint has the address.
func (f *fleet) hasAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddress[address] != nil
}
