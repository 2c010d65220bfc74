// Package orderer controls one model engine from the sidecar process on the engine's VM. It is the only sender of load
// and unload orders to that engine: it loads the adapters that the entries (the processes that accept callers'
// requests) need, and reports the engine's contents and load to the entries. It owns the latest demand received from
// each entry and the fencing token of its orders. If the platform's store is unavailable at start, it sends no orders
// until it has obtained a token; after that, orders do not depend on the store.
package orderer

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/multicaster"
)

const (
	// idlePollInterval and activePollInterval are the intervals between reads of the engine's report, without and with
	// loads or orders in progress. Both are shorter than a load, which takes 250 ms, and than the lag of the engine's own
	// reports to other processes, which is a few hundred milliseconds.
	idlePollInterval   = 100 * time.Millisecond
	activePollInterval = 20 * time.Millisecond
	// maxSendInterval is the longest time between two state messages to the entries, and maxActiveSendInterval the same
	// while the engine has requests. minSendInterval is the shortest time between messages that report only a change in
	// load or adapter use; a change of adapters is sent immediately. An entry that receives no message assumes that the
	// VM has stopped and reroutes its requests. With much longer intervals it would do so too late for callers, which time
	// out after a few seconds.
	maxSendInterval       = 800 * time.Millisecond
	maxActiveSendInterval = 150 * time.Millisecond
	minSendInterval       = 50 * time.Millisecond
	// sendIntervalPerEntry is the additional interval per entry.
	sendIntervalPerEntry = 10 * time.Millisecond
	// demandTTL is how long an entry's demand stays valid without a new message, and idleDemandTTL the same for one without
	// requests, which the entry repeats less often.
	demandTTL     = 3 * time.Second
	idleDemandTTL = 5 * time.Second
	// relayTTL is how long after its last message an entry is named to forward states. It is longer than two intervals of
	// an idle entry's messages, so that the loss of one doesn't matter.
	relayTTL = 2500 * time.Millisecond
	// weightHalfLife is the half-life of past requests in the weight by which an adapter to unload is chosen.
	weightHalfLife = 20 * time.Second
	// maxConcurrentLoads is the number of adapters that one engine loads at the same time. The engine allows four, but
	// loads share the bandwidth of the weight store: more of them would delay the first to start, which should be the
	// first to finish.
	maxConcurrentLoads = 2
	// reportTimeout bounds a read of the engine's report. The engine is on the same VM.
	reportTimeout = 400 * time.Millisecond
	// orderTimeout bounds an order. The engine is on the same VM and answers within milliseconds. If it takes longer, it
	// may execute the order late. Within a run of the engine this is harmless, because the engine refuses an order that
	// arrives after a later one (Order.Expected); runs.go has the guard for later runs.
	orderTimeout = 80 * time.Millisecond
	// downThreshold is the number of consecutive failed reports after which the engine is considered down.
	downThreshold = 2
	// fenceRetryInterval is the time between two attempts to obtain a fencing token. fenceTimeout bounds one attempt,
	// because no state is sent to the entries while it runs.
	fenceRetryInterval = 500 * time.Millisecond
	fenceTimeout       = 250 * time.Millisecond
	// tokenWakeThreshold is the growth of an entry's unprocessed prompt tokens that triggers an immediate poll, so that
	// the other entries learn of it soon. It is the size of a short prompt.
	tokenWakeThreshold = 500
)

// Report is the state of the engine as the engine reports it.
type Report struct {
	// Born is the start of the engine's run in Unix milliseconds.
	Born int64
	// Sequence is the number of orders that the engine has accepted.
	Sequence int64
	// IsBusy is set while the engine executes an order that excludes other orders.
	IsBusy bool
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Used and Total are the KV cache memory in use and in all, in tokens.
	Used, Total int64
	// Models maps the names of the loaded models to their versions.
	Models map[string]int64
	// Resident and Loading map adapters to their versions.
	Resident map[Adapter]int64
	Loading  map[Adapter]int64
	// AtHand is the set of models that the engine can load from local memory or disk, without the weight store.
	AtHand map[string]bool
}

// Order is a load or unload request to the engine.
type Order struct {
	Step
	// EndpointID identifies the engine's run; empty when unknown.
	EndpointID string
	// Expected is the number of orders that the engine must have accepted before this one. The engine refuses an order
	// that is delayed until after a later one.
	Expected int64
	// Fence is the fencing token.
	Fence int64
}

// Result is the engine's answer to an order.
type Result int

// The results of an order.
const (
	// Accepted means that the order is being executed or its outcome already holds.
	Accepted Result = iota + 1
	// Conflict means that the engine has accepted other orders since its report, which must be read again.
	Conflict
	// Fenced means that another holder has used a higher fencing token.
	Fenced
	// Rejected means that the engine will not execute the order.
	Rejected
)

// String returns the name of the result for logs.
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
	VM string
	// Domain is the failure domain of this VM.
	Domain string
	// Address is the HOST:PORT of the engine.
	Address string
	Engine  Engine
	// Capacity returns the limits of the engine, or nil while they are unknown.
	Capacity func() *Capacity
	// ReserveLoad reserves one load of a model from the weight store, whose load rate is limited for the whole fleet.
	// It returns false when the limit is reached.
	ReserveLoad func(ctx context.Context) (bool, error)
	// IsEvacuated reports whether the engine's failure domain is evacuated. No order is sent while it is.
	IsEvacuated func() bool
	// NewFencingToken returns a fencing token. It and the next FencingTokenRange-1 tokens are higher than all earlier ones and
	// are this process's own.
	NewFencingToken func(ctx context.Context) (int64, error)
	// IgnoresFencing is set if the engine takes orders with any fencing token.
	IgnoresFencing bool
	// ObserveLoad records a finished load, with the result "ok" or "failed" and the time since the order.
	ObserveLoad func(result string, took time.Duration)
	// SendState sends the engine's state to the entries.
	SendState func(s wire.EngineState, to multicaster.Recipients)
	Now       func() time.Time
	// Seed seeds the order in which entries forward states.
	Seed uint64
	Log  zerolog.Logger
}

// Capacity is the limits of what an engine may hold.
type Capacity struct {
	// AdapterSlots bounds the adapters that are resident or loading.
	AdapterSlots int
	// MemoryMB bounds the memory of model weights and adapters together.
	MemoryMB float64
	Models   []Model
	// Batch is the number of requests that the engine processes concurrently.
	Batch int
	// ColdStart is how long the engine is cold after its start, and ColdPerSecond the number of requests a second that it
	// takes then; 0 sets no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Model is a model that the engine may load.
type Model struct {
	Name                 string
	WeightsMB, AdapterMB float64
}

// entryDemand is the latest demand of one entry.
type entryDemand struct {
	updatedAt time.Time
	boot      string
	address   string
	// domain is empty if states for the entry are not to be sent through others.
	domain            string
	isIdle            bool
	unprocessedTokens int64
	// speed is the engine's speed as the entry has observed it; 0 if it has not.
	speed         float64
	adapterDemand map[Adapter]Demand
}

// Orderer runs beside one engine. It is safe for use by several goroutines.
type Orderer struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	entries map[string]entryDemand
	// requestCounts holds the cumulative request counts by entry and adapter. Their increases are added to weights.
	requestCounts map[string]map[Adapter]int
	weights       map[Adapter]weight
	waitingSince  map[Adapter]time.Time
	endpointID    string
	// rejectedEndpointID is an ID with which the engine rejected an order. Entries may go on sending it for a while
	// after the engine has restarted under another ID.
	rejectedEndpointID string
	pacing             pacing

	// The fields below are accessed only by Run and need no lock.
	fencingToken     int64
	lastFenceAttempt time.Time
	runs             engineRuns
	failedReports    int
	// pendingLoads maps the loads in progress to the times of their orders.
	pendingLoads map[Adapter]time.Time
	loadTimes    loadDurations
	// transfers are the finished loads that no message has reported yet.
	transfers []wire.AdapterTransfer
	sentState wire.EngineState
	sentAt    time.Time
	// recipientCount is the number of entries in the last publishState, and adaptersSentAt is when the adapters were last
	// included in a message.
	recipientCount int
	adaptersSentAt time.Time
	isActive       bool
	multicaster    multicaster.Multicaster
	rng            *rand.Rand
}

// weight is an exponentially decayed count of requests.
type weight struct {
	value     float64
	updatedAt time.Time
}

// now returns the weight decayed to the given time.
func (w weight) now(now time.Time) float64 {
	return w.value * math.Exp2(-now.Sub(w.updatedAt).Seconds()/weightHalfLife.Seconds())
}

// New returns an Orderer without any demand. Run starts it.
func New(c Config) *Orderer {
	o := &Orderer{
		config: c, wake: make(chan struct{}, 1), entries: map[string]entryDemand{},
		requestCounts: map[string]map[Adapter]int{}, weights: map[Adapter]weight{}, waitingSince: map[Adapter]time.Time{},
		pendingLoads: map[Adapter]time.Time{}, pacing: newPacing(c.Now()),
		multicaster: multicaster.New(multicaster.Config{Domain: c.Domain}), rng: rand.New(rand.NewPCG(c.Seed, c.Seed>>1)),
	}
	if c.IgnoresFencing {
		// Orders of an earlier process may still be on their way.
		o.runs.holdUntil = c.Now().Add(maxOrderDelay)
	}
	return o
}

// SetDemand replaces an entry's demand. from is the source address of its datagrams, to which the state is sent.
func (o *Orderer) SetDemand(d wire.EntryDemand, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	demand := entryDemand{
		updatedAt: now, boot: d.Boot, address: from, isIdle: d.IsIdle(), unprocessedTokens: d.UnreadTokens, speed: d.Speed, adapterDemand: map[Adapter]Demand{},
	}
	counts := o.requestCounts[d.VM]
	if counts == nil {
		counts = map[Adapter]int{}
		o.requestCounts[d.VM] = counts
	}
	previous := o.entries[d.VM]
	switch {
	case d.FailureDomain != nil:
		demand.domain = *d.FailureDomain
	case previous.boot == d.Boot:
		demand.domain = previous.domain
	}
	isSignificant := previous.address != from || previous.unprocessedTokens+tokenWakeThreshold < d.UnreadTokens
	for _, u := range d.Used {
		a := Adapter{Model: u.Model, Name: u.Adapter}
		demand.adapterDemand[a] = Demand{Version: u.Version, Open: u.Open}
		if added := u.Recent - counts[a]; added > 0 {
			o.weights[a] = weight{value: o.weights[a].now(now) + float64(added), updatedAt: now}
		}
		counts[a] = u.Recent
	}
	for _, w := range d.Wanted {
		a := Adapter{Model: w.Model, Name: w.Adapter}
		adapterDemand := demand.adapterDemand[a]
		adapterDemand.Version, adapterDemand.Waiting = max(adapterDemand.Version, w.Version), w.Open
		demand.adapterDemand[a] = adapterDemand
		if _, ok := o.waitingSince[a]; !ok {
			o.waitingSince[a] = now
		}
	}
	o.entries[d.VM] = demand
	if d.Pace != nil {
		o.pacing.setDemand(&d, o.config.Capacity(), now)
	}
	if d.EndpointID != "" && d.EndpointID != o.rejectedEndpointID {
		o.endpointID = d.EndpointID
	}
	if isSignificant || len(d.Wanted) > 0 {
		o.wakeRun()
	}
}

func (o *Orderer) wakeRun() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// unprocessedTokens returns the number of prompt tokens that the entries have sent and the engine has not yet processed.
func (o *Orderer) unprocessedTokens() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	sum := int64(0)
	for _, e := range o.entries {
		sum += e.unprocessedTokens
	}
	return sum
}

// medianSpeed returns the median of the speeds that the entries have observed; 0 if none has.
func (o *Orderer) medianSpeed() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var speeds []float64
	for _, e := range o.entries {
		if e.speed > 0 {
			speeds = append(speeds, e.speed)
		}
	}
	if len(speeds) == 0 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// totalDemand drops expired demand and returns the sum of the rest by adapter, and the entries.
func (o *Orderer) totalDemand() (map[Adapter]Demand, []multicaster.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	sum := map[Adapter]Demand{}
	var recipients []multicaster.Member
	for vm, e := range o.entries {
		age, ttl := now.Sub(e.updatedAt), demandTTL
		if e.isIdle {
			ttl = idleDemandTTL
		}
		if age > ttl {
			delete(o.entries, vm)
			delete(o.requestCounts, vm)
			continue
		}
		recipients = append(recipients, multicaster.Member{Name: vm, Address: e.address, Domain: e.domain, CanRelay: age <= relayTTL})
		for a, d := range e.adapterDemand {
			s := sum[a]
			s.Version = max(s.Version, d.Version)
			s.Waiting += d.Waiting
			s.Open += d.Open
			sum[a] = s
		}
	}
	for a := range o.waitingSince {
		if sum[a].Waiting == 0 {
			delete(o.waitingSince, a)
		}
	}
	// Adapters without demand are included with their weights.
	for a, w := range o.weights {
		s := sum[a]
		s.Weight, s.WaitingSince = w.now(now), o.waitingSince[a]
		sum[a] = s
	}
	// Adapters with waiting requests but without a weight.
	for a, s := range sum {
		if s.Waiting > 0 && s.WaitingSince.IsZero() {
			s.WaitingSince = o.waitingSince[a]
			sum[a] = s
		}
	}
	return sum, recipients
}

// Run polls the engine, sends it orders and reports its state to the entries, until ctx is cancelled.
func (o *Orderer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		o.poll(ctx)
		interval := idlePollInterval
		if o.isActive {
			interval = activePollInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-o.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (o *Orderer) poll(ctx context.Context) {
	report, err := o.report(ctx)
	totalDemand, recipients := o.totalDemand()
	if err != nil {
		o.isActive = false
		if ctx.Err() == nil {
			o.handleReportFailure(err, recipients)
		}
		return
	}
	isRegained := o.failedReports >= downThreshold
	if isRegained {
		o.config.Log.Info().Int64("Born", report.Born).Msg("orderer: engine regained")
	}
	o.failedReports = 0
	isPaced := o.pace(report, isRegained)
	// The token is obtained before the first order needs it.
	o.ensureFencingToken(ctx)
	o.recordFinishedLoads(report)
	o.loadTimes = o.loadTimes.withHeld(report)
	sent := o.sendOrders(ctx, report, totalDemand)
	if sent {
		if updated, err := o.report(ctx); err == nil {
			report = updated
		}
	}
	o.isActive = len(report.Loading) > 0 || sent || isPaced
	o.publishState(report, totalDemand, recipients)
}

func (o *Orderer) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.config.Engine.Report(ctx)
	if err == nil {
		o.observeRun(report)
	}
	return report, err
}

func (o *Orderer) handleReportFailure(err error, recipients []multicaster.Member) {
	o.failedReports++
	if o.failedReports == downThreshold {
		o.config.Log.Warn().Err(err).Msg("orderer: engine lost")
	}
	if o.failedReports >= downThreshold {
		down := o.sentState
		down.Address, down.IsDown = o.config.Address, true
		if down.Pace != nil {
			// Grants given before must not be used when the engine is back.
			down.Pace = &wire.EnginePace{IsPaced: down.Pace.IsPaced, Grants: []wire.PaceGrant{}}
		}
		isChange := o.failedReports == downThreshold
		o.sendState(down, recipients, publication{isDue: isChange, isChange: isChange})
	}
}

// sendOrders sends the orders that the demand requires, one at a time, and reports whether it sent any. After each order
// it plans again from a new report.
func (o *Orderer) sendOrders(ctx context.Context, report Report, demands map[Adapter]Demand) bool {
	sent := false
	for range maxConcurrentLoads {
		capacity := o.config.Capacity()
		if capacity == nil || report.IsBusy || o.config.IsEvacuated() || o.config.Now().Before(o.runs.holdUntil) {
			return sent
		}
		step, ok := Plan(Holdings{
			Models: report.Models, Resident: report.Resident, Loading: report.Loading, Capacity: *capacity, MaxLoading: maxConcurrentLoads,
		}, demands)
		if !ok || !o.ensureFencingToken(ctx) || !o.mayLoad(ctx, step, report) {
			return sent
		}
		sent = true
		if !o.sendOrder(ctx, step, report, demands) {
			return sent
		}
		var err error
		if report, err = o.report(ctx); err != nil {
			return sent
		}
	}
	return sent
}

// sendOrder sends one order and reports whether the engine accepted it.
func (o *Orderer) sendOrder(ctx context.Context, step Step, report Report, demands map[Adapter]Demand) bool {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.mu.Lock()
	id := o.endpointID
	o.mu.Unlock()
	order := Order{Step: step, EndpointID: id, Expected: report.Sequence, Fence: o.fencingToken}
	result, err := o.config.Engine.Order(callCtx, order)
	d := demands[step.Adapter]
	o.config.Log.Info().Str("Adapter", step.Adapter.Model+"/"+step.Adapter.Name).Int64("Version", step.Version).
		Bool("Load", step.IsLoad).Int("Models", len(report.Models)).Int("Held", len(report.Resident)).Int("Coming", len(report.Loading)).Int64("Expected", report.Sequence).Int64("Fence", o.fencingToken).Stringer("Result", result).
		Int("Waiting", d.Waiting).Float64("Weight", d.Weight).AnErr("Error", err).Msg("orderer: order given")
	if err != nil {
		o.runs.unansweredAt = o.config.Now()
		return false
	}
	switch result {
	case Fenced:
		o.fencingToken = 0
		return false
	case Rejected:
		o.mu.Lock()
		o.endpointID, o.rejectedEndpointID = "", id
		o.mu.Unlock()
		return false
	case Accepted:
		if step.IsLoad {
			o.pendingLoads[step.Adapter] = o.config.Now()
		}
		return true
	case Conflict:
	}
	return false
}

// recordFinishedLoads records the loads that have succeeded or failed since the last report. An empty adapter name
// stands for the model itself; its load stays pending until the report contains the model, and is never recorded as
// failed here.
func (o *Orderer) recordFinishedLoads(r Report) {
	for a, at := range o.pendingLoads {
		_, isResident := r.Resident[a]
		_, isLoading := r.Loading[a]
		_, isModel := r.Models[a.Model]
		switch {
		case isLoading || a.Name == "" && !isModel:
		case isResident || a.Name == "":
			o.recordTransfer(a, o.config.Now().Sub(at))
			delete(o.pendingLoads, a)
		default:
			o.config.ObserveLoad("failed", o.config.Now().Sub(at))
			o.config.Log.Warn().Str("Adapter", a.Model+"/"+a.Name).Dur("After", o.config.Now().Sub(at)).Msg("orderer: load failed")
			delete(o.pendingLoads, a)
		}
	}
}

// mayLoad reports whether the step may start now. Only loads of models from the weight store are rate-limited.
func (o *Orderer) mayLoad(ctx context.Context, step Step, report Report) bool {
	if !step.IsLoad || step.Adapter.Name != "" || report.AtHand[step.Adapter.Model] {
		return true
	}
	ok, err := o.config.ReserveLoad(ctx)
	if err != nil {
		// The limit is kept in the store. While the store is unavailable the model is loaded regardless, because an
		// engine without a model serves no requests.
		o.config.Log.Warn().Err(err).Str("Model", step.Adapter.Model).Msg("orderer: could not check the fleet's load limit; loading the model regardless")
		return true
	}
	if !ok {
		o.config.Log.Info().Str("Model", step.Adapter.Model).Msg("orderer: model load deferred, the fleet's load limit is reached")
	}
	return ok
}

// ensureFencingToken obtains a fencing token if there is none, at most once per fenceRetryInterval, and reports whether
// there is one.
func (o *Orderer) ensureFencingToken(ctx context.Context) bool {
	if o.fencingToken > 0 {
		return true
	}
	if o.config.Now().Sub(o.lastFenceAttempt) < fenceRetryInterval {
		return false
	}
	o.lastFenceAttempt = o.config.Now()
	callCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fencingToken, err := o.config.NewFencingToken(callCtx)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			o.config.Log.Warn().Err(err).Msg("orderer: could not obtain a fencing token; no orders are sent until the store answers")
		}
		return false
	}
	o.fencingToken, o.runs.tokensLeft = fencingToken, FencingTokenRange-1
	o.config.Log.Info().Int64("Fence", fencingToken).Msg("orderer: fencing token obtained")
	return true
}

// publishState sends the engine's state to the entries: at once when its adapters have changed or an entry has been
// added, after a minimum interval when its load or the use of its adapters has changed, and otherwise at the interval of
// nextSendWithin.
func (o *Orderer) publishState(r Report, demands map[Adapter]Demand, recipients []multicaster.Member) {
	adapters := &wire.EngineAdapters{Resident: adapterNames(r.Resident), Loading: adapterNames(r.Loading)}
	for model, version := range r.Models {
		adapters.Resident = append(adapters.Resident, wire.AdapterName{Model: model, Version: version})
	}
	slices.SortFunc(adapters.Resident, func(a, b wire.AdapterName) int {
		return compareAdapters(Adapter{Model: a.Model, Name: a.Adapter}, Adapter{Model: b.Model, Name: b.Adapter})
	})
	s := wire.EngineState{
		Address: o.config.Address, Born: r.Born, Running: r.Running, Waiting: r.Waiting, UsedTokens: r.Used, TotalTokens: r.Total,
		UnreadTokens: o.unprocessedTokens(), Speed: o.medianSpeed(), Adapters: adapters, Pace: o.paceMessage(),
	}
	sentAdapters := o.sentState.Adapters
	adaptersChanged := sentAdapters == nil || s.Born != o.sentState.Born || o.sentState.IsDown || len(recipients) > o.recipientCount ||
		!slices.EqualFunc(adapters.Resident, sentAdapters.Resident, equalIgnoringUse) || !slices.Equal(adapters.Loading, sentAdapters.Loading)
	for i, a := range adapters.Resident {
		d := demands[Adapter{Model: a.Model, Name: a.Adapter}]
		adapters.Resident[i].IsUsed = d.Open > 0 || d.Waiting > 0
	}
	useChanged := sentAdapters != nil && !slices.Equal(adapters.Resident, sentAdapters.Resident)
	loadChanged := s.Running != o.sentState.Running || s.Waiting != o.sentState.Waiting || s.UnreadTokens != o.sentState.UnreadTokens
	// The number of messages from all sidecars grows with the number of entries, so the interval grows with it.
	minInterval := max(minSendInterval, time.Duration(len(recipients))*sendIntervalPerEntry)
	o.recipientCount = len(recipients)
	paceChanged := !equalPace(s.Pace, o.sentState.Pace) && o.config.Now().Sub(o.sentAt) >= minSendInterval
	// An entry that misses the announcement of a longer interval would take the engine for overdue.
	isSlower := nextSendWithin(&s, len(recipients)) > nextSendWithin(&o.sentState, len(recipients))
	o.sendState(s, recipients, publication{
		isDue:    adaptersChanged || paceChanged || (loadChanged || useChanged) && o.config.Now().Sub(o.sentAt) >= minInterval,
		isChange: adaptersChanged || isSlower, withAdapters: adaptersChanged || useChanged,
	})
}

// equalIgnoringUse reports whether two adapters are equal apart from IsUsed.
func equalIgnoringUse(a, b wire.AdapterName) bool {
	a.IsUsed, b.IsUsed = false, false
	return a == b
}

// publication is how a state is sent.
type publication struct {
	// isDue is set if it is sent at once.
	isDue bool
	// isChange is set if the adapters have changed, the engine has become unavailable, or the next message follows later than
	// entries expect.
	isChange     bool
	withAdapters bool
}

// sendState sends the state if it is due or nextSendWithin has passed since the last message. It leaves out unchanged
// adapters, but includes them again after maxSendInterval because a datagram may be lost.
func (o *Orderer) sendState(s wire.EngineState, recipients []multicaster.Member, p publication) {
	now := o.config.Now()
	if !p.isDue && now.Sub(o.sentAt) < nextSendWithin(&o.sentState, len(recipients)) {
		return
	}
	// The next message is sent by the first poll after the interval, which adds up to one poll interval.
	s.NextWithinMilliseconds = (nextSendWithin(&s, len(recipients)) + idlePollInterval).Milliseconds()
	o.sentState, o.sentAt = s, now
	if !p.withAdapters && now.Sub(o.adaptersSentAt) < maxSendInterval {
		s.Adapters = nil
	} else {
		o.adaptersSentAt = now
	}
	if len(recipients) > 0 {
		s.Transfers, o.transfers = o.transfers, nil
		var to multicaster.Recipients
		o.multicaster, to = o.multicaster.WithMessage(recipients, multicaster.Message{IsChange: p.isChange, Named: grantees(s.Pace)}, o.rng)
		o.config.SendState(s, to)
	}
}

// grantees returns the entries that have grants, which they need within their short validity.
func grantees(m *wire.EnginePace) []string {
	if m == nil {
		return nil
	}
	names := make([]string, len(m.Grants))
	for i, g := range m.Grants {
		names[i] = g.VM
	}
	return names
}

// nextSendWithin returns the longest time from a message with the given state to the next one.
func nextSendWithin(s *wire.EngineState, entries int) time.Duration {
	if s.Running+s.Waiting == 0 && s.UnreadTokens == 0 {
		return maxSendInterval
	}
	return min(maxSendInterval, maxActiveSendInterval+time.Duration(entries)*sendIntervalPerEntry)
}

// adapterNames returns the adapters in wire format, sorted by model and name.
func adapterNames(adapters map[Adapter]int64) []wire.AdapterName {
	list := make([]wire.AdapterName, 0, len(adapters))
	for a, version := range adapters {
		list = append(list, wire.AdapterName{Model: a.Model, Adapter: a.Name, Version: version})
	}
	slices.SortFunc(list, func(a, b wire.AdapterName) int {
		return compareAdapters(Adapter{Model: a.Model, Name: a.Adapter}, Adapter{Model: b.Model, Name: b.Adapter})
	})
	return list
}
