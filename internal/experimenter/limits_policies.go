package experimenter

import (
	"slices"
	"strconv"
	"time"

	"geraniumladder/pkg/limiter"
)

// lendingPolicy is the policy of internal/lender: shares set by epoch plus borrowed grants, on the same
// limiter.Account.
type lendingPolicy struct {
	run        *limitsRun
	policy     limiter.Policy
	states     [limitsEntryCount][]*lendingState
	lastLoanID int
}

// lendingState is the state of one organisation at one entry.
type lendingState struct {
	limiter.Account
	waiters []*limitRequest
	// borrowScheduled is set while the next borrowing round is scheduled, checkScheduled while a grant check is.
	borrowScheduled, checkScheduled bool
}

func newLendingPolicy(run *limitsRun, policy limiter.Policy) *lendingPolicy {
	p := &lendingPolicy{run: run, policy: policy}
	for entry := range limitsEntryCount {
		p.states[entry] = p.newStates(1, limitsEntryCount)
		run.after(exchangeInterval*time.Duration(entry)/limitsEntryCount, func() { p.exchange(entry) })
	}
	return p
}

func (p *lendingPolicy) newStates(num, den int) []*lendingState {
	var states []*lendingState
	for _, c := range p.run.size.limits {
		states = append(states, &lendingState{Account: limiter.NewAccount(c, p.policy).WithShare(num, den, 0)})
	}
	return states
}

func (p *lendingPolicy) entryName(entry int) string { return strconv.Itoa(entry) }

func (p *lendingPolicy) exchange(entry int) {
	p.run.after(exchangeInterval, func() { p.exchange(entry) })
	if p.run.down[entry] {
		return
	}
	for organisation, s := range p.states[entry] {
		level := s.Bucket().Advance(p.run.clock(entry)).Level()
		for peer := range limitsEntryCount {
			if peer == entry {
				continue
			}
			p.run.after(p.run.size.latency, func() {
				if !p.run.down[peer] {
					other := p.states[peer][organisation]
					other.Account = other.WithPeer(p.entryName(entry), level, p.run.clock(peer))
				}
			})
		}
	}
}

func (p *lendingPolicy) arrive(q *limitRequest) {
	s, now := p.states[q.entry][q.organisation], p.run.clock(q.entry)
	s.Account = s.WithDemand(q.reserved, now)
	if p.tryAdmit(s, q, now) {
		p.borrow(q.entry, q.organisation)
		return
	}
	s.waiters = append(s.waiters, q)
	p.borrow(q.entry, q.organisation)
}

func (p *lendingPolicy) tryAdmit(s *lendingState, q *limitRequest, now time.Duration) bool {
	var d limiter.Decision
	s.Account, d = s.Admit(q.id, q.reserved, now)
	if d.Admitted {
		p.run.recordAdmitted(q)
	}
	return d.Admitted
}

func (p *lendingPolicy) admitWaiters(entry, organisation int) {
	s, now := p.states[entry][organisation], p.run.clock(entry)
	s.waiters = slices.DeleteFunc(s.waiters, func(q *limitRequest) bool { return p.tryAdmit(s, q, now) })
}

// borrow runs a borrowing round and, while requests wait, schedules the next one.
func (p *lendingPolicy) borrow(entry, organisation int) {
	s, now := p.states[entry][organisation], p.run.clock(entry)
	needs := make([]float64, len(s.waiters))
	for i, q := range s.waiters {
		needs[i] = q.reserved
	}
	for _, request := range s.PlanLoans(needs, now) {
		p.request(entry, organisation, request, now)
	}
	if len(s.waiters) > 0 && !s.borrowScheduled {
		s.borrowScheduled = true
		p.run.after(borrowInterval, func() {
			s.borrowScheduled = false
			if p.states[entry][organisation] == s && !p.run.down[entry] {
				p.admitWaiters(entry, organisation)
				p.borrow(entry, organisation)
			}
		})
	}
}

func (p *lendingPolicy) request(entry, organisation int, request limiter.LoanRequest, now time.Duration) {
	s := p.states[entry][organisation]
	p.lastLoanID++
	id := strconv.Itoa(p.lastLoanID)
	s.Account = s.WithLoanRequested(id, request.Lender, now)
	p.scheduleGrantCheck(entry, organisation)
	lender, _ := strconv.Atoi(request.Lender)
	p.run.message(lender, func() {
		other := p.states[lender][organisation]
		var granted, left float64
		if limiter.MayLend(len(other.waiters) > 0, p.entryName(entry), p.entryName(lender)) {
			other.Account, granted, left = other.Lend(id, request.Tokens, p.run.clock(lender), p.policy.GrantTTL)
		}
		p.run.message(entry, func() {
			if p.states[entry][organisation] != s {
				return
			}
			var reports []limiter.GrantReport
			s.Account, reports = s.WithLoanReply(id, granted, left, p.run.clock(entry))
			p.sendReports(organisation, reports)
			p.admitWaiters(entry, organisation)
			p.borrow(entry, organisation)
		})
	})
}

func (p *lendingPolicy) scheduleGrantCheck(entry, organisation int) {
	s := p.states[entry][organisation]
	if s.checkScheduled {
		return
	}
	s.checkScheduled = true
	p.run.after(grantCheckInterval, func() {
		s.checkScheduled = false
		if p.states[entry][organisation] != s || p.run.down[entry] {
			return
		}
		var reports []limiter.GrantReport
		s.Account, reports = s.CloseUnusedGrants(len(s.waiters) > 0, p.run.clock(entry))
		p.sendReports(organisation, reports)
		if len(s.BorrowedGrants().All()) > 0 {
			p.scheduleGrantCheck(entry, organisation)
		}
	})
}

func (p *lendingPolicy) sendReports(organisation int, reports []limiter.GrantReport) {
	for _, report := range reports {
		lender, _ := strconv.Atoi(report.Lender)
		p.run.message(lender, func() {
			other := p.states[lender][organisation]
			other.Account = other.WithRepayment(report.Grant, report.Spent, p.run.clock(lender))
			p.admitWaiters(lender, organisation)
		})
	}
}

func (p *lendingPolicy) settle(q *limitRequest) {
	s := p.states[q.entry][q.organisation]
	var reports []limiter.GrantReport
	s.Account, reports = s.Settle(q.id, q.reserved, q.used, p.run.clock(q.entry))
	p.sendReports(q.organisation, reports)
	p.admitWaiters(q.entry, q.organisation)
}

func (p *lendingPolicy) expire(q *limitRequest) {
	s := p.states[q.entry][q.organisation]
	s.waiters = slices.DeleteFunc(s.waiters, func(other *limitRequest) bool { return other == q })
	p.run.recordRefused(q)
}

func (p *lendingPolicy) entryLost(lost int) {
	for _, s := range p.states[lost] {
		for _, q := range s.waiters {
			p.run.recordRefused(q)
		}
	}
	// A replacement has no share until the store is available again.
	p.states[lost] = p.newStates(0, 1)
	p.run.after(3*exchangeInterval, func() {
		if p.run.down[lost] {
			p.forEachOther(lost, func(s *lendingState, _ time.Duration) { s.Account = s.WithoutPeer(p.entryName(lost)) })
		}
	})
	if p.run.scenario.storeOutage == 0 {
		p.run.after(epochDelay+limiter.PadForClockDrift(p.policy.GrantTTL), func() {
			p.forEachOther(lost, func(s *lendingState, now time.Duration) { s.Account = s.WithShare(1, limitsEntryCount-1, now) })
		})
	}
}

// forEachOther calls apply for each organisation at every entry except the lost one.
func (p *lendingPolicy) forEachOther(lost int, apply func(s *lendingState, now time.Duration)) {
	for entry := range limitsEntryCount {
		if entry == lost {
			continue
		}
		for _, s := range p.states[entry] {
			apply(s, p.run.clock(entry))
		}
	}
}

func (p *lendingPolicy) storeRecovered() {
	if lostEntry := p.run.scenario.lostEntry; lostEntry >= 0 {
		for _, s := range p.states[lostEntry] {
			s.Account = s.WithShare(1, limitsEntryCount, p.run.clock(lostEntry))
		}
	}
}

// fixedShares is the baseline in which each entry has a fixed equal share and there are no loans.
type fixedShares struct {
	run     *limitsRun
	buckets [limitsEntryCount][]limiter.Bucket
}

func newFixedShares(run *limitsRun) *fixedShares {
	p := &fixedShares{run: run}
	for entry := range limitsEntryCount {
		for _, c := range run.size.limits {
			p.buckets[entry] = append(p.buckets[entry], limiter.New(c).WithShare(1, limitsEntryCount, 0))
		}
	}
	return p
}

func (p *fixedShares) arrive(q *limitRequest) {
	if q.decided || p.run.down[q.entry] {
		return
	}
	b := &p.buckets[q.entry][q.organisation]
	var d limiter.Decision
	if *b, d = b.Reserve(q.id, q.reserved, p.run.clock(q.entry)); d.Admitted {
		p.run.recordAdmitted(q)
		return
	}
	p.run.after(borrowInterval, func() { p.arrive(q) })
}

func (p *fixedShares) settle(q *limitRequest) {
	b := &p.buckets[q.entry][q.organisation]
	*b = b.Settle(q.id, q.used, p.run.clock(q.entry))
}

func (p *fixedShares) expire(q *limitRequest) { p.run.recordRefused(q) }

func (p *fixedShares) entryLost(int) {}

func (p *fixedShares) storeRecovered() {}

// singleOwner is the baseline in which one entry owns an organisation's whole bucket under a lease in the store, and
// the other entries send it each request for a decision. A new owner starts with an empty bucket after the old lease
// ends.
type singleOwner struct {
	run     *limitsRun
	buckets []limiter.Bucket
	// holder is the owner by organisation. It is -1 after the owner was lost or its lease expired, until another entry
	// takes the lease over.
	holder []int
}

func newSingleOwner(run *limitsRun) *singleOwner {
	p := &singleOwner{run: run}
	for organisation, c := range run.size.limits {
		p.buckets = append(p.buckets, limiter.New(c).WithShare(1, 1, 0))
		p.holder = append(p.holder, organisation%limitsEntryCount)
	}
	if run.scenario.storeOutage > 0 {
		// Leases can't be renewed while the store is unavailable.
		run.after(lossTime+ownerLeaseTTL, func() {
			for organisation := range p.holder {
				p.holder[organisation] = -1
			}
		})
	}
	return p
}

func (p *singleOwner) arrive(q *limitRequest) {
	holder := p.holder[q.organisation]
	switch {
	case holder == q.entry:
		p.decide(q, holder)
	case holder >= 0:
		p.run.message(holder, func() { p.decide(q, holder) })
	}
}

// decide tries to admit the request at the owner and replies to the entry that sent it. It retries every borrowInterval
// while the request waits.
func (p *singleOwner) decide(q *limitRequest, holder int) {
	if q.decided || p.holder[q.organisation] != holder || p.run.down[holder] {
		return
	}
	b := &p.buckets[q.organisation]
	var d limiter.Decision
	*b, d = b.Reserve(q.id, q.reserved, p.run.clock(holder))
	switch {
	case !d.Admitted:
		p.run.after(borrowInterval, func() { p.decide(q, holder) })
	case holder == q.entry:
		p.run.recordAdmitted(q)
	default:
		p.run.message(q.entry, func() {
			if q.decided {
				// The request was refused before the reply arrived: refund its reservation.
				q.used = 0
				p.settle(q)
				return
			}
			p.run.recordAdmitted(q)
		})
	}
}

func (p *singleOwner) settle(q *limitRequest) {
	holder := p.holder[q.organisation]
	if holder < 0 {
		return
	}
	settleBucket := func() {
		if p.holder[q.organisation] == holder {
			p.buckets[q.organisation] = p.buckets[q.organisation].Settle(q.id, q.used, p.run.clock(holder))
		}
	}
	if holder == q.entry {
		settleBucket()
		return
	}
	p.run.message(holder, settleBucket)
}

func (p *singleOwner) expire(q *limitRequest) { p.run.recordRefused(q) }

func (p *singleOwner) entryLost(lost int) {
	for organisation, holder := range p.holder {
		if holder != lost {
			continue
		}
		p.holder[organisation] = -1
		// Leases are renewed at half their time, so three quarters of it remain on average.
		if p.run.scenario.storeOutage == 0 {
			p.run.after(ownerLeaseTTL*3/4, func() { p.takeOver(organisation, (lost+1)%limitsEntryCount) })
		}
	}
}

func (p *singleOwner) takeOver(organisation, entry int) {
	c := p.run.size.limits[organisation]
	p.buckets[organisation] = limiter.New(c).Advance(p.run.clock(entry)).WithShare(1, 1, p.run.clock(entry))
	p.holder[organisation] = entry
}

func (p *singleOwner) storeRecovered() {
	for organisation := range p.holder {
		p.takeOver(organisation, organisation%limitsEntryCount)
	}
}
