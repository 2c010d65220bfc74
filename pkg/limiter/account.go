package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy configures when and how much an entry borrows and lends. It does not affect the fleet-wide bound described in
// the package documentation.
type Policy struct {
	// GrantTTL is how long a borrower may spend a grant after requesting it.
	GrantTTL time.Duration
	// DemandTimeConstant is the time constant of the exponentially decaying average of demand.
	DemandTimeConstant time.Duration
	// RebalanceThreshold is the rebalancing threshold, as a fraction of the entry's own cap: an entry borrows without a waiting
	// request once its level is further than this below the average level of the fleet. Balanced levels waste less
	// refill, because a bucket that is full discards its refill even while others are empty. They also let most requests
	// be admitted without a message.
	RebalanceThreshold float64
	// DemandReserve is how much of its own demand a lender keeps back, as a duration of that demand.
	DemandReserve time.Duration
	// ProbeInterval is the minimum interval between requests to a peer that is estimated not to have enough tokens, and
	// between requests made only to rebalance levels.
	ProbeInterval time.Duration
	// Fanout is the maximum number of peers asked at once.
	Fanout int
	// DiscardRefunds disables refunds to the lender of borrowed tokens that admissions turned out not to need.
	DiscardRefunds bool
	// NoDeposits keeps borrowed tokens in their grants, where they expire, instead of moving them into the bucket.
	NoDeposits bool
}

// DefaultPolicy returns the policy used unless another one is configured. docs/measurements.md has the
// measurements behind its values.
func DefaultPolicy() Policy {
	return Policy{
		GrantTTL:           time.Second,
		DemandTimeConstant: time.Second,
		RebalanceThreshold: 0.1,
		DemandReserve:      100 * time.Millisecond,
		ProbeInterval:      50 * time.Millisecond,
		Fanout:             8,
	}
}

// LoanRequest is a loan request to be sent to a lender.
type LoanRequest struct {
	Lender string
	Tokens float64
}

// GrantReport tells a lender how much of a grant has been spent.
type GrantReport struct {
	Lender string
	Grant  string
	Spent  float64
}

// peerLevel is the last known level of a peer's bucket.
type peerLevel struct {
	name        string
	level       float64
	updatedAt   time.Duration
	requestedAt time.Duration // when the last loan request was sent
}

// grantUsage tracks the admissions that spent from a grant and are not yet settled.
type grantUsage struct {
	lender         string
	unused         float64
	openAdmissions int
	// spent is the amount reported to the lender, valid once reported is set.
	spent    float64
	reported bool
}

// Account is one entry's complete state for one organisation's limit: its bucket, its borrowed grants, the last known
// levels of its peers, and its borrowing policy. It is an immutable value. Peer names are strings chosen by the caller
// and must be the same in LoanRequest, GrantReport and WithPeer.
type Account struct {
	policy Policy
	bucket Bucket
	grants BorrowedGrants
	// demand is the average of requested tokens per second, as of demandAt.
	demand      float64
	demandAt    time.Duration
	peers       []peerLevel
	grantSpends tree[string, []GrantSpend] // by admission
	usage       tree[string, grantUsage]   // by grant
}

// NewAccount returns an account without a share.
func NewAccount(c Config, p Policy) Account { return Account{policy: p, bucket: New(c)} }

// Bucket returns the account's bucket.
func (a Account) Bucket() Bucket { return a.bucket }

// BorrowedGrants returns the open grants that the entry has borrowed.
func (a Account) BorrowedGrants() BorrowedGrants { return a.grants }

// WithConfig replaces the fleet-wide limit.
func (a Account) WithConfig(c Config, now time.Duration) Account {
	a.bucket = a.bucket.WithConfig(c, now)
	return a
}

// WithShare sets the entry's share of the limit to num/den.
func (a Account) WithShare(num, den int, now time.Duration) Account {
	a.bucket = a.bucket.WithShare(num, den, now)
	return a
}

// WithPeer records a peer's current level.
func (a Account) WithPeer(name string, level float64, now time.Duration) Account {
	a.peers = slices.Clone(a.peers)
	for i := range a.peers {
		if a.peers[i].name == name {
			a.peers[i].level, a.peers[i].updatedAt = level, now
			return a
		}
	}
	a.peers = append(a.peers, peerLevel{name: name, level: level, updatedAt: now, requestedAt: math.MinInt64 / 2})
	return a
}

// WithoutPeer removes a peer.
func (a Account) WithoutPeer(name string) Account {
	a.peers = slices.DeleteFunc(slices.Clone(a.peers), func(p peerLevel) bool { return p.name == name })
	return a
}

// WithDemand adds a request to the demand average. It is called once per request, whether or not the request is
// admitted.
func (a Account) WithDemand(tokens float64, now time.Duration) Account {
	a.demand = a.Demand(now)
	a.demandAt = max(now, a.demandAt)
	a.demand += min(tokens, a.bucket.config.Burst) / a.policy.DemandTimeConstant.Seconds()
	return a
}

// Demand returns the decayed average of requested tokens per second.
func (a Account) Demand(now time.Duration) float64 {
	if now <= a.demandAt {
		return a.demand
	}
	return a.demand * math.Exp(-float64(now-a.demandAt)/float64(a.policy.DemandTimeConstant))
}

// Admit takes tokens from the bucket and covers any shortfall from borrowed grants.
func (a Account) Admit(id string, tokens float64, now time.Duration) (Account, Decision) {
	a.bucket = a.bucket.Advance(now)
	// Use the bucket first: refunding its part needs no message to a lender.
	level := min(tokens, a.bucket.Level())
	grants, grantSpends, ok := a.grants.Spend(tokens-level, now)
	if !ok || tokens > a.bucket.config.Burst {
		bucket, d := a.bucket.Reserve(id, tokens, now)
		a.bucket = bucket
		d.Missing -= a.grants.Available(now)
		return a, d
	}
	bucket, d := a.bucket.Reserve(id, level, now)
	if !d.Admitted {
		return a, d
	}
	a.bucket, a.grants = bucket, grants
	if len(grantSpends) > 0 {
		a.grantSpends = a.grantSpends.set(id, grantSpends, 0)
	}
	for _, spend := range grantSpends {
		u, _ := a.usage.get(spend.Grant)
		u.openAdmissions++
		u.lender = a.grants.lender(spend.Grant)
		a.usage = a.usage.set(spend.Grant, u, 0)
	}
	return a, d
}

// Settle closes the admission of tokens under id, of which used were needed. The unused tokens are refunded to the
// bucket first and then to the grants. The reports are to be sent to the lenders.
func (a Account) Settle(id string, tokens, used float64, now time.Duration) (Account, []GrantReport) {
	grantSpends, _ := a.grantSpends.get(id)
	a.grantSpends = a.grantSpends.remove(id)
	var borrowed float64
	for _, spend := range grantSpends {
		borrowed += spend.Tokens
	}
	// The part that is refunded to the bucket.
	unused := max(0, min(tokens-borrowed, tokens-used))
	a.bucket = a.bucket.Settle(id, tokens-borrowed-unused, now)
	// The rest, which is refunded to the grants.
	unused = max(0, tokens-used-unused)
	var reports []GrantReport
	for _, spend := range grantSpends {
		u, ok := a.usage.get(spend.Grant)
		if !ok {
			continue
		}
		refund := min(unused, spend.Tokens)
		unused -= refund
		u.unused += refund
		u.openAdmissions--
		a.usage = a.usage.set(spend.Grant, u, 0)
		if u.openAdmissions == 0 && u.reported {
			a.usage = a.usage.remove(spend.Grant)
			if u.unused > 0 && !a.policy.DiscardRefunds {
				reports = append(reports, GrantReport{u.lender, spend.Grant, u.spent - u.unused})
			}
		}
	}
	return a, reports
}

// estimate returns an upper estimate of a peer's level: its last known level plus refill since. It uses this entry's
// own rate and cap, as all entries have equal shares.
func (a Account) estimate(p peerLevel, now time.Duration) float64 {
	return max(p.level, min(a.bucket.cap, p.level+a.bucket.rate*(now-p.updatedAt).Seconds()))
}

// FleetLevel estimates the total level of all entries from the last known levels of the peers.
func (a Account) FleetLevel(now time.Duration) float64 {
	level := a.bucket.Advance(now).Level()
	for _, p := range a.peers {
		level += a.estimate(p, now)
	}
	return level
}

// PlanLoans returns the loan requests to send now, given the tokens of the waiting requests in queue order. It aims for
// this entry's level to equal the fleet's average after those requests are admitted. Peers with an outstanding loan
// request are skipped.
func (a Account) PlanLoans(needs []float64, now time.Duration) []LoanRequest {
	a.bucket = a.bucket.Advance(now)
	available := a.bucket.Level() + a.grants.Available(now)
	peers := a.candidateLenders(now)
	var peerTotal float64
	for _, p := range peers {
		peerTotal += a.estimate(p, now)
	}
	needed, anyCovered := coveredNeeds(needs, available+peerTotal)
	meanLevel := max(0, available+peerTotal-needed) / float64(len(peers)+1)
	var asks []LoanRequest
	for _, p := range peers {
		var share float64
		recentlyRequested := now-p.requestedAt < a.policy.ProbeInterval
		switch {
		case len(needs) > 0 && !anyCovered:
			// The peers together are estimated not to have enough. Probe each one periodically, because refunds may
			// have raised its level.
			if now-max(p.requestedAt, p.updatedAt) >= a.policy.ProbeInterval {
				share = needed - available
			}
		case needed > available:
			share = max((needed-available)/float64(len(peers)), a.estimate(p, now)-meanLevel)
		case !recentlyRequested && meanLevel-(available-needed) > a.policy.RebalanceThreshold*a.bucket.cap:
			share = a.estimate(p, now) - meanLevel
		}
		if share > 0 {
			asks = append(asks, LoanRequest{p.name, share})
		}
	}
	return asks
}

// coveredNeeds adds up, in order, the needs that fit within total, and reports whether any did. If none did, it returns
// the smallest need.
func coveredNeeds(needs []float64, total float64) (needed float64, anyCovered bool) {
	smallest := math.Inf(1)
	for _, n := range needs {
		smallest = min(smallest, n)
		if needed+n <= total {
			needed += n
			anyCovered = true
		}
	}
	if len(needs) > 0 && !anyCovered {
		needed = smallest
	}
	return needed, anyCovered
}

// candidateLenders returns the peers without an outstanding loan request, highest estimated level first, at most
// Fanout.
func (a Account) candidateLenders(now time.Duration) []peerLevel {
	var peers []peerLevel
	for _, p := range a.peers {
		if !slices.ContainsFunc(a.grants.grants, func(g BorrowedGrant) bool { return g.Lender == p.name && !g.Received }) {
			peers = append(peers, p)
		}
	}
	slices.SortStableFunc(peers, func(x, y peerLevel) int { return -cmp.Compare(a.estimate(x, now), a.estimate(y, now)) })
	return peers[:min(len(peers), a.policy.Fanout)]
}

// WithLoanRequested opens a grant that is about to be requested. now must be read before the request is sent, so that
// the grant expires at the borrower before it expires at the lender.
func (a Account) WithLoanRequested(id, lender string, now time.Duration) Account {
	a.grants = a.grants.WithLoanRequested(id, lender, now, a.policy.GrantTTL)
	a.peers = slices.Clone(a.peers)
	for i := range a.peers {
		if a.peers[i].name == lender {
			a.peers[i].requestedAt = now
		}
	}
	return a
}

// WithLoanReply records a lender's reply: the tokens granted and the level it has left. The tokens move into the bucket
// as far as it has room, because there they do not expire and refunding unused ones needs no message. A grant that has
// moved in full is reported at once.
func (a Account) WithLoanReply(id string, tokens, level float64, now time.Duration) (Account, []GrantReport) {
	lender := a.grants.lender(id)
	grants, granted := a.grants.WithGranted(id, tokens, now)
	a.grants = grants
	if lender != "" {
		a = a.WithPeer(lender, level, now)
	}
	if !granted || a.policy.NoDeposits {
		return a, nil
	}
	bucket, deposited := a.bucket.Deposit(tokens, now)
	// The grant stays open for tokens for which the bucket has no room.
	if a.grants, deposited = a.grants.SpendFrom(id, deposited, now); deposited < tokens {
		a.bucket = bucket
		return a, nil
	}
	a.bucket = bucket
	return a.closeGrant(id)
}

// WithLoanFailed closes a grant whose reply was lost and reports to the lender that none of it was spent.
func (a Account) WithLoanFailed(id string, now time.Duration) (Account, []GrantReport) {
	lender := a.grants.lender(id)
	if lender == "" {
		return a, nil
	}
	return a.WithPeer(lender, 0, now).closeGrant(id)
}

// Lend grants up to tokens that the entry does not need itself, to be spent within ttl on the borrower's clock. It
// returns the amount granted and what is left for other borrowers. A life above GrantTTL is refused.
func (a Account) Lend(id string, tokens float64, now, ttl time.Duration) (lent Account, granted, left float64) {
	a.bucket = a.bucket.Advance(now)
	demandReserve := a.demandReserve(now)
	if ttl > 0 && ttl <= a.policy.GrantTTL {
		a.bucket, granted = a.bucket.Lend(id, max(0, min(tokens, a.bucket.Level()-demandReserve)), now, now+PadForClockDrift(ttl))
	}
	return a, granted, max(0, a.bucket.Level()-demandReserve)
}

// demandReserve returns the tokens that a lender keeps back for its own demand. Residual demand below idleDemandRatio
// counts as zero, so that an idle entry can lend its whole bucket.
func (a Account) demandReserve(now time.Duration) float64 {
	demand := min(a.Demand(now), a.bucket.config.Rate)
	if demand < idleDemandRatio*a.bucket.rate {
		return 0
	}
	return demand * a.policy.DemandReserve.Seconds()
}

// idleDemandRatio is the fraction of an entry's own rate below which its demand counts as zero.
const idleDemandRatio = 0.01

// MayLend reports whether lender may lend to borrower, where waiting says whether lender has waiting requests of its
// own. Two entries that both lack tokens would otherwise lend to each other and admit nothing, so of the two only the
// one whose name sorts first borrows.
func MayLend(waiting bool, borrower, lender string) bool { return !waiting || borrower < lender }

// WithRepayment applies a borrower's report on a grant.
func (a Account) WithRepayment(id string, spent float64, now time.Duration) Account {
	a.bucket = a.bucket.Repay(id, spent, now)
	return a
}

// CloseUnusedGrants closes grants that are used up or expired. If no request is waiting, it closes all others for which the lender's
// reply has arrived. The reports are to be sent to the lenders.
func (a Account) CloseUnusedGrants(waiting bool, now time.Duration) (Account, []GrantReport) {
	var reports []GrantReport
	for _, g := range a.grants.All() {
		var closed []GrantReport
		switch {
		case g.End <= now:
			a, closed = a.closeGrant(g.ID)
			if g.Tokens == 0 {
				closed = nil
			}
		case !g.Received: // The lender's reply may still arrive.
		case g.Tokens == 0:
			a.grants, _, _ = a.grants.Close(g.ID)
		case g.Remaining() <= 0 || !waiting:
			a, closed = a.closeGrant(g.ID)
		}
		reports = append(reports, closed...)
	}
	return a, reports
}

// CloseAllGrants closes all grants, for a graceful shutdown. The reports are to be sent to the lenders.
func (a Account) CloseAllGrants() (Account, []GrantReport) {
	var reports []GrantReport
	for _, g := range a.grants.All() {
		var closed []GrantReport
		a, closed = a.closeGrant(g.ID)
		reports = append(reports, closed...)
	}
	return a, reports
}

// closeGrant closes a grant and returns the report to its lender. If admissions that spent from the grant are still
// open, Settle may return a second report, with a smaller amount, when the last of them is settled.
func (a Account) closeGrant(id string) (Account, []GrantReport) {
	grants, g, ok := a.grants.Close(id)
	if !ok {
		return a, nil
	}
	a.grants = grants
	spent := g.Spent
	if u, ok := a.usage.get(id); ok {
		u.reported, u.spent = true, g.Spent
		if u.openAdmissions > 0 {
			a.usage = a.usage.set(id, u, 0)
		} else {
			a.usage = a.usage.remove(id)
			if !a.policy.DiscardRefunds {
				spent -= u.unused
			}
		}
	}
	return a, []GrantReport{{g.Lender, id, spent}}
}
