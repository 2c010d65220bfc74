package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy says how an entry borrows and lends. It has no part in exactness.
type Policy struct {
	// GrantLife is how long a borrower may spend a grant.
	GrantLife time.Duration
	// Memory is the time over which an entry averages the demand that it sees.
	Memory time.Duration
	// Balance is the part of its own share by which an entry's level may fall short of the average of all levels
	// before it borrows without a request that waits. An entry whose bucket is full refills no more, while one
	// bucket for the fleet would: balanced levels waste no refill, and most requests wait for no message.
	Balance float64
	// Keep is the time of its own demand that a lender does not lend.
	Keep time.Duration
	// Probe is the least time between two requests to one peer that is not believed to have what is needed.
	Probe time.Duration
	// Fanout is the largest number of peers asked at once.
	Fanout int
	// DiscardRefunds gives up what the admissions spent from loans turn out not to need.
	DiscardRefunds bool
	// NoDeposits leaves loans in the purse, where they expire, in place of moving them to the level.
	NoDeposits bool
}

// DefaultPolicy returns the policy measured in docs/measurements.md.
func DefaultPolicy() Policy {
	return Policy{
		GrantLife: time.Second,
		Memory:    time.Second,
		Balance:   0.1,
		Keep:      100 * time.Millisecond,
		Probe:     50 * time.Millisecond,
		Fanout:    8,
	}
}

// Ask is a request for a loan.
type Ask struct {
	Lender string
	Tokens float64
}

// Report tells a lender how much of a grant has been spent.
type Report struct {
	Lender string
	Grant  string
	Spent  float64
}

// peerLevel is what is known about a peer's bucket.
type peerLevel struct {
	name  string
	level float64
	at    time.Duration
	asked time.Duration
}

// loan is a grant with admissions that have spent from it and are not settled.
type loan struct {
	lender string
	unused float64
	open   int
	// spent is what the lender has been told, once reported.
	spent    float64
	reported bool
}

// Account is one entry's whole side of one organisation's limit: its bucket, its purse, what it knows of its
// peers' levels, and the policy by which it borrows and lends. It is an immutable value. Peers are named by
// strings of the caller's choice, the same in Ask, Report and WithPeer.
type Account struct {
	policy Policy
	bucket Bucket
	purse  Purse
	// demand is the average of offered tokens a second, as of demandAt.
	demand   float64
	demandAt time.Duration
	peers    []peerLevel
	parts    tree[string, []Part]
	loans    tree[string, loan]
}

// NewAccount returns an account without a share.
func NewAccount(c Config, p Policy) Account { return Account{policy: p, bucket: New(c)} }

// Bucket returns the account's bucket.
func (a Account) Bucket() Bucket { return a.bucket }

// Purse returns the account's purse.
func (a Account) Purse() Purse { return a.purse }

// WithConfig changes the fleet-wide limit.
func (a Account) WithConfig(c Config, now time.Duration) Account {
	a.bucket = a.bucket.WithConfig(c, now)
	return a
}

// WithShare changes the share.
func (a Account) WithShare(num, den int, now time.Duration) Account {
	a.bucket = a.bucket.WithShare(num, den, now)
	return a
}

// WithPeer records a peer's level.
func (a Account) WithPeer(name string, level float64, now time.Duration) Account {
	a.peers = slices.Clone(a.peers)
	for i := range a.peers {
		if a.peers[i].name == name {
			a.peers[i].level, a.peers[i].at = level, now
			return a
		}
	}
	a.peers = append(a.peers, peerLevel{name: name, level: level, at: now, asked: math.MinInt64 / 2})
	return a
}

// WithoutPeer forgets a peer.
func (a Account) WithoutPeer(name string) Account {
	a.peers = slices.DeleteFunc(slices.Clone(a.peers), func(p peerLevel) bool { return p.name == name })
	return a
}

// WithDemand counts a request once, whether it will be admitted or not.
func (a Account) WithDemand(tokens float64, now time.Duration) Account {
	a.demand = a.Demand(now)
	a.demandAt = max(now, a.demandAt)
	a.demand += min(tokens, a.bucket.config.Burst) / a.policy.Memory.Seconds()
	return a
}

// Demand returns the average of offered tokens a second.
func (a Account) Demand(now time.Duration) float64 {
	if now <= a.demandAt {
		return a.demand
	}
	return a.demand * math.Exp(-float64(now-a.demandAt)/float64(a.policy.Memory))
}

// Admit takes tokens from the level and, for what it lacks, from grants.
func (a Account) Admit(id string, tokens float64, now time.Duration) (Account, Decision) {
	a.bucket = a.bucket.Advance(now)
	// A refund of the level's part needs no message, so the level goes first.
	level := min(tokens, a.bucket.Level())
	purse, parts, ok := a.purse.Spend(tokens-level, now)
	if !ok || tokens > a.bucket.config.Burst {
		bucket, d := a.bucket.Reserve(id, tokens, now)
		a.bucket = bucket
		d.Missing -= a.purse.Available(now)
		return a, d
	}
	bucket, d := a.bucket.Reserve(id, level, now)
	if !d.Admitted {
		return a, d
	}
	a.bucket, a.purse = bucket, purse
	if len(parts) > 0 {
		a.parts = a.parts.set(id, parts, 0)
	}
	for _, part := range parts {
		l, _ := a.loans.get(part.Grant)
		l.open++
		l.lender = a.purse.lender(part.Grant)
		a.loans = a.loans.set(part.Grant, l, 0)
	}
	return a, d
}

// Settle closes an admission, used tokens of which were needed. What the level gave is refunded first.
func (a Account) Settle(id string, tokens, used float64, now time.Duration) (Account, []Report) {
	parts, _ := a.parts.get(id)
	a.parts = a.parts.remove(id)
	var borrowed float64
	for _, part := range parts {
		borrowed += part.Tokens
	}
	unused := max(0, min(tokens-borrowed, tokens-used))
	a.bucket = a.bucket.Settle(id, tokens-borrowed-unused, now)
	unused = max(0, tokens-used-unused)
	var reports []Report
	for _, part := range parts {
		l, ok := a.loans.get(part.Grant)
		if !ok {
			continue
		}
		back := min(unused, part.Tokens)
		unused -= back
		l.unused += back
		l.open--
		a.loans = a.loans.set(part.Grant, l, 0)
		if l.open == 0 && l.reported {
			a.loans = a.loans.remove(part.Grant)
			if l.unused > 0 && !a.policy.DiscardRefunds {
				reports = append(reports, Report{l.lender, part.Grant, l.spent - l.unused})
			}
		}
	}
	return a, reports
}

// estimate is what a peer's level may have grown to. Entries have equal shares.
func (a Account) estimate(p peerLevel, now time.Duration) float64 {
	return max(p.level, min(a.bucket.cap, p.level+a.bucket.rate*(now-p.at).Seconds()))
}

// FleetLevel estimates the tokens that all entries hold together, from what the peers last said.
func (a Account) FleetLevel(now time.Duration) float64 {
	level := a.bucket.Advance(now).Level()
	for _, p := range a.peers {
		level += a.estimate(p, now)
	}
	return level
}

// Plan returns the loans to ask for now, given the tokens of the requests that wait, in their order. It aims at a
// level that is the average of all after these requests. A peer whose answer is outstanding is not asked.
func (a Account) Plan(needs []float64, now time.Duration) []Ask {
	a.bucket = a.bucket.Advance(now)
	have := a.bucket.Level() + a.purse.Available(now)
	peers := a.askable(now)
	var most float64
	for _, p := range peers {
		most += a.estimate(p, now)
	}
	needed, sure := covered(needs, have+most)
	average := max(0, have+most-needed) / float64(len(peers)+1)
	var asks []Ask
	for _, p := range peers {
		var share float64
		recent := now-p.asked < a.policy.Probe
		switch {
		case len(needs) > 0 && !sure:
			// No peer is believed to have enough: each is asked now and then, as refunds may have raised its level.
			if now-max(p.asked, p.at) >= a.policy.Probe {
				share = needed - have
			}
		case needed > have:
			share = max((needed-have)/float64(len(peers)), a.estimate(p, now)-average)
		case !recent && average-(have-needed) > a.policy.Balance*a.bucket.cap:
			share = a.estimate(p, now) - average
		}
		if share > 0 {
			asks = append(asks, Ask{p.name, share})
		}
	}
	return asks
}

// covered returns the sum of the requests that total covers, in their order, and whether that is any of them; if
// not, the smallest.
func covered(needs []float64, total float64) (needed float64, sure bool) {
	smallest := math.Inf(1)
	for _, n := range needs {
		smallest = min(smallest, n)
		if needed+n <= total {
			needed += n
			sure = true
		}
	}
	if len(needs) > 0 && !sure {
		needed = smallest
	}
	return needed, sure
}

func (a Account) askable(now time.Duration) []peerLevel {
	var peers []peerLevel
	for _, p := range a.peers {
		if !slices.ContainsFunc(a.purse.grants, func(g Borrowed) bool { return g.Lender == p.name && !g.Received }) {
			peers = append(peers, p)
		}
	}
	slices.SortStableFunc(peers, func(x, y peerLevel) int { return -cmp.Compare(a.estimate(x, now), a.estimate(y, now)) })
	return peers[:min(len(peers), a.policy.Fanout)]
}

// WithAsked opens a grant that is about to be asked for. now is read before the message is sent.
func (a Account) WithAsked(id, lender string, now time.Duration) Account {
	a.purse = a.purse.WithAsked(id, lender, now, a.policy.GrantLife)
	a.peers = slices.Clone(a.peers)
	for i := range a.peers {
		if a.peers[i].name == lender {
			a.peers[i].asked = now
		}
	}
	return a
}

// WithAnswer records what a lender granted and has left. The tokens move to the level as far as it has room: there
// they do not expire, and what admissions from them do not need is refunded without a message. A grant that has
// moved in full is reported at once.
func (a Account) WithAnswer(id string, tokens, level float64, now time.Duration) (Account, []Report) {
	lender := a.purse.lender(id)
	purse, granted := a.purse.WithGranted(id, tokens, now)
	a.purse = purse
	if lender != "" {
		a = a.WithPeer(lender, level, now)
	}
	if !granted || a.policy.NoDeposits {
		return a, nil
	}
	bucket, moved := a.bucket.Deposit(tokens, now)
	if a.purse, moved = a.purse.Take(id, moved, now); moved < tokens {
		a.bucket = bucket
		return a, nil
	}
	a.bucket = bucket
	return a.report(id)
}

// WithFailed closes a grant whose answer was lost, and reports that nothing of it is spent.
func (a Account) WithFailed(id string, now time.Duration) (Account, []Report) {
	lender := a.purse.lender(id)
	if lender == "" {
		return a, nil
	}
	return a.WithPeer(lender, 0, now).report(id)
}

// Lend grants up to tokens of what the entry does not need itself, for life on the borrower's clock, and returns the
// grant and what is left for others.
func (a Account) Lend(id string, tokens float64, now, life time.Duration) (lent Account, granted, left float64) {
	a.bucket = a.bucket.Advance(now)
	keep := a.keep(now)
	if life > 0 && life <= a.policy.GrantLife {
		a.bucket, granted = a.bucket.Lend(id, max(0, min(tokens, a.bucket.Level()-keep)), now, now+Stretch(life))
	}
	return a, granted, max(0, a.bucket.Level()-keep)
}

// keep is what a lender holds back for its own demand. The remains of demand long past count as none, so that the
// whole burst can be lent.
func (a Account) keep(now time.Duration) float64 {
	demand := min(a.Demand(now), a.bucket.config.Rate)
	if demand < idlePart*a.bucket.rate {
		return 0
	}
	return demand * a.policy.Keep.Seconds()
}

// idlePart is the part of an entry's own rate below which its demand counts as none.
const idlePart = 0.01

// Yields says whether an entry whose own requests wait lends to borrower. Two entries that both lack tokens would
// otherwise lend each other theirs and admit nothing; so only the one that sorts first borrows.
func Yields(waiting bool, borrower, lender string) bool { return !waiting || borrower < lender }

// Repaid records a borrower's report.
func (a Account) Repaid(id string, spent float64, now time.Duration) Account {
	a.bucket = a.bucket.Repay(id, spent, now)
	return a
}

// Tidy closes the grants that are spent or have ended, and all when no request waits. The reports go to the lenders.
func (a Account) Tidy(waiting bool, now time.Duration) (Account, []Report) {
	var reports []Report
	for _, g := range a.purse.Grants() {
		var closed []Report
		switch {
		case g.End <= now:
			a, closed = a.report(g.ID)
			if g.Tokens == 0 {
				closed = nil
			}
		case !g.Received:
		case g.Tokens == 0:
			a.purse, _, _ = a.purse.Close(g.ID)
		case g.Left() <= 0 || !waiting:
			a, closed = a.report(g.ID)
		}
		reports = append(reports, closed...)
	}
	return a, reports
}

// CloseAll closes every grant, for a planned stop.
func (a Account) CloseAll() (Account, []Report) {
	var reports []Report
	for _, g := range a.purse.Grants() {
		var closed []Report
		a, closed = a.report(g.ID)
		reports = append(reports, closed...)
	}
	return a, reports
}

// report closes a grant. When admissions that spent from it are open, a second report follows the last of them.
func (a Account) report(id string) (Account, []Report) {
	purse, g, ok := a.purse.Close(id)
	if !ok {
		return a, nil
	}
	a.purse = purse
	spent := g.Spent
	if l, ok := a.loans.get(id); ok {
		l.reported, l.spent = true, g.Spent
		if l.open > 0 {
			a.loans = a.loans.set(id, l, 0)
		} else {
			a.loans = a.loans.remove(id)
			if !a.policy.DiscardRefunds {
				spent -= l.unused
			}
		}
	}
	return a, []Report{{g.Lender, id, spent}}
}
