package experimenter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"geraniumladder/pkg/pinner"
	"geraniumladder/pkg/placer"
)

// Model of an engine and of the adapter load budget.
const (
	engineBatchSize = 16
	// A step takes stepBaseTime plus stepTimePerRequest for each running request, and generates one token for each.
	stepBaseTime       = 20 * time.Millisecond
	stepTimePerRequest = time.Millisecond
	// prefillChunkTokens is the number of prompt tokens processed per step.
	prefillChunkTokens = 512
	// prefixCacheSize is the number of prefixes in an engine's prefix cache.
	prefixCacheSize = 32
	loadTime        = 250 * time.Millisecond
	// maxConcurrentLoads is the maximum number of permits in use, and the capacity of the load budget's token bucket.
	maxConcurrentLoads = 8
	// bypassLimit is how long later requests may overtake a request that waits for an adapter slot.
	bypassLimit       = 500 * time.Millisecond
	heartbeatInterval = 5 * time.Second
	lossDetection     = 2 * time.Second
	lossDuration      = time.Minute
	requestTimeout    = 30 * time.Second
	warmUp            = 2 * time.Minute
)

// PlacementScenario names the traffic pattern and faults of a run.
type PlacementScenario string

// Scenarios of the placement experiment.
const (
	Steady       PlacementScenario = "steady"
	Shift        PlacementScenario = "shift"
	Morning      PlacementScenario = "morning"
	DomainLost   PlacementScenario = "domain lost"
	LoadFailures PlacementScenario = "load failures"
)

// PlacementScenarios returns all scenarios. Steady and LoadFailures are measured after warmUp, Shift and DomainLost for
// two minutes after the event, and Morning for the first two minutes, in which all engines start cold.
func PlacementScenarios() []PlacementScenario {
	return []PlacementScenario{Steady, Shift, Morning, DomainLost, LoadFailures}
}

// PlacementPolicy is a placement policy with its eviction policy.
type PlacementPolicy struct {
	Name           string
	Policy         placer.Policy
	EvictionPolicy pinner.EvictionPolicy
}

// PlacementPolicies returns the product's policy, which comes first, and the baselines. All use the same eviction
// policy except the second and third, which show its effect.
func PlacementPolicies() []PlacementPolicy {
	adaptive := pinner.Adaptive{First: pinner.LRU{}, Second: pinner.AgedFrequency{}}
	return []PlacementPolicy{
		{"expected time", placer.ExpectedTime{}, adaptive},
		{"expected time, LRU", placer.ExpectedTime{}, pinner.LRU{}},
		{"expected time, frequency", placer.ExpectedTime{}, pinner.AgedFrequency{}},
		{"random", placer.Random{}, adaptive},
		{"least loaded", placer.LeastLoaded{}, adaptive},
		{"hash", placer.RendezvousHash{}, adaptive},
		{"bounded hash", placer.BoundedHash{}, adaptive},
	}
}

// Placement runs all policies in all scenarios. The last row of each scenario is the offline bound.
func Placement(seed uint64, size PlacementSize) []PlacementResult {
	var rows []PlacementResult
	for _, scenario := range PlacementScenarios() {
		rows = append(rows, PlacementInScenario(seed, size, scenario, PlacementPolicies())...)
	}
	return rows
}

// PlacementInScenario runs the given policies and the offline bound in one scenario, all on the same trace.
func PlacementInScenario(seed uint64, size PlacementSize, scenario PlacementScenario, policies []PlacementPolicy) []PlacementResult {
	trace := newPlacementTrace(seed, size, scenario)
	rows := make([]PlacementResult, 0, len(policies)+1)
	for _, p := range policies {
		rows = append(rows, runPlacement(seed, size, scenario, p, trace))
	}
	return append(rows, offlineBound(size, scenario, trace))
}

// call is one request of the trace. The fields after request are state of a single run.
type call struct {
	id             string
	arrival        time.Duration
	entry          int
	request        placer.Request
	engine         int
	permit         *permit
	ready          bool // The adapter is resident and pinned.
	pinned         bool
	running        bool
	finished       bool
	stalled        bool
	stallTime      time.Duration // Total of the stalls that have ended.
	stallStart     time.Duration // Start of the current stall; -1 if not stalled.
	queuedAt       time.Duration
	firstTokenAt   time.Duration // 0 until the first token.
	firstTokenStep float64       // Engine step of the first token; endStep is that of the last one.
	endStep        float64
}

// event returns the time of the popularity shift or the domain loss.
func (s PlacementSize) event() time.Duration { return s.Duration / 2 }

func (s PlacementSize) measuredWindow(scenario PlacementScenario) (from, to time.Duration) {
	switch scenario {
	case Shift, DomainLost:
		return s.event(), s.event() + 2*time.Minute
	case Morning:
		return 0, 2 * time.Minute
	default:
		return warmUp, s.Duration
	}
}

func stepTime(running int) time.Duration {
	return stepBaseTime + time.Duration(running)*stepTimePerRequest
}

// event is an item of the event queue, which is ordered by time and then by order of scheduling.
type event struct {
	at    time.Duration
	order int
	do    func()
}
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// permit allows one adapter load at one endpoint. It holds the requests of one entry that wait for it.
type permit struct {
	key     string
	calls   []*call
	granted bool
	settled bool // The permit was returned or is in use by a load, so returnUnused must not return it.
}

// engine models one endpoint with its sidecar.
type engine struct {
	index        int
	vm, domain   string
	incarnation  int
	down         bool
	slots        pinner.Slots
	waiting      []*call
	running      []*call
	stepsDone    float64       // Fractional number of steps since the start.
	updatedAt    time.Duration // Time up to which stepsDone is counted.
	wakeSequence int           // Sequence number of the latest wake-up; earlier ones are ignored.
	sequence     int64
	prefix       []string // Keys in the prefix cache, least recently used first.
	steps        float64  // Steps with running requests in the measured window.
	tokens       float64  // One per running request and step in the measured window.
}

// placementRun is the simulation of one trace with one policy.
type placementRun struct {
	size           PlacementSize
	scenario       PlacementScenario
	policy         PlacementPolicy
	rng            *rand.Rand
	now            time.Duration
	events         eventQueue
	order          int
	views          []placer.View
	engines        []*engine
	pending        map[string]*permit // Permits that wait for the load budget, by entry, endpoint and adapter.
	permits        []*permit          // The same permits in order of creation; placer.NextLoad picks the next.
	tokens         float64            // Tokens of the load budget at tokensAt.
	tokensAt       time.Duration
	grantScheduled bool // A call of grant is scheduled.
	permitsInUse   int  // Number of permits granted and not returned.
	loads          int
	duplicates     int
	sameAdapter    float64 // Sum, over the counted starts, of running requests with the same adapter, itself included.
	starts         int     // Number of requests started in the measured window.
	from, to       time.Duration
}

func runPlacement(seed uint64, size PlacementSize, scenario PlacementScenario, policy PlacementPolicy, trace []call) PlacementResult {
	r := &placementRun{size: size, scenario: scenario, policy: policy, rng: rand.New(rand.NewPCG(seed, 2)), pending: map[string]*permit{}, tokens: maxConcurrentLoads}
	r.from, r.to = size.measuredWindow(scenario)
	for i := range size.Engines {
		r.engines = append(r.engines, &engine{index: i, vm: fmt.Sprintf("vm%02d", i), domain: "domain-" + strconv.Itoa(i%size.Domains), incarnation: 1,
			slots: pinner.New(pinner.Config{Slots: size.Slots, EvictionPolicy: policy.EvictionPolicy})})
	}
	for range size.Entries {
		v := placer.View{}.WithEntries(size.Entries)
		for _, e := range r.engines {
			v = v.WithDescriptor(r.descriptor(e))
		}
		r.views = append(r.views, v)
	}
	for i, e := range r.engines {
		r.after(heartbeatInterval*time.Duration(i)/time.Duration(size.Engines), func() { r.heartbeat(e) })
	}
	calls := slices.Clone(trace)
	r.arrive(calls)
	if scenario == DomainLost {
		r.after(size.event(), func() { r.loseDomain("domain-0") })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result(calls)
}

func (r *placementRun) result(calls []call) PlacementResult {
	row := PlacementResult{Size: r.size.Name, Scenario: r.scenario, Policy: r.policy.Name}
	var times []time.Duration
	stalls, refused := 0, 0
	for i := range calls {
		c := &calls[i]
		if c.arrival < r.from || c.arrival >= r.to {
			continue
		}
		times = append(times, min(c.firstTokenAt-c.arrival, requestTimeout))
		if c.firstTokenAt == 0 {
			refused++
			times[len(times)-1] = requestTimeout
		}
		if c.stalled {
			stalls++
			row.StallTime += c.stallTime
		}
	}
	slices.Sort(times)
	n := len(times)
	per := 1000 / float64(n)
	row.Requests, row.Stalls, row.Loads, row.Refused = n, float64(stalls)*per, float64(r.loads)*per, float64(refused)*per
	row.Duplicates = float64(r.duplicates) * per
	row.StallTime = time.Duration(float64(row.StallTime) * per)
	row.P50, row.P99 = times[n/2], times[n*99/100]
	steps, tokens := 0.0, 0.0
	for _, e := range r.engines {
		steps += e.steps
		tokens += e.tokens
	}
	row.TokensPerStep, row.SameAdapter = tokens/steps, r.sameAdapter/float64(r.starts)
	return row
}

func (r *placementRun) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, event{at: r.now + d, order: r.order, do: do})
}

// arrive schedules the arrival of the first call, which then schedules the rest.
func (r *placementRun) arrive(calls []call) {
	if len(calls) == 0 {
		return
	}
	r.after(calls[0].arrival-r.now, func() {
		r.place(&calls[0])
		r.after(requestTimeout, func() { r.timeOut(&calls[0]) })
		r.arrive(calls[1:])
	})
}

func (r *placementRun) inMeasuredWindow() bool { return r.now >= r.from && r.now < r.to }

// place chooses an endpoint for the call and forwards it, or queues it for a load permit.
func (r *placementRun) place(c *call) {
	if c.finished {
		return
	}
	c.request.PermitWait = time.Duration(max(0, float64(len(r.permits))-r.budget()) / r.size.LoadsRate * float64(time.Second))
	d, err := r.policy.Policy.Choose(r.views[c.entry], c.request, r.rng, r.now)
	if err != nil {
		c.request.Exclude = nil
		r.after(time.Second, func() { r.place(c) })
		return
	}
	c.engine = slices.IndexFunc(r.engines, func(e *engine) bool { return e.vm == d.Endpoint })
	r.views[c.entry] = r.views[c.entry].WithSent(d.Endpoint, c.request, r.now)
	key := strconv.Itoa(c.entry) + d.Endpoint + c.request.Adapter
	p := r.pending[key]
	if p == nil && !d.NeedsLoad {
		r.forward(c)
		return
	}
	r.markStalled(c)
	if p == nil {
		p = &permit{key: key}
		r.pending[key] = p
		r.permits = append(r.permits, p)
	}
	p.calls = append(p.calls, c)
	r.grant()
}

// budget refills the load budget up to now and returns its tokens.
func (r *placementRun) budget() float64 {
	r.tokens = min(maxConcurrentLoads, r.tokens+(r.now-r.tokensAt).Seconds()*r.size.LoadsRate)
	r.tokensAt = r.now
	return r.tokens
}

// grant grants waiting permits, in the order of placer.NextLoad, while the load budget allows it.
func (r *placementRun) grant() {
	for len(r.permits) > 0 && r.permitsInUse < maxConcurrentLoads {
		if missing := 1 - r.budget(); missing > 1e-9 {
			if !r.grantScheduled {
				r.grantScheduled = true
				r.after(time.Duration(missing/r.size.LoadsRate*float64(time.Second))+1, func() {
					r.grantScheduled = false
					r.grant()
				})
			}
			return
		}
		waits := make([]placer.WaitingLoad, len(r.permits))
		for i, p := range r.permits {
			for _, c := range p.calls {
				if !c.finished {
					waits[i].Requests++
					waits[i].StartTimeSum += c.stallStart
				}
			}
		}
		at := max(0, placer.NextLoad(waits, r.now))
		p := r.permits[at]
		r.permits = slices.Delete(r.permits, at, at+1)
		delete(r.pending, p.key)
		p.calls = slices.DeleteFunc(p.calls, func(c *call) bool { return c.finished })
		if len(p.calls) == 0 {
			continue
		}
		r.tokens--
		r.permitsInUse++
		p.granted = true
		for _, c := range p.calls {
			c.permit = p
			r.forward(c)
		}
	}
}

// returnUnused returns a permit that no load has used, and its token, to the load budget.
func (r *placementRun) returnUnused(p *permit) {
	if p == nil || p.settled {
		return
	}
	p.settled = true
	r.permitsInUse--
	r.tokens = min(maxConcurrentLoads, r.budget()+1)
	r.grant()
}

func (r *placementRun) forward(c *call) {
	r.after(r.size.HopLatency, func() {
		e := r.engines[c.engine]
		switch {
		case c.finished:
			r.returnUnused(c.permit)
		case e.down:
			r.returnUnused(c.permit)
			r.after(lossDetection, func() { r.retry(c) })
		default:
			c.queuedAt = r.now
			e.waiting = append(e.waiting, c)
			r.startWaiting(e)
		}
	})
}

// retry returns the call from its endpoint to its entry, which chooses an endpoint again.
func (r *placementRun) retry(c *call) {
	e := r.engines[c.engine]
	r.views[c.entry] = r.views[c.entry].WithCompleted(e.vm, c.request, false)
	c.permit, c.pinned, c.ready, c.running = nil, false, false, false
	r.place(c)
}

func (r *placementRun) markStalled(c *call) {
	c.stalled = true
	if c.stallStart < 0 {
		c.stallStart = r.now
	}
}

// startWaiting acquires adapters for waiting calls and starts those whose adapter is resident while the batch has room.
func (r *placementRun) startWaiting(e *engine) {
	r.advance(e)
	blocked := false
	e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool {
		room := len(e.running) < engineBatchSize && !blocked
		if c.finished {
			return true
		}
		// A call with a permit acquires its adapter even if the batch is full, so that the load runs while the call
		// waits for the batch. Other calls need room in the batch. While an earlier call blocks, neither acquires one.
		if !c.pinned && (room || c.permit != nil && !blocked) {
			if sentBack := r.acquire(e, c); sentBack {
				return true
			}
			blocked = blocked || !c.pinned && r.now-c.queuedAt > bypassLimit
		}
		if c.ready && room {
			r.start(e, c)
			return true
		}
		return false
	})
	r.schedule(e)
}

// acquire pins the call's adapter, loading it if needed. It returns true if the call goes back to its entry for a
// permit.
func (r *placementRun) acquire(e *engine, c *call) bool {
	var a pinner.Action
	e.slots, a = e.slots.Acquire(c.request.Adapter, c.id, c.permit != nil, r.now)
	switch a.Kind {
	case pinner.Run:
		c.pinned = true
		r.markReady(c)
		r.returnUnused(c.permit)
	case pinner.Wait:
		c.pinned = true
		r.markStalled(c)
		r.returnUnused(c.permit)
	case pinner.Load:
		c.pinned = true
		r.markStalled(c)
		r.load(e, c.request.Adapter, c.permit)
	case pinner.NoRoom:
		r.markStalled(c)
	default: // pinner.NeedsPermit or pinner.Conflict
		r.markStalled(c)
		r.views[c.entry] = r.views[c.entry].WithResident(e.vm, c.request.Adapter, false)
		r.after(r.size.HopLatency, func() { r.retry(c) })
		return true
	}
	return false
}

// load loads the adapter and marks the calls that wait for it as ready. If the load fails, they go back to their
// entries, which choose another endpoint.
func (r *placementRun) load(e *engine, adapter string, p *permit) {
	if r.inMeasuredWindow() {
		r.loads++
		if slices.ContainsFunc(r.engines, func(o *engine) bool {
			return o != e && (o.slots.IsResident(adapter) || slices.Contains(o.slots.Loading(), adapter))
		}) {
			r.duplicates++
		}
	}
	// The sidecar pushes its changed set of resident adapters to all entries.
	r.after(r.size.HopLatency, func() {
		for i := range r.views {
			r.reportLoad(e, i)
		}
	})
	// The permit is in use for this load until the load ends, even if several calls hold it.
	p.settled = true
	failed := r.scenario == LoadFailures && r.rng.Float64() < 0.1
	incarnation := e.incarnation
	// As grant keeps permitsInUse within maxConcurrentLoads, every load takes loadTime.
	r.after(loadTime*time.Duration(max(maxConcurrentLoads, r.permitsInUse))/maxConcurrentLoads, func() {
		r.permitsInUse--
		defer r.grant()
		if e.incarnation != incarnation {
			return
		}
		if !failed {
			e.slots, _ = e.slots.Loaded(adapter)
			for _, c := range e.waiting {
				if c.pinned && c.request.Adapter == adapter {
					r.markReady(c)
				}
			}
			r.startWaiting(e)
			return
		}
		e.slots, _ = e.slots.LoadFailed(adapter)
		e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool {
			if !c.pinned || c.request.Adapter != adapter {
				return false
			}
			c.request.Exclude = []string{e.vm}
			r.after(r.size.HopLatency, func() { r.retry(c) })
			return true
		})
		r.startWaiting(e)
	})
}

func (r *placementRun) markReady(c *call) {
	c.ready = true
	if c.stallStart >= 0 {
		c.stallTime += r.now - c.stallStart
		c.stallStart = -1
	}
}

func (r *placementRun) start(e *engine, c *call) {
	prompt := c.request.PromptTokens
	if key := c.request.Adapter + c.request.PrefixHash; c.request.PrefixHash != "" {
		if at := slices.Index(e.prefix, key); at >= 0 {
			prompt -= c.request.PrefixTokens
			e.prefix = slices.Delete(e.prefix, at, at+1)
		}
		e.prefix = append(e.prefix, key)
		e.prefix = e.prefix[max(0, len(e.prefix)-prefixCacheSize):]
	}
	c.running = true
	c.firstTokenStep = e.stepsDone + math.Ceil(float64(prompt)/prefillChunkTokens)
	c.endStep = c.firstTokenStep + float64(c.request.AnswerTokens)
	e.running = append(e.running, c)
	if !r.inMeasuredWindow() {
		return
	}
	r.starts++
	for _, other := range e.running {
		if other.request.Adapter == c.request.Adapter {
			r.sameAdapter++
		}
	}
}

// advance counts the engine's steps up to now.
func (r *placementRun) advance(e *engine) {
	if n := len(e.running); n > 0 {
		steps := (r.now - e.updatedAt).Seconds() / stepTime(n).Seconds()
		e.stepsDone += steps
		if r.inMeasuredWindow() {
			e.steps += steps
			e.tokens += steps * float64(n)
		}
	}
	e.updatedAt = r.now
}

// schedule schedules progress at the next first token or completion of a running call.
func (r *placementRun) schedule(e *engine) {
	e.wakeSequence++
	wakeSequence, next := e.wakeSequence, math.Inf(1)
	for _, c := range e.running {
		next = min(next, c.endStep)
		if c.firstTokenAt == 0 {
			next = min(next, c.firstTokenStep)
		}
	}
	if math.IsInf(next, 1) {
		return
	}
	r.after(time.Duration(max(0, next-e.stepsDone)*float64(stepTime(len(e.running))))+time.Microsecond, func() {
		if wakeSequence == e.wakeSequence {
			r.progress(e)
		}
	})
}

// progress records first tokens and completes calls.
func (r *placementRun) progress(e *engine) {
	r.advance(e)
	e.running = slices.DeleteFunc(e.running, func(c *call) bool {
		if c.firstTokenAt == 0 && e.stepsDone >= c.firstTokenStep {
			c.firstTokenAt = r.now + r.size.HopLatency
		}
		if e.stepsDone < c.endStep {
			return false
		}
		c.finished = true
		e.slots = e.slots.Release(c.id)
		r.after(r.size.HopLatency, func() {
			r.views[c.entry] = r.views[c.entry].WithCompleted(e.vm, c.request, true)
			r.reportLoad(e, c.entry)
		})
		return true
	})
	r.startWaiting(e)
}

// timeOut ends a call that has not started within requestTimeout.
func (r *placementRun) timeOut(c *call) {
	if c.finished || c.firstTokenAt != 0 || c.running {
		return
	}
	c.finished = true
	if c.stallStart >= 0 {
		c.stallTime += r.now - c.stallStart
	}
	e := r.engines[c.engine]
	if c.permit != nil && !c.pinned {
		r.returnUnused(c.permit)
	}
	if c.pinned {
		e.slots = e.slots.Release(c.id)
	}
	r.views[c.entry] = r.views[c.entry].WithCompleted(e.vm, c.request, false)
}

func (r *placementRun) descriptor(e *engine) placer.Descriptor {
	return placer.Descriptor{VM: e.vm, FailureDomain: e.domain, BaseModel: "base", State: placer.Live, Incarnation: fmt.Sprintf("%03d", e.incarnation),
		Slots: r.size.Slots, MaxRunning: engineBatchSize, TokensPerSecond: engineBatchSize / stepTime(engineBatchSize).Seconds(),
		Resident: e.slots.Resident(), Loading: e.slots.Loading()}
}

// reportLoad updates one entry's view with the engine's load and resident adapters, as a response trailer or a
// heartbeat does.
func (r *placementRun) reportLoad(e *engine, entry int) {
	if e.down {
		return
	}
	r.advance(e)
	load := placer.Load{Running: len(e.running)}
	for _, c := range e.waiting {
		load.QueuedRequests++
		load.QueuedTokens += int64(c.request.PromptTokens/placer.DefaultPrefillRatio + c.request.AnswerTokens)
	}
	for _, c := range e.running {
		load.RunningTokens += int64(c.endStep - e.stepsDone)
	}
	e.sequence++
	load.Sequence = e.sequence
	d := r.descriptor(e)
	r.views[entry] = r.views[entry].WithDescriptor(d).WithLoad(e.vm, d.Incarnation, load, r.now)
	r.schedule(e)
}

func (r *placementRun) heartbeat(e *engine) {
	for i := range r.views {
		r.reportLoad(e, i)
	}
	if r.now < r.size.Duration {
		r.after(heartbeatInterval, func() { r.heartbeat(e) })
	}
}

// loseDomain stops all engines of a failure domain; they restart cold after lossDuration. Entries detect the loss after
// lossDetection and then place the affected calls again.
func (r *placementRun) loseDomain(domain string) {
	for _, e := range r.engines {
		if e.domain != domain {
			continue
		}
		r.advance(e)
		lost := slices.Concat(e.waiting, e.running)
		oldIncarnation := r.descriptor(e).Incarnation
		e.down, e.waiting, e.running = true, nil, nil
		e.incarnation++
		e.slots, _, _ = e.slots.Reset(nil)
		r.schedule(e)
		r.after(lossDetection, func() {
			for i := range r.views {
				r.views[i] = r.views[i].WithState(e.vm, oldIncarnation, placer.Suspect)
			}
			for _, c := range lost {
				if c.permit != nil && !c.pinned {
					r.returnUnused(c.permit)
				}
				r.retry(c)
			}
		})
		r.after(lossDuration, func() {
			e.down = false
			r.heartbeat(e)
		})
	}
}
