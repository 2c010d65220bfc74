// Package lender carries the fleet-wide limits between entries: it wraps the values of pkg/limiter with the messages
// by which entries lend, repay and learn of each other, and with the epoch row.
//
// State: this entry's share of each organisation's bucket with the grants lent and borrowed (memory of this
// process, written only by it), and the row limit/epoch of the table service, which any entry writes
// conditionally when it joins, leaves, or has proof that a member has ended. When the store is unavailable there is
// no change of epoch: entries with a share keep it and go on lending, and an entry that has none borrows.
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

// Defaults and bounds of the settings.
const (
	DefaultExchangeEvery = time.Second
	DefaultAdmissionWait = 200 * time.Millisecond
	MaxAdmissionWait     = 2 * time.Second
	DefaultLoadRate      = 3
	DefaultLoadsInFlight = 8
)

const (
	// epochEvery is the time between reads of the epoch row, and of the platform's list of VMs.
	epochEvery = 3 * time.Second
	// conflictPause is the time after which an entry reads the row again when another has written it first.
	conflictPause = 150 * time.Millisecond
	// goneLists is the number of lists in a row from which a VM must be missing before it counts as gone: one list
	// may be served by a replica of the platform that lags.
	goneLists = 2
	// neverLists is that number for a member that this process has never seen on the list: five minutes, far beyond
	// the list's lag. The member itself saw its VM listed before it joined. Without it the shares of entries that ended while the store was unavailable would stay unused
	// for ever once every process that saw them listed has been replaced.
	neverLists = 100
	// reachableRounds is the number of rounds of exchanges after which a silent peer is not reachable.
	reachableRounds = 3
	// exchangeFanout bounds the exchanges in one interval; with more peers each is reached every few intervals.
	exchangeFanout = 16
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// forgetAfter is how long an unreachable peer that is on no list is still tried.
	forgetAfter = time.Minute
	// tidyEvery is the time between looks at borrowed grants, while there are any.
	tidyEvery = 50 * time.Millisecond
	// roundPause is the time between two rounds of loans while requests wait.
	roundPause = 10 * time.Millisecond
	// repayAttempts bounds the messages for one report; a lost one costs the lender only what was not spent.
	repayAttempts = 3
	// permitLife is after how long the slot of a permit that was not released is free again.
	permitLife = 30 * time.Second
	// loads is the pseudo-organisation of adapter loads. No operator's organisation can have this name, because
	// names of organisations contain no space.
	loads = "adapter loads"

	epochPk, epochSk = "limit", "epoch"
)

// Config configures a Lender.
type Config struct {
	// Self is this process. Its address is where the process already listens: a new incarnation that holds the
	// port is the proof that the previous one has ended.
	Self      wire.EntryMember
	Messenger *messenger.Messenger
	Table     storer.Table
	VMs       storer.VMs
	// Now is time.Now when nil. Its differences must be monotonic.
	Now func() time.Time
	Log zerolog.Logger
	// Freshness and Observe relay proofs of freshness of the configuration in each exchange.
	Freshness func() wire.Freshness
	Observe   func(wire.Freshness)
	// State returns starting, live or leaving.
	State func() string
	// ExchangeEvery is DefaultExchangeEvery when 0.
	ExchangeEvery time.Duration
	// AdmissionWait is how long a request may wait for tokens, from 0 (not at all) to MaxAdmissionWait.
	AdmissionWait time.Duration
	// LoadRate is the number of adapter loads a second over the whole fleet; DefaultLoadRate when 0. Loads of one second
	// may come at once: weight stores refuse more, whatever is in flight.
	LoadRate float64
	// LoadsInFlight bounds the loads at one time over the whole fleet; DefaultLoadsInFlight when 0.
	LoadsInFlight int
	// Policy is limiter.DefaultPolicy when zero.
	Policy limiter.Policy
}

// Kind tells refusals apart.
type Kind int

// The kinds of refusals.
const (
	// OverBurst means that the request is larger than the organisation's burst.
	OverBurst Kind = iota
	// OverRate means that the organisation has no tokens left anywhere within reach.
	OverRate
	// UnknownOrganisation means that no such organisation has a limit.
	UnknownOrganisation
)

// Refusal is the error of a request that was not admitted.
type Refusal struct {
	Kind         Kind
	Organisation string
	// RetryAfter is when the tokens may be there; 0 when waiting does not help.
	RetryAfter time.Duration
	// WithinRate says that the entries together held the tokens, as far as this one knew, so that one bucket for the
	// whole fleet would have admitted the request.
	WithinRate bool
}

// Error implements error. The message names the remedy.
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

// waiter is a request that waits for tokens.
type waiter struct {
	id     string
	tokens float64
	// admitted is closed when the tokens have been taken, under the Lender's mutex.
	admitted chan struct{}
}

// account is the state of one organisation, guarded by the Lender's mutex.
type account struct {
	limiter.Account
	waiters []*waiter
	// running says that a goroutine looks after the waiters and borrows ahead.
	running bool
	// changed wakes that goroutine.
	changed chan struct{}
}

// peer is another entry.
type peer struct {
	address string
	// member is empty until the peer has been heard.
	member wire.EntryMember
	// since is when this entry learned of the address; asked and answered are the times of its own last exchange.
	since, asked, answered time.Duration
	busy                   bool
	storeAway              bool
	// told has the levels that the peer was last told.
	told map[string]float64
}

// Lender holds this entry's limits. It is safe for use by several goroutines.
type Lender struct {
	config Config
	self   string
	start  time.Time

	mutex    sync.Mutex
	epoch    limiter.Epoch
	row      wire.EpochRow
	accounts map[string]*account
	peers    map[string]*peer
	// selfListed is set once the platform's list has had this VM. An entry joins the epoch only then, so that every
	// member was on the list, and a member that is missing from it has gone.
	selfListed bool
	// listed has the addresses of the other entries on the platform's list, by VM.
	listed map[string]string
	// missing counts the lists in a row without a VM; at goneLists the VM has ended.
	missing map[string]int
	inUse   map[string]time.Duration // permits by ID, with the time at which their slots are free again
	next    uint64
	// leaving says that Leave has begun: nothing is lent any more. left says that this entry has given up its share.
	leaving, left bool
	// run is the context of Run, nil before and after it.
	run   context.Context
	tasks int
	ended chan struct{}
	// readRow asks for a read of the epoch row ahead of time.
	readRow chan struct{}
	// borrowed tells Run that there are grants to look after.
	borrowed chan struct{}
}

// New returns a Lender without organisations.
func New(c Config) (*Lender, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ExchangeEvery == 0 {
		c.ExchangeEvery = DefaultExchangeEvery
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
	// LendRequest states the life in milliseconds; a fraction would let the borrower outlive the lender's hold.
	c.Policy.GrantLife = c.Policy.GrantLife.Truncate(time.Millisecond)
	switch {
	case c.Self.VM == "" || c.Self.Incarnation == "" || c.Self.Address == "":
		return nil, errors.New("Self is incomplete; give the VM, the incarnation and the address")
	case c.AdmissionWait < 0 || c.AdmissionWait > MaxAdmissionWait:
		return nil, errors.Newf("AdmissionWait is %s; give 0 to %s", c.AdmissionWait, MaxAdmissionWait)
	case c.ExchangeEvery < 0 || c.LoadRate < 0 || c.LoadsInFlight < 0:
		return nil, errors.New("ExchangeEvery, LoadRate or LoadsInFlight is negative; give a positive number")
	case c.Messenger == nil || c.Table == nil || c.VMs == nil:
		return nil, errors.New("Messenger, Table or VMs is missing; give all three")
	}
	if c.Freshness == nil {
		c.Freshness = func() wire.Freshness { return wire.Freshness{AgeMs: -1} }
	}
	if c.Observe == nil {
		c.Observe = func(wire.Freshness) {}
	}
	if c.State == nil {
		c.State = func() string { return string(wire.EntryExchangeStateLive) }
	}
	l := &Lender{
		config: c, self: name(c.Self), start: c.Now(),
		accounts: map[string]*account{}, peers: map[string]*peer{},
		listed: map[string]string{}, missing: map[string]int{}, inUse: map[string]time.Duration{},
		ended: make(chan struct{}), readRow: make(chan struct{}, 1), borrowed: make(chan struct{}, 1),
	}
	l.epoch = limiter.NewEpoch(limiter.EpochConfig{Self: l.self, GrantLife: c.Policy.GrantLife})
	l.accounts[loads] = l.newAccount(limiter.Config{Rate: c.LoadRate, Burst: max(1, c.LoadRate)})
	return l, nil
}

// name is a member's name in an epoch.
func name(m wire.EntryMember) string { return m.VM + "/" + m.Incarnation }

// now is the time on this entry's clock. Under the mutex the readings and the operations that use them have the
// same order, which the exactness of limiter.Bucket needs.
func (l *Lender) now() time.Duration { return l.config.Now().Sub(l.start) }

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

// SetOrganisations puts limits in force: new organisations start empty, and a changed limit keeps its level as far
// as the new burst allows.
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
		if _, ok := limits[organisation]; !ok && organisation != loads {
			l.report(a, organisation, true)
			delete(l.accounts, organisation)
		}
	}
	l.settleEpoch(now)
}

// spawn runs f until it returns or Run ends. The mutex is held. Without Run nothing is started.
func (l *Lender) spawn(f func(ctx context.Context)) bool {
	if l.run == nil {
		return false
	}
	l.tasks++
	ctx := l.run
	go func() {
		f(ctx)
		l.ended <- struct{}{}
	}()
	return true
}

// Run joins the epoch, exchanges with peers, and looks after loans until ctx ends. It does not leave the epoch:
// Leave does.
func (l *Lender) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mutex.Lock()
	if l.run != nil {
		l.mutex.Unlock()
		return errors.New("the lender runs already; call Run once")
	}
	l.run = ctx
	l.spawn(l.followEpoch)
	l.spawn(l.followList)
	l.mutex.Unlock()

	exchange := time.NewTicker(l.config.ExchangeEvery)
	defer exchange.Stop()
	tidy := time.NewTimer(tidyEvery)
	defer tidy.Stop()
	l.exchangeAll()
	for {
		select {
		case <-l.ended:
			l.mutex.Lock()
			l.tasks--
			l.mutex.Unlock()
		case <-exchange.C:
			l.exchangeAll()
		case <-l.borrowed:
			tidy.Reset(tidyEvery)
		case <-tidy.C:
			if l.tidy() {
				tidy.Reset(tidyEvery)
			}
		case <-ctx.Done():
			l.mutex.Lock()
			l.run = nil
			tasks := l.tasks
			l.tasks = 0
			l.mutex.Unlock()
			for range tasks {
				<-l.ended
			}
			return ctx.Err()
		}
	}
}

// Admit reserves tokens of the organisation, waiting up to AdmissionWait for refill and loans.
// The error is a *Refusal, or that of ctx.
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

// admit takes tokens, waiting until ctx ends.
func (l *Lender) admit(ctx context.Context, organisation string, tokens float64) (string, *Refusal) {
	l.mutex.Lock()
	a := l.accounts[organisation]
	if a == nil {
		l.mutex.Unlock()
		return "", &Refusal{Kind: UnknownOrganisation, Organisation: organisation}
	}
	now := l.now()
	l.next++
	id := strconv.FormatUint(l.next, 10)
	a.Account = a.WithDemand(tokens, now)
	var d limiter.Decision
	// Loads are permitted strictly in order: they are few, and a request that came later would otherwise take the
	// next token each time. For organisations, a large request that waits does not hold up small ones.
	if organisation != loads || len(a.waiters) == 0 {
		d = l.try(a, organisation, id, tokens, now)
	}
	if d.Admitted {
		l.borrow(a, organisation, now)
		l.mutex.Unlock()
		return id, nil
	}
	if d.OverBurst {
		l.mutex.Unlock()
		return "", &Refusal{Kind: OverBurst, Organisation: organisation}
	}
	w := &waiter{id: id, tokens: tokens, admitted: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	l.borrow(a, organisation, now)
	l.mutex.Unlock()

	select {
	case <-w.admitted:
		return id, nil
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Without Run no goroutine looks after the waiters, and refill may have covered the request since.
	l.serve(a, organisation, l.now())
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

// minRetry is the shortest RetryAfter: callers cannot express less than a second.
const minRetry = time.Second

func retryAfter(a *account, tokens float64, now time.Duration) time.Duration {
	c := a.Bucket().Config()
	missing := tokens - a.Bucket().Advance(now).Level()
	if missing <= 0 || c.Rate <= 0 {
		return minRetry
	}
	return max(minRetry, time.Duration(math.Ceil(missing/c.Rate))*time.Second)
}

// try admits one request if its tokens, and for a load a slot, are there. The mutex is held.
func (l *Lender) try(a *account, organisation, id string, tokens float64, now time.Duration) limiter.Decision {
	if organisation == loads && !l.slotFree(now) {
		return limiter.Decision{Wait: limiter.Never}
	}
	var d limiter.Decision
	a.Account, d = a.Admit(id, tokens, now)
	if d.Admitted && organisation == loads {
		l.inUse[id] = now + permitLife
	}
	return d
}

// serve admits the waiting requests that fit, first come first served; one that does not fit holds up no other.
// The mutex is held.
func (l *Lender) serve(a *account, organisation string, now time.Duration) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		d := l.try(a, organisation, w.id, w.tokens, now)
		if d.Admitted {
			close(w.admitted)
		}
		return d.Admitted
	})
}

// Reservation is an admitted request's hold on its organisation's tokens.
type Reservation struct {
	lender       *Lender
	organisation string
	id           string
	tokens       float64
}

// Settle ends the reservation, used tokens of which were needed. Only the first call counts.
func (r *Reservation) Settle(used float64) {
	l := r.lender
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[r.organisation]
	if a == nil || r.id == "" {
		return
	}
	now := l.now()
	var reports []limiter.Report
	a.Account, reports = a.Settle(r.id, r.tokens, used, now)
	r.id = ""
	l.send(r.organisation, reports)
	l.serve(a, r.organisation, now)
	wake(a)
}

func wake(a *account) {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// share is the share in force. The mutex is held.
func (l *Lender) share() (num, den int) {
	if l.left {
		return 0, 1
	}
	return l.epoch.Share()
}

// tidy closes grants that are spent, ended or not needed, and says whether others are open.
func (l *Lender) tidy() (open bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for organisation, a := range l.accounts {
		l.report(a, organisation, false)
		open = open || len(a.Purse().Grants()) > 0
	}
	return open
}

// pause waits for d and says whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
