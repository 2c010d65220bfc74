package limiter

import (
	"slices"
	"time"
)

// BorrowedGrant is a grant as its borrower sees it.
type BorrowedGrant struct {
	ID     string
	Lender string
	// End is when the grant expires, on the borrower's clock. Its lifetime is counted from before the request is sent.
	End time.Duration
	// Tokens is the amount granted, or 0 until the reply arrives.
	Tokens float64
	Spent  float64
	// Received is set when the reply has arrived. Later replies are ignored.
	Received bool
}

// Remaining returns the tokens that have not been spent.
func (g BorrowedGrant) Remaining() float64 { return g.Tokens - g.Spent }

// BorrowedGrants is the set of grants that one entry has borrowed for one organisation. It is an immutable value; the
// zero value is empty. A grant can be spent only before its End and before Close. As End is earlier than the lender's
// and Close precedes the report, the lender holds every token that can still be spent.
type BorrowedGrants struct {
	// grants are sorted by End.
	grants []BorrowedGrant
}

// WithLoanRequested opens a grant that is about to be requested. now must be read before the request is sent.
func (p BorrowedGrants) WithLoanRequested(id, lender string, now, ttl time.Duration) BorrowedGrants {
	grants := append(slices.Clone(p.grants), BorrowedGrant{ID: id, Lender: lender, End: now + ttl})
	slices.SortStableFunc(grants, func(a, b BorrowedGrant) int { return int(min(1, max(-1, a.End-b.End))) })
	return BorrowedGrants{grants}
}

// WithGranted records the lender's reply and reports whether it was accepted. It is ignored if the grant is not open,
// has expired, or already has a reply.
func (p BorrowedGrants) WithGranted(id string, tokens float64, now time.Duration) (BorrowedGrants, bool) {
	i := slices.IndexFunc(p.grants, func(g BorrowedGrant) bool { return g.ID == id })
	if i < 0 || p.grants[i].Received || now >= p.grants[i].End || !(tokens >= 0) {
		return p, false
	}
	grants := slices.Clone(p.grants)
	grants[i].Tokens, grants[i].Received = tokens, true
	return BorrowedGrants{grants}, true
}

// Available returns the tokens that can be spent at now.
func (p BorrowedGrants) Available(now time.Duration) float64 {
	var sum float64
	for _, g := range p.grants {
		if now < g.End {
			sum += g.Remaining()
		}
	}
	return sum
}

// GrantSpend is the amount that an admission has spent from one grant.
type GrantSpend struct {
	Grant  string
	Tokens float64
}

// Spend takes tokens from the unexpired grants, earliest End first. If they do not cover tokens, it takes nothing and
// returns false.
func (p BorrowedGrants) Spend(tokens float64, now time.Duration) (BorrowedGrants, []GrantSpend, bool) {
	if tokens <= 0 {
		return p, nil, true
	}
	if tokens > p.Available(now) {
		return p, nil, false
	}
	var spends []GrantSpend
	grants := slices.Clone(p.grants)
	for i := range grants {
		if g := &grants[i]; now < g.End && g.Remaining() > 0 && tokens > 0 {
			take := min(tokens, g.Remaining())
			g.Spent += take
			tokens -= take
			spends = append(spends, GrantSpend{g.ID, take})
		}
	}
	return BorrowedGrants{grants}, spends, true
}

// SpendFrom spends up to tokens from one grant and returns the amount spent.
func (p BorrowedGrants) SpendFrom(id string, tokens float64, now time.Duration) (BorrowedGrants, float64) {
	for i, g := range p.grants {
		if g.ID == id && now < g.End {
			amount := max(0, min(tokens, g.Remaining()))
			grants := slices.Clone(p.grants)
			grants[i].Spent += amount
			return BorrowedGrants{grants}, amount
		}
	}
	return p, 0
}

// Close removes a grant so that its use can be reported to the lender. Nothing can be spent from it afterwards.
func (p BorrowedGrants) Close(id string) (BorrowedGrants, BorrowedGrant, bool) {
	i := slices.IndexFunc(p.grants, func(g BorrowedGrant) bool { return g.ID == id })
	if i < 0 {
		return p, BorrowedGrant{}, false
	}
	closed := p.grants[i]
	return BorrowedGrants{slices.Delete(slices.Clone(p.grants), i, i+1)}, closed, true
}

// Expire removes and returns the expired grants.
func (p BorrowedGrants) Expire(now time.Duration) (BorrowedGrants, []BorrowedGrant) {
	i := 0
	for i < len(p.grants) && p.grants[i].End <= now {
		i++
	}
	if i == 0 {
		return p, nil
	}
	return BorrowedGrants{slices.Clone(p.grants[i:])}, slices.Clone(p.grants[:i])
}

// All returns the open grants, earliest End first.
func (p BorrowedGrants) All() []BorrowedGrant { return slices.Clone(p.grants) }

func (p BorrowedGrants) lender(id string) string {
	for _, g := range p.grants {
		if g.ID == id {
			return g.Lender
		}
	}
	return ""
}
