// Package experimenter measures the policies of the decision packages side by side, on the same trace in virtual time.
// It owns no state beyond one run and uses no store.
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

// The model of an engine and of the load budget.
const (
	engineBatch = 16
	// One step takes stepBase plus stepEach for each running request, and gives each of them one token.
	stepBase = 20 * time.Millisecond
	stepEach = time.Millisecond
	// prefillChunk is the number of prompt tokens that one step processes.
	prefillChunk = 512
	// prefixCache is the number of prefixes that an engine keeps.
	prefixCache = 32
	loadTime    = 250 * time.Millisecond
	loadsAtOnce = 8
	// bypassLimit is the time for which later requests may overtake one that waits for a slot.
	bypassLimit   = 500 * time.Millisecond
	heartbeat     = 5 * time.Second
	lossDetection = 2 * time.Second
	lossDuration  = time.Minute
	giveUp        = 30 * time.Second
	warmUp        = 2 * time.Minute
)

// PlacementScenario is what happens during a run.
type PlacementScenario string

// The scenarios.
const (
	Steady       PlacementScenario = "steady"
	Shift        PlacementScenario = "shift"
	Morning      PlacementScenario = "morning"
	DomainLost   PlacementScenario = "domain lost"
	LoadFailures PlacementScenario = "load failures"
)

// PlacementScenarios are all scenarios. Steady and LoadFailures are measured from warmUp on, Shift and DomainLost for
// two minutes after the event, and Morning for the first two minutes, with all engines cold.
func PlacementScenarios() []PlacementScenario {
	return []PlacementScenario{Steady, Shift, Morning, DomainLost, LoadFailures}
}

// PlacementPolicy is a policy with its eviction.
type PlacementPolicy struct {
	Name     string
	Policy   placer.Policy
	Eviction pinner.Eviction
}

// PlacementPolicies are the product's policy, which is first, and the baselines. All have the same eviction except two,
// which show what the eviction adds.
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

// Placement runs all scenarios and policies; the last row of each scenario is the offline bound.
func Placement(seed uint64, size PlacementSize) []PlacementResult {
	var rows []PlacementResult
	for _, scenario := range PlacementScenarios() {
		rows = append(rows, PlacementOf(seed, size, scenario, PlacementPolicies())...)
	}
	return rows
}

// PlacementOf runs one scenario with the given policies and the offline bound, all on the same trace.
func PlacementOf(seed uint64, size PlacementSize, scenario PlacementScenario, policies []PlacementPolicy) []PlacementResult {
	trace := newTrace(seed, size, scenario)
	rows := make([]PlacementResult, 0, len(policies)+1)
	for _, p := range policies {
		rows = append(rows, runPlacement(seed, size, scenario, p, trace))
	}
	return append(rows, belady(size, scenario, trace))
}

// call is one request of the trace; the fields after request belong to one run.
type call struct {
	id       string
	arrival  time.Duration
	entry    int
	request  placer.Request
	engine   int
	permit   *permit
	ready    bool // The adapter is resident and pinned.
	pinned   bool
	running  bool
	over     bool
	stalled  bool
	stall    time.Duration // Sum of ended stalls.
	since    time.Duration // Start of the present stall; -1 for none.
	queuedAt time.Duration
	first    time.Duration // Time of the first token; 0 before.
	firstV   float64       // Engine step of the first token and of the end.
	endV     float64
}

// event returns the time at which the scenario changes something.
func (s PlacementSize) event() time.Duration { return s.Duration / 2 }

func (s PlacementSize) measured(scenario PlacementScenario) (from, to time.Duration) {
	switch scenario {
	case Shift, DomainLost:
		return s.event(), s.event() + 2*time.Minute
	case Morning:
		return 0, 2 * time.Minute
	default:
		return warmUp, s.Duration
	}
}

func step(running int) time.Duration { return stepBase + time.Duration(running)*stepEach }

// event is one entry of the event queue, ordered by time, then by order of scheduling.
type event struct {
	at    time.Duration
	order int
	do    func()
}
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// permit is a place in the load budget for one adapter at one endpoint, with the requests of one entry that wait for it.
type permit struct {
	key     string
	calls   []*call
	granted bool
	settled bool // Returned, or in use by a load.
}

// engine is one endpoint with its sidecar.
type engine struct {
	index       int
	vm, domain  string
	incarnation int
	down        bool
	slots       pinner.Slots
	waiting     []*call
	running     []*call
	v           float64       // Steps done.
	at          time.Duration // Time of v.
	wake        int           // Number of the newest wake-up; older ones are void.
	sequence    int64
	prefix      []string
	steps       float64 // Steps and tokens in the measured time.
	tokens      float64
}

// run is one run of a trace with one policy.
type run struct {
	size       PlacementSize
	scenario   PlacementScenario
	policy     PlacementPolicy
	rng        *rand.Rand
	now        time.Duration
	events     queue
	order      int
	views      []placer.View
	engines    []*engine
	pending    map[string]*permit
	permits    []*permit // Waiting for the budget, first come first served.
	tokens     float64   // Of the load budget.
	tokensAt   time.Duration
	granting   bool // A timer for grant is set.
	loading    int  // Permits granted and not returned.
	loads      int
	duplicates int
	same       float64
	starts     int
	from, to   time.Duration
}

func runPlacement(seed uint64, size PlacementSize, scenario PlacementScenario, policy PlacementPolicy, trace []call) PlacementResult {
	r := &run{size: size, scenario: scenario, policy: policy, rng: rand.New(rand.NewPCG(seed, 2)), pending: map[string]*permit{}, tokens: loadsAtOnce}
	r.from, r.to = size.measured(scenario)
	for i := range size.Engines {
		r.engines = append(r.engines, &engine{index: i, vm: fmt.Sprintf("vm%02d", i), domain: "domain-" + strconv.Itoa(i%size.Domains), incarnation: 1,
			slots: pinner.New(pinner.Config{Slots: size.Slots, Eviction: policy.Eviction})})
	}
	for range size.Entries {
		v := placer.View{}.WithEntries(size.Entries)
		for _, e := range r.engines {
			v = v.WithDescriptor(r.describe(e))
		}
		r.views = append(r.views, v)
	}
	for i, e := range r.engines {
		r.after(heartbeat*time.Duration(i)/time.Duration(size.Engines), func() { r.beat(e) })
	}
	calls := slices.Clone(trace)
	r.arrive(calls)
	if scenario == DomainLost {
		r.after(size.event(), func() { r.lose("domain-0") })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result(calls)
}

func (r *run) result(calls []call) PlacementResult {
	row := PlacementResult{Size: r.size.Name, Scenario: r.scenario, Policy: r.policy.Name}
	var times []time.Duration
	stalls, refused := 0, 0
	for i := range calls {
		c := &calls[i]
		if c.arrival < r.from || c.arrival >= r.to {
			continue
		}
		times = append(times, min(c.first-c.arrival, giveUp))
		if c.first == 0 {
			refused++
			times[len(times)-1] = giveUp
		}
		if c.stalled {
			stalls++
			row.StallTime += c.stall
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
	row.TokensPerStep, row.SameAdapter = tokens/steps, r.same/float64(r.starts)
	return row
}

func (r *run) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, event{at: r.now + d, order: r.order, do: do})
}

// arrive places the first call at its arrival, and schedules the arrival of the rest.
func (r *run) arrive(calls []call) {
	if len(calls) == 0 {
		return
	}
	r.after(calls[0].arrival-r.now, func() {
		r.place(&calls[0])
		r.after(giveUp, func() { r.refuse(&calls[0]) })
		r.arrive(calls[1:])
	})
}

func (r *run) counted() bool { return r.now >= r.from && r.now < r.to }

// place chooses an endpoint for the call and forwards it, or makes it wait for a load permit.
func (r *run) place(c *call) {
	if c.over {
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
	r.stalls(c)
	if p == nil {
		p = &permit{key: key}
		r.pending[key] = p
		r.permits = append(r.permits, p)
	}
	p.calls = append(p.calls, c)
	r.grant()
}

// budget returns the tokens of the load budget now.
func (r *run) budget() float64 {
	r.tokens = min(loadsAtOnce, r.tokens+(r.now-r.tokensAt).Seconds()*r.size.LoadsRate)
	r.tokensAt = r.now
	return r.tokens
}

// grant gives permits to those that wait, first come first served, as far as the budget allows.
func (r *run) grant() {
	for len(r.permits) > 0 && r.loading < loadsAtOnce {
		if missing := 1 - r.budget(); missing > 1e-9 {
			if !r.granting {
				r.granting = true
				r.after(time.Duration(missing/r.size.LoadsRate*float64(time.Second))+1, func() {
					r.granting = false
					r.grant()
				})
			}
			return
		}
		waits := make([]placer.WaitingLoad, len(r.permits))
		for i, p := range r.permits {
			for _, c := range p.calls {
				if !c.over {
					waits[i].Requests++
					waits[i].Since += c.since
				}
			}
		}
		at := max(0, placer.NextLoad(waits, r.now))
		p := r.permits[at]
		r.permits = slices.Delete(r.permits, at, at+1)
		delete(r.pending, p.key)
		p.calls = slices.DeleteFunc(p.calls, func(c *call) bool { return c.over })
		if len(p.calls) == 0 {
			continue
		}
		r.tokens--
		r.loading++
		p.granted = true
		for _, c := range p.calls {
			c.permit = p
			r.forward(c)
		}
	}
}

// unused returns a permit that no load has used, with its token.
func (r *run) unused(p *permit) {
	if p == nil || p.settled {
		return
	}
	p.settled = true
	r.loading--
	r.tokens = min(loadsAtOnce, r.budget()+1)
	r.grant()
}

func (r *run) forward(c *call) {
	r.after(r.size.Hop, func() {
		e := r.engines[c.engine]
		switch {
		case c.over:
			r.unused(c.permit)
		case e.down:
			r.unused(c.permit)
			r.after(lossDetection, func() { r.again(c) })
		default:
			c.queuedAt = r.now
			e.waiting = append(e.waiting, c)
			r.pump(e)
		}
	})
}

// again returns the call from its endpoint to its entry, which chooses another time.
func (r *run) again(c *call) {
	e := r.engines[c.engine]
	r.views[c.entry] = r.views[c.entry].WithDone(e.vm, c.request, false)
	c.permit, c.pinned, c.ready, c.running = nil, false, false, false
	r.place(c)
}

func (r *run) stalls(c *call) {
	c.stalled = true
	if c.since < 0 {
		c.since = r.now
	}
}

// pump takes adapters for waiting calls and starts those whose adapter is resident while the batch has room.
func (r *run) pump(e *engine) {
	r.advance(e)
	blocked := false
	e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool {
		room := len(e.running) < engineBatch && !blocked
		if c.over {
			return true
		}
		// A call with a permit takes its adapter at once, so that the load goes on while it waits for the batch.
		if !c.pinned && (room || c.permit != nil && !blocked) {
			if gone := r.take(e, c); gone {
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

// take pins the call's adapter or orders its load. It returns true when the call is sent back for a permit.
func (r *run) take(e *engine, c *call) bool {
	var a pinner.Action
	e.slots, a = e.slots.Take(c.request.Adapter, c.id, c.permit != nil, r.now)
	switch a.Kind {
	case pinner.Run:
		c.pinned = true
		r.isReady(c)
		r.unused(c.permit)
	case pinner.Wait:
		c.pinned = true
		r.stalls(c)
		r.unused(c.permit)
	case pinner.Load:
		c.pinned = true
		r.stalls(c)
		r.load(e, c.request.Adapter, c.permit)
	case pinner.NoRoom:
		r.stalls(c)
	default:
		r.stalls(c)
		r.views[c.entry] = r.views[c.entry].WithResident(e.vm, c.request.Adapter, false)
		r.after(r.size.Hop, func() { r.again(c) })
		return true
	}
	return false
}

// load loads the adapter and then makes its waiters ready, or sends them elsewhere when the load fails.
func (r *run) load(e *engine, adapter string, p *permit) {
	if r.counted() {
		r.loads++
		if slices.ContainsFunc(r.engines, func(o *engine) bool {
			return o != e && (o.slots.IsResident(adapter) || slices.Contains(o.slots.Loading(), adapter))
		}) {
			r.duplicates++
		}
	}
	// The sidecar pushes the change of residents to all entries.
	r.after(r.size.Hop, func() {
		for i := range r.views {
			r.report(e, i)
		}
	})
	// The permit stays in use for this load even when several calls carry it.
	p.settled = true
	failed := r.scenario == LoadFailures && r.rng.Float64() < 0.1
	incarnation := e.incarnation
	r.after(loadTime*time.Duration(max(loadsAtOnce, r.loading))/loadsAtOnce, func() {
		r.loading--
		defer r.grant()
		if e.incarnation != incarnation {
			return
		}
		if !failed {
			e.slots, _ = e.slots.Loaded(adapter)
			for _, c := range e.waiting {
				if c.pinned && c.request.Adapter == adapter {
					r.isReady(c)
				}
			}
			r.pump(e)
			return
		}
		e.slots, _ = e.slots.LoadFailed(adapter)
		e.waiting = slices.DeleteFunc(e.waiting, func(c *call) bool {
			if !c.pinned || c.request.Adapter != adapter {
				return false
			}
			c.request.Exclude = []string{e.vm}
			r.after(r.size.Hop, func() { r.again(c) })
			return true
		})
		r.pump(e)
	})
}

func (r *run) isReady(c *call) {
	c.ready = true
	if c.since >= 0 {
		c.stall += r.now - c.since
		c.since = -1
	}
}

func (r *run) start(e *engine, c *call) {
	prompt := c.request.PromptTokens
	if key := c.request.Adapter + c.request.PrefixHash; c.request.PrefixHash != "" {
		if at := slices.Index(e.prefix, key); at >= 0 {
			prompt -= c.request.PrefixTokens
			e.prefix = slices.Delete(e.prefix, at, at+1)
		}
		e.prefix = append(e.prefix, key)
		e.prefix = e.prefix[max(0, len(e.prefix)-prefixCache):]
	}
	c.running = true
	c.firstV = e.v + math.Ceil(float64(prompt)/prefillChunk)
	c.endV = c.firstV + float64(c.request.AnswerTokens)
	e.running = append(e.running, c)
	if !r.counted() {
		return
	}
	r.starts++
	for _, other := range e.running {
		if other.request.Adapter == c.request.Adapter {
			r.same++
		}
	}
}

// advance moves the engine's steps to now.
func (r *run) advance(e *engine) {
	if n := len(e.running); n > 0 {
		steps := (r.now - e.at).Seconds() / step(n).Seconds()
		e.v += steps
		if r.counted() {
			e.steps += steps
			e.tokens += steps * float64(n)
		}
	}
	e.at = r.now
}

// schedule wakes the engine at its next first token or end of a call.
func (r *run) schedule(e *engine) {
	e.wake++
	wake, next := e.wake, math.Inf(1)
	for _, c := range e.running {
		next = min(next, c.endV)
		if c.first == 0 {
			next = min(next, c.firstV)
		}
	}
	if math.IsInf(next, 1) {
		return
	}
	r.after(time.Duration(max(0, next-e.v)*float64(step(len(e.running))))+time.Microsecond, func() {
		if wake == e.wake {
			r.progress(e)
		}
	})
}

// progress records first tokens and ends of calls.
func (r *run) progress(e *engine) {
	r.advance(e)
	e.running = slices.DeleteFunc(e.running, func(c *call) bool {
		if c.first == 0 && e.v >= c.firstV {
			c.first = r.now + r.size.Hop
		}
		if e.v < c.endV {
			return false
		}
		c.over = true
		e.slots = e.slots.Release(c.id)
		r.after(r.size.Hop, func() {
			r.views[c.entry] = r.views[c.entry].WithDone(e.vm, c.request, true)
			r.report(e, c.entry)
		})
		return true
	})
	r.pump(e)
}

// refuse ends a call that has no first token in time.
func (r *run) refuse(c *call) {
	if c.over || c.first != 0 || c.running {
		return
	}
	c.over = true
	if c.since >= 0 {
		c.stall += r.now - c.since
	}
	e := r.engines[c.engine]
	if c.permit != nil && !c.pinned {
		r.unused(c.permit)
	}
	if c.pinned {
		e.slots = e.slots.Release(c.id)
	}
	r.views[c.entry] = r.views[c.entry].WithDone(e.vm, c.request, false)
}

func (r *run) describe(e *engine) placer.Descriptor {
	return placer.Descriptor{VM: e.vm, FailureDomain: e.domain, BaseModel: "base", State: placer.Live, Incarnation: fmt.Sprintf("%03d", e.incarnation),
		Slots: r.size.Slots, MaxRunning: engineBatch, TokensPerSecond: engineBatch / step(engineBatch).Seconds(),
		Resident: e.slots.Resident(), Loading: e.slots.Loading()}
}

// report gives one entry the engine's load and residents, as a response's trailer or a heartbeat does.
func (r *run) report(e *engine, entry int) {
	if e.down {
		return
	}
	r.advance(e)
	load := placer.Load{Running: len(e.running)}
	for _, c := range e.waiting {
		load.QueuedRequests++
		load.QueuedTokens += int64(c.request.PromptTokens/placer.DefaultPrefillSpeed + c.request.AnswerTokens)
	}
	for _, c := range e.running {
		load.RunningTokens += int64(c.endV - e.v)
	}
	e.sequence++
	load.Sequence = e.sequence
	d := r.describe(e)
	r.views[entry] = r.views[entry].WithDescriptor(d).WithLoad(e.vm, d.Incarnation, load, r.now)
	r.schedule(e)
}

func (r *run) beat(e *engine) {
	for i := range r.views {
		r.report(e, i)
	}
	if r.now < r.size.Duration {
		r.after(heartbeat, func() { r.beat(e) })
	}
}

// lose stops all engines of a domain; they return cold after lossDuration. Entries learn of the loss, and send the
// calls elsewhere, after lossDetection.
func (r *run) lose(domain string) {
	for _, e := range r.engines {
		if e.domain != domain {
			continue
		}
		r.advance(e)
		lost := slices.Concat(e.waiting, e.running)
		old := r.describe(e).Incarnation
		e.down, e.waiting, e.running = true, nil, nil
		e.incarnation++
		e.slots, _, _ = e.slots.Reset(nil)
		r.schedule(e)
		r.after(lossDetection, func() {
			for i := range r.views {
				r.views[i] = r.views[i].WithState(e.vm, old, placer.Suspect)
			}
			for _, c := range lost {
				if c.permit != nil && !c.pinned {
					r.unused(c.permit)
				}
				r.again(c)
			}
		})
		r.after(lossDuration, func() {
			e.down = false
			r.beat(e)
		})
	}
}
