// Package lender enforces the fleet-wide limits of pkg/limiter across entries: it implements the messages by which
// entries lend and repay tokens and exchange their state, and the protocol for the epoch row.
//
// State: this entry's share of each organisation's bucket with the grants lent and borrowed (in memory, written only
// by this process), and the row limit/epoch of the table service, which any entry writes conditionally when it joins,
// leaves, or has proof that a member has terminated. While the store is unavailable, the epoch does not change: entries
// with a share keep it and continue to lend, and entries without a share borrow.
package lender

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/internal/messenger"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/limiter"
)

// Defaults and limits of the settings.
const (
	DefaultExchangeInterval = time.Second
	DefaultAdmissionWait    = 200 * time.Millisecond
	MaxAdmissionWait        = 2 * time.Second
	DefaultLoadRate         = 3
	DefaultLoadsInFlight    = 8
)

const (
	// pollInterval is the interval of reads of the epoch row and of the platform's list of VMs.
	pollInterval = 3 * time.Second
	// conflictRetryDelay is the minimum delay before the epoch row is read again after a conflicting write by another
	// entry. It is also the delay between the attempts of Leave to update the row.
	conflictRetryDelay = 150 * time.Millisecond
	// absentListThreshold is the number of consecutive lists from which a VM must be absent before it counts as
	// terminated. A single list is not proof, because a lagging replica of the platform may have served it.
	absentListThreshold = 2
	// unseenListThreshold is the number of consecutive lists from which a member's VM must be absent before the member
	// counts as terminated, if this process has never seen the VM on a list. It amounts to five minutes, far more than the
	// lag of the list, and a member joins only after its VM has been listed. Without this rule, no process could reclaim
	// the share of an entry that terminated while the store was unavailable once all processes that had seen its VM on a
	// list were replaced.
	unseenListThreshold = 100
	// unreachableRounds is the number of rounds without a response after which a peer is unreachable. In a round, the
	// entry exchanges state with each peer once.
	unreachableRounds = 3
	// exchangeFanout is the maximum number of exchanges per interval. With more peers, a round takes several intervals.
	exchangeFanout = 16
	// exchangeTimeout is the timeout of an exchange and of a read of the list of VMs.
	exchangeTimeout = time.Second
	// peerRetention is how long exchanges with an unreachable peer are attempted if it is neither listed nor a member.
	peerRetention = time.Minute
	// grantCheckInterval is the interval of checks for borrowed grants that can be closed, while any are open.
	grantCheckInterval = 50 * time.Millisecond
	// borrowInterval is the interval of loan requests while admissions wait, and the delay between attempts to repay.
	borrowInterval = 10 * time.Millisecond
	// repayAttempts is the maximum number of attempts to send a report. If all fail, the lender loses only the unspent
	// tokens of the grant.
	repayAttempts = 3
	// permitTTL is the time after which a permit that was not released no longer counts as a load in flight.
	permitTTL = 30 * time.Second
	// loadAccount is the name of the account that limits the fleet's adapter loads. It is handled like the account of an
	// organisation, but cannot conflict with one, because the names of organisations contain no space.
	loadAccount = "adapter loads"

	epochPk, epochSk = "limit", "epoch"
)

// Config configures a Lender.
type Config struct {
	// Self identifies this process. It must already listen on the address: that a new incarnation holds the port is the
	// proof that the previous one has terminated.
	Self      wire.EntryMember
	Messenger *messenger.Messenger
	Table     storer.Table
	VMs       storer.VMs
	// Now defaults to time.Now. Changes of the wall clock must not affect the difference between
	// two readings.
	Now func() time.Time
	Log zerolog.Logger
	// Freshness returns, and RecordFreshness receives, the proofs of freshness of the configuration that exchanges
	// carry.
	Freshness       func() wire.Freshness
	RecordFreshness func(wire.Freshness)
	// Evidence returns, and RecordEvidence receives, what entries know of requests that end endpoints.
	Evidence       func() ([]wire.EndpointCrash, []wire.RequestAnswer)
	RecordEvidence func([]wire.EndpointCrash, []wire.RequestAnswer)
	// State returns the state of the entry: starting, live or leaving.
	State func() string
	// ExchangeInterval is the interval of exchanges with peers. It defaults to DefaultExchangeInterval.
	ExchangeInterval time.Duration
	// AdmissionWait is the maximum time that a request waits for tokens, between 0 (no waiting) and MaxAdmissionWait.
	AdmissionWait time.Duration
	// LoadRate is the number of adapter loads per second in the whole fleet. It defaults to DefaultLoadRate. The burst is
	// one second's worth of loads, because weight stores reject more regardless of the number in flight.
	LoadRate float64
	// LoadsInFlight is the maximum number of concurrent loads in the whole fleet. It defaults to DefaultLoadsInFlight.
	LoadsInFlight int
	// Policy defaults to limiter.DefaultPolicy.
	Policy limiter.Policy
}

// Kind is the reason for a refusal.
type Kind int

// Reasons for refusals.
const (
	// OverBurst means that the request needs more tokens than the organisation's burst.
	OverBurst Kind = iota
	// OverRate means that neither this entry nor its reachable peers could provide enough tokens in time.
	OverRate
	// UnknownOrganisation means that no limit is configured for the organisation.
	UnknownOrganisation
)

// Refusal is the error of a request that was not admitted.
type Refusal struct {
	Kind         Kind
	Organisation string
	// RetryAfter is the time after which the tokens may be available, or 0 if waiting does not help.
	RetryAfter time.Duration
	// WithinRate means that, to this entry's knowledge, the entries together held enough tokens, so that a single bucket
	// for the whole fleet would have admitted the request.
	WithinRate bool
}

// Error implements error. The message tells the caller what to do.
func (r *Refusal) Error() string {
	switch r.Kind {
	case OverBurst:
		return fmt.Sprintf("the request needs more tokens than the burst of organisation %q; "+
			"send a shorter prompt or ask for fewer tokens", r.Organisation)
	case OverRate:
		return fmt.Sprintf("organisation %q is over its rate; send the request again after %s",
			r.Organisation, r.RetryAfter)
	default:
		return fmt.Sprintf("organisation %q has no limit in the configuration; add it and apply", r.Organisation)
	}
}

// waiter is a request that is waiting for tokens.
type waiter struct {
	id     string
	tokens float64
	// admitted is closed, with the Lender's mutex held, when the request has been admitted.
	admitted chan struct{}
}

// account is the state of an organisation's limit, guarded by the Lender's mutex.
type account struct {
	limiter.Account
	waiters []*waiter
	// workerRunning is true while a goroutine serves the waiters and borrows tokens.
	workerRunning bool
	// changed wakes the goroutine that serves the waiters; see wake.
	changed chan struct{}
}

// peer is another entry.
type peer struct {
	address string
	// member is empty until the first message from the peer.
	member wire.EntryMember
	// discoveredAt is the time at which this entry learned the address. exchangedAt and respondedAt are the times of the
	// last exchange that this entry started and of the peer's last response.
	discoveredAt, exchangedAt, respondedAt time.Duration
	exchanging                             bool
	storeUnavailable                       bool
	// lastSent holds the levels last sent to the peer, by organisation.
	lastSent map[string]float64
}

// Lender enforces this entry's share of the limits. It is safe for concurrent use.
type Lender struct {
	config      Config
	self        string
	clockOrigin time.Time

	mutex    sync.Mutex
	epoch    limiter.Epoch
	epochRow wire.EpochRow
	// removedMembers are members of epochs adopted here that a later one lacks.
	removedMembers map[wire.EntryMember]bool
	accounts       map[string]*account
	peers          map[string]*peer
	// selfListed is set once the platform's list has contained this VM. An entry joins the epoch only then, so that every
	// member has been listed, and absence from the list means that the member has terminated.
	selfListed bool
	// listed holds the addresses of the other entries on the platform's list, by VM.
	listed map[string]string
	// absences holds the number of consecutive lists without a VM. At absentListThreshold, the VM counts as terminated.
	absences map[string]int
	permits  map[string]time.Duration // load permits in use, by ID, with their expiry
	nextID   uint64
	// leaving is set when Leave starts; nothing is lent from then on. left is set when the entry has given up its share.
	leaving, left bool
	// runContext is the context of Run; nil while Run is not running.
	runContext context.Context
	tasks      int
	taskDone   chan struct{}
	// readEpochRow signals pollEpoch to read the epoch row before the next interval.
	readEpochRow chan struct{}
	// grantOpened signals Run to start checking grants.
	grantOpened chan struct{}
}

// New returns a Lender without organisations; see SetOrganisations.
func New(c Config) (*Lender, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ExchangeInterval == 0 {
		c.ExchangeInterval = DefaultExchangeInterval
	}
	if c.LoadRate == 0 {
		c.LoadRate = DefaultLoadRate
	}
	if c.LoadsInFlight == 0 {
		c.LoadsInFlight = DefaultLoadsInFlight
	}
	if c.Policy == (limiter.Policy{}) {
		c.Policy = limiter.DefaultPolicy()
	}
	// LendRequest carries the lifetime in milliseconds. With a fraction of a millisecond, the borrower could spend the
	// grant after the lender has stopped holding its tokens.
	c.Policy.GrantTTL = c.Policy.GrantTTL.Truncate(time.Millisecond)
	switch {
	case c.Self.VM == "" || c.Self.Incarnation == "" || c.Self.Address == "":
		return nil, errors.New("Self is incomplete: VM, Incarnation and Address are required")
	case c.AdmissionWait < 0 || c.AdmissionWait > MaxAdmissionWait:
		return nil, errors.Newf("AdmissionWait is %s; it must be between 0 and %s", c.AdmissionWait, MaxAdmissionWait)
	case c.ExchangeInterval < 0 || c.LoadRate < 0 || c.LoadsInFlight < 0:
		return nil, errors.New("ExchangeInterval, LoadRate and LoadsInFlight must not be negative")
	case c.Messenger == nil || c.Table == nil || c.VMs == nil:
		return nil, errors.New("Messenger, Table and VMs are required")
	}
	if c.Freshness == nil {
		c.Freshness = func() wire.Freshness { return wire.Freshness{AgeMs: -1} }
	}
	if c.RecordFreshness == nil {
		c.RecordFreshness = func(wire.Freshness) {}
	}
	if c.Evidence == nil {
		c.Evidence = func() ([]wire.EndpointCrash, []wire.RequestAnswer) { return nil, nil }
	}
	if c.RecordEvidence == nil {
		c.RecordEvidence = func([]wire.EndpointCrash, []wire.RequestAnswer) {}
	}
	if c.State == nil {
		c.State = func() string { return string(wire.EntryExchangeStateLive) }
	}
	l := &Lender{
		config: c, self: memberName(c.Self), clockOrigin: c.Now(),
		accounts: map[string]*account{}, peers: map[string]*peer{}, removedMembers: map[wire.EntryMember]bool{},
		listed: map[string]string{}, absences: map[string]int{}, permits: map[string]time.Duration{},
		taskDone: make(chan struct{}), readEpochRow: make(chan struct{}, 1), grantOpened: make(chan struct{}, 1),
	}
	l.epoch = limiter.NewEpoch(limiter.EpochConfig{Self: l.self, GrantTTL: c.Policy.GrantTTL})
	l.accounts[loadAccount] = l.newAccount(limiter.Config{Rate: c.LoadRate, Burst: max(1, c.LoadRate)})
	return l, nil
}

// memberName returns the name of a member in limiter.Epoch.
func memberName(m wire.EntryMember) string { return m.VM + "/" + m.Incarnation }

// now returns the time on this entry's clock. Callers that pass it to limiter values read it with the mutex held, so
// that readings and operations have the same order; the exactness of limiter.Bucket depends on this.
func (l *Lender) now() time.Duration { return l.config.Now().Sub(l.clockOrigin) }

func (l *Lender) newAccount(c limiter.Config) *account {
	a := &account{Account: limiter.NewAccount(c, l.config.Policy), changed: make(chan struct{}, 1)}
	now := l.now()
	num, den := l.share()
	a.Account = a.WithShare(num, den, now)
	for _, p := range l.peers {
		if l.reachable(p, now) {
			a.Account = a.WithPeer(p.address, 0, now)
		}
	}
	return a
}

// SetOrganisations replaces the limits. New organisations start with an empty bucket; a changed limit keeps its level,
// capped at its share of the new burst.
func (l *Lender) SetOrganisations(limits map[string]limiter.Config) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	for organisation, c := range limits {
		if a := l.accounts[organisation]; a != nil {
			a.Account = a.WithConfig(c, now)
		} else {
			l.accounts[organisation] = l.newAccount(c)
		}
	}
	for organisation, a := range l.accounts {
		if _, ok := limits[organisation]; !ok && organisation != loadAccount {
			// The account is removed, so all its grants are closed, including those that waiting requests need.
			l.closeGrants(a, organisation, true)
			delete(l.accounts, organisation)
		}
	}
	l.applyEpoch(now)
}

// spawn starts f in a goroutine whose context is cancelled when Run ends, and reports whether it did: while Run is not
// running, nothing is started. The caller holds the mutex.
func (l *Lender) spawn(f func(ctx context.Context)) bool {
	if l.runContext == nil {
		return false
	}
	l.tasks++
	ctx := l.runContext
	go func() {
		f(ctx)
		l.taskDone <- struct{}{}
	}()
	return true
}

// Run joins the epoch, exchanges state with peers and manages loans until ctx is cancelled. It does not leave the epoch;
// Leave does.
func (l *Lender) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mutex.Lock()
	if l.runContext != nil {
		l.mutex.Unlock()
		return errors.New("Run was called while the Lender is already running")
	}
	l.runContext = ctx
	l.spawn(l.pollEpoch)
	l.spawn(l.pollVMs)
	l.mutex.Unlock()

	exchange := time.NewTicker(l.config.ExchangeInterval)
	defer exchange.Stop()
	checkGrants := time.NewTimer(grantCheckInterval)
	defer checkGrants.Stop()
	l.startExchanges()
	for {
		select {
		case <-l.taskDone:
			l.mutex.Lock()
			l.tasks--
			l.mutex.Unlock()
		case <-exchange.C:
			l.startExchanges()
		case <-l.grantOpened:
			checkGrants.Reset(grantCheckInterval)
		case <-checkGrants.C:
			if l.checkGrants() {
				checkGrants.Reset(grantCheckInterval)
			}
		case <-ctx.Done():
			l.mutex.Lock()
			l.runContext = nil
			tasks := l.tasks
			l.tasks = 0
			l.mutex.Unlock()
			for range tasks {
				<-l.taskDone
			}
			return ctx.Err()
		}
	}
}

// Admit reserves tokens of the organisation, waiting up to AdmissionWait for refill and loans.
// The error is a *Refusal or the error of ctx.
func (l *Lender) Admit(ctx context.Context, organisation string, tokens float64) (*Reservation, error) {
	deadline, cancel := context.WithTimeout(ctx, l.config.AdmissionWait)
	defer cancel()
	id, refusal := l.admit(deadline, organisation, tokens)
	if refusal == nil {
		return &Reservation{lender: l, organisation: organisation, id: id, tokens: tokens}, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return nil, refusal
}

// admit takes tokens, waiting until ctx is done, and returns the ID of the admission.
func (l *Lender) admit(ctx context.Context, organisation string, tokens float64) (string, *Refusal) {
	l.mutex.Lock()
	a := l.accounts[organisation]
	if a == nil {
		l.mutex.Unlock()
		return "", &Refusal{Kind: UnknownOrganisation, Organisation: organisation}
	}
	now := l.now()
	l.nextID++
	id := strconv.FormatUint(l.nextID, 10)
	a.Account = a.WithDemand(tokens, now)
	var d limiter.Decision
	// Adapter loads are admitted strictly in order of arrival: they are rare, and later requests could otherwise take
	// every new token and starve earlier ones. For organisations, a large waiting request does not block smaller ones.
	if organisation != loadAccount || len(a.waiters) == 0 {
		d = l.tryAdmit(a, organisation, id, tokens, now)
	}
	if d.Admitted {
		l.startBorrowing(a, organisation, now)
		l.mutex.Unlock()
		return id, nil
	}
	if d.OverBurst {
		l.mutex.Unlock()
		return "", &Refusal{Kind: OverBurst, Organisation: organisation}
	}
	w := &waiter{id: id, tokens: tokens, admitted: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	l.startBorrowing(a, organisation, now)
	l.mutex.Unlock()

	select {
	case <-w.admitted:
		return id, nil
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// While Run is not running, no goroutine serves the waiters, and refill may have covered the request by now.
	l.admitWaiters(a, organisation, l.now())
	select {
	case <-w.admitted:
		return id, nil
	default:
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(other *waiter) bool { return other == w })
	now = l.now()
	return "", &Refusal{
		Kind: OverRate, Organisation: organisation, RetryAfter: retryAfter(a, tokens, now), WithinRate: a.FleetLevel(now) >= tokens,
	}
}

// minRetryAfter is the minimum RetryAfter, because callers receive it in whole seconds.
const minRetryAfter = time.Second

func retryAfter(a *account, tokens float64, now time.Duration) time.Duration {
	c := a.Bucket().Config()
	deficit := tokens - a.Bucket().Advance(now).Level()
	if deficit <= 0 || c.Rate <= 0 {
		return minRetryAfter
	}
	return max(minRetryAfter, time.Duration(math.Ceil(deficit/c.Rate))*time.Second)
}

// tryAdmit admits a request if its tokens and, for an adapter load, a free permit are available. The caller holds the
// mutex.
func (l *Lender) tryAdmit(a *account, organisation, id string, tokens float64, now time.Duration) limiter.Decision {
	if organisation == loadAccount && !l.hasFreePermit(now) {
		return limiter.Decision{Wait: limiter.Never}
	}
	var d limiter.Decision
	a.Account, d = a.Admit(id, tokens, now)
	if d.Admitted && organisation == loadAccount {
		l.permits[id] = now + permitTTL
	}
	return d
}

// admitWaiters admits the waiting requests that fit, in order of arrival; a request that does not fit does not block
// others. The caller holds the mutex.
func (l *Lender) admitWaiters(a *account, organisation string, now time.Duration) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		d := l.tryAdmit(a, organisation, w.id, w.tokens, now)
		if d.Admitted {
			close(w.admitted)
		}
		return d.Admitted
	})
}

// Reservation holds the tokens of an admitted request until it is settled.
type Reservation struct {
	lender       *Lender
	organisation string
	id           string
	tokens       float64
}

// Settle ends the reservation and refunds what exceeds used. Calls after the first have no effect.
func (r *Reservation) Settle(used float64) {
	l := r.lender
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[r.organisation]
	if a == nil || r.id == "" {
		return
	}
	now := l.now()
	var reports []limiter.GrantReport
	a.Account, reports = a.Settle(r.id, r.tokens, used, now)
	r.id = ""
	l.sendReports(r.organisation, reports)
	l.admitWaiters(a, r.organisation, now)
	wake(a)
}

// wake signals the goroutine that serves the account's waiters.
func wake(a *account) {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// share returns the current share as a fraction. The caller holds the mutex.
func (l *Lender) share() (num, den int) {
	if l.left {
		return 0, 1
	}
	return l.epoch.Share()
}

// checkGrants closes grants that are spent, expired or not needed, and reports whether others are open.
func (l *Lender) checkGrants() (open bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for organisation, a := range l.accounts {
		l.closeGrants(a, organisation, false)
		open = open || len(a.BorrowedGrants().All()) > 0
	}
	return open
}

// sleep waits for d, and returns false if ctx is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
