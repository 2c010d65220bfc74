package forwarder

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/connector"
	"geraniumladder/internal/isolator"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/arbiter"
	"geraniumladder/pkg/retrier"
	"geraniumladder/pkg/selector"
	"geraniumladder/pkg/shedder"
)

const (
	// maxIdleNonIdempotent is the maximum idle time of a pooled connection that may carry a request that can't be
	// retried. Endpoints that close idle connections do so only after seconds.
	maxIdleNonIdempotent = 700 * time.Millisecond
	// maxIdleIdempotent allows an idempotent request to use any pooled connection.
	maxIdleIdempotent = time.Minute
	// defaultMaxBody limits the request body if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// minRemaining is the remaining time below which a request isn't sent, because no endpoint responds that fast.
	minRemaining = 10 * time.Millisecond
	// minConstant stands for no constant, because the retrier replaces 0 by its default.
	minConstant = 1e-9
)

// Admitter enforces the rate limits of organisations.
type Admitter interface {
	// Admit takes tokens from the organisation's limit. If there are not enough, it returns the time after which there
	// may be.
	Admit(o *registrar.Organisation, tokens float64) (ok bool, after time.Duration)
	// AwaitsReport reports whether a request that was not admitted may be admitted within some ten milliseconds, when the
	// other entries have been told what this one has admitted.
	AwaitsReport(o *registrar.Organisation, tokens float64) bool
	// LimitState returns the state of the organisation's limit for the log.
	LimitState(o *registrar.Organisation) LimitState
	// Refund returns the tokens of an admitted request that has not run.
	Refund(o *registrar.Organisation, tokens float64)
}

// LimitState is an entry's view of an organisation's limit.
type LimitState struct {
	// Level is the number of tokens left.
	Level float64
	// Sharing is the number of entries that exchange their admissions, out of all Entries.
	Sharing, Entries int
}

// Observer records metrics.
type Observer interface {
	Request(organisation, outcome string)
	Refusal(organisation, reason string)
	Retry(organisation string)
	// EndpointReport counts a report of an endpoint in a response; kind is leaving, closed or malformed.
	EndpointReport(kind string)
	FirstToken(organisation string, d time.Duration)
	// Delay records by how much the process is behind.
	Delay(d time.Duration)
	// Estimate records the ratio of actual to expected time to the first event.
	Estimate(cause string, ratio float64)
	// Admission counts a decision of Config.Admission other than plain admission; kind is an arbiter.Kind.
	Admission(organisation, kind string)
}

// Config configures a Forwarder.
type Config struct {
	VM     string
	Domain string
	// Regions maps failure domains to their regions.
	Regions    map[string]string
	Translator Translator
	Pool       *connector.Pool
	Admitter   Admitter
	Observer   Observer
	// Demand is called when a request needs an adapter at the endpoint, so that the demand is sent to its sidecar at once.
	Demand func(address string)
	// Probe asks the endpoint at the address itself whether it is at work, and returns the start of its run, or 0 if it
	// doesn't say. If it is nil, an endpoint whose sidecar is silent counts as silent.
	Probe func(ctx context.Context, address string) (born int64, err error)
	// Retry configures the retry budget of each service. Its Constant is divided among the entries, and its Window must
	// be positive.
	Retry retrier.Config
	// EntryCount returns the number of entries, at least 1.
	EntryCount func() int
	// Members returns the names of the entries that may be sending requests, with or without this one. The default knows no
	// other entry.
	Members  func() []string
	Selector selector.Config
	// Shedding decides which requests are rejected while the process is behind; the default is shedder.Standing.
	Shedding shedder.Policy
	// Admission decides which requests are rejected because they can't be served in time; the default is arbiter.Limited.
	Admission arbiter.Policy
	// AnswerMemory is the number of bytes of answers that may be held at a time, beside a small number for each request; the
	// default is 32 MiB. SetAnswerMemory changes it. Request bodies may hold as much.
	AnswerMemory int64
	// StreamStall and AnswerStall are the times within which a caller must take an event of a stream, and 16 KiB of another
	// response; the defaults are 2 s and 10 s. A caller that doesn't is given up.
	StreamStall, AnswerStall time.Duration
	// OnEvidence, if set, is called when CrashEvidence, Limits or Leaving has changed and should be sent to the other entries soon.
	OnEvidence func()
	Now        func() time.Time
	Seed       uint64
	Log        zerolog.Logger
}

// Forwarder is an http.Handler for callers. It is safe for concurrent use.
type Forwarder struct {
	config        Config
	configuration atomic.Pointer[registrar.Configuration]
	fleet         *fleet
	quarantine    *quarantine
	isolator      *isolator.Isolator
	throttle      *throttle
	reports       *reports
	admission     admission
	// answers and bodies bound the memory of responses and of request bodies.
	answers, bodies sharedMemory
	start           time.Time
	retry           atomic.Pointer[retrier.Config]
	leaving         atomic.Bool
	// stopAt is the time at which open requests end; nil while the process isn't stopping. ended is cancelled then.
	stopAt atomic.Pointer[time.Time]
	ended  context.Context
	end    context.CancelFunc
	open   atomic.Int64
	// probeEnds receives the ends of the probes in progress, and endChecks those of the checks whether an endpoint has ended.
	probeEnds chan probeResult
	endChecks chan endCheckResult

	mu           sync.Mutex
	retryBudgets map[string]*retryBudget
	rng          *rand.Rand
	shedder      shedder.Shedder
	// measuredAt is the time of the last measurement of the delay; 0 before the first.
	measuredAt time.Duration
	suspension suspension
}

// retryBudget is the retry budget of one service.
type retryBudget struct {
	retrier retrier.Retrier
}

// New returns a Forwarder without a configuration.
func New(c Config) *Forwarder {
	c.Selector = c.Selector.WithDefaults()
	c.StreamStall, c.AnswerStall = cmp.Or(c.StreamStall, defaultStreamStall), cmp.Or(c.AnswerStall, defaultAnswerStall)
	if c.Members == nil {
		c.Members = func() []string { return nil }
	}
	if c.Shedding == nil {
		c.Shedding = shedder.Standing{}
	}
	if c.Admission == nil {
		c.Admission = arbiter.Limited{}
	}
	elapsed := clock{now: c.Now, start: c.Now()}
	r := newReports(elapsed, c.Observer, c.Log)
	f := &Forwarder{
		config: c, fleet: newFleet(&c, r), start: elapsed.start, retryBudgets: map[string]*retryBudget{},
		quarantine: newQuarantine(elapsed, c.Log), isolator: isolator.New(isolator.Config{Now: c.Now, Log: c.Log, Part: "forwarder"}), throttle: newThrottle(c.VM, elapsed, c.Log), reports: r,
		rng: rand.New(rand.NewPCG(c.Seed, c.Seed>>1)), shedder: shedder.New(shedder.Config{}),
		admission: admission{states: map[string]arbiter.State{}}, probeEnds: make(chan probeResult, maxProbes), endChecks: make(chan endCheckResult, maxEndChecks),
	}
	f.ended, f.end = context.WithCancel(context.Background())
	f.SetRetry(c.Retry)
	f.SetAnswerMemory(c.AnswerMemory)
	return f
}

// SetAnswerMemory changes the number of bytes of answers, and of request bodies, that may be held at a time; 0 stands for
// the default.
func (f *Forwarder) SetAnswerMemory(n int64) {
	n = cmp.Or(n, defaultAnswerMemory)
	f.answers.limit.Store(n)
	f.bodies.limit.Store(n)
}

// SetRetry changes the retry budget.
func (f *Forwarder) SetRetry(c retrier.Config) { f.retry.Store(&c) }

// SetConfiguration applies the configuration if it is newer than the current one, and reports whether it did.
func (f *Forwarder) SetConfiguration(c *registrar.Configuration) bool {
	for {
		old := f.configuration.Load()
		if old != nil && old.Version() >= c.Version() {
			return false
		}
		if f.configuration.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Configuration returns the current configuration, or nil before the first.
func (f *Forwarder) Configuration() *registrar.Configuration { return f.configuration.Load() }

// SetVersions replaces the declared adapter versions.
func (f *Forwarder) SetVersions(versions map[registrar.AdapterKey]int64) {
	f.fleet.setVersions(versions)
}

// SetState applies a sidecar's report.
func (f *Forwarder) SetState(s wire.EngineState) {
	if id := f.fleet.setState(s); id != "" {
		f.logSuperseded(id)
	}
}

// Leave adds "Connection: close" to further responses, so that callers connect to other entries.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// Stop refuses requests from now on that may last beyond a time, as not run.
func (f *Forwarder) Stop(at time.Time) { f.stopAt.Store(&at) }

// End ends all open requests, each with an answer unless its response has begun.
func (f *Forwarder) End() { f.end() }

// refuseStopping returns a refusal if the process stops before the deadline.
func (f *Forwarder) refuseStopping(deadline time.Time) *Refusal {
	if at := f.stopAt.Load(); at != nil && deadline.After(*at) {
		return refuseStopping()
	}
	return nil
}

// OpenRequests returns the number of open requests.
func (f *Forwarder) OpenRequests() int64 { return f.open.Load() }

// exchange is the state of one request of a caller, across all attempts to send it to an endpoint.
type exchange struct {
	f             *Forwarder
	w             http.ResponseWriter
	control       *http.ResponseController
	r             *http.Request
	call          Call
	configuration *registrar.Configuration
	route         *registrar.Route
	organisation  *registrar.Organisation
	service       string
	homes         homes
	body          []byte
	// digest returns the request's digest, see digestRequest. It is safe for concurrent use.
	digest    func() string
	arrivedAt time.Time
	// deadline is the earlier of the deadlines of the caller and the route.
	deadline time.Time
	// sentTo holds the endpoints that may have received the request, and sendCount counts the attempts to send it. An
	// attempt that failed before anything was sent is only counted in sendCount.
	sentTo    map[incarnation]bool
	excluded  map[incarnation]bool
	sendCount int
	// isRetryCharged means that the next retry has already been taken from the service's retry budget, because
	// CheckLiveness does so before it abandons an attempt.
	isRetryCharged bool
	// attemptEvents counts the complete events that the current attempt has received, the first one at
	// attemptFirstEventAt.
	attemptEvents       int
	attemptFirstEventAt time.Time
	// hasBegun means that the current attempt has received a response head, and isProven that its answer counts as
	// begun without harm to the endpoint.
	hasBegun, isProven bool
	// isRejected means that the endpoint has rejected the current attempt and said for how long it wants no more.
	isRejected bool
	// isProbe means that the request is sent although a part of its prompt was blocked until now.
	isProbe bool
	// current is the current attempt; nil while no connection has been acquired for it.
	current *attempt
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// lastEvent is the ID of the last event of the stream that was sent to the caller. wroteHeader is true once the
	// response header was sent.
	lastEvent   string
	wroteHeader bool
	// sentAt is when the current attempt was sent, and pacedSince when the request began to wait for a grant; zero if it has
	// not.
	sentAt, pacedSince time.Time
	// placedAt, chosen and firstEventAfter are for the log: the time when the last endpoint was acquired, the inputs of
	// its selection, and the time from the arrival to the first event.
	placedAt        time.Time
	chosen          placement
	firstEventAfter time.Duration
	// sent is the basis on which the current attempt's time to its first event is judged, and estimateRatio the ratio of
	// actual to expected time to the first event of the response; 0 before it.
	sent          sentState
	estimateRatio float64
	// forecast is the expected time on which the early rejection is judged.
	forecast forecast
	// admittedTokens is the number of tokens taken from the organisation's limit.
	admittedTokens float64
	// transfer is the request's place among those that wait for an adapter load to start.
	transfer transferPlace
	// held counts the memory of the endpoints' responses, and heldBody that of the request's body.
	held, heldBody heldMemory
	// fallback is an endpoint's error response, which is forwarded if no later attempt succeeds.
	fallback *bufferedResponse
}

// placement holds the inputs of the last selection of an endpoint.
type placement struct {
	endpoint string
	// address and engine are those of the endpoint's registration and of its service; engine is nil for a plain service.
	address  string
	engine   *registrar.Engine
	expected time.Duration
	// idle is the time that would be expected of the endpoint without other requests, and ownTokens the part of the prompt
	// to be read there.
	idle      time.Duration
	ownTokens float64
	// fastest is the lowest expected time of all candidates.
	fastest   time.Duration
	residency selector.Residency
	// stateAge is the age of the sidecar's last report; -1 ms without a report.
	stateAge       time.Duration
	busy           int
	pendingPrefill float64
	// at is the time of the selection. isWarm and speed are those of the selector.Candidate.
	at     time.Time
	isWarm bool
	speed  float64
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	x := &exchange{f: f, w: w, control: http.NewResponseController(w), r: r, arrivedAt: f.config.Now(), call: f.config.Translator.DecodeCall(r.Header), held: heldMemory{memory: &f.answers, free: freeAnswerBytes}, heldBody: heldMemory{memory: &f.bodies, free: firstBuffer}}
	defer x.held.release()
	defer x.heldBody.release()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	delay, overload := f.admitByDelay(x.call.CallerTimeout)
	if overload != nil {
		x.refuse(overload)
		return
	}
	// The request has waited for about as long as the process is behind.
	x.arrivedAt = x.arrivedAt.Add(-delay)
	x.call.prefixHashes = prefixHashes(x.call.Parts)
	x.call.sharedParts = x.call.partIDs()[:max(0, len(x.call.Parts)-1)]
	if refusal := x.prepare(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.serve()
}

// prepare resolves the route, the organisation and the deadline of the request, and reads its body.
func (x *exchange) prepare() *Refusal {
	x.configuration = x.f.configuration.Load()
	if x.configuration == nil {
		return refuseStarting()
	}
	x.route = x.configuration.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return refuseNoRoute(x.r.Host, x.r.URL.Path)
	}
	x.organisation = x.configuration.OrganisationForKey(x.call.Key)
	if x.organisation == nil && !x.route.Open {
		return refuseUnauthorized()
	}
	timeout := x.route.Timeout
	if x.call.CallerTimeout > 0 && (timeout <= 0 || x.call.CallerTimeout < timeout) {
		timeout = x.call.CallerTimeout
	}
	x.deadline = x.arrivedAt.Add(timeout)
	x.service = x.route.ChooseService(x.call.ID)
	x.homes = newHomes(x.f.config.Regions, x.route, x.organisation)
	x.lastEvent = x.call.LastEvent
	if refusal := x.readBody(); refusal != nil {
		return refusal
	}
	x.digest = sync.OnceValue(func() string { return digestRequest(x.r, &x.call, x.body) })
	return x.f.refuseStopping(x.deadline)
}

// tokens returns the cost of the request against its organisation's limit.
func (x *exchange) tokens() float64 {
	switch {
	case !x.organisation.CountsTokens:
		return 1
	case x.call.HasTokens:
		return x.call.PromptTokens + x.call.AnswerTokens
	}
	return x.organisation.PlainTokens
}

// serve admits the request and tries endpoints until one responds or no attempt is left.
func (x *exchange) serve() {
	if x.organisation != nil && x.organisation.Rate > 0 {
		if ok, after := x.admit(); !ok {
			standing := x.f.config.Admitter.LimitState(x.organisation)
			x.f.config.Log.Info().Str("Request", x.call.ID).Str("Organisation", x.organisation.Name).Float64("Tokens", x.tokens()).
				Float64("Level", standing.Level).Float64("Rate", x.organisation.Rate).Float64("Burst", x.organisation.Burst).
				Int("Sharing", standing.Sharing).Int("Entries", standing.Entries).Dur("EnoughAfter", after).
				Msg("forwarder: over the limit")
			x.refuse(refuseLimit(after))
			return
		}
		x.admittedTokens = x.tokens()
	}
	x.f.recordRequest(x.service)
	x.sentTo, x.excluded = map[incarnation]bool{}, map[incarnation]bool{}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.f.ended, cancel)()
	defer func() { x.recordForecast(false) }()
	for {
		switch refusal, done := x.attemptOnce(ctx); {
		case done:
			return
		case refusal != nil:
			x.finish(ctx, refusal)
			return
		}
	}
}

const (
	// reportPollInterval is the interval at which a request looks whether its entry's admissions have been reported, and
	// maxReportWait the longest time for which it does so. A report takes up to 25 ms, and more while the process is behind.
	reportPollInterval = 5 * time.Millisecond
	maxReportWait      = 100 * time.Millisecond
)

// admit takes the request's tokens from its organisation's limit. A request that only has to wait for a report of this
// entry waits for it: rejecting it would be wrong, as the organisation is within its limit.
func (x *exchange) admit() (ok bool, after time.Duration) {
	for waited := time.Duration(0); ; waited += reportPollInterval {
		ok, after = x.f.config.Admitter.Admit(x.organisation, x.tokens())
		if ok || waited >= maxReportWait || x.r.Context().Err() != nil || !x.f.config.Admitter.AwaitsReport(x.organisation, x.tokens()) {
			return ok, after
		}
		pause(x.r.Context(), reportPollInterval)
	}
}

// finish ends an exchange for which there is no response to forward.
func (x *exchange) finish(ctx context.Context, refusal *Refusal) {
	if !x.mayHaveRun && x.admittedTokens > 0 {
		x.f.config.Admitter.Refund(x.organisation, x.admittedTokens)
	}
	switch {
	case x.r.Context().Err() != nil, refusal.Reason == reasonCallerLeft:
		x.logOutcome(reasonCallerLeft, 0)
		panic(http.ErrAbortHandler)
	case x.wroteHeader:
		x.logOutcome("broken-off", 0)
		panic(http.ErrAbortHandler)
	case x.fallback != nil:
		x.writeBuffered(x.fallback)
		return
	case x.mayHaveRun && refusal.IsNotRun():
		refusal = badGateway(refusal.Reason)
	}
	if ctx.Err() != nil {
		switch {
		case x.mayHaveRun:
			refusal = gatewayTimeout()
		case x.f.ended.Err() != nil:
			refusal = refuseStopping()
		default:
			refusal = refuseUnavailable("timeout-waiting", 0)
		}
	}
	x.refuse(refusal)
}

// refuse sends the refusal to the caller.
func (x *exchange) refuse(refusal *Refusal) {
	x.limitWrite(x.f.config.AnswerStall)
	refusal.write(x.w, x.f.config.Translator.RequestIDHeader(), x.call.ID)
	x.f.config.Observer.Refusal(x.organisationName(), refusal.Reason)
	x.logOutcome(refusal.Reason, refusal.Status)
}

func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// logOutcome writes the final log line of the request.
func (x *exchange) logOutcome(outcome string, status int) {
	e := x.f.config.Log.Info().Str("Request", x.call.ID).Str("Outcome", outcome).Int("Status", status).
		Int("Sends", x.sendCount).Dur("After", x.f.config.Now().Sub(x.arrivedAt)).Str("Organisation", x.organisationName())
	if x.route != nil {
		e = e.Str("Route", x.route.Name).Int64("Revision", x.configuration.Version())
	}
	if x.call.Model.Model != "" {
		e = e.Str("Model", x.call.Model.String()).Float64("PromptTokens", x.call.PromptTokens)
	}
	if x.chosen.endpoint != "" {
		e = e.Str("Endpoint", x.chosen.endpoint).Dur("Expected", x.chosen.expected).Stringer("Residency", x.chosen.residency).
			Dur("StateAge", x.chosen.stateAge).Int("Busy", x.chosen.busy).Float64("Unread", x.chosen.pendingPrefill)
	}
	if !x.placedAt.IsZero() {
		e = e.Dur("PlacedAfter", x.placedAt.Sub(x.arrivedAt)).Dur("FirstAfter", x.firstEventAfter)
	}
	if x.transfer.waited > 0 {
		e = e.Dur("TransferWait", x.transfer.waited)
	}
	if x.estimateRatio > 0 {
		e = e.Float64("ActualToExpected", x.estimateRatio).Float64("Speed", x.chosen.speed).Str("Cause", x.chosen.cause())
	}
	e.Msg("forwarder: request ended")
}

// recordRequest counts a request for the retry budget of its service.
func (f *Forwarder) recordRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retryBudget(service)
	b.retrier = b.retrier.WithRequest(f.config.Now().Sub(f.start))
}

// takeRetry takes one retry from the budget of the service and reports whether the budget allowed it.
func (f *Forwarder) takeRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retryBudget(service)
	next, ok := b.retrier.Allow(f.config.Now().Sub(f.start))
	b.retrier = next
	return ok
}

// retryBudget returns the budget of the service. Its constant is divided among the entries and ramps up over the first
// window of this process, because retries of an earlier process on the VM still count and the other entries aren't known
// yet.
func (f *Forwarder) retryBudget(service string) *retryBudget {
	c := *f.retry.Load()
	ramp := min(1, float64(f.config.Now().Sub(f.start))/float64(c.Window))
	c.Constant = max(minConstant, c.Constant*ramp/float64(max(1, f.config.EntryCount())))
	b := f.retryBudgets[service]
	if b == nil {
		b = &retryBudget{retrier: retrier.New(c)}
		f.retryBudgets[service] = b
	}
	b.retrier = b.retrier.WithConfig(c, f.config.Now().Sub(f.start))
	return b
}

// choose selects an endpoint. It returns false if there is no candidate.
func (f *Forwarder) choose(sel *criteria) (*endpoint, placement, bool) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	candidates, endpoints := f.fleet.candidates(sel)
	f.mu.Lock()
	config := f.fleet.estimate(sel.service).Config()
	choice, ok := selector.Choose(config, sel.request, candidates, f.rng)
	f.mu.Unlock()
	if !ok {
		return nil, placement{}, false
	}
	if sel.due >= 0 {
		choice.Index = sel.due
	}
	e, c := endpoints[choice.Index], candidates[choice.Index]
	p := placement{
		endpoint: e.ID, address: e.Address, engine: e.engine, expected: choice.Expected, fastest: choice.Fastest, residency: c.Residency, stateAge: -time.Millisecond, busy: c.Busy, pendingPrefill: c.UnreadTokens,
		at: f.config.Now(), isWarm: c.IsWarm, speed: c.Speed,
	}
	c.Busy, c.UnreadTokens, c.FreeTokens, p.ownTokens = 0, 0, sel.request.RequiredTokens, max(0, sel.request.PromptTokens-c.CachedPrefixTokens)
	p.idle, _ = selector.Cost(&config, &sel.request, &c)
	if !e.stateAt.IsZero() {
		p.stateAge = f.config.Now().Sub(e.stateAt)
	}
	return e, p, true
}

// Demands returns the demand on each engine, or on the one at the address if it is not empty.
func (f *Forwarder) Demands(address string) []EngineDemand { return f.fleet.demands(address) }

// SteadyDemands returns the demands that are due. Those on engines without requests are due once in idleInterval.
func (f *Forwarder) SteadyDemands(idleInterval time.Duration) []EngineDemand {
	return f.fleet.steadyDemands(idleInterval)
}

// ChangedDemands returns the demands that have changed and should be sent to the sidecars soon.
func (f *Forwarder) ChangedDemands() []EngineDemand { return f.fleet.dirtyDemands() }

// Prune closes pooled connections to endpoints that are no longer listed, removes outdated usage records, expired evidence
// on crashes, expired limits and expired reports, and applies the current members and the engines that report. It must be
// called periodically.
func (f *Forwarder) Prune() {
	f.config.Pool.Prune(f.fleet.hasAddress)
	f.fleet.pruneUsage()
	f.restoreSuperseded()
	f.quarantine.prune()
	f.isolator.Prune()
	f.throttle.update(f.config.Members())
	f.reports.prune(f.fleet.keys())
	f.updateTransfers()
	f.fleet.setMembers(f.config.Members())
}
