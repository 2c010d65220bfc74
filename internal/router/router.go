// Package router implements the entry: the proxy that accepts callers' requests. It authenticates and admits them,
// chooses an endpoint for each and forwards it to that endpoint's sidecar. The requests in progress and the view of the
// endpoints are kept in memory and modified by this process only. While the table service is unavailable the entry
// keeps serving, except for calls with an idempotency key, which it rejects with the outcome not-run.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/configurer"
	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/isolator"
	"geraniumladder/internal/lender"
	"geraniumladder/internal/looper"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/attester"
	"geraniumladder/pkg/limiter"
	"geraniumladder/pkg/placer"
	"geraniumladder/pkg/retrier"
	"geraniumladder/pkg/tracker"
)

// Paths of the entry's handlers for other processes and operators.
const (
	StatusPath = messenger.PathPrefix + "entry/status"
	DeltasPath = messenger.PathPrefix + "deltas"
)

const (
	vmListInterval = time.Second
	// evidencePruneInterval is the interval at which expired evidence on crashes is removed.
	evidencePruneInterval = time.Second
	stateRefreshInterval  = 250 * time.Millisecond
	// leaveTimeout bounds the release of this entry's shares of the limits in a planned shutdown. If the table service
	// is unavailable, the other entries take them over once this VM is missing from the platform's VM list.
	leaveTimeout = 5 * time.Second
	// minRetryBudget is the number of retries in ten seconds that even an entry with few requests may make, so that the
	// loss of one endpoint of a small fleet causes no refusals.
	minRetryBudget = 20
)

// Config configures a Router.
type Config struct {
	Settings         configurer.Entry
	Incarnation      string
	AdvertiseAddress string
	Platform         storer.Platform
	Messenger        *messenger.Messenger
	Signer           authenticator.Signer
	Follower         *applier.Follower
	Lender           *lender.Lender
	// Isolator keeps requests from endpoints that end under them. Lender passes its evidence on to the other entries.
	Isolator *isolator.Isolator
	Meter    *meter.Meter
	Log      zerolog.Logger
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
	// Seed seeds the random numbers for the choice of endpoints and the retry backoff.
	Seed uint64
}

// Router is the request router of one entry process.
type Router struct {
	config  Config
	log     zerolog.Logger
	now     func() time.Time
	started time.Time

	// leaving makes /healthz fail; draining, below, also rejects new requests. leaving is not guarded by mu because the
	// lender reads the state while it holds its own lock.
	leaving atomic.Bool

	claims *claimRecords

	// mu must not be held during calls to the lender or the follower.
	mu sync.Mutex
	// members and view are immutable values that are replaced as a whole. viewStates holds the member states last
	// applied to view.
	members    tracker.Table[wire.Descriptor]
	view       placer.View
	viewStates map[string]tracker.State
	// reports holds what endpoints have reported in rejections, by VM and incarnation of the sidecar.
	reports     attester.Attester[string]
	retryBudget retrier.Retrier
	rng         *rand.Rand
	// calls holds the calls in progress, by request ID.
	calls map[string]*activeCall
	// pendingLoads holds the adapter loads that this entry has requested and not yet seen start, by VM and adapter. The
	// channel is closed when the request that triggered the load has received a response or failed.
	pendingLoads map[string]chan struct{}
	// evacuated are the evacuated failure domains, which the view has as well.
	evacuated []string
	// permitWaits holds the dispatches that wait for an adapter load, with the functions that end the wait.
	permitWaits map[*dispatch]context.CancelFunc
	draining    bool
	// idle is closed once the router is draining and no call is in progress.
	idle chan struct{}
}

// activeCall allows a call in progress to be cancelled from another goroutine.
type activeCall struct {
	call   *call
	cancel context.CancelCauseFunc
}

// New returns the Router of an entry.
func New(c Config) *Router {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Router{
		config: c, log: c.Log, now: c.Now, started: c.Now(), claims: newClaimRecords(),
		members: tracker.New[wire.Descriptor](tracker.Config{
			HeartbeatEvery: c.Settings.Heartbeat, ProtocolMin: protocolVersion, ProtocolMax: protocolVersion,
		}),
		viewStates:   map[string]tracker.State{},
		reports:      attester.New[string](attester.Config{}),
		retryBudget:  retrier.New(retrier.Config{Constant: minRetryBudget}),
		rng:          rand.New(rand.NewPCG(c.Seed, c.Seed+1)),
		calls:        map[string]*activeCall{},
		pendingLoads: map[string]chan struct{}{},
		permitWaits:  map[*dispatch]context.CancelFunc{},
		idle:         make(chan struct{}),
	}
}

func (r *Router) elapsed() time.Duration { return r.now().Sub(r.started) }

// PeerHandler returns the handler for other processes and operators.
func (r *Router) PeerHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", echo.WrapHandler(r.config.Meter.Handler()))
	signed := messenger.Middleware(r.config.Signer, r.now)
	e.POST(dispatcher.HeartbeatPath, r.handleHeartbeat, signed)
	e.GET(StatusPath, func(c echo.Context) error { return c.JSON(http.StatusOK, r.Status()) }, signed)
	e.GET(DeltasPath, r.handleDeltas, signed)
	r.config.Lender.Register(e.Group("/peer", signed))
	return e
}

// register counts a call as in progress until release is called. It rejects the call if a planned shutdown has begun
// since newCall checked for one, because Drain may already have found the entry idle.
func (r *Router) register(cl *call) (release func(), failure *callError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return nil, errLeaving
	}
	r.calls[cl.id] = &activeCall{call: cl, cancel: func(error) {}}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, cl.id)
		r.signalIfIdle()
	}, nil
}

var errLeaving = unavailable("leaving", "this entry is leaving; send the request again")

func (r *Router) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

func (r *Router) signalIfIdle() {
	if !r.draining || len(r.calls) > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// admit reserves the call's tokens from the organisation's limit, runs the call and settles the reservation with the
// tokens used.
func (r *Router) admit(ctx context.Context, cl *call, run func() *callError) *callError {
	tokens := float64(cl.promptTokens + cl.answerTokens)
	reservation, err := r.config.Lender.Admit(ctx, cl.organisation.Name, tokens)
	if err != nil {
		return admissionError(err)
	}
	r.mu.Lock()
	r.retryBudget = r.retryBudget.WithRequest(r.elapsed())
	r.mu.Unlock()
	failure := run()
	used := float64(cl.promptTokens)
	if cl.model != nil {
		used += float64(cl.model.receivedTokens)
		r.config.Meter.Tokens(cl.organisation.Name, "prompt", cl.promptTokens)
		r.config.Meter.Tokens(cl.organisation.Name, "answer", cl.model.receivedTokens)
	}
	if failure != nil && failure.outcome == notRun {
		used = 0
	}
	reservation.Settle(used)
	return failure
}

func admissionError(err error) *callError {
	var refusal *lender.Refusal
	switch {
	case !errors.As(err, &refusal):
		return unavailable("admission_failed", "the request was given up while it waited for tokens; send it again")
	case refusal.Kind == lender.OverBurst:
		return invalid(http.StatusRequestEntityTooLarge, "over_burst",
			"the request needs more tokens than the organisation's burst; send a shorter prompt or a smaller max_tokens")
	case refusal.Kind == lender.OverRate:
		failure := &callError{
			status: http.StatusTooManyRequests, outcome: notRun, kind: kindRate, code: "rate_limit_exceeded",
			message: "the organisation is over its rate; send the request again after Retry-After", retryAfter: max(refusal.RetryAfter, time.Second),
		}
		if refusal.WithinRate {
			failure.reason = "rate_limit_within_rate"
		}
		return failure
	}
	return unavailable("no_limit", "the organisation's limit is not known here yet; send the request again")
}

// Run runs the entry's background tasks until ctx ends. Call Drain before ending ctx.
func (r *Router) Run(ctx context.Context) error {
	return looper.Run(ctx,
		r.config.Follower.Run,
		r.config.Lender.Run,
		r.followRevisions,
		looper.Every(vmListInterval, r.readVMList),
		looper.Every(claimCheckInterval, r.checkClaims),
		looper.Every(evidencePruneInterval, func(context.Context) { r.config.Isolator.Prune() }),
		looper.Every(stateRefreshInterval, func(context.Context) {
			r.mu.Lock()
			r.refreshStates(r.elapsed())
			r.mu.Unlock()
		}),
	)
}

// followRevisions applies each new configuration revision: it updates the limits and the evacuated failure domains, and
// cancels the calls whose key was withdrawn.
func (r *Router) followRevisions(ctx context.Context) error {
	changes := r.config.Follower.Subscribe()
	for {
		r.applyRevision(r.config.Follower.Current())
		select {
		case <-changes:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Router) applyRevision(revision merger.Revision) {
	limits := map[string]limiter.Config{}
	for o := range revision.Organisations() {
		limits[o.Name] = limiter.Config{Rate: o.Rate, Burst: o.Burst}
	}
	r.config.Lender.SetOrganisations(limits)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setEvacuated(revision)
	for _, active := range r.calls {
		if active.call.keyDigest == "" || !active.call.repeatable {
			continue
		}
		if _, known := revision.KeyByDigest(active.call.keyDigest); !known {
			active.cancel(errKeyWithdrawn)
		}
	}
}

// Drain performs a planned shutdown: /healthz fails at once, new requests are rejected after DrainDelay, which gives
// the load balancer time to notice, and Drain returns when the calls in progress have completed or ctx ends.
func (r *Router) Drain(ctx context.Context) error {
	r.log.Info().Msg("entry: shutting down, draining requests")
	r.leaving.Store(true)
	select {
	case <-time.After(r.config.Settings.DrainDelay):
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.draining = true
	r.signalIfIdle()
	r.mu.Unlock()
	select {
	case <-r.idle:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests were still in progress at the end of the shutdown; raise StopTimeout")
	}
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := r.config.Lender.Leave(leaveCtx); err != nil {
		r.log.Warn().Err(err).Msg("entry: could not release the shares of the limits")
	}
	r.log.Info().Msg("entry: all requests completed")
	return nil
}

// State returns the entry's state as reported to other entries: live or leaving.
func (r *Router) State() string {
	if r.leaving.Load() {
		return string(wire.EntryExchangeStateLeaving)
	}
	return string(wire.EntryExchangeStateLive)
}

// Status returns the entry's state for operators.
func (r *Router) Status() wire.EntryStatus {
	freshness := r.config.Follower.Freshness()
	revision := r.config.Follower.Current()
	epoch, limits := r.config.Lender.Status()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	status := wire.EntryStatus{
		VM: r.config.Settings.VM, Incarnation: r.config.Incarnation, FailureDomain: r.config.Settings.FailureDomain,
		State: r.State(), Revision: revision.Number(), ProofAgeMs: freshness.AgeMs, StoreAway: freshness.StoreAway,
		Open: len(r.calls), Epoch: epoch, Limits: limits, Endpoints: []wire.EndpointView{},
		Evacuated: revision.EvacuatedDomains(),
	}
	for _, m := range r.members.Members(now) {
		view := wire.EndpointView{
			VM: m.VM, Address: m.Address, State: m.State.String(), AgeMs: m.Silence.Milliseconds(),
			Kind: string(m.Detail.Kind), FailureDomain: m.FailureDomain, Resident: []string{},
		}
		if e, known := r.view.Endpoint(m.VM); known {
			view.Resident = append(view.Resident, e.Resident...)
			view.Load = wire.Load{
				QueuedRequests: e.Load.QueuedRequests, QueuedTokens: e.Load.QueuedTokens,
				Running: e.Load.Running, RunningTokens: e.Load.RunningTokens, Sequence: e.Load.Sequence,
			}
		}
		status.Endpoints = append(status.Endpoints, view)
	}
	return status
}
