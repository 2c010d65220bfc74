package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/connector"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/retrier"
	"geraniumladder/pkg/selector"
)

const (
	// freshIdle is the longest idle time of a connection that carries a request which must not be lost: an endpoint
	// that closes an idle connection does so after seconds.
	freshIdle = 700 * time.Millisecond
	// anyIdle lets a request that may be repeated use any kept connection.
	anyIdle = time.Minute
	// bodyDefault bounds a body while the configuration gives no bound.
	bodyDefault = 4 << 20
	// leastRemaining is the time below which a request isn't sent, because no endpoint answers so fast.
	leastRemaining = 10 * time.Millisecond
	// leastConstant stands for none, because the retrier takes 0 for its default.
	leastConstant = 1e-9
)

// Admitter holds organisations to their limits.
type Admitter interface {
	// Admit takes tokens of the organisation's limit. Without success it returns when enough may be there.
	Admit(o *registrar.Organisation, tokens float64) (ok bool, after time.Duration)
	// Standing tells what a decision on the organisation rests on, for the log.
	Standing(o *registrar.Organisation) Standing
	// Refund gives back the tokens of an admitted request that has not run.
	Refund(o *registrar.Organisation, tokens float64)
}

// Standing is what an entry believes of an organisation's limit.
type Standing struct {
	// Level is the number of tokens left.
	Level float64
	// Sharing of all Entries hear of one another's admissions.
	Sharing, Entries int
}

// Observer counts for metrics.
type Observer interface {
	Request(organisation, outcome string)
	Refusal(organisation, reason string)
	Retry(organisation string)
	FirstToken(organisation string, d time.Duration)
}

// Config configures a Forwarder.
type Config struct {
	VM         string
	Domain     string
	Translator Translator
	Pool       *connector.Pool
	Admitter   Admitter
	Observer   Observer
	// Demand is called when an adapter is wanted at an endpoint, so that its sidecar is told at once.
	Demand func(address string)
	// Retry gives the budget of repeats for each service. Its Constant is divided among the entries, its Window positive.
	Retry retrier.Config
	// Entries returns the number of entries, at least 1.
	Entries  func() int
	Selector selector.Config
	Now      func() time.Time
	Seed     uint64
	Log      zerolog.Logger
}

// Forwarder is an http.Handler for callers. It is safe for use by several goroutines.
type Forwarder struct {
	config        Config
	configuration atomic.Pointer[registrar.Configuration]
	fleet         *fleet
	start         time.Time
	retry         atomic.Pointer[retrier.Config]
	leaving       atomic.Bool
	open          atomic.Int64

	mu      sync.Mutex
	budgets map[string]*budget
	rng     *rand.Rand
}

// budget is the repeats of one service.
type budget struct {
	retrier retrier.Retrier
}

// New returns a Forwarder without a configuration.
func New(c Config) *Forwarder {
	c.Selector = c.Selector.WithDefaults()
	f := &Forwarder{
		config: c, fleet: newFleet(c.Domain, c.Now), start: c.Now(), budgets: map[string]*budget{},
		rng: rand.New(rand.NewPCG(c.Seed, c.Seed>>1)),
	}
	f.SetRetry(c.Retry)
	return f
}

// SetRetry changes the budget of repeats.
func (f *Forwarder) SetRetry(c retrier.Config) { f.retry.Store(&c) }

// SetConfiguration puts a configuration in force if it is newer than the one in force.
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

// Configuration returns the configuration in force, or nil.
func (f *Forwarder) Configuration() *registrar.Configuration { return f.configuration.Load() }

// SetEndpoints replaces the list of endpoints.
func (f *Forwarder) SetEndpoints(list []registrar.Endpoint) {
	for _, id := range f.fleet.withEndpoints(list, f.configuration.Load()) {
		f.logSuperseded(id)
	}
}

func (f *Forwarder) logSuperseded(endpoint string) {
	f.config.Log.Info().Str("Endpoint", endpoint).Msg("forwarder: a later run has the endpoint's address")
}

// SetVersions replaces the declared adapter versions.
func (f *Forwarder) SetVersions(versions map[registrar.AdapterKey]int64) {
	f.fleet.withVersions(versions)
}

// SetState takes a sidecar's report.
func (f *Forwarder) SetState(s wire.EngineState) {
	if id := f.fleet.withState(s); id != "" {
		f.logSuperseded(id)
	}
}

// Leave makes answers ask their callers to use other connections.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// Open is the number of open requests.
func (f *Forwarder) Open() int64 { return f.open.Load() }

// exchange is one request of a caller.
type exchange struct {
	f             *Forwarder
	w             http.ResponseWriter
	r             *http.Request
	call          Call
	configuration *registrar.Configuration
	route         *registrar.Route
	organisation  *registrar.Organisation
	service       string
	body          []byte
	arrived       time.Time
	// deadline is when the caller or the route no longer waits.
	deadline time.Time
	// sent holds the endpoints that got the request, and tries counts the sends.
	sent  map[run]bool
	avoid map[run]bool
	tries int
	// isRepeatPaid says that the budget has paid for the next repeat.
	isRepeatPaid bool
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// lastEvent is the last event that the caller has of its stream, and begun that the answer's head was sent.
	lastEvent string
	begun     bool
	// placed, chosen and firstAfter are for the log: when the last endpoint was found, what was expected of it, and the
	// time from the arrival to the first event.
	placed     time.Time
	chosen     placement
	firstAfter time.Duration
	// admitted is the number of tokens taken of the organisation's limit.
	admitted float64
	// kept is a failure that an endpoint answered with, to be passed on when nothing better follows.
	kept *whole
}

// placement is what the last choice of an endpoint rested on.
type placement struct {
	endpoint  string
	expected  time.Duration
	residency selector.Residency
	// stateAge is the age of the sidecar's report; -1 ms without one.
	stateAge time.Duration
	busy     int
	unread   float64
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	x := &exchange{f: f, w: w, r: r, arrived: f.config.Now(), call: f.config.Translator.DecodeCall(r.Header)}
	x.call.chains = chains(x.call.Parts)
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if refusal := x.prepare(); refusal != nil {
		x.refuse(refusal)
		return
	}
	x.serve()
}

// prepare finds out what the request is and whether it may run.
func (x *exchange) prepare() *Refusal {
	x.configuration = x.f.configuration.Load()
	if x.configuration == nil {
		return refuseStarting()
	}
	x.route = x.configuration.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return refuseRoute(x.r.Host, x.r.URL.Path)
	}
	x.organisation = x.configuration.Owner(x.call.Key)
	if x.organisation == nil && !x.route.Open {
		return refuseKey()
	}
	wait := x.route.Timeout
	if x.call.Patience > 0 && (wait <= 0 || x.call.Patience < wait) {
		wait = x.call.Patience
	}
	x.deadline = x.arrived.Add(wait)
	x.service = x.route.Choose(x.call.ID)
	x.lastEvent = x.call.LastEvent
	return x.readBody()
}

func (x *exchange) readBody() *Refusal {
	most := x.configuration.Limits().BodyBytes
	if most <= 0 {
		most = bodyDefault
	}
	if x.r.ContentLength > most {
		return refuseBody(most)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, most+1))
	if err != nil {
		// The caller left, or broke its own message off: nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > most {
		return refuseBody(most)
	}
	x.body = body
	return nil
}

// tokens is what the request costs of its organisation's limit.
func (x *exchange) tokens() float64 {
	switch {
	case !x.organisation.CountsTokens:
		return 1
	case x.call.HasTokens:
		return x.call.PromptTokens + x.call.AnswerTokens
	}
	return x.organisation.PlainTokens
}

// serve admits the request and tries endpoints until one gives an answer or nothing is left to try.
func (x *exchange) serve() {
	if x.organisation != nil && x.organisation.Rate > 0 {
		if ok, after := x.f.config.Admitter.Admit(x.organisation, x.tokens()); !ok {
			standing := x.f.config.Admitter.Standing(x.organisation)
			x.f.config.Log.Info().Str("Request", x.call.ID).Str("Organisation", x.organisation.Name).Float64("Tokens", x.tokens()).
				Float64("Level", standing.Level).Float64("Rate", x.organisation.Rate).Float64("Burst", x.organisation.Burst).
				Int("Sharing", standing.Sharing).Int("Entries", standing.Entries).Dur("EnoughAfter", after).
				Msg("forwarder: over the limit")
			x.refuse(refuseLimit(after))
			return
		}
		x.admitted = x.tokens()
	}
	x.f.counted(x.service)
	x.sent, x.avoid = map[run]bool{}, map[run]bool{}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	for {
		switch refusal, done := x.try(ctx); {
		case done:
			return
		case refusal != nil:
			x.finish(ctx, refusal)
			return
		}
	}
}

// finish ends an exchange that got no answer to pass on.
func (x *exchange) finish(ctx context.Context, refusal *Refusal) {
	if !x.mayHaveRun && x.admitted > 0 {
		x.f.config.Admitter.Refund(x.organisation, x.admitted)
	}
	switch {
	case x.r.Context().Err() != nil:
		x.note("caller-left", 0)
		panic(http.ErrAbortHandler)
	case x.begun:
		x.note("broken-off", 0)
		panic(http.ErrAbortHandler)
	case x.kept != nil:
		x.pass(x.kept)
		return
	case x.mayHaveRun && refusal.IsNotRun():
		refusal = failGateway(refusal.Reason)
	}
	if ctx.Err() != nil {
		if x.mayHaveRun {
			refusal = failTimeout()
		} else {
			refusal = refuseFull("timeout-waiting", 0)
		}
	}
	x.refuse(refusal)
}

// refuse answers for the entry itself.
func (x *exchange) refuse(refusal *Refusal) {
	refusal.write(x.w, x.f.config.Translator.RequestIDHeader(), x.call.ID)
	x.f.config.Observer.Refusal(x.organisationName(), refusal.Reason)
	x.note(refusal.Reason, refusal.Status)
}

func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// note writes the one line of a request's outcome.
func (x *exchange) note(outcome string, status int) {
	e := x.f.config.Log.Info().Str("Request", x.call.ID).Str("Outcome", outcome).Int("Status", status).
		Int("Sends", x.tries).Dur("After", x.f.config.Now().Sub(x.arrived)).Str("Organisation", x.organisationName())
	if x.route != nil {
		e = e.Str("Route", x.route.Name).Int64("Revision", x.configuration.Version())
	}
	if x.call.Model.Model != "" {
		e = e.Str("Model", x.call.Model.String()).Float64("PromptTokens", x.call.PromptTokens)
	}
	if x.chosen.endpoint != "" {
		e = e.Str("Endpoint", x.chosen.endpoint).Dur("Expected", x.chosen.expected).Stringer("Residency", x.chosen.residency).
			Dur("StateAge", x.chosen.stateAge).Int("Busy", x.chosen.busy).Float64("Unread", x.chosen.unread)
	}
	if !x.placed.IsZero() {
		e = e.Dur("PlacedAfter", x.placed.Sub(x.arrived)).Dur("FirstAfter", x.firstAfter)
	}
	e.Msg("forwarder: request ended")
}

// counted counts a request for its service's budget of repeats.
func (f *Forwarder) counted(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budget(service)
	b.retrier = b.retrier.WithRequest(f.config.Now().Sub(f.start))
}

// mayRepeat takes one repeat from the budget of the service.
func (f *Forwarder) mayRepeat(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budget(service)
	next, ok := b.retrier.Allow(f.config.Now().Sub(f.start))
	b.retrier = next
	return ok
}

// budget returns the budget of the service. Its constant is divided among the entries and grows over the first window
// of this process: what an earlier process on the VM repeated still counts, and the other entries aren't known yet.
func (f *Forwarder) budget(service string) *budget {
	c := *f.retry.Load()
	grown := min(1, float64(f.config.Now().Sub(f.start))/float64(c.Window))
	c.Constant = max(leastConstant, c.Constant*grown/float64(max(1, f.config.Entries())))
	b := f.budgets[service]
	if b == nil {
		b = &budget{retrier: retrier.New(c)}
		f.budgets[service] = b
	}
	b.retrier = b.retrier.WithConfig(c)
	return b
}

// choose picks an endpoint.
func (f *Forwarder) choose(w *want) (*endpoint, placement, bool) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	candidates, endpoints := f.fleet.candidates(w)
	f.mu.Lock()
	choice, ok := selector.Choose(f.config.Selector, w.request, candidates, f.rng)
	f.mu.Unlock()
	if !ok {
		return nil, placement{}, false
	}
	e, c := endpoints[choice.Index], candidates[choice.Index]
	p := placement{
		endpoint: e.ID, expected: choice.Expected, residency: c.Residency, stateAge: -time.Millisecond, busy: c.Busy, unread: c.UnreadTokens,
	}
	if !e.stateAt.IsZero() {
		p.stateAge = f.config.Now().Sub(e.stateAt)
	}
	return e, p, true
}

// Demands returns what this entry asks of each engine's sidecar, or of the one at the address when it isn't empty.
func (f *Forwarder) Demands(address string) []EngineDemand { return f.fleet.demands(address) }

// ChangedDemands returns what this entry asks of the engines whose sidecars should hear of a change soon.
func (f *Forwarder) ChangedDemands() []EngineDemand { return f.fleet.dirty() }

// Tidy closes connections that are no longer needed and forgets what is out of date. It is called now and then.
func (f *Forwarder) Tidy() {
	f.config.Pool.Tidy(f.fleet.isKnown)
	f.fleet.tidy()
}
