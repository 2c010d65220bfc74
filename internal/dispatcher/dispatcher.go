// Package dispatcher implements the sidecar, the only process that sends requests and adapter load and unload orders to
// an endpoint. The sidecar owns the endpoint's queue, adapter slots, pins, run guard and retained responses. They are
// held in memory, and no other process writes them. The sidecar keeps serving while the table service is unavailable.
// Without the endpoint's lease it sends no orders, because the engine may not check fencing tokens.
package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/configurer"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/attester"
	"geraniumladder/pkg/claimer"
	"geraniumladder/pkg/leaser"
	"geraniumladder/pkg/pinner"
	"geraniumladder/pkg/scheduler"
)

const (
	// kindModel is the kind of a model endpoint in the settings. Any other kind is a plain service.
	kindModel = "model"

	// reconnectGracePeriod is how long a repeatable request keeps running without a reader, so that an entry can rejoin
	// it on a new connection.
	reconnectGracePeriod = 5 * time.Second
	// responseRetention is how long the response of a repeatable request is kept after it has ended.
	responseRetention = 30 * time.Second
	// staleRevisionGracePeriod is how long requests decided under an older configuration revision are still accepted
	// after a newer one is known.
	staleRevisionGracePeriod = 4 * time.Second
	// maxRunDuration is the time limit for a non-repeatable request, unless its deadline is later. Such a request is
	// not cancelled at its caller's deadline, because its response can still be fetched later.
	maxRunDuration = claimer.DefaultMaxLifetime
	// slotWaitBeforeDrain is how long a request waits for an adapter slot before the endpoint stops starting requests
	// for the adapter with the fewest pins, so that a slot becomes free.
	slotWaitBeforeDrain = time.Second
	// maxConcurrentLoads limits the concurrent adapter loads at one engine, because a slot stays empty while its
	// adapter is loading.
	maxConcurrentLoads = 2
	// expiryInterval is the interval at which expired requests and responses are removed.
	expiryInterval = 250 * time.Millisecond
	// residencyPollInterval is the interval at which the engine's resident adapters are read, which is how an engine
	// restart is detected.
	residencyPollInterval = time.Second
)

// Config configures a Dispatcher.
type Config struct {
	Settings  configurer.Sidecar
	Platform  storer.Platform
	Messenger *messenger.Messenger
	Signer    authenticator.Signer
	Meter     *meter.Meter
	Log       zerolog.Logger
	// Now defaults to time.Now.
	Now func() time.Time
	// Advertise is the address at which entries reach the sidecar.
	Advertise string
}

// Dispatcher is a sidecar for one endpoint.
type Dispatcher struct {
	config      Config
	incarnation string
	started     time.Time
	now         func() time.Time
	log         zerolog.Logger
	engine      *engine
	service     *service
	lease       *leaseManager
	entries     *entryList
	// nextListAt is the earliest time to read the platform's VM list again while an entry answers. Only discoverEntries
	// uses it.
	nextListAt time.Duration
	// work is the context of goroutines started by spawn. spawned counts those whose end has not been received from
	// goroutineDone.
	work          context.Context
	stopWork      context.CancelFunc
	spawned       atomic.Int64
	goroutineDone chan struct{}

	mu    sync.Mutex
	guard claimer.Guard
	slots pinner.Slots
	queue scheduler.Queue
	// runs holds every request from its arrival until its response is no longer retained, by guard key.
	runs map[string]*run
	// running counts the runs that have been started at the endpoint and have not ended.
	running      int
	active       map[*run]struct{}
	runningBy    map[string]int
	longPrefills int
	// slotWaiters holds requests that were dequeued but found no free adapter slot, in dequeue order.
	slotWaiters []*run
	// drainingAdapter is the adapter for which no new requests are started until a slot is free, or "" if there is
	// none.
	drainingAdapter string
	// loadEvents counts the starts and ends of adapter loads. A residency report that overlaps with one of them is
	// ignored.
	loadEvents int64
	// resyncSlots requests that the slots be reset from the next residency report, because the outcome of an order is
	// unknown.
	resyncSlots bool
	// ready is set when the engine has reported its resident adapters and cleared when it stops answering. everReady
	// stays set after the first time.
	ready, everReady bool
	leaving          bool
	// reports holds what the runs of the endpoint have reported in responses. endpointRun is the number of the present run.
	reports     attester.Attester[int]
	endpointRun int
	// malformed counts the malformed headers in responses.
	malformed uint
	// loadSequence numbers the load reports.
	loadSequence int64
	// revision is the newest configuration revision observed, and revisionSeenAt is when it was first observed. proof
	// is the best proof of its freshness, received at proofAt.
	revision       int64
	revisionSeenAt time.Time
	proof          wire.Freshness
	proofAt        time.Time
	// drained is closed when the dispatcher is leaving and no requests, loads or readers are left.
	drained            chan struct{}
	heartbeatRequested chan struct{}
}

// inbound is a request as received from the entry.
type inbound struct {
	method string
	// target is the path and query for the endpoint.
	target string
	header http.Header
	body   []byte
}

// run is one request at this sidecar.
type run struct {
	key       string
	header    wire.RunHeader
	in        inbound
	response  *response
	arrivedAt time.Duration
	// dequeuedAt is when the request was taken from the queue, or 0 before that.
	dequeuedAt time.Duration
	deadline   time.Duration
	// request is the request as returned by the queue, including the service charged for it.
	request scheduler.Request
	// slotWaitSince is when the request first found no free adapter slot, or 0.
	slotWaitSince time.Duration
	running       bool
	cancel        context.CancelFunc
	// expiresAt is when the response may be discarded, or 0 while the run is open.
	expiresAt time.Duration
}

// New returns a Dispatcher. Call Run to start its background loops.
func New(c Config) *Dispatcher {
	if c.Now == nil {
		c.Now = time.Now
	}
	started := c.Now()
	s := c.Settings
	d := &Dispatcher{
		config: c, now: c.Now, started: started, log: c.Log,
		incarnation:        NewIncarnation(started),
		runs:               map[string]*run{},
		active:             map[*run]struct{}{},
		runningBy:          map[string]int{},
		drained:            make(chan struct{}),
		heartbeatRequested: make(chan struct{}, 1),
		entries:            newEntryList(),
		proof:              wire.Freshness{AgeMs: -1},
		goroutineDone:      make(chan struct{}),
		reports:            attester.New[int](attester.Config{}),
	}
	d.work, d.stopWork = context.WithCancel(context.Background())
	d.guard = claimer.NewGuard(claimer.GuardConfig{Incarnation: d.incarnation, Remember: s.Remember, MaxLifetime: maxRunDuration})
	d.slots = pinner.New(pinner.Config{Slots: s.Endpoint.Slots, MaxLoading: maxConcurrentLoads})
	d.queue = scheduler.New(scheduler.Config{
		MaxRunning:       s.Endpoint.MaxRunning,
		GroupingTokens:   groupingTokens,
		CreditTokens:     creditTokens,
		ReservedSlots:    s.Endpoint.MaxRunning * reservedNumerator / reservedDenominator,
		ReservedTokens:   reservedTokens,
		MaxLongPrefills:  2,
		LongPromptTokens: longPromptTokens,
	})
	if s.Endpoint.Kind == kindModel {
		d.engine = newEngine(s.Endpoint.URL, d.reading)
		d.lease = newLeaseManager(c.Platform, leaser.Config{
			Name: s.VM, Holder: d.incarnation, TTL: s.LeaseTTL, RenewEvery: s.LeaseTTL / 3,
		}, d.elapsed, c.Log)
	} else {
		d.service = newService(s.Endpoint.URL, d.reading)
		d.ready = true
	}
	return d
}

const (
	// groupingTokens limits how much work may bypass the head of the queue when requests are grouped by resident
	// adapter. It is about one response of ordinary length.
	groupingTokens = 2000
	// longPromptTokens is the prompt length from which at most two prompts are prefilled at a time.
	longPromptTokens = 4000
	// creditTokens, reservedTokens and the reserved share of the batch reduced the p99 of the worst-served organisation
	// from 23.8 to 1.21 times the p99 it has when it is alone (docs/measurements.md, 12 endpoints, half used).
	creditTokens        = 40_000
	reservedTokens      = 22_400
	reservedNumerator   = 6
	reservedDenominator = 16
)

// NewIncarnation returns a unique name for a process started at the given time. Names sort by start time.
func NewIncarnation(started time.Time) string {
	return fmt.Sprintf("%019d-%s", started.UnixNano(), uuid.NewString()[:8]) //nolint:forbidigo // Only compared for order.
}

// Incarnation returns the name of this run of the process.
func (d *Dispatcher) Incarnation() string { return d.incarnation }

// elapsed returns the time since the process started. It is monotonic when config.Now is time.Now.
func (d *Dispatcher) elapsed() time.Duration { return d.now().Sub(d.started) }

// guardKey returns the key of a run at the guard. A repeatable request may be dispatched more than once, so its
// attempts have distinct keys.
func guardKey(h wire.RunHeader) string {
	if h.Repeatable {
		return fmt.Sprintf("%s/%d", h.RequestID, h.Attempt)
	}
	return h.RequestID
}

// accept admits a request. It returns the run whose response answers the request, or a refusal.
func (d *Dispatcher) accept(h wire.RunHeader, in inbound) (*run, *wire.RunError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.elapsed()
	key := guardKey(h)
	if refusal := d.refusal(h); refusal != nil {
		if r, known := d.runs[key]; known && h.Incarnation == d.incarnation {
			// A duplicate of an accepted message must not be answered as not run.
			return r, nil
		}
		// This message is answered as not run, so a duplicate of it must not run later.
		d.guard, _ = d.guard.Void(key, now)
		return nil, refusal
	}
	remaining := time.Duration(h.RemainingMs) * time.Millisecond
	var verdict claimer.Verdict
	d.guard, verdict = d.guard.Begin(claimer.Run{
		RequestID: key, Incarnation: h.Incarnation, Remaining: remaining, Attempt: h.Attempt, Repeatable: h.Repeatable,
	}, now)
	switch verdict {
	case claimer.Accepted:
	case claimer.Join, claimer.Replay:
		if r, known := d.runs[key]; known {
			return r, nil
		}
		return nil, newRefusal(h, wire.RunErrorCodeLate, wire.RunErrorOutcomeRan, "the response is no longer kept; read the state of the call")
	case claimer.Voided:
		return nil, newRefusal(h, wire.RunErrorCodeVoided, wire.RunErrorOutcomeNotRun, "the request was voided; send it under a new ID")
	case claimer.Late:
		return nil, newRefusal(h, wire.RunErrorCodeLate, wire.RunErrorOutcomeNotRun, "the request arrived after its deadline; give it more time")
	default:
		return nil, newRefusal(h, wire.RunErrorCodeWrongIncarnation, wire.RunErrorOutcomeNotRun, "the sidecar has restarted; send the request again")
	}
	r := &run{key: key, header: h, in: in, arrivedAt: now, deadline: now + remaining}
	r.response = newResponse(func() { d.cancelIfUnread(r) })
	d.runs[key] = r
	request := scheduler.Request{
		ID: key, Organisation: h.Organisation, Weight: h.Weight, Adapter: adapterOf(h), PromptTokens: h.PromptTokens,
		AnswerTokens: h.AnswerTokens, Priority: h.Priority, Deadline: r.deadline,
	}
	r.request = request
	if !d.loadOnArrival(r, now) {
		d.queue = d.queue.WithRequest(request, now)
		d.refuseUnmeetable(now)
	}
	d.dispatchQueued()
	return r, nil
}

func adapterOf(h wire.RunHeader) string {
	if h.Adapter == "" {
		return ""
	}
	return modelName(h)
}

// refusal returns the reason why new requests cannot be accepted, or nil.
func (d *Dispatcher) refusal(h wire.RunHeader) *wire.RunError {
	d.observeRevision(h.Revision)
	switch {
	case d.leaving:
		return newRefusal(h, wire.RunErrorCodeLeaving, wire.RunErrorOutcomeNotRun, "the endpoint is leaving; send the request elsewhere")
	case d.reports.IsLeaving(d.endpointRun):
		return newRefusal(h, wire.RunErrorCodeLeaving, wire.RunErrorOutcomeNotRun, messageLeaving)
	case d.closedFor() > 0:
		return d.newClosedRefusal(h)
	case !d.ready:
		return newRefusal(h, wire.RunErrorCodeStarting, wire.RunErrorOutcomeNotRun, "the endpoint is starting; send the request elsewhere")
	case h.Revision < d.revision && d.now().Sub(d.revisionSeenAt) > staleRevisionGracePeriod:
		return newRefusal(h, wire.RunErrorCodeStaleRevision, wire.RunErrorOutcomeNotRun,
			fmt.Sprintf("decided under revision %d while %d is in force; read the configuration again", h.Revision, d.revision))
	}
	return nil
}

func (d *Dispatcher) observeRevision(revision int64) {
	if revision > d.revision {
		d.revision, d.revisionSeenAt = revision, d.now()
	}
}

func newRefusal(h wire.RunHeader, code wire.RunErrorCode, outcome wire.RunErrorOutcome, message string) *wire.RunError {
	return &wire.RunError{Code: code, Outcome: outcome, Message: message, RequestID: h.RequestID}
}

// dispatchQueued starts queued requests while the endpoint has capacity. The caller holds the lock.
func (d *Dispatcher) dispatchQueued() {
	now := d.elapsed()
	if !d.ready {
		return
	}
	d.retrySlotWaiters(now)
	for d.running < d.config.Settings.Endpoint.MaxRunning && len(d.slotWaiters) < d.config.Settings.Endpoint.MaxRunning {
		var request scheduler.Request
		var ok bool
		d.queue, request, ok = d.queue.Next(scheduler.State{
			Running: d.running, LongPrefills: d.longPrefills, Resident: d.canServe,
			RunningBy: func(organisation string) int { return d.runningBy[organisation] },
		}, now)
		if !ok {
			return
		}
		if r := d.runs[request.ID]; r != nil {
			r.dequeuedAt, r.request = now, request
			d.tryStart(r, now)
		}
	}
}

// tryStart pins the adapter of a dequeued request and starts the request. Both happen under the lock, so the adapter
// cannot be evicted in between.
func (d *Dispatcher) tryStart(r *run, now time.Duration) {
	name := adapterOf(r.header)
	if name == "" {
		d.start(r)
		return
	}
	if name == d.drainingAdapter {
		d.addSlotWaiter(r, now)
		return
	}
	slots, action := d.slots.Acquire(name, r.key, r.header.PermitID != "", now)
	d.slots = slots
	switch action.Kind {
	case pinner.Run:
		d.start(r)
	case pinner.Load:
		d.startLoad(r.header.WeightPath, name, action.Evict)
	case pinner.Wait:
	case pinner.NeedsPermit:
		d.rejectRun(r, wire.RunErrorCodeNeedsPermit, "the adapter is not resident; send the request with a load permit")
	case pinner.NoRoom:
		d.addSlotWaiter(r, now)
	default:
		d.rejectRun(r, wire.RunErrorCodeVoided, "the request ID is in use; send the request under a new ID")
	}
}

// rejectRun ends a request that has not started.
func (d *Dispatcher) rejectRun(r *run, code wire.RunErrorCode, message string) {
	now := d.elapsed()
	d.guard = d.guard.Finish(r.key, now)
	d.slots = d.slots.Release(r.key)
	if r.dequeuedAt > 0 {
		d.queue = d.queue.WithServiceCorrection(r.header.Organisation, -r.request.Charged)
	}
	r.expiresAt = now + responseRetention
	refusal := newRefusal(r.header, code, wire.RunErrorOutcomeNotRun, message)
	if code == wire.RunErrorCodeClosed {
		refusal = d.newClosedRefusal(r.header)
	}
	r.response.end(refusal)
}

// start sends a request to the endpoint. The caller holds the lock, and the adapter is pinned.
func (d *Dispatcher) start(r *run) {
	now := d.elapsed()
	var ok bool
	if d.guard, ok = d.guard.Start(r.key, now); !ok {
		d.slots = d.slots.Release(r.key)
		return
	}
	r.running = true
	d.running++
	d.active[r] = struct{}{}
	d.runningBy[r.header.Organisation]++
	if r.header.PromptTokens >= longPromptTokens {
		d.longPrefills++
		r.response.setFirstChunkHook(func() { d.prefillDone() })
	}
	timeout := r.deadline - now
	if !r.header.Repeatable {
		timeout = max(timeout, maxRunDuration)
	}
	ctx, cancel := context.WithTimeout(d.work, timeout)
	r.cancel = cancel
	d.config.Meter.QueueWait(r.header.Organisation, now-r.arrivedAt)
	d.spawn(func(context.Context) {
		defer cancel()
		d.execute(ctx, r)
	})
}

// execute runs a request at the endpoint and ends its response.
func (d *Dispatcher) execute(ctx context.Context, r *run) {
	var failure *wire.RunError
	if d.engine != nil {
		failure = d.engine.relay(ctx, r.header, r.in.target, r.in.body, r.response)
	} else {
		failure = d.service.call(ctx, r.header, r.in, r.response)
	}
	r.response.runFirstChunkHook()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.elapsed()
	if failure != nil && failure.Outcome == wire.RunErrorOutcomeNotRun {
		d.guard = d.guard.Retract(r.key, now)
	} else {
		d.guard = d.guard.Finish(r.key, now)
	}
	r.running = false
	d.running--
	delete(d.active, r)
	if d.runningBy[r.header.Organisation]--; d.runningBy[r.header.Organisation] == 0 {
		delete(d.runningBy, r.header.Organisation)
	}
	if r.dequeuedAt > 0 {
		d.queue = d.queue.WithCompletion(r.request, r.header.PromptTokens, r.response.tokenEstimate())
	} else {
		// The request started a load on arrival and bypassed the queue, so it has not been charged.
		d.queue = d.queue.WithServiceCorrection(r.header.Organisation, scheduler.Cost(r.header.PromptTokens, r.response.tokenEstimate()))
	}
	if d.engine != nil && failure != nil && failure.Outcome != wire.RunErrorOutcomeNotRun {
		// The engine may still be running the request, so its adapter stays pinned until the engine confirms that it
		// has ended.
		d.slots = d.slots.MarkSuspect(r.key)
		d.spawn(func(ctx context.Context) { d.confirmEnd(ctx, r) })
	} else {
		d.slots = d.slots.Release(r.key)
	}
	r.expiresAt = now + responseRetention
	if !r.header.Repeatable {
		r.expiresAt = now + d.config.Settings.Remember
	}
	r.response.end(failure)
	d.dispatchQueued()
	d.checkDrained()
}

func (d *Dispatcher) prefillDone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longPrefills--
}

// confirmEnd retries the cancellation of a request at the engine until the engine confirms it, and then releases the
// pin. It stops early if a residency report has reset the slots.
func (d *Dispatcher) confirmEnd(ctx context.Context, r *run) {
	for {
		err := d.engine.cancel(engineRequestID(r.header))
		d.mu.Lock()
		_, pinned := d.slots.PinnedAdapter(r.key)
		if err == nil || !pinned {
			d.slots = d.slots.ConfirmEnded(r.key)
			d.dispatchQueued()
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		select {
		case <-time.After(residencyPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// cancelIfUnread ends a repeatable request that has had no reader for reconnectGracePeriod.
func (d *Dispatcher) cancelIfUnread(r *run) {
	if !r.header.Repeatable {
		return
	}
	time.AfterFunc(reconnectGracePeriod, func() {
		if r.response.hasReaders() {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		switch {
		case r.expiresAt != 0:
		case r.running:
			r.cancel()
		default:
			d.queue = d.queue.Without(r.key)
			d.removeSlotWaiter(r)
			d.rejectRun(r, wire.RunErrorCodeVoided, "the caller has gone")
		}
	})
}

// void ensures that a request will never start, unless it has already started.
func (d *Dispatcher) void(v wire.VoidRequest) wire.VoidReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := wire.VoidReply{RequestID: v.RequestID, Incarnation: d.incarnation}
	if v.Incarnation != d.incarnation {
		reply.State = wire.VoidReplyStateWrongIncarnation
		return reply
	}
	var state claimer.VoidState
	d.guard, state = d.guard.Void(v.RequestID, d.elapsed())
	reply.State = wire.VoidReplyState(state.String())
	if state == claimer.NotStarted {
		if r := d.runs[v.RequestID]; r != nil && r.expiresAt == 0 {
			d.queue = d.queue.Without(r.key)
			d.removeSlotWaiter(r)
			d.rejectRun(r, wire.RunErrorCodeVoided, "the request was voided; send it under a new ID")
		}
	}
	return reply
}

// requestHeartbeat triggers an immediate heartbeat.
func (d *Dispatcher) requestHeartbeat() {
	select {
	case d.heartbeatRequested <- struct{}{}:
	default:
	}
}

// removeExpired discards expired guard records and responses, and rejects waiting requests that have missed or would
// miss their deadline.
func (d *Dispatcher) removeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.elapsed()
	d.guard = d.guard.Expire(now)
	d.refuseUnmeetable(now)
	for _, r := range append([]*run(nil), d.slotWaiters...) {
		if r.deadline < now {
			d.removeSlotWaiter(r)
			d.rejectRun(r, wire.RunErrorCodeDeadline, "no adapter slot became free before the deadline; retry elsewhere")
		}
	}
	for key, r := range d.runs {
		if r.expiresAt != 0 && r.expiresAt < now {
			delete(d.runs, key)
		}
	}
	d.dispatchQueued()
	d.checkDrained()
}

// refuseUnmeetable rejects queued requests whose deadline cannot be met.
func (d *Dispatcher) refuseUnmeetable(now time.Duration) {
	var refused []scheduler.Request
	d.queue, refused = d.queue.RemoveUnmeetable(now)
	for _, request := range refused {
		if r := d.runs[request.ID]; r != nil {
			d.rejectRun(r, wire.RunErrorCodeDeadline, "the deadline cannot be met; give the request more time or retry elsewhere")
		}
	}
}

// checkDrained closes drained if the dispatcher is leaving and no requests, loads or readers are left.
func (d *Dispatcher) checkDrained() {
	if !d.leaving || d.running > 0 || len(d.slotWaiters) > 0 || d.queue.Load().Requests > 0 || len(d.slots.Loading()) > 0 {
		return
	}
	for _, r := range d.runs {
		// The process must not exit before a slow reader has received the rest of its response.
		if r.response.hasReaders() {
			return
		}
	}
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}
