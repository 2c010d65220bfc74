// Package dispatcher is the sidecar: the one process beside an endpoint that gives it requests and orders.
// It owns the endpoint's queue, adapter slots, pins, run guard and stored responses, all in memory and written by it
// alone. When the table service is unavailable it goes on serving; without a lease it gives no orders to an engine
// that ignores fencing numbers.
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
	"geraniumladder/pkg/claimer"
	"geraniumladder/pkg/leaser"
	"geraniumladder/pkg/pinner"
	"geraniumladder/pkg/scheduler"
)

const (
	// kindModel and kindService are the kinds of endpoints in the settings.
	kindModel = "model"

	// readerGrace is how long a repeatable request runs on without a reader, so that an entry can join again
	// on a new connection.
	readerGrace = 5 * time.Second
	// keepRepeatable is how long the response of a repeatable request is kept after its end.
	keepRepeatable = 30 * time.Second
	// revisionGrace is how long a request decided under an older revision than the newest known is accepted.
	revisionGrace = 4 * time.Second
	// maxLife bounds the run of a request that may not be repeated: it is not cut off at its caller's deadline,
	// because its response can still be asked for.
	maxLife = claimer.DefaultMaxLife
	// drainAfter is how long a request waits for a slot before the endpoint stops giving new requests to the
	// adapter with the fewest pins, so that a slot becomes free.
	drainAfter = time.Second
	// maxLoading bounds the loads in flight at one engine, so that few slots stand empty at a time.
	maxLoading = 2
	// tickEvery paces the removal of expired requests and responses.
	tickEvery = 250 * time.Millisecond
	// reportEvery paces the reading of the engine's resident adapters, by which a restart is found.
	reportEvery = time.Second
)

// Config configures a Dispatcher.
type Config struct {
	Settings  configurer.Sidecar
	Platform  storer.Platform
	Messenger *messenger.Messenger
	Signer    authenticator.Signer
	Meter     *meter.Meter
	Log       zerolog.Logger
	// Now is time.Now when nil.
	Now func() time.Time
	// Advertise is the address that entries use.
	Advertise string
}

// Dispatcher is one sidecar.
type Dispatcher struct {
	config      Config
	incarnation string
	started     time.Time
	now         func() time.Time
	log         zerolog.Logger
	engine      *engine
	service     *service
	lease       *leaseKeeper
	entries     *entryList
	// relistAt is when the platform's list is read again; findEntries alone uses it.
	relistAt time.Duration
	// work is the context of spawned goroutines, of which spawned counts those whose end has not been read from ends.
	work     context.Context
	stopWork context.CancelFunc
	spawned  atomic.Int64
	ends     chan struct{}

	mu    sync.Mutex
	guard claimer.Guard
	slots pinner.Slots
	queue scheduler.Queue
	// runs holds each request from its arrival until its response is no longer kept, by guard key.
	runs map[string]*run
	// running counts the runs that have been given to the endpoint and have not ended.
	running      int
	active       map[*run]struct{}
	runningBy    map[string]int
	longPrefills int
	// aside holds requests that were picked from the queue and found no slot, in the order of the picks.
	aside []*run
	// draining names the adapter that gets no new requests until a slot is free; "" for none.
	draining string
	// loads counts the starts and ends of loads. A report of residents that overlapped with one is not believed.
	loads int64
	// distrust asks for the slots to be reset by the next report, because an order's outcome is not known.
	distrust bool
	// ready says that the engine has reported its residents since it was last believed to have restarted.
	ready, wasReady bool
	leaving         bool
	// sequence numbers the load reports.
	sequence int64
	// revision is the newest revision heard of, since when, and the proof of it.
	revision  int64
	revisedAt time.Time
	proof     wire.Freshness
	proofAt   time.Time
	// idle is closed when the dispatcher leaves and no run is open.
	idle chan struct{}
	kick chan struct{}
}

// inbound is the request as the entry sent it.
type inbound struct {
	method string
	// target is the path and query at the endpoint.
	target string
	header http.Header
	body   []byte
}

// run is one request at this sidecar.
type run struct {
	key     string
	header  wire.RunHeader
	in      inbound
	answer  *answer
	arrived time.Duration
	// picked is when the queue gave it out; 0 before.
	picked   time.Duration
	deadline time.Duration
	// request is what the queue gave out, with the service that it charged.
	request scheduler.Request
	// asideSince is when it found no slot; 0 otherwise.
	asideSince time.Duration
	running    bool
	cancel     context.CancelFunc
	// forget is when the response may be dropped; 0 while the run is open.
	forget time.Duration
}

// New returns a Dispatcher.
func New(c Config) *Dispatcher {
	if c.Now == nil {
		c.Now = time.Now
	}
	started := c.Now()
	s := c.Settings
	d := &Dispatcher{
		config: c, now: c.Now, started: started, log: c.Log,
		incarnation: NewIncarnation(started),
		runs:        map[string]*run{},
		active:      map[*run]struct{}{},
		runningBy:   map[string]int{},
		idle:        make(chan struct{}),
		kick:        make(chan struct{}, 1),
		entries:     newEntryList(),
		proof:       wire.Freshness{AgeMs: -1},
		ends:        make(chan struct{}),
	}
	d.work, d.stopWork = context.WithCancel(context.Background())
	d.guard = claimer.NewGuard(claimer.GuardConfig{Incarnation: d.incarnation, Remember: s.Remember, MaxLife: maxLife})
	d.slots = pinner.New(pinner.Config{Slots: s.Endpoint.Slots, MaxLoading: maxLoading})
	d.queue = scheduler.New(scheduler.Config{
		MaxRunning:       s.Endpoint.MaxRunning,
		GroupingTokens:   groupingTokens,
		CreditTokens:     creditTokens,
		Reserved:         s.Endpoint.MaxRunning * reservedNumerator / reservedDenominator,
		ReservedTokens:   reservedTokens,
		MaxLongPrefills:  2,
		LongPromptTokens: longPromptTokens,
	})
	if s.Endpoint.Kind == kindModel {
		d.engine = newEngine(s.Endpoint.URL)
		d.lease = newLeaseKeeper(c.Platform, leaser.Config{
			Name: s.VM, Holder: d.incarnation, TTL: s.LeaseTTL, RenewEvery: s.LeaseTTL / 3,
		}, d.elapsed, c.Log)
	} else {
		d.service = newService(s.Endpoint.URL)
		d.ready = true
	}
	return d
}

const (
	// groupingTokens bounds by how much grouping by resident adapter may bypass the head of the queue: about
	// one answer of ordinary length.
	groupingTokens = 2000
	// longPromptTokens is the length from which prompts are processed at most two at a time.
	longPromptTokens = 4000
	// creditTokens, reservedTokens and the reserved share of the batch are those that brought the worst-served
	// organisation's p99 from 23.8 to 1.21 times its figure alone in docs/measurements.md (12 endpoints, half used).
	creditTokens        = 40_000
	reservedTokens      = 22_400
	reservedNumerator   = 6
	reservedDenominator = 16
)

// NewIncarnation returns a name for a process started at the given time. Names sort by start time.
func NewIncarnation(started time.Time) string {
	return fmt.Sprintf("%019d-%s", started.UnixNano(), uuid.NewString()[:8])
}

// Incarnation names this run of the process.
func (d *Dispatcher) Incarnation() string { return d.incarnation }

// elapsed is the time on the process's own clock. Readings of time.Now carry the monotonic clock.
func (d *Dispatcher) elapsed() time.Duration { return d.now().Sub(d.started) }

// guardKey names a run at the guard. A repeatable request may be dispatched again, so its attempts are told apart.
func guardKey(h wire.RunHeader) string {
	if h.Repeatable {
		return fmt.Sprintf("%s/%d", h.RequestID, h.Attempt)
	}
	return h.RequestID
}

// accept takes a request in. It returns the run whose answer the caller gets, or a refusal.
func (d *Dispatcher) accept(h wire.RunHeader, in inbound) (*run, *wire.RunError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.elapsed()
	key := guardKey(h)
	if refusal := d.refusal(h); refusal != nil {
		if r, known := d.runs[key]; known && h.Incarnation == d.incarnation {
			// A copy of a message that was accepted before must not be answered as not run.
			return r, nil
		}
		// A copy of the message must not run later, since this one is answered as not run.
		d.guard, _ = d.guard.Void(key, now)
		return nil, refusal
	}
	remaining := time.Duration(h.RemainingMs) * time.Millisecond
	var verdict claimer.Verdict
	d.guard, verdict = d.guard.Begin(claimer.Run{
		RequestID: key, Incarnation: h.Incarnation, Remaining: remaining, Attempt: h.Attempt, Repeatable: h.Repeatable,
	}, now)
	switch verdict {
	case claimer.RunIt:
	case claimer.Join, claimer.Replay:
		if r, known := d.runs[key]; known {
			return r, nil
		}
		return nil, refuse(h, wire.RunErrorCodeLate, wire.RunErrorOutcomeRan, "the response is no longer kept; read the state of the call")
	case claimer.Voided:
		return nil, refuse(h, wire.RunErrorCodeVoided, wire.RunErrorOutcomeNotRun, "the request was voided; send it under a new ID")
	case claimer.Late:
		return nil, refuse(h, wire.RunErrorCodeLate, wire.RunErrorOutcomeNotRun, "the request arrived after its deadline; give it more time")
	default:
		return nil, refuse(h, wire.RunErrorCodeWrongIncarnation, wire.RunErrorOutcomeNotRun, "the sidecar has restarted; send the request again")
	}
	r := &run{key: key, header: h, in: in, arrived: now, deadline: now + remaining}
	r.answer = newAnswer(func() { d.readerless(r) })
	d.runs[key] = r
	request := scheduler.Request{
		ID: key, Organisation: h.Organisation, Weight: h.Weight, Adapter: adapterOf(h), PromptTokens: h.PromptTokens,
		AnswerTokens: h.AnswerTokens, Priority: h.Priority, Deadline: r.deadline,
	}
	r.request = request
	if !d.loadOnArrival(r, now) {
		d.queue = d.queue.WithRequest(request, now)
		d.refuseHopeless(now)
	}
	d.pump()
	return r, nil
}

func adapterOf(h wire.RunHeader) string {
	if h.Adapter == "" {
		return ""
	}
	return modelName(h)
}

// refusal says why no new work can be accepted.
func (d *Dispatcher) refusal(h wire.RunHeader) *wire.RunError {
	d.observeRevision(h.Revision)
	switch {
	case d.leaving:
		return refuse(h, wire.RunErrorCodeLeaving, wire.RunErrorOutcomeNotRun, "the endpoint is leaving; send the request elsewhere")
	case !d.ready:
		return refuse(h, wire.RunErrorCodeStarting, wire.RunErrorOutcomeNotRun, "the endpoint is starting; send the request elsewhere")
	case h.Revision < d.revision && d.now().Sub(d.revisedAt) > revisionGrace:
		return refuse(h, wire.RunErrorCodeStaleRevision, wire.RunErrorOutcomeNotRun,
			fmt.Sprintf("decided under revision %d while %d is in force; read the configuration again", h.Revision, d.revision))
	}
	return nil
}

func (d *Dispatcher) observeRevision(revision int64) {
	if revision > d.revision {
		d.revision, d.revisedAt = revision, d.now()
	}
}

func refuse(h wire.RunHeader, code wire.RunErrorCode, outcome wire.RunErrorOutcome, message string) *wire.RunError {
	return &wire.RunError{Code: code, Outcome: outcome, Message: message, RequestID: h.RequestID}
}

// pump gives out requests while the endpoint has room. The caller holds the lock.
func (d *Dispatcher) pump() {
	now := d.elapsed()
	if !d.ready {
		return
	}
	d.retryAside(now)
	for d.running < d.config.Settings.Endpoint.MaxRunning && len(d.aside) < d.config.Settings.Endpoint.MaxRunning {
		var request scheduler.Request
		var ok bool
		d.queue, request, ok = d.queue.Next(scheduler.State{
			Running: d.running, LongPrefills: d.longPrefills, Resident: d.residentForQueue,
			RunningBy: func(organisation string) int { return d.runningBy[organisation] },
		}, now)
		if !ok {
			return
		}
		if r := d.runs[request.ID]; r != nil {
			r.picked, r.request = now, request
			d.place(r, now)
		}
	}
}

// place pins the adapter of a picked request and starts it, in one step under the lock, so that no eviction can come
// between.
func (d *Dispatcher) place(r *run, now time.Duration) {
	name := adapterOf(r.header)
	if name == "" {
		d.start(r)
		return
	}
	if name == d.draining {
		d.setAside(r, now)
		return
	}
	slots, action := d.slots.Take(name, r.key, r.header.PermitID != "", now)
	d.slots = slots
	switch action.Kind {
	case pinner.Run:
		d.start(r)
	case pinner.Load:
		d.startLoad(r.header.WeightPath, name, action.Evict)
	case pinner.Wait:
	case pinner.NeedsPermit:
		d.drop(r, wire.RunErrorCodeNeedsPermit, "the adapter is not resident; send the request with a load permit")
	case pinner.NoRoom:
		d.setAside(r, now)
	default:
		d.drop(r, wire.RunErrorCodeVoided, "the request ID is in use; send the request under a new ID")
	}
}

// drop ends a request that has not started.
func (d *Dispatcher) drop(r *run, code wire.RunErrorCode, message string) {
	now := d.elapsed()
	d.guard = d.guard.Finish(r.key, now)
	d.slots = d.slots.Release(r.key)
	if r.picked > 0 {
		d.queue = d.queue.WithService(r.header.Organisation, -r.request.Charged)
	}
	r.forget = now + keepRepeatable
	r.answer.end(refuse(r.header, code, wire.RunErrorOutcomeNotRun, message))
}

// start gives a request to the endpoint. The caller holds the lock and the adapter is pinned.
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
		r.answer.onFirst(func() { d.prefilled() })
	}
	life := r.deadline - now
	if !r.header.Repeatable {
		life = max(life, maxLife)
	}
	ctx, cancel := context.WithTimeout(d.work, life)
	r.cancel = cancel
	d.config.Meter.QueueWait(r.header.Organisation, now-r.arrived)
	d.spawn(func(context.Context) {
		defer cancel()
		d.execute(ctx, r)
	})
}

// execute runs a request at the endpoint and ends its answer.
func (d *Dispatcher) execute(ctx context.Context, r *run) {
	var failure *wire.RunError
	if d.engine != nil {
		failure = d.engine.relay(ctx, r.header, r.in.target, r.in.body, r.answer)
	} else {
		failure = d.service.call(ctx, r.header, r.in, r.answer)
	}
	r.answer.firstDone()
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
	if r.picked > 0 {
		d.queue = d.queue.WithCompletion(r.request, r.header.PromptTokens, r.answer.tokens())
	} else {
		// It began a load on arrival and passed the queue by, which charged it nothing.
		d.queue = d.queue.WithService(r.header.Organisation, scheduler.Cost(r.header.PromptTokens, r.answer.tokens()))
	}
	if d.engine != nil && failure != nil && failure.Outcome != wire.RunErrorOutcomeNotRun {
		// The engine may still run the request, so its adapter stays pinned until the engine confirms the end.
		d.slots = d.slots.Suspect(r.key)
		d.spawn(func(ctx context.Context) { d.confirmEnd(ctx, r) })
	} else {
		d.slots = d.slots.Release(r.key)
	}
	r.forget = now + keepRepeatable
	if !r.header.Repeatable {
		r.forget = now + d.config.Settings.Remember
	}
	r.answer.end(failure)
	d.pump()
	d.checkIdle()
}

func (d *Dispatcher) prefilled() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.longPrefills--
}

// confirmEnd cancels a request at the engine until the engine has answered, and then drops its pin.
// It stops early when a report of the engine's residents has reset the slots.
func (d *Dispatcher) confirmEnd(ctx context.Context, r *run) {
	for {
		err := d.engine.cancel(engineID(r.header))
		d.mu.Lock()
		_, pinned := d.slots.Pinned(r.key)
		if err == nil || !pinned {
			d.slots = d.slots.Confirm(r.key)
			d.pump()
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		select {
		case <-time.After(reportEvery):
		case <-ctx.Done():
			return
		}
	}
}

// readerless ends a repeatable request that nobody has read for readerGrace.
func (d *Dispatcher) readerless(r *run) {
	if !r.header.Repeatable {
		return
	}
	time.AfterFunc(readerGrace, func() {
		if r.answer.hasReaders() {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		switch {
		case r.forget != 0:
		case r.running:
			r.cancel()
		default:
			d.queue = d.queue.Without(r.key)
			d.removeAside(r)
			d.drop(r, wire.RunErrorCodeVoided, "the caller has gone")
		}
	})
}

// void promises that a request has not started and never will, unless it has.
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
		if r := d.runs[v.RequestID]; r != nil && r.forget == 0 {
			d.queue = d.queue.Without(r.key)
			d.removeAside(r)
			d.drop(r, wire.RunErrorCodeVoided, "the request was voided; send it under a new ID")
		}
	}
	return reply
}

// wake makes the heartbeat go out at once.
func (d *Dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// tick removes what has expired.
func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.elapsed()
	d.guard = d.guard.Expire(now)
	d.refuseHopeless(now)
	for _, r := range append([]*run(nil), d.aside...) {
		if r.deadline < now {
			d.removeAside(r)
			d.drop(r, wire.RunErrorCodeDeadline, "no adapter slot became free before the deadline; retry elsewhere")
		}
	}
	for key, r := range d.runs {
		if r.forget != 0 && r.forget < now {
			delete(d.runs, key)
		}
	}
	d.pump()
	d.checkIdle()
}

// refuseHopeless refuses the waiting requests that would miss their deadline.
func (d *Dispatcher) refuseHopeless(now time.Duration) {
	var refused []scheduler.Request
	d.queue, refused = d.queue.Refusals(now)
	for _, request := range refused {
		if r := d.runs[request.ID]; r != nil {
			d.drop(r, wire.RunErrorCodeDeadline, "the deadline cannot be met; give the request more time or retry elsewhere")
		}
	}
}

// checkIdle closes idle when the dispatcher leaves and nothing is open.
func (d *Dispatcher) checkIdle() {
	if !d.leaving || d.running > 0 || len(d.aside) > 0 || d.queue.Load().Requests > 0 || len(d.slots.Loading()) > 0 {
		return
	}
	for _, r := range d.runs {
		// A slow reader must get the rest of its answer before the process ends.
		if r.answer.hasReaders() {
			return
		}
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}
