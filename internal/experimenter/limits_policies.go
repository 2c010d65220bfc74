package experimenter

import (
	"slices"
	"strconv"
	"time"

	"geraniumladder/pkg/limiter"
)

// loans is the policy of internal/lender: shares by epoch and borrowed grants, over the same limiter.Account.
type loans struct {
	run    *limitsRun
	policy limiter.Policy
	states [limitEntries][]*loanState
	next   int
}

// loanState is one entry's side of one organisation.
type loanState struct {
	limiter.Account
	waiters []*limitRequest
	// running says that a round of loans is scheduled; tidying that a look at the grants is.
	running, tidying bool
}

func newLoans(run *limitsRun, policy limiter.Policy) *loans {
	p := &loans{run: run, policy: policy}
	for entry := range limitEntries {
		p.states[entry] = p.fresh(1, limitEntries)
		run.after(exchangeEvery*time.Duration(entry)/limitEntries, func() { p.exchange(entry) })
	}
	return p
}

func (p *loans) fresh(num, den int) []*loanState {
	var states []*loanState
	for _, c := range p.run.size.limits {
		states = append(states, &loanState{Account: limiter.NewAccount(c, p.policy).WithShare(num, den, 0)})
	}
	return states
}

func (p *loans) name(entry int) string { return strconv.Itoa(entry) }

func (p *loans) exchange(entry int) {
	p.run.after(exchangeEvery, func() { p.exchange(entry) })
	if p.run.down[entry] {
		return
	}
	for organisation, s := range p.states[entry] {
		level := s.Bucket().Advance(p.run.clock(entry)).Level()
		for peer := range limitEntries {
			if peer == entry {
				continue
			}
			p.run.after(p.run.size.latency, func() {
				if !p.run.down[peer] {
					other := p.states[peer][organisation]
					other.Account = other.WithPeer(p.name(entry), level, p.run.clock(peer))
				}
			})
		}
	}
}

func (p *loans) arrive(q *limitRequest) {
	s, now := p.states[q.entry][q.organisation], p.run.clock(q.entry)
	s.Account = s.WithDemand(q.reserved, now)
	if p.try(s, q, now) {
		p.borrow(q.entry, q.organisation)
		return
	}
	s.waiters = append(s.waiters, q)
	p.borrow(q.entry, q.organisation)
}

func (p *loans) try(s *loanState, q *limitRequest, now time.Duration) bool {
	var d limiter.Decision
	s.Account, d = s.Admit(q.id, q.reserved, now)
	if d.Admitted {
		p.run.admitted(q)
	}
	return d.Admitted
}

func (p *loans) serve(entry, organisation int) {
	s, now := p.states[entry][organisation], p.run.clock(entry)
	s.waiters = slices.DeleteFunc(s.waiters, func(q *limitRequest) bool { return p.try(s, q, now) })
}

// borrow does a round of loans, and schedules the next while requests wait.
func (p *loans) borrow(entry, organisation int) {
	s, now := p.states[entry][organisation], p.run.clock(entry)
	needs := make([]float64, len(s.waiters))
	for i, q := range s.waiters {
		needs[i] = q.reserved
	}
	for _, ask := range s.Plan(needs, now) {
		p.ask(entry, organisation, ask, now)
	}
	if len(s.waiters) > 0 && !s.running {
		s.running = true
		p.run.after(roundPause, func() {
			s.running = false
			if p.states[entry][organisation] == s && !p.run.down[entry] {
				p.serve(entry, organisation)
				p.borrow(entry, organisation)
			}
		})
	}
}

func (p *loans) ask(entry, organisation int, ask limiter.Ask, now time.Duration) {
	s := p.states[entry][organisation]
	p.next++
	id := strconv.Itoa(p.next)
	s.Account = s.WithAsked(id, ask.Lender, now)
	p.tidyLater(entry, organisation)
	lender, _ := strconv.Atoi(ask.Lender)
	p.run.message(lender, func() {
		other := p.states[lender][organisation]
		var granted, left float64
		if limiter.Yields(len(other.waiters) > 0, p.name(entry), p.name(lender)) {
			other.Account, granted, left = other.Lend(id, ask.Tokens, p.run.clock(lender), p.policy.GrantLife)
		}
		p.run.message(entry, func() {
			if p.states[entry][organisation] != s {
				return
			}
			var reports []limiter.Report
			s.Account, reports = s.WithAnswer(id, granted, left, p.run.clock(entry))
			p.send(organisation, reports)
			p.serve(entry, organisation)
			p.borrow(entry, organisation)
		})
	})
}

func (p *loans) tidyLater(entry, organisation int) {
	s := p.states[entry][organisation]
	if s.tidying {
		return
	}
	s.tidying = true
	p.run.after(tidyEvery, func() {
		s.tidying = false
		if p.states[entry][organisation] != s || p.run.down[entry] {
			return
		}
		var reports []limiter.Report
		s.Account, reports = s.Tidy(len(s.waiters) > 0, p.run.clock(entry))
		p.send(organisation, reports)
		if len(s.Purse().Grants()) > 0 {
			p.tidyLater(entry, organisation)
		}
	})
}

func (p *loans) send(organisation int, reports []limiter.Report) {
	for _, report := range reports {
		lender, _ := strconv.Atoi(report.Lender)
		p.run.message(lender, func() {
			other := p.states[lender][organisation]
			other.Account = other.Repaid(report.Grant, report.Spent, p.run.clock(lender))
			p.serve(lender, organisation)
		})
	}
}

func (p *loans) settle(q *limitRequest) {
	s := p.states[q.entry][q.organisation]
	var reports []limiter.Report
	s.Account, reports = s.Settle(q.id, q.reserved, q.used, p.run.clock(q.entry))
	p.send(q.organisation, reports)
	p.serve(q.entry, q.organisation)
}

func (p *loans) expire(q *limitRequest) {
	s := p.states[q.entry][q.organisation]
	s.waiters = slices.DeleteFunc(s.waiters, func(other *limitRequest) bool { return other == q })
	p.run.refused(q)
}

func (p *loans) lose(lost int) {
	for _, s := range p.states[lost] {
		for _, q := range s.waiters {
			p.run.refused(q)
		}
	}
	// A replacement has no share until the store is back.
	p.states[lost] = p.fresh(0, 1)
	p.run.after(3*exchangeEvery, func() {
		if p.run.down[lost] {
			p.others(lost, func(s *loanState, _ time.Duration) { s.Account = s.WithoutPeer(p.name(lost)) })
		}
	})
	if p.run.scenario.storeAway == 0 {
		p.run.after(provenAfter+limiter.Stretch(p.policy.GrantLife), func() {
			p.others(lost, func(s *loanState, now time.Duration) { s.Account = s.WithShare(1, limitEntries-1, now) })
		})
	}
}

// others calls do for each organisation at each entry but one.
func (p *loans) others(lost int, do func(s *loanState, now time.Duration)) {
	for entry := range limitEntries {
		if entry == lost {
			continue
		}
		for _, s := range p.states[entry] {
			do(s, p.run.clock(entry))
		}
	}
}

func (p *loans) storeBack() {
	if lost := p.run.scenario.lost; lost >= 0 {
		for _, s := range p.states[lost] {
			s.Account = s.WithShare(1, limitEntries, p.run.clock(lost))
		}
	}
}

// fixed is the baseline in which each entry has an equal share for ever and nothing is lent.
type fixed struct {
	run     *limitsRun
	buckets [limitEntries][]limiter.Bucket
}

func newFixed(run *limitsRun) *fixed {
	p := &fixed{run: run}
	for entry := range limitEntries {
		for _, c := range run.size.limits {
			p.buckets[entry] = append(p.buckets[entry], limiter.New(c).WithShare(1, limitEntries, 0))
		}
	}
	return p
}

func (p *fixed) arrive(q *limitRequest) {
	if q.finished || p.run.down[q.entry] {
		return
	}
	b := &p.buckets[q.entry][q.organisation]
	var d limiter.Decision
	if *b, d = b.Reserve(q.id, q.reserved, p.run.clock(q.entry)); d.Admitted {
		p.run.admitted(q)
		return
	}
	p.run.after(roundPause, func() { p.arrive(q) })
}

func (p *fixed) settle(q *limitRequest) {
	b := &p.buckets[q.entry][q.organisation]
	*b = b.Settle(q.id, q.used, p.run.clock(q.entry))
}

func (p *fixed) expire(q *limitRequest) { p.run.refused(q) }

func (p *fixed) lose(int) {}

func (p *fixed) storeBack() {}

// owner is the baseline in which one entry holds each organisation's whole bucket under a lease in the store, and
// the others ask it for each request. A new owner starts with an empty bucket when the old lease has ended.
type owner struct {
	run     *limitsRun
	buckets []limiter.Bucket
	// holder is the owner by organisation, -1 while the lease of a lost or cut-off one has not been taken over.
	holder []int
}

func newOwner(run *limitsRun) *owner {
	p := &owner{run: run}
	for organisation, c := range run.size.limits {
		p.buckets = append(p.buckets, limiter.New(c).WithShare(1, 1, 0))
		p.holder = append(p.holder, organisation%limitEntries)
	}
	if run.scenario.storeAway > 0 {
		// Without the store no lease is renewed.
		run.after(lossAt+ownerLease, func() {
			for organisation := range p.holder {
				p.holder[organisation] = -1
			}
		})
	}
	return p
}

func (p *owner) arrive(q *limitRequest) {
	holder := p.holder[q.organisation]
	switch {
	case holder == q.entry:
		p.decide(q, holder)
	case holder >= 0:
		p.run.message(holder, func() { p.decide(q, holder) })
	}
}

// decide admits at the owner, and answers the entry that asked; it tries again while the request waits.
func (p *owner) decide(q *limitRequest, holder int) {
	if q.finished || p.holder[q.organisation] != holder || p.run.down[holder] {
		return
	}
	b := &p.buckets[q.organisation]
	var d limiter.Decision
	*b, d = b.Reserve(q.id, q.reserved, p.run.clock(holder))
	switch {
	case !d.Admitted:
		p.run.after(roundPause, func() { p.decide(q, holder) })
	case holder == q.entry:
		p.run.admitted(q)
	default:
		p.run.message(q.entry, func() {
			if q.finished {
				// The caller has been refused meanwhile.
				q.used = 0
				p.settle(q)
				return
			}
			p.run.admitted(q)
		})
	}
}

func (p *owner) settle(q *limitRequest) {
	holder := p.holder[q.organisation]
	if holder < 0 {
		return
	}
	apply := func() {
		if p.holder[q.organisation] == holder {
			p.buckets[q.organisation] = p.buckets[q.organisation].Settle(q.id, q.used, p.run.clock(holder))
		}
	}
	if holder == q.entry {
		apply()
		return
	}
	p.run.message(holder, apply)
}

func (p *owner) expire(q *limitRequest) { p.run.refused(q) }

func (p *owner) lose(lost int) {
	for organisation, holder := range p.holder {
		if holder != lost {
			continue
		}
		p.holder[organisation] = -1
		// The lease was renewed at its half; on average three quarters of it are left.
		if p.run.scenario.storeAway == 0 {
			p.run.after(ownerLease*3/4, func() { p.take(organisation, (lost+1)%limitEntries) })
		}
	}
}

func (p *owner) take(organisation, entry int) {
	c := p.run.size.limits[organisation]
	p.buckets[organisation] = limiter.New(c).Advance(p.run.clock(entry)).WithShare(1, 1, p.run.clock(entry))
	p.holder[organisation] = entry
}

func (p *owner) storeBack() {
	for organisation := range p.holder {
		p.take(organisation, organisation%limitEntries)
	}
}
