package forwarder

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/budgeter"
)

const (
	// rechooseInterval is the time after which a request that waits for the start of a load selects an endpoint again.
	rechooseInterval = 100 * time.Millisecond
	// rechosenCandidates is the number of candidates that the waiting requests together compare in rechooseInterval. With
	// more, each selects less often, so that it takes about 1% of a core. A granted load ends the wait in any case.
	rechosenCandidates = 1024
)

// transferRetryAfter is the Retry-After value of requests that no load can serve in time.
const transferRetryAfter = 500 * time.Millisecond

type adapterLoad = budgeter.Load[registrar.AdapterKey]

// transfers is this entry's budget for adapter loads from the weight store. It is safe for concurrent use.
type transfers struct {
	clock

	mu    sync.Mutex
	state budgeter.Budgeter[registrar.AdapterKey]
	rng   *rand.Rand
	// wakes holds a channel for each adapter with waiting requests. It is closed when they should select an endpoint again.
	wakes map[registrar.AdapterKey]chan struct{}
	// timer runs when the next load may start without another change.
	timer  *time.Timer
	lastID uint64
	// announced is the limit that was last logged.
	announced float64
}

// transferPlace is a request's place in the queue of its adapter.
type transferPlace struct {
	// id is 0 before the request has waited.
	id       uint64
	since    time.Duration
	isQueued bool
	waited   time.Duration
}

func newTransfers(c clock) *transfers {
	seed := uint64(c.start.UnixNano()) //nolint:forbidigo // A seed.
	return &transfers{
		clock: c, state: budgeter.New[registrar.AdapterKey](budgeter.Config{}), rng: rand.New(rand.NewPCG(seed, seed>>1)),
		wakes: map[registrar.AdapterKey]chan struct{}{},
	}
}

// observe applies a sidecar's report. The caller holds the fleet's lock, and the endpoint still has its previous state.
func (t *transfers) observe(e *endpoint, s *wire.EngineState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	for _, x := range s.Transfers {
		if !x.IsWarm {
			key := registrar.AdapterKey{Model: x.Model, Adapter: x.Adapter}
			t.state = t.state.WithFinished(adapterLoad{Adapter: key, Engine: e.key}, time.Duration(x.Milliseconds)*time.Millisecond, now)
		}
	}
	switch {
	case s.IsDown:
		t.state = t.state.WithLoading(e.key, nil, now)
	case s.Adapters != nil:
		var loading []registrar.AdapterKey
		for _, name := range s.Adapters.Loading {
			key := registrar.AdapterKey{Model: name.Model, Adapter: name.Adapter}
			if key.Adapter != "" && !e.isWarm(key) {
				loading = append(loading, key)
			}
			t.wake(key)
		}
		for _, name := range s.Adapters.Resident {
			key := registrar.AdapterKey{Model: name.Model, Adapter: name.Adapter}
			if _, isHeld := e.resident[key]; !isHeld {
				t.wake(key)
			}
		}
		t.state = t.state.WithLoading(e.key, loading, now)
	}
	t.schedule(now)
}

// wake lets the requests that wait for the adapter select an endpoint again. The caller holds the lock.
func (t *transfers) wake(key registrar.AdapterKey) {
	if c, ok := t.wakes[key]; ok {
		close(c)
		delete(t.wakes, key)
	}
}

// schedule starts the loads that may start now. The caller holds the lock.
func (t *transfers) schedule(now time.Duration) {
	var granted []registrar.AdapterKey
	t.state, granted = t.state.WithGrants(now, t.rng)
	for _, key := range granted {
		t.wake(key)
	}
	next, ok := t.state.NextTurn()
	switch {
	case !ok && t.timer != nil:
		t.timer.Stop()
	case ok && t.timer == nil:
		t.timer = time.AfterFunc(next-now, t.handleTurn)
	case ok:
		t.timer.Reset(next - now)
	}
}

func (t *transfers) handleTurn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schedule(t.elapsed())
}

// wait returns the expected wait until the load may start.
func (t *transfers) wait(e *endpoint, key registrar.AdapterKey) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Wait(adapterLoad{Adapter: key, Engine: e.key})
}

// isLimited reports whether the number of loads in flight is limited.
func (t *transfers) isLimited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Limit() > 0
}

// request reports whether the load may start now or has been started by this entry. Otherwise the request is queued, and
// the channel is closed when it should select an endpoint again.
func (t *transfers) request(l adapterLoad, r budgeter.Request) (wake <-chan struct{}, isStarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Limit() == 0 || t.state.IsStarted(l) {
		return nil, true
	}
	now := t.elapsed()
	for range 2 {
		var ok bool
		if t.state, ok = t.state.WithStart(l); ok {
			return nil, true
		}
		t.state = t.state.WithRequest(l.Adapter, r, now)
		t.schedule(now)
	}
	c := t.wakes[l.Adapter]
	if c == nil {
		c = make(chan struct{})
		t.wakes[l.Adapter] = c
	}
	return c, false
}

// leave removes a request from the queue.
func (t *transfers) leave(key registrar.AdapterKey, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = t.state.WithoutRequest(key, id)
	t.schedule(t.elapsed())
}

// end records that no request waits for the load any more.
func (t *transfers) end(e *endpoint, key registrar.AdapterKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = t.state.WithoutStart(adapterLoad{Adapter: key, Engine: e.key})
	t.schedule(t.elapsed())
}

// newID returns an ID for a request.
func (t *transfers) newID() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	return t.lastID
}

// awaitTransfer asks the transfer budget for the load of the adapter at the endpoint. It returns true if the load may
// start, and false after a wait, when the endpoint has to be selected again. A request that no load can serve before its
// deadline, or before its caller leaves, is refused.
func (x *exchange) awaitTransfer(ctx context.Context, e *endpoint) (isStarted bool, _ *Refusal) {
	f, t := x.f.fleet, x.f.fleet.transfers
	f.mu.Lock()
	isWarm := e.isWarm(x.call.Model)
	_, holdsModel := e.resident[registrar.AdapterKey{Model: x.call.Model.Model}]
	engines := len(f.byService[x.service])
	f.mu.Unlock()
	if isWarm || !holdsModel {
		// A warm load doesn't use the weight store, and the load of a model has its own limit.
		return true, nil
	}
	if x.transfer.id == 0 {
		x.transfer.id, x.transfer.since = t.newID(), t.elapsed()
	}
	processing := time.Duration(x.call.PromptTokens / x.f.config.Selector.PrefillTokensPerMs * float64(time.Millisecond))
	objective := x.deadline
	if x.route.Objective > 0 {
		objective = x.arrivedAt.Add(x.route.Objective)
	}
	r := budgeter.Request{
		ID: x.transfer.id, Since: x.transfer.since, Objective: objective.Sub(t.start) - processing, Deadline: x.deadline.Sub(t.start) - processing,
	}
	wake, isStarted := t.request(adapterLoad{Adapter: x.call.Model, Engine: e.key}, r)
	if isStarted {
		return true, nil
	}
	x.transfer.isQueued = true
	stats, remaining := x.f.Transfers(), x.usefulUntil().Sub(x.f.config.Now())
	if remaining < stats.BaseTime {
		return false, refuseUnavailable("transfer-budget", transferRetryAfter)
	}
	interval := rechooseInterval * time.Duration(max(1, stats.Waiting*engines/rechosenCandidates))
	timer := time.NewTimer(min(interval, remaining-stats.BaseTime+time.Millisecond))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	x.transfer.waited = t.elapsed() - x.transfer.since
	return false, nil
}

// leaveTransferQueue removes the request from the queue for loads. A request that has joined a load must not stay there,
// because the start that is granted to it then keeps a place from others.
func (x *exchange) leaveTransferQueue() {
	if x.transfer.isQueued {
		x.transfer.isQueued = false
		x.f.fleet.transfers.leave(x.call.Model, x.transfer.id)
	}
}

// TransferStats is this entry's view of the adapter loads from the weight store.
type TransferStats struct {
	// Limit is the number that the store carries at full speed; 0 while it is unknown, which allows any number.
	Limit float64
	// InFlight is the number of loads in flight over all engines, and Waiting the number of adapters whose loads wait at
	// this entry.
	InFlight, Waiting int
	// BaseTime is the duration of a load at full speed.
	BaseTime time.Duration
}

// Transfers returns this entry's view of the adapter loads.
func (f *Forwarder) Transfers() TransferStats {
	t := f.fleet.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	return TransferStats{Limit: t.state.Limit(), InFlight: t.state.InFlight(), Waiting: t.state.Waiting(), BaseTime: t.state.BaseTime()}
}

// announcedChange is the part of the limit by which it must change to be logged.
const announcedChange = 0.25

// updateTransfers applies the entries in contact and the engines that report, and logs a changed limit.
func (f *Forwarder) updateTransfers() {
	reporting, engines := f.fleet.reportingEngines()
	t := f.fleet.transfers
	t.mu.Lock()
	now := t.elapsed()
	isBlind := 2*len(reporting) < engines
	t.state = t.state.WithProcesses(f.config.EntryCount(), isBlind).WithEngines(func(engine string) bool { return reporting[engine] }, now)
	t.schedule(now)
	limit, previous := t.state.Limit(), t.announced
	isChanged := math.Abs(limit-previous) > announcedChange*previous
	if isChanged {
		t.announced = limit
	}
	t.mu.Unlock()
	if isChanged {
		stats := f.Transfers()
		f.config.Log.Info().Float64("Limit", limit).Float64("Was", previous).Int("InFlight", stats.InFlight).Int("Waiting", stats.Waiting).
			Dur("BaseTime", stats.BaseTime).Bool("IsBlind", isBlind).Msg("forwarder: limit of adapter transfers changed")
	}
}

// reportingEngines returns the engines with a recent report, and the number of all engines.
func (f *fleet) reportingEngines() (map[string]bool, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, engines := f.now(), 0
	reporting := map[string]bool{}
	for _, e := range f.byIncarnation {
		if e.engine == nil {
			continue
		}
		engines++
		if !e.stateAt.IsZero() && now.Sub(e.stateAt) < stateTTL {
			reporting[e.key] = true
		}
	}
	return reporting, engines
}
