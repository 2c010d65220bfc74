// Package orderer is the process beside a model engine. It alone gives that engine orders, loads the adapters that the
// entries ask for, and tells the entries what the engine holds and how busy it is. It owns the demand of the entries,
// as they last told it, and the fencing number of its orders. When the platform's store is away at its start, it gives
// no orders until it has a number; with a number it needs the store no more.
package orderer

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/internal/wire"
)

const (
	// quietEvery and busyEvery are the times between two reads of the engine's report: the engine itself reports with a
	// lag of some hundred milliseconds to others, and a load takes a quarter of a second.
	quietEvery = 100 * time.Millisecond
	busyEvery  = 20 * time.Millisecond
	// tellEvery is the longest time between two messages to the entries, tellUsed the same while requests are at the
	// engine, and tellLeast the shortest for a change of the load alone; a change of the adapters is told at once.
	// An entry takes silence for a stopped VM, whose requests should go elsewhere well within a caller's patience of
	// some seconds.
	tellEvery = 800 * time.Millisecond
	tellUsed  = 150 * time.Millisecond
	tellLeast = 50 * time.Millisecond
	// tellPerEntry lengthens the intervals for each entry.
	tellPerEntry = 10 * time.Millisecond
	// demandLife is how long an entry's demand counts without being told again.
	demandLife = 3 * time.Second
	// weightHalfLife halves the weight of past requests when an adapter to unload is chosen.
	weightHalfLife = 20 * time.Second
	// maxLoading is the number of adapters on their way to one engine at once. The engine allows four, but loads share
	// the weight store's speed, and those that begin first should end first.
	maxLoading = 2
	// callTimeout bounds a call to the engine on the same VM.
	callTimeout = 400 * time.Millisecond
	// orderTimeout bounds an order. The engine on the same VM answers within milliseconds; one that takes longer may carry
	// the order out late, which the number of orders it expects makes harmless.
	orderTimeout = 80 * time.Millisecond
	// downAfter is the number of reports in a row without an answer after which the engine counts as down.
	downAfter = 2
	// fencePause is the time between two attempts to get a fencing number, and fenceTimeout bounds one, because the
	// entries hear nothing meanwhile.
	fencePause   = 500 * time.Millisecond
	fenceTimeout = 250 * time.Millisecond
	// unreadStep is the growth of an entry's unread tokens that the other entries hear of at once; a short prompt.
	unreadStep = 500
)

// Report is the engine's word on itself.
type Report struct {
	Born     int64
	Sequence int64
	// IsBusy engines carry out an order that excludes others.
	IsBusy           bool
	Running, Waiting int
	Used, Total      int64
	// Models are the models held, by name, with their versions.
	Models   map[string]int64
	Resident map[Adapter]int64
	Loading  map[Adapter]int64
	// AtHand holds the models that the engine can load without the weight store.
	AtHand map[string]bool
}

// Order is one order.
type Order struct {
	Step
	// EndpointID names the engine's run; empty when unknown.
	EndpointID string
	// Expected is the number of orders that the engine has accepted before this one. An order that arrives late, after
	// others, does nothing.
	Expected int64
	Fence    int64
}

// Result is the engine's answer to an order.
type Result int

// The results.
const (
	// Accepted orders are being carried out or already hold.
	Accepted Result = iota + 1
	// Conflict means that the engine has moved on since the report; read it again.
	Conflict
	// Fenced means that another holder has used a higher fencing number.
	Fenced
	// Rejected means that the engine will not carry the order out.
	Rejected
)

// String names the result for logs.
func (r Result) String() string {
	names := [...]string{"none", "accepted", "conflict", "fenced", "rejected"}
	if r < 0 || int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Engine is the model engine on this VM.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Order(ctx context.Context, o Order) (Result, error)
}

// Config configures an Orderer.
type Config struct {
	VM      string
	Address string
	Engine  Engine
	// Capacity returns what the engine may hold, or nil while it isn't known.
	Capacity func() *Capacity
	// MayLoad asks for one load of a model from the weight store, which allows the whole fleet only so many a second.
	MayLoad func(ctx context.Context) (bool, error)
	// Fence returns a fencing number that is higher than all before.
	Fence func(ctx context.Context) (int64, error)
	// Observe counts a load of an adapter, with the result ok or failed and the time from the order.
	Observe func(result string, took time.Duration)
	// Tell sends the engine's state to entries.
	Tell func(s wire.EngineState, to []string)
	Now  func() time.Time
	Log  zerolog.Logger
}

// Capacity is what an engine may hold.
type Capacity struct {
	AdapterSlots int
	// MemoryMB is for weights and adapters.
	MemoryMB float64
	Models   []Model
}

// Model is a model that the engine may load.
type Model struct {
	Name                 string
	WeightsMB, AdapterMB float64
}

// entryDemand is what one entry last asked for.
type entryDemand struct {
	at      time.Time
	address string
	unread  int64
	used    map[Adapter]Demand
}

// Orderer runs beside one engine. It is safe for use by several goroutines.
type Orderer struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	entries map[string]entryDemand
	// recent holds each entry's count of requests by adapter, from which weights are derived.
	recent     map[string]map[Adapter]int
	weights    map[Adapter]weight
	waiting    map[Adapter]time.Time
	endpointID string
	// rejectedID is an ID that the engine doesn't bear, which entries may tell for a while after it restarted.
	rejectedID string

	// The fields below are used by Run alone.
	fence    int64
	fenceAt  time.Time
	failures int
	// ordered holds the loads under way, with the times of their orders.
	ordered map[Adapter]time.Time
	told    wire.EngineState
	toldAt  time.Time
	// toldTo is the number of entries told last, adaptersAt when they were told the adapters.
	toldTo     int
	adaptersAt time.Time
	restless   bool
}

type weight struct {
	value float64
	at    time.Time
}

func (w weight) now(now time.Time) float64 {
	return w.value * math.Exp2(-now.Sub(w.at).Seconds()/weightHalfLife.Seconds())
}

// New returns an Orderer.
func New(c Config) *Orderer {
	return &Orderer{
		config: c, wake: make(chan struct{}, 1), entries: map[string]entryDemand{},
		recent: map[string]map[Adapter]int{}, weights: map[Adapter]weight{}, waiting: map[Adapter]time.Time{},
		ordered: map[Adapter]time.Time{},
	}
}

// SetDemand takes an entry's demand. Its datagrams come from the address to which the state is told.
func (o *Orderer) SetDemand(d wire.EntryDemand, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	demand := entryDemand{at: now, address: from, unread: d.UnreadTokens, used: map[Adapter]Demand{}}
	counts := o.recent[d.VM]
	if counts == nil {
		counts = map[Adapter]int{}
		o.recent[d.VM] = counts
	}
	before := o.entries[d.VM]
	isNew := before.address != from || before.unread+unreadStep < d.UnreadTokens
	for _, u := range d.Used {
		a := Adapter{Model: u.Model, Name: u.Adapter}
		demand.used[a] = Demand{Version: u.Version, Open: u.Open}
		if more := u.Recent - counts[a]; more > 0 {
			o.weights[a] = weight{value: o.weights[a].now(now) + float64(more), at: now}
		}
		counts[a] = u.Recent
	}
	for _, w := range d.Wanted {
		a := Adapter{Model: w.Model, Name: w.Adapter}
		used := demand.used[a]
		used.Version, used.Waiting = max(used.Version, w.Version), w.Open
		demand.used[a] = used
		if _, ok := o.waiting[a]; !ok {
			o.waiting[a] = now
		}
	}
	o.entries[d.VM] = demand
	if d.EndpointID != "" && d.EndpointID != o.rejectedID {
		o.endpointID = d.EndpointID
	}
	if isNew || len(d.Wanted) > 0 {
		o.awaken()
	}
}

func (o *Orderer) awaken() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// unread sums the entries' unread tokens.
func (o *Orderer) unread() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := int64(0)
	for _, e := range o.entries {
		sum += e.unread
	}
	return sum
}

// demands sums what the entries ask for, and returns the entries to tell.
func (o *Orderer) demands() (map[Adapter]Demand, []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	sum := map[Adapter]Demand{}
	var to []string
	for vm, e := range o.entries {
		if now.Sub(e.at) > demandLife {
			delete(o.entries, vm)
			delete(o.recent, vm)
			continue
		}
		to = append(to, e.address)
		for a, d := range e.used {
			s := sum[a]
			s.Version = max(s.Version, d.Version)
			s.Waiting += d.Waiting
			s.Open += d.Open
			sum[a] = s
		}
	}
	for a := range o.waiting {
		if sum[a].Waiting == 0 {
			delete(o.waiting, a)
		}
	}
	for a, w := range o.weights {
		s := sum[a]
		s.Weight, s.Since = w.now(now), o.waiting[a]
		sum[a] = s
	}
	for a, s := range sum {
		if s.Waiting > 0 && s.Since.IsZero() {
			s.Since = o.waiting[a]
			sum[a] = s
		}
	}
	slices.Sort(to)
	return sum, to
}

// Run reads the engine's report, orders and tells the entries, until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		o.step(ctx)
		every := quietEvery
		if o.restless {
			every = busyEvery
		}
		timer := time.NewTimer(every)
		select {
		case <-timer.C:
		case <-o.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (o *Orderer) step(ctx context.Context) {
	report, err := o.report(ctx)
	demands, to := o.demands()
	if err != nil {
		o.restless = false
		if ctx.Err() == nil {
			o.noAnswer(err, to)
		}
		return
	}
	if o.failures >= downAfter {
		o.config.Log.Info().Int64("Born", report.Born).Msg("orderer: engine regained")
	}
	o.failures = 0
	// The number is taken before the first order needs it.
	o.hasFence(ctx)
	o.observe(report)
	ordered := o.order(ctx, report, demands)
	if ordered {
		if after, err := o.report(ctx); err == nil {
			report = after
		}
	}
	o.restless = len(report.Loading) > 0 || ordered
	o.tell(report, demands, to)
}

func (o *Orderer) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.config.Engine.Report(ctx)
}

func (o *Orderer) noAnswer(err error, to []string) {
	o.failures++
	if o.failures == downAfter {
		o.config.Log.Warn().Err(err).Msg("orderer: engine lost")
	}
	if o.failures >= downAfter {
		down := o.told
		down.Address, down.IsDown = o.config.Address, true
		o.send(down, to, o.failures == downAfter, false)
	}
}

// order gives the orders that the demand calls for, one after the other, and says whether it gave any.
func (o *Orderer) order(ctx context.Context, report Report, demands map[Adapter]Demand) bool {
	ordered := false
	for range maxLoading {
		capacity := o.config.Capacity()
		if capacity == nil || report.IsBusy {
			return ordered
		}
		step, ok := Plan(Holding{
			Models: report.Models, Resident: report.Resident, Loading: report.Loading, Capacity: *capacity, MaxLoading: maxLoading,
		}, demands)
		if !ok || !o.hasFence(ctx) || !o.mayLoad(ctx, step, report) {
			return ordered
		}
		ordered = true
		if !o.give(ctx, step, report, demands) {
			return ordered
		}
		var err error
		if report, err = o.report(ctx); err != nil {
			return ordered
		}
	}
	return ordered
}

// give gives one order and says whether to go on.
func (o *Orderer) give(ctx context.Context, step Step, report Report, demands map[Adapter]Demand) bool {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.mu.Lock()
	id := o.endpointID
	o.mu.Unlock()
	order := Order{Step: step, EndpointID: id, Expected: report.Sequence, Fence: o.fence}
	result, err := o.config.Engine.Order(callCtx, order)
	d := demands[step.Adapter]
	o.config.Log.Info().Str("Adapter", step.Adapter.Model+"/"+step.Adapter.Name).Int64("Version", step.Version).
		Bool("Load", step.IsLoad).Int("Models", len(report.Models)).Int("Held", len(report.Resident)).Int("Coming", len(report.Loading)).Int64("Expected", report.Sequence).Int64("Fence", o.fence).Stringer("Result", result).
		Int("Waiting", d.Waiting).Float64("Weight", d.Weight).AnErr("Error", err).Msg("orderer: order given")
	if err != nil {
		return false
	}
	switch result {
	case Fenced:
		o.fence = 0
		return false
	case Rejected:
		o.mu.Lock()
		o.endpointID, o.rejectedID = "", id
		o.mu.Unlock()
		return false
	case Accepted:
		if step.IsLoad {
			o.ordered[step.Adapter] = o.config.Now()
		}
		return true
	case Conflict:
	}
	return false
}

// observe counts the loads that have ended since the last report.
func (o *Orderer) observe(r Report) {
	for a, at := range o.ordered {
		_, isResident := r.Resident[a]
		_, isLoading := r.Loading[a]
		_, isModel := r.Models[a.Model]
		switch {
		case isLoading || a.Name == "" && !isModel:
		case isResident || a.Name == "":
			o.config.Observe("ok", o.config.Now().Sub(at))
			delete(o.ordered, a)
		default:
			o.config.Observe("failed", o.config.Now().Sub(at))
			o.config.Log.Warn().Str("Adapter", a.Model+"/"+a.Name).Dur("After", o.config.Now().Sub(at)).Msg("orderer: load failed")
			delete(o.ordered, a)
		}
	}
}

// mayLoad says whether the step may begin now. Only loads of models from the weight store are bounded.
func (o *Orderer) mayLoad(ctx context.Context, step Step, report Report) bool {
	if !step.IsLoad || step.Adapter.Name != "" || report.AtHand[step.Adapter.Model] {
		return true
	}
	ok, err := o.config.MayLoad(ctx)
	if err != nil {
		// Without the store nothing can be agreed on; an engine that stays empty serves nobody.
		o.config.Log.Warn().Err(err).Str("Model", step.Adapter.Model).Msg("orderer: model loaded without the fleet's leave")
		return true
	}
	if !ok {
		o.config.Log.Info().Str("Model", step.Adapter.Model).Msg("orderer: load put off, the fleet loads enough")
	}
	return ok
}

// hasFence gets a fencing number if there is none.
func (o *Orderer) hasFence(ctx context.Context) bool {
	if o.fence > 0 {
		return true
	}
	if o.config.Now().Sub(o.fenceAt) < fencePause {
		return false
	}
	o.fenceAt = o.config.Now()
	callCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fence, err := o.config.Fence(callCtx)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			o.config.Log.Warn().Err(err).Msg("orderer: no fencing number, no orders until the store answers")
		}
		return false
	}
	o.fence = fence
	o.config.Log.Info().Int64("Fence", fence).Msg("orderer: fencing number taken")
	return true
}

// tell tells the entries the engine's state: a change of its adapters at once, of its load or of the use of its adapters
// soon, else now and then.
func (o *Orderer) tell(r Report, demands map[Adapter]Demand, to []string) {
	adapters := &wire.EngineAdapters{Resident: names(r.Resident), Loading: names(r.Loading)}
	for model, version := range r.Models {
		adapters.Resident = append(adapters.Resident, wire.AdapterName{Model: model, Version: version})
	}
	slices.SortFunc(adapters.Resident, func(a, b wire.AdapterName) int {
		return compareAdapters(Adapter{Model: a.Model, Name: a.Adapter}, Adapter{Model: b.Model, Name: b.Adapter})
	})
	s := wire.EngineState{
		Address: o.config.Address, Born: r.Born, Running: r.Running, Waiting: r.Waiting, UsedTokens: r.Used, TotalTokens: r.Total,
		UnreadTokens: o.unread(), Adapters: adapters,
	}
	held := o.told.Adapters
	adaptersChanged := held == nil || s.Born != o.told.Born || o.told.IsDown || len(to) > o.toldTo ||
		!slices.EqualFunc(adapters.Resident, held.Resident, isSameAdapter) || !slices.Equal(adapters.Loading, held.Loading)
	for i, a := range adapters.Resident {
		d := demands[Adapter{Model: a.Model, Name: a.Adapter}]
		adapters.Resident[i].IsUsed = d.Open > 0 || d.Waiting > 0
	}
	useChanged := held != nil && !slices.Equal(adapters.Resident, held.Resident)
	loadChanged := s.Running != o.told.Running || s.Waiting != o.told.Waiting || s.UnreadTokens != o.told.UnreadTokens
	// The messages of all sidecars grow with the number of entries, so the interval does too.
	least := max(tellLeast, time.Duration(len(to))*tellPerEntry)
	o.toldTo = len(to)
	o.send(s, to, adaptersChanged || (loadChanged || useChanged) && o.config.Now().Sub(o.toldAt) >= least, adaptersChanged || useChanged)
}

// isSameAdapter compares two adapters without regard to their use.
func isSameAdapter(a, b wire.AdapterName) bool {
	a.IsUsed, b.IsUsed = false, false
	return a == b
}

// send tells the state if it is due. The adapters are left out when they are known, but not for long: a datagram may be lost.
func (o *Orderer) send(s wire.EngineState, to []string, isDue, withAdapters bool) {
	now := o.config.Now()
	if !isDue && now.Sub(o.toldAt) < tellAfter(&o.told, len(to)) {
		return
	}
	// The next message is due at the first look at the engine after the interval.
	s.NextWithinMilliseconds = (tellAfter(&s, len(to)) + quietEvery).Milliseconds()
	o.told, o.toldAt = s, now
	if !withAdapters && now.Sub(o.adaptersAt) < tellEvery {
		s.Adapters = nil
	} else {
		o.adaptersAt = now
	}
	if len(to) > 0 {
		o.config.Tell(s, to)
	}
}

// tellAfter is the longest time from a message with the state to the next one.
func tellAfter(s *wire.EngineState, entries int) time.Duration {
	if s.Running+s.Waiting == 0 && s.UnreadTokens == 0 {
		return tellEvery
	}
	return min(tellEvery, tellUsed+time.Duration(entries)*tellPerEntry)
}

func names(held map[Adapter]int64) []wire.AdapterName {
	list := make([]wire.AdapterName, 0, len(held))
	for a, version := range held {
		list = append(list, wire.AdapterName{Model: a.Model, Adapter: a.Name, Version: version})
	}
	slices.SortFunc(list, func(a, b wire.AdapterName) int {
		return compareAdapters(Adapter{Model: a.Model, Name: a.Adapter}, Adapter{Model: b.Model, Name: b.Adapter})
	})
	return list
}
